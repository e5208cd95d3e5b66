#include "callers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster_int.h"

#define IDS_MAX 40000
#define KEYS 40
#define ID_BYTES 48
/* A caller whose daemon does not answer does not try again at once. */
#define PAUSE_MS 50

enum fate {
	FATE_OPEN,
	FATE_DONE,
	FATE_REFUSED,
	FATE_UNKNOWN
};

/* A request that may not be repeated. */
struct sent {
	char id[ID_BYTES];
	enum fate fate;
};

struct slot {
	struct callers *load;
	size_t node;
	struct sent *sent; /* NULL for an idempotent request */
	bool busy;
	uint64_t not_before_ms;
	int status;
	char outcome[24];
};

struct callers {
	struct cluster *c;
	struct callers_params params;
	struct slot *slots;
	size_t slot_count;
	struct sent *sent;
	size_t sent_count;
	unsigned int number;
	bool stopping;
	struct callers_result result;
};

static void on_head(void *arg, const struct upclient_response *response)
{
	struct slot *s = arg;

	s->status = response->status;
	for (size_t i = 0; i < response->header_count; i++) {
		if (strcmp(response->headers[i].name, "geranium-outcome") == 0)
			snprintf(s->outcome, sizeof(s->outcome), "%s",
				 response->headers[i].value);
	}
}

static void on_body(void *arg, const void *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void close_slot(struct slot *s, enum fate fate)
{
	s->busy = false;
	if (s->sent)
		s->sent->fate = fate;
}

static void on_end(void *arg)
{
	struct slot *s = arg;
	struct callers_result *r = &s->load->result;

	if (strcmp(s->outcome, "done") == 0) {
		r->done++;
		close_slot(s, FATE_DONE);
	} else if (strcmp(s->outcome, "not-run") == 0 ||
		   strcmp(s->outcome, "shed") == 0) {
		r->not_run++;
		close_slot(s, FATE_REFUSED);
	} else if (strcmp(s->outcome, "unknown") == 0) {
		r->unknown++;
		printf("status %d, outcome unknown: node %zu id %s\n",
		       s->status, s->node, s->sent ? s->sent->id : "none");
		if (s->sent)
			cluster_print_log_lines(s->load->c, s->sent->id);
		close_slot(s, FATE_UNKNOWN);
	} else {
		r->other++;
		printf("status %d, outcome %s\n", s->status, s->outcome);
		close_slot(s, FATE_UNKNOWN);
	}
}

static void on_failed(void *arg, enum upclient_failure why)
{
	struct slot *s = arg;
	struct callers_result *r = &s->load->result;

	s->not_before_ms = cluster_now_ms() + PAUSE_MS;
	if (why == UPCLIENT_NOT_SENT || why == UPCLIENT_REFUSED) {
		r->not_sent++;
		close_slot(s, FATE_REFUSED);
		return;
	}
	r->lost++;
	printf("no whole answer (%d): node %zu id %s\n", (int)why, s->node,
	       s->sent ? s->sent->id : "none");
	close_slot(s, FATE_UNKNOWN);
}

static const struct upclient_events events = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
};

/* Every second request is one that may not be repeated. */
static void choose(struct callers *l, struct slot *s,
		   struct upclient_request *req, char *target, size_t size)
{
	unsigned int key = l->number % KEYS;

	s->sent = NULL;
	req->method = "GET";
	if (l->number / KEYS % 2 == 0 || l->sent_count == IDS_MAX) {
		snprintf(target, size, "/bookings/clients/c%u/history", key);
	} else {
		s->sent = &l->sent[l->sent_count++];
		cluster_new_id(s->sent->id, sizeof(s->sent->id));
		req->method = "POST";
		snprintf(target, size,
			 key % 4 ? "/bookings/clients/c%u/confirmations" :
				   "/documents/members/m%u/stamps",
			 key);
	}
	l->number++;
}

static void start_request(struct callers *l, struct slot *s)
{
	char timeout[16];
	char target[128];
	struct websrv_header headers[] = { { "geranium-timeout-ms", timeout },
					   { "idempotency-key", "" } };
	struct upclient_request req = {
		.target = target,
		.headers = headers,
		.header_count = 1,
		.end = true,
		.timeout_us = (l->params.timeout_ms + 1000) * US_PER_MS
	};

	choose(l, s, &req, target, sizeof(target));
	if (s->sent) {
		headers[1].value = s->sent->id;
		req.header_count = 2;
		req.first = "{}";
		req.first_len = 2;
		req.content_length = 2;
	}
	snprintf(timeout, sizeof(timeout), "%u", l->params.timeout_ms);
	s->status = 0;
	s->outcome[0] = '\0';
	s->busy = true;
	if (!upclient_start(l->c->nodes[s->node].http, &req, &events, s))
		on_failed(s, UPCLIENT_NOT_SENT);
}

/* Starts a request in each slot that is free. */
static void pump(void *arg)
{
	struct callers *l = arg;
	uint64_t now = cluster_now_ms();

	for (size_t i = 0; i < l->slot_count && !l->stopping; i++) {
		if (!l->slots[i].busy && now >= l->slots[i].not_before_ms)
			start_request(l, &l->slots[i]);
	}
}

/* Starts the load. */
struct callers *callers_start(struct cluster *c,
			      const struct callers_params *params)
{
	struct callers *l = calloc(1, sizeof(*l));

	if (!l)
		exit(99);
	l->c = c;
	l->params = *params;
	l->slot_count = params->per_node * c->count;
	l->slots = calloc(l->slot_count, sizeof(*l->slots));
	l->sent = calloc(IDS_MAX, sizeof(*l->sent));
	if (!l->slots || !l->sent)
		exit(99);
	for (size_t i = 0; i < l->slot_count; i++) {
		l->slots[i].load = l;
		l->slots[i].node = i % c->count;
	}
	c->pump = pump;
	c->pump_arg = l;
	return l;
}

static bool is_busy(const struct callers *l)
{
	for (size_t i = 0; i < l->slot_count; i++) {
		if (l->slots[i].busy)
			return true;
	}
	return false;
}

/* Lets the requests in flight end. */
void callers_finish(struct callers *l)
{
	l->stopping = true;
	while (is_busy(l))
		cluster_sleep(l->c, 20);
	l->c->pump = NULL;
}

/* Answers are compared with what the upstreams wrote. */
static void check_sent(struct callers *l, const struct entry *entries,
		       size_t count, bool *ran)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(entries[i].event, "start") != 0 ||
		    !entries[i].key[0])
			continue;
		for (size_t k = 0; k < l->sent_count; k++) {
			if (strcmp(l->sent[k].id, entries[i].key) == 0)
				ran[k] = true;
		}
	}
}

static void count_sent(struct callers *l, const bool *ran)
{
	for (size_t k = 0; k < l->sent_count; k++) {
		const struct sent *s = &l->sent[k];

		if (s->fate == FATE_REFUSED && ran[k]) {
			l->result.refused_but_ran++;
			printf("request %s ran and was refused\n", s->id);
		}
		if (s->fate == FATE_DONE && !ran[k]) {
			l->result.done_but_missing++;
			printf("request %s did not run and is done\n", s->id);
		}
	}
}

/* Checks and prints. */
struct callers_result callers_check(struct callers *l)
{
	static const char *const services[] = { "bookings", "documents" };
	bool *ran = calloc(IDS_MAX, sizeof(*ran));
	const struct callers_result *r = &l->result;

	if (!ran)
		exit(99);
	for (size_t i = 0; i < 2; i++) {
		struct entry *entries;
		size_t count = cluster_journal(l->c, services[i], &entries);

		check_sent(l, entries, count, ran);
		free(entries);
	}
	count_sent(l, ran);
	free(ran);
	printf("load: done %zu, not run %zu, unknown %zu, not sent %zu, "
	       "lost %zu, other %zu\n",
	       r->done, r->not_run, r->unknown, r->not_sent, r->lost, r->other);
	return l->result;
}

/* Frees the load; what is still in flight is waited for. */
void callers_destroy(struct callers *l)
{
	if (!l)
		return;
	callers_finish(l);
	l->c->pump = NULL;
	free(l->slots);
	free(l->sent);
	free(l);
}
