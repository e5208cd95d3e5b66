#include "cluster_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OPEN_MAX 64
#define KEYS 200
#define PERIOD_US (6 * US_PER_MS) /* between two requests */
#define TIMEOUT_MS 1000
#define ID_MAX 64
#define KINDS 3 /* history, deposit and stamp in turn */

struct request {
	struct load *load;
	struct exchange exchange;
	struct reply reply;
	char id[ID_MAX]; /* empty for a kind that may be repeated */
	bool is_booking;
	bool open;
};

/* The id of a request that was told not run. */
struct denied {
	char id[ID_MAX];
	bool is_booking;
};

struct load {
	struct cluster *c;
	struct request requests[OPEN_MAX];
	bool skipped[CLUSTER_NODES_MAX];
	struct denied *denied;
	size_t denied_count;
	struct load_counts counts;
	size_t open;
	unsigned int next;
};

/* Creates a load; nothing is sent before load_run(). */
struct load *load_create(struct cluster *c)
{
	struct load *l = calloc(1, sizeof(*l));

	if (!l)
		exit(99);
	l->c = c;
	return l;
}

/* Waits for open requests and frees the load. */
void load_destroy(struct load *l)
{
	load_finish(l);
	free(l->denied);
	free(l);
}

/* Leaves a node out as an entry. */
void load_skip(struct load *l, size_t node, bool skip)
{
	l->skipped[node] = skip;
}

static void keep_denied(struct load *l, const struct request *r)
{
	struct denied *d;

	if (!r->id[0])
		return;
	l->denied =
		realloc(l->denied, (l->denied_count + 1) * sizeof(*l->denied));
	if (!l->denied)
		exit(99);
	d = &l->denied[l->denied_count++];
	snprintf(d->id, sizeof(d->id), "%s", r->id);
	d->is_booking = r->is_booking;
}

static void on_ended(void *arg)
{
	struct request *r = arg;
	struct load *l = r->load;
	const char *outcome = r->reply.outcome;

	r->open = false;
	l->open--;
	if (strcmp(outcome, "done") == 0 && r->reply.status) {
		l->counts.done++;
	} else if (strcmp(outcome, "not-run") == 0) {
		l->counts.not_run++;
		keep_denied(l, r);
	} else if (strcmp(outcome, "shed") == 0) {
		l->counts.shed++;
		keep_denied(l, r);
	} else if (strcmp(outcome, "unknown") == 0) {
		l->counts.unknown++;
	} else {
		l->counts.other++;
	}
}

/* Finds the next node that is not skipped. */
static size_t next_node(struct load *l)
{
	size_t node = l->next % l->c->count;

	while (l->skipped[node])
		node = (node + 1) % l->c->count;
	return node;
}

static void begin(struct load *l, struct request *r)
{
	static const char *const paths[KINDS] = {
		"/bookings/clients/k%u/history",
		"/bookings/clients/k%u/deposits",
		"/documents/members/k%u/stamps",
	};
	unsigned int kind = l->next % KINDS;
	size_t node = next_node(l);
	char path[64];

	snprintf(path, sizeof(path), paths[kind], l->next * 7 % KEYS);
	l->next++;
	r->load = l;
	r->is_booking = kind != 2;
	r->id[0] = '\0';
	if (kind)
		cluster_new_id(r->id, sizeof(r->id));
	r->exchange.reply = &r->reply;
	r->exchange.ended = on_ended;
	r->exchange.arg = r;
	r->open = cluster_begin(l->c->nodes[node].http, kind ? "POST" : "GET",
				path, kind ? r->id : NULL, kind ? "{}" : NULL,
				TIMEOUT_MS, &r->exchange);
	l->open += r->open;
}

static void send_due(void *arg, uint64_t now_us)
{
	struct load *l = arg;

	(void)now_us;
	for (size_t i = 0; i < OPEN_MAX; i++) {
		if (l->requests[i].open)
			continue;
		begin(l, &l->requests[i]);
		return;
	}
}

/* Sends requests at a fixed rate. */
struct load_counts load_run(struct load *l, unsigned int ms)
{
	struct lwsloop *loop = l->c->loop;
	uint64_t until = cluster_now_ms() + ms;
	uint32_t timer = tmr_every(lwsloop_timers(loop), lwsloop_now_us(loop),
				   PERIOD_US, send_due, l);

	memset(&l->counts, 0, sizeof(l->counts));
	while (cluster_now_ms() < until)
		lwsloop_run_once(loop);
	tmr_cancel(lwsloop_timers(loop), timer);
	return l->counts;
}

/* Runs the loop until all requests have ended. */
void load_finish(struct load *l)
{
	while (l->open)
		lwsloop_run_once(l->c->loop);
}

/* Compares the refusals with the journals. */
size_t load_check_not_run(struct load *l)
{
	struct entry *entries[2];
	size_t counts[2];
	size_t violations = 0;

	counts[0] = cluster_journal(l->c, "documents", &entries[0]);
	counts[1] = cluster_journal(l->c, "bookings", &entries[1]);
	for (size_t i = 0; i < l->denied_count; i++) {
		const struct denied *d = &l->denied[i];

		for (size_t j = 0; j < counts[d->is_booking]; j++) {
			const struct entry *e = &entries[d->is_booking][j];

			if (strcmp(e->event, "start") != 0 ||
			    strcmp(e->key, d->id) != 0)
				continue;
			printf("request %s ran and was told not run\n", d->id);
			violations++;
		}
	}
	printf("%zu requests told not run, %zu of them ran\n", l->denied_count,
	       violations);
	free(entries[0]);
	free(entries[1]);
	return violations;
}
