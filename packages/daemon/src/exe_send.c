#include "exe_run.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "own.h"
#include "upd.h"

#define SHED_RETRY_MS 1000
#define NO_CONNECTION_RETRY_MS 100
#define LABEL_MAX 96

/* Adds one header of ours to the request. */
static void add_header(struct exe_run *r, const char *name, const char *value)
{
	r->headers[r->header_count].name = name;
	r->headers[r->header_count].value = value;
	r->header_count++;
}

/* Writes fence, term and deadline, which the upstream checks. */
static void add_headers(struct exe_run *r, const struct lease_term *term,
			uint64_t now_us)
{
	uint64_t wall_ms = clk_wall_ms(exe_run_node(r)->clk);

	snprintf(r->fence, sizeof(r->fence), "%" PRIu64, term->fence);
	snprintf(r->partition, sizeof(r->partition), "%u", part_index(r->part));
	snprintf(r->start_by, sizeof(r->start_by), "%" PRIu64,
		 wall_ms + (term->until_us - now_us) / US_PER_MS);
	snprintf(r->deadline, sizeof(r->deadline), "%" PRIu64,
		 wall_ms + (r->deadline_us - now_us) / US_PER_MS);
	add_header(r, "geranium-fence", r->fence);
	add_header(r, "geranium-partition", r->partition);
	add_header(r, "geranium-start-by", r->start_by);
	add_header(r, "geranium-deadline", r->deadline);
	add_header(r, "traceparent", r->traceparent);
	if (r->request_id[0])
		add_header(r, "idempotency-key", r->request_id);
}

/* Keeps the start of the response of a request that may not be repeated. */
static void store_body(struct exe_run *r, const void *data, size_t len)
{
	if (!r->duplicate || r->stored.body_cut)
		return;
	if (r->stored.body_len + len > DEDUP_BODY_MAX) {
		r->stored.body_cut = true;
		r->stored.body_len = 0;
		return;
	}
	if (!r->stored_body)
		r->stored_body = malloc(DEDUP_BODY_MAX);
	if (!r->stored_body) {
		r->stored.body_cut = true;
		return;
	}
	memcpy(r->stored_body + r->stored.body_len, data, len);
	r->stored.body_len += (uint32_t)len;
}

static const char *find_header(const struct upclient_response *response,
			       const char *name)
{
	for (size_t i = 0; i < response->header_count; i++) {
		if (strcmp(response->headers[i].name, name) == 0)
			return response->headers[i].value;
	}
	return NULL;
}

/* The upstream answers, or says that it did not run the request. */
static void on_head(void *arg, const struct upclient_response *response)
{
	struct exe_run *r = arg;
	const char *refused = find_header(response, "geranium-refused");
	const char *type = find_header(response, "content-type");

	if (refused) {
		r->refused =
			strcmp(refused, "shed") == 0 ? PEER_SHED : PEER_NOT_RUN;
		return;
	}
	r->head_seen = true;
	r->stored.status = response->status;
	if (type)
		snprintf(r->stored.content_type, sizeof(r->stored.content_type),
			 "%s", type);
	r->events->head(r->arg, response);
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct exe_run *r = arg;

	if (r->refused != PEER_OK)
		return;
	store_body(r, data, len);
	r->events->body(r->arg, data, len);
}

/* The response is whole. */
static void on_end(void *arg)
{
	struct exe_run *r = arg;

	r->call = 0;
	if (r->refused != PEER_OK) {
		exe_run_release(r, r->refused == PEER_SHED ?
					   ADMIT_UPSTREAM_SHED :
					   ADMIT_CANCELLED);
		exe_run_refuse(r, r->refused, SHED_RETRY_MS, NULL);
		return;
	}
	exe_run_release(r, ADMIT_OK);
	r->stored.body = r->stored_body;
	if (r->duplicate)
		dedup_finish(exe_duplicates(r->exe), r->duplicate, &r->stored);
	r->duplicate = 0;
	r->phase = RUN_OVER;
	exe_run_end_span(r, "done", r->stored.status);
	r->events->end(r->arg);
	exe_run_destroy(r);
}

/* Ends a run whose effect is not known. */
void exe_run_end_unknown(struct exe_run *r)
{
	if (!r->head_seen) {
		exe_run_refuse(r, PEER_UNKNOWN, 0, NULL);
		return;
	}
	if (r->duplicate)
		dedup_mark_unknown(exe_duplicates(r->exe), r->duplicate);
	r->duplicate = 0;
	r->phase = RUN_OVER;
	exe_run_end_span(r, "unknown", r->stored.status);
	r->events->broken(r->arg);
	exe_run_destroy(r);
}

/* The connection failed: only proof that no byte left makes it not run. */
static void on_failed(void *arg, enum upclient_failure why)
{
	struct exe_run *r = arg;
	char label[LABEL_MAX];

	r->call = 0;
	exe_run_release(r, ADMIT_FAILED);
	if (why == UPCLIENT_REFUSED || why == UPCLIENT_LOST ||
	    why == UPCLIENT_BROKEN) {
		snprintf(label, sizeof(label), "%u/%s/%s",
			 part_service(r->part), r->kind, r->key);
		ctr_add(CTR_UPSTREAM_LOST, 1);
		if (why == UPCLIENT_REFUSED)
			upd_check(exe_run_node(r)->upstream);
		else
			upd_lost(exe_run_node(r)->upstream, r->fingerprint,
				 label);
	}
	if (r->refused != PEER_OK)
		exe_run_refuse(r, r->refused, SHED_RETRY_MS, NULL);
	else if (why == UPCLIENT_NOT_SENT || why == UPCLIENT_REFUSED)
		exe_run_refuse(r, PEER_NOT_RUN, NO_CONNECTION_RETRY_MS, NULL);
	else
		exe_run_end_unknown(r);
}

static void on_writable(void *arg)
{
	struct exe_run *r = arg;

	r->events->writable(r->arg);
}

static const struct upclient_events upstream_events = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
	.writable = on_writable,
};

/* Sends the piece of the body that came early, or asks for the first one. */
static void send_pending(struct exe_run *r)
{
	bool room = true;

	if (r->end)
		return;
	if (r->pending)
		room = upclient_write(r->pool, r->call, r->pending,
				      r->pending_len, r->pending_end);
	free(r->pending);
	r->pending = NULL;
	if (room)
		r->events->writable(r->arg);
}

/* Sends the request; the ownership is checked just before. */
void exe_run_launch(struct exe_run *r)
{
	struct nod *n = exe_run_node(r);
	struct upclient_request req = { .method = r->method,
					.target = r->target,
					.headers = r->headers,
					.content_length = r->content_length,
					.first = r->first,
					.first_len = r->first_len,
					.end = r->end };
	struct lease_term term;
	uint64_t now;

	r->pool = upd_pool(n->upstream);
	now = nod_now_us(n);
	if (!own_may_act(n->own, r->part, &term) || now >= r->deadline_us ||
	    !r->pool) {
		exe_run_release(r, ADMIT_CANCELLED);
		exe_run_refuse(
			r, now >= r->deadline_us ? PEER_NOT_RUN : PEER_MOVED, 0,
			NULL);
		return;
	}
	add_headers(r, &term, now);
	req.header_count = r->header_count;
	req.timeout_us = r->deadline_us - now;
	r->phase = RUN_RUNNING;
	r->started_us = now;
	r->call = upclient_start(r->pool, &req, &upstream_events, r);
	if (!r->call) {
		exe_run_release(r, ADMIT_CANCELLED);
		exe_run_refuse(r, PEER_SHED, NO_CONNECTION_RETRY_MS, NULL);
		return;
	}
	send_pending(r);
}
