#include "exe_run.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bal.h"
#include "ctr.h"
#include "own.h"
#include "pub.h"
#include "upd.h"

#define RECHECK_US (5 * US_PER_MS) /* while waiting for ownership */
#define HOLD_MAX_US (1500 * US_PER_MS)
#define SHED_RETRY_MS 1000
#define NO_CONNECTION_RETRY_MS 100
#define LABEL_MAX 96

static void step_due(void *arg, uint64_t now_us);

static struct nod *node_of(const struct exe_run *r)
{
	return exe_node(r->exe);
}

static void step_at(struct exe_run *r, uint64_t at_us)
{
	struct tmr *timers = node_of(r)->timers;

	tmr_cancel(timers, r->timer);
	r->timer = tmr_at(timers, at_us, step_due, r);
}

/* Gives back the slot and the place among suspects. */
static void release(struct exe_run *r, enum adm_result result)
{
	uint64_t now = nod_now_us(node_of(r));

	if (r->has_slot) {
		adm_done(r->admission, r->kind_index, result,
			 now - r->started_us, now);
		bal_work(node_of(r)->balance, r->part, now - r->started_us);
	}
	r->has_slot = false;
	if (r->suspect)
		qtn_suspect_end(exe_quarantine(r->exe), r->fingerprint);
	r->suspect = false;
}

/* Frees a run that has ended. */
static void destroy(struct exe_run *r)
{
	tmr_cancel(node_of(r)->timers, r->timer);
	exe_unlink(r->exe, r);
	free(r->stored_body);
	free(r->pending);
	free(r->block);
	free(r);
}

static void end_span(struct exe_run *r, const char *outcome, int status)
{
	trc_end(node_of(r)->traces, &r->span, "execute", outcome, status);
}

/* Ends a run that had no effect, or whose effect is not known. */
static void refuse(struct exe_run *r, enum peer_status status,
		   uint32_t retry_after_ms, const struct dup_response *stored)
{
	struct exe_refusal refusal = { .status = status,
				       .retry_after_ms = retry_after_ms,
				       .stored = stored };
	struct dup *duplicates = exe_duplicates(r->exe);

	if (r->duplicate && status == PEER_UNKNOWN)
		dup_lose(duplicates, r->duplicate);
	else if (r->duplicate)
		dup_forget(duplicates, r->duplicate);
	r->duplicate = 0;
	r->phase = RUN_OVER;
	end_span(r, status == PEER_UNKNOWN ? "unknown" : "not-run", 0);
	r->events->refused(r->arg, &refusal);
	destroy(r);
}

/* Copies a text to the end of the block. */
static const char *put(char **at, const char *text)
{
	size_t len = strlen(text) + 1;
	char *copy = *at;

	memcpy(copy, text, len);
	*at += len;
	return copy;
}

static size_t block_size(const struct exe_request *q)
{
	size_t size = strlen(q->kind) + strlen(q->method) + strlen(q->target) +
		      strlen(q->key) + strlen(q->request_id) + 5 + q->first_len;

	for (size_t i = 0; i < q->header_count; i++)
		size += strlen(q->headers[i].name) +
			strlen(q->headers[i].value) + 2;
	return size;
}

/* Copies the request, which is valid only during exe_start(). */
static bool copy_request(struct exe_run *r, const struct exe_request *q)
{
	char *at = malloc(block_size(q) + 1);

	r->block = at;
	if (!at)
		return false;
	r->kind = put(&at, q->kind);
	r->method = put(&at, q->method);
	r->target = put(&at, q->target);
	r->key = put(&at, q->key);
	r->request_id = put(&at, q->request_id);
	for (size_t i = 0; i < q->header_count && i < PEER_HEADERS_MAX; i++) {
		r->headers[i].name = put(&at, q->headers[i].name);
		r->headers[i].value = put(&at, q->headers[i].value);
		r->header_count++;
	}
	if (q->first_len)
		memcpy(at, q->first, q->first_len);
	r->first = at;
	r->first_len = q->first_len;
	r->end = q->end;
	r->content_length = q->content_length;
	return true;
}

/* Starts a request; the first step runs after the caller has returned. */
struct exe_run *exe_start(struct exe *e, const struct exe_request *req,
			  const struct exe_events *events, void *arg)
{
	struct exe_run *r = calloc(1, sizeof(*r));
	struct nod *n = exe_node(e);
	uint64_t now = nod_now_us(n);

	if (!r)
		return NULL;
	if (!copy_request(r, req)) {
		free(r);
		return NULL;
	}
	r->exe = e;
	r->events = events;
	r->arg = arg;
	r->part = req->part;
	r->deadline_us = req->deadline_us;
	r->hold_until_us = now + HOLD_MAX_US;
	if (r->hold_until_us > r->deadline_us)
		r->hold_until_us = r->deadline_us;
	trc_start(n->traces, req->traceparent, &r->span);
	trc_parent(&r->span, r->traceparent);
	exe_link(e, r);
	step_at(r, now);
	return r;
}

/* Finds the kind in the manifest in force. */
static bool find_kind(struct exe_run *r)
{
	const struct man *man = pub_manifest(node_of(r)->pub);
	const struct man_service *s =
		man ? man_service_by_id(man, part_service(r->part)) : NULL;

	for (uint32_t i = 0; s && i < s->kind_count; i++) {
		if (strcmp(s->kinds[i].name, r->kind) == 0) {
			r->kind_index = i;
			r->idempotent = s->kinds[i].idempotent;
			return true;
		}
	}
	return false;
}

/* Adds one header of ours to the request. */
static void add_header(struct exe_run *r, const char *name, const char *value)
{
	r->headers[r->header_count].name = name;
	r->headers[r->header_count].value = value;
	r->header_count++;
}

/* Writes fence, term and deadline, which the upstream checks. */
static void add_headers(struct exe_run *r, const struct lse_term *term,
			uint64_t now_us)
{
	uint64_t wall_ms = clk_wall_ms(node_of(r)->clk);

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
	if (r->stored.body_len + len > DUP_BODY_MAX) {
		r->stored.body_cut = true;
		r->stored.body_len = 0;
		return;
	}
	if (!r->stored_body)
		r->stored_body = malloc(DUP_BODY_MAX);
	if (!r->stored_body) {
		r->stored.body_cut = true;
		return;
	}
	memcpy(r->stored_body + r->stored.body_len, data, len);
	r->stored.body_len += (uint32_t)len;
}

static const char *find_header(const struct ups_response *response,
			       const char *name)
{
	for (size_t i = 0; i < response->header_count; i++) {
		if (strcmp(response->headers[i].name, name) == 0)
			return response->headers[i].value;
	}
	return NULL;
}

/* The upstream answers, or says that it did not run the request. */
static void on_head(void *arg, const struct ups_response *response)
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
		release(r, r->refused == PEER_SHED ? ADM_UPSTREAM_SHED :
						     ADM_CANCELLED);
		refuse(r, r->refused, SHED_RETRY_MS, NULL);
		return;
	}
	release(r, ADM_OK);
	r->stored.body = r->stored_body;
	if (r->duplicate)
		dup_finish(exe_duplicates(r->exe), r->duplicate, &r->stored);
	r->duplicate = 0;
	r->phase = RUN_OVER;
	end_span(r, "done", r->stored.status);
	r->events->end(r->arg);
	destroy(r);
}

/* Ends a run whose effect is not known. */
static void end_unknown(struct exe_run *r)
{
	if (!r->head_seen) {
		refuse(r, PEER_UNKNOWN, 0, NULL);
		return;
	}
	if (r->duplicate)
		dup_lose(exe_duplicates(r->exe), r->duplicate);
	r->duplicate = 0;
	r->phase = RUN_OVER;
	end_span(r, "unknown", r->stored.status);
	r->events->broken(r->arg);
	destroy(r);
}

/* The connection failed: only proof that no byte left makes it not run. */
static void on_failed(void *arg, enum ups_failure why)
{
	struct exe_run *r = arg;
	char label[LABEL_MAX];

	r->call = 0;
	release(r, ADM_FAILED);
	if (why == UPS_REFUSED || why == UPS_LOST || why == UPS_BROKEN) {
		snprintf(label, sizeof(label), "%u/%s/%s",
			 part_service(r->part), r->kind, r->key);
		ctr_add(CTR_UPSTREAM_LOST, 1);
		if (why == UPS_REFUSED)
			upd_check(node_of(r)->upstream);
		else
			upd_lost(node_of(r)->upstream, r->fingerprint, label);
	}
	if (r->refused != PEER_OK)
		refuse(r, r->refused, SHED_RETRY_MS, NULL);
	else if (why == UPS_NOT_SENT || why == UPS_REFUSED)
		refuse(r, PEER_NOT_RUN, NO_CONNECTION_RETRY_MS, NULL);
	else
		end_unknown(r);
}

static void on_writable(void *arg)
{
	struct exe_run *r = arg;

	r->events->writable(r->arg);
}

static const struct ups_events upstream_events = {
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
		room = ups_write(r->pool, r->call, r->pending, r->pending_len,
				 r->pending_end);
	free(r->pending);
	r->pending = NULL;
	if (room)
		r->events->writable(r->arg);
}

/* Sends the request; the ownership is checked just before. */
static void launch(struct exe_run *r)
{
	struct nod *n = node_of(r);
	struct ups_request req = { .method = r->method,
				   .target = r->target,
				   .headers = r->headers,
				   .content_length = r->content_length,
				   .first = r->first,
				   .first_len = r->first_len,
				   .end = r->end };
	struct lse_term term;
	uint64_t now;

	r->pool = upd_pool(n->upstream);
	now = nod_now_us(n);
	if (!own_may_act(n->own, r->part, &term) || now >= r->deadline_us ||
	    !r->pool) {
		release(r, ADM_CANCELLED);
		refuse(r, now >= r->deadline_us ? PEER_NOT_RUN : PEER_MOVED, 0,
		       NULL);
		return;
	}
	add_headers(r, &term, now);
	req.header_count = r->header_count;
	req.timeout_us = r->deadline_us - now;
	r->phase = RUN_RUNNING;
	r->started_us = now;
	r->call = ups_start(r->pool, &req, &upstream_events, r);
	if (!r->call) {
		release(r, ADM_CANCELLED);
		refuse(r, PEER_SHED, NO_CONNECTION_RETRY_MS, NULL);
		return;
	}
	send_pending(r);
}

/* Asks for a slot. */
static void enter(struct exe_run *r)
{
	struct nod *n = node_of(r);
	uint64_t now = nod_now_us(n);

	r->admission = upd_admission(n->upstream);
	if (!r->admission) {
		refuse(r, PEER_NOT_RUN, SHED_RETRY_MS, NULL);
		return;
	}
	r->phase = RUN_QUEUED;
	switch (adm_enter(r->admission, r->kind_index, r->deadline_us, r,
			  now)) {
	case ADM_RUN:
		r->has_slot = true;
		r->started_us = now;
		launch(r);
		break;
	case ADM_QUEUED:
		break;
	case ADM_SHED:
		ctr_add(CTR_SHED, 1);
		release(r, ADM_CANCELLED);
		refuse(r, PEER_SHED, SHED_RETRY_MS, NULL);
		break;
	}
}

/*
 * A queued request has got a slot. It starts in the next step, as the admission
 * is still busy with the request that freed the slot.
 */
void exe_admitted(void *exe, void *run)
{
	struct exe_run *r = run;

	(void)exe;
	r->has_slot = true;
	r->started_us = nod_now_us(node_of(r));
	step_at(r, r->started_us);
}

/* A queued request was dropped. */
void exe_dropped(void *exe, void *run)
{
	struct exe_run *r = run;

	(void)exe;
	ctr_add(CTR_SHED, 1);
	release(r, ADM_CANCELLED);
	refuse(r, PEER_SHED, SHED_RETRY_MS, NULL);
}

/* Looks the request up in the duplicate window; false if it was refused. */
static bool check_duplicate(struct exe_run *r)
{
	struct dup_response stored = { 0 };
	enum dup_verdict verdict;

	if (r->idempotent)
		return true;
	verdict =
		dup_begin(exe_duplicates(r->exe), r->part, r->request_id,
			  clk_wall_ms(node_of(r)->clk), &r->duplicate, &stored);
	if (verdict == DUP_NEW)
		return true;
	r->duplicate = 0;
	ctr_add(CTR_DUPLICATES, 1);
	release(r, ADM_CANCELLED);
	switch (verdict) {
	case DUP_DONE:
		refuse(r, PEER_DUPLICATE, 0, &stored);
		break;
	case DUP_RUNNING:
		refuse(r, PEER_DUPLICATE, 0, NULL);
		break;
	case DUP_INVALID:
		refuse(r, PEER_INVALID, 0, NULL);
		break;
	case DUP_FULL:
		refuse(r, PEER_SHED, SHED_RETRY_MS, NULL);
		break;
	default:
		refuse(r, PEER_UNSEEN, 0, NULL);
		break;
	}
	return false;
}

/* Checks the quarantine; false if the request was refused or has to wait. */
static bool check_quarantine(struct exe_run *r, uint64_t now_us)
{
	struct qtn *quarantine = exe_quarantine(r->exe);

	r->fingerprint = qtn_fingerprint(part_service(r->part), r->kind_index,
					 r->target, r->first, r->first_len);
	switch (qtn_check(quarantine, r->fingerprint,
			  clk_wall_ms(node_of(r)->clk))) {
	case QTN_QUARANTINED:
		ctr_add(CTR_QUARANTINED, 1);
		refuse(r, PEER_QUARANTINED, 0, NULL);
		return false;
	case QTN_SUSPECT:
		if (qtn_suspect_begin(quarantine, r->fingerprint)) {
			r->suspect = true;
			return true;
		}
		if (now_us >= r->deadline_us)
			refuse(r, PEER_SHED, SHED_RETRY_MS, NULL);
		else
			step_at(r, now_us + RECHECK_US);
		return false;
	default:
		return true;
	}
}

/*
 * Checks the ownership. A process that the newest row names, but that may not
 * act yet, keeps the request for a while: its lease is about to begin.
 */
static bool check_owner(struct exe_run *r, uint64_t now_us)
{
	struct nod *n = node_of(r);
	struct lse_term term;

	if (own_may_act(n->own, r->part, &term) && !term.draining)
		return true;
	if (own_is_named(n->own, r->part) && now_us < r->hold_until_us &&
	    upd_is_serving(n->upstream))
		step_at(r, now_us + RECHECK_US);
	else
		refuse(r, PEER_MOVED, 0, NULL);
	return false;
}

/* Passes the checks one after the other, then takes a slot. */
static void step_due(void *arg, uint64_t now_us)
{
	struct exe_run *r = arg;

	r->timer = 0;
	if (r->has_slot) {
		launch(r);
		return;
	}
	if (!find_kind(r)) {
		refuse(r, PEER_INVALID, 0, NULL);
		return;
	}
	if (!check_owner(r, now_us) || !check_quarantine(r, now_us) ||
	    !check_duplicate(r))
		return;
	hot_add(exe_hot_keys(r->exe), r->part, r->key, strlen(r->key));
	enter(r);
}

/*
 * Passes a piece of the body on to the upstream, or keeps it until there is a
 * slot: the user sends the next one only after writable().
 */
bool exe_write(struct exe_run *r, const void *data, size_t len, bool end)
{
	if (r->phase == RUN_RUNNING && r->call)
		return ups_write(r->pool, r->call, data, len, end);
	if (!r->pending)
		r->pending = malloc(len + 1);
	if (r->pending) {
		memcpy(r->pending, data, len);
		r->pending_len = len;
		r->pending_end = end;
	}
	return false;
}

/* Stops and resumes the response. */
void exe_pause(struct exe_run *r, bool paused)
{
	if (r->phase == RUN_RUNNING && r->call)
		ups_pause(r->pool, r->call, paused);
}

/* Stops the work on the upstream; a byte may have reached it. */
static void stop_work(struct exe_run *r)
{
	if (r->phase == RUN_QUEUED && !r->has_slot)
		adm_leave(r->admission, r);
	if (r->call)
		ups_cancel(r->pool, r->call);
	r->call = 0;
	release(r, ADM_CANCELLED);
}

/* Ends the run for a caller that has gone. */
void exe_cancel(struct exe_run *r)
{
	bool sent = r->phase == RUN_RUNNING;

	ctr_add(CTR_CANCELLED, 1);
	stop_work(r);
	if (r->duplicate && sent)
		dup_lose(exe_duplicates(r->exe), r->duplicate);
	else if (r->duplicate)
		dup_forget(exe_duplicates(r->exe), r->duplicate);
	end_span(r, "cancelled", 0);
	destroy(r);
}

/* Ends the run for a partition that is lost. */
void exe_run_abandon(struct exe_run *r)
{
	bool sent = r->phase == RUN_RUNNING;

	stop_work(r);
	if (sent)
		end_unknown(r);
	else
		refuse(r, PEER_MOVED, 0, NULL);
}
