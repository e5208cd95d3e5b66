#include "exe_run.h"

#include <stdlib.h>
#include <string.h>

#include "bal.h"
#include "ctr.h"
#include "own.h"
#include "pub.h"
#include "syn.h"
#include "upd.h"

#define RECHECK_US (5 * US_PER_MS) /* while waiting for ownership */
#define HOLD_MAX_US (1500 * US_PER_MS)
#define SHED_RETRY_MS 1000

static void step_due(void *arg, uint64_t now_us);

/* Returns the node that the run belongs to. */
struct nod *exe_run_node(const struct exe_run *r)
{
	return exe_node(r->exe);
}

static void step_at(struct exe_run *r, uint64_t at_us)
{
	struct tmr *timers = exe_run_node(r)->timers;

	tmr_cancel(timers, r->timer);
	r->timer = tmr_at(timers, at_us, step_due, r);
}

/* Gives back the slot and the place among suspects. */
void exe_run_release(struct exe_run *r, enum admit_result result)
{
	uint64_t now = nod_now_us(exe_run_node(r));

	if (r->has_slot) {
		admit_done(r->admission, r->kind_index, result,
			   now - r->started_us, now);
		bal_work(exe_run_node(r)->balance, r->part,
			 now - r->started_us);
	}
	r->has_slot = false;
	if (r->suspect)
		quarantine_suspect_end(exe_quarantine(r->exe), r->fingerprint);
	r->suspect = false;
}

/* Frees a run that has ended. */
void exe_run_destroy(struct exe_run *r)
{
	tmr_cancel(exe_run_node(r)->timers, r->timer);
	exe_unlink(r->exe, r);
	free(r->stored_body);
	free(r->pending);
	free(r->block);
	free(r);
}

/* Ends the span of the run. */
void exe_run_end_span(struct exe_run *r, const char *outcome, int status)
{
	tracer_end_span(exe_run_node(r)->traces, &r->span, "execute", outcome,
			status);
}

/* Ends a run that had no effect, or whose effect is not known. */
void exe_run_refuse(struct exe_run *r, enum peer_status status,
		    uint32_t retry_after_ms,
		    const struct dedup_response *stored)
{
	struct exe_refusal refusal = { .status = status,
				       .retry_after_ms = retry_after_ms,
				       .stored = stored };
	struct dedup *duplicates = exe_duplicates(r->exe);

	if (r->duplicate && status == PEER_UNKNOWN)
		dedup_mark_unknown(duplicates, r->duplicate);
	else if (r->duplicate)
		dedup_remove(duplicates, r->duplicate);
	r->duplicate = 0;
	r->phase = RUN_OVER;
	exe_run_end_span(r, status == PEER_UNKNOWN ? "unknown" : "not-run", 0);
	r->events->refused(r->arg, &refusal);
	exe_run_destroy(r);
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
	r->row_version = req->row_version;
	r->deadline_us = req->deadline_us;
	r->hold_until_us = now + HOLD_MAX_US;
	if (r->hold_until_us > r->deadline_us)
		r->hold_until_us = r->deadline_us;
	tracer_start_span(n->traces, req->traceparent, &r->span);
	tracer_format_traceparent(&r->span, r->traceparent);
	exe_link(e, r);
	step_at(r, now);
	return r;
}

/* Finds the kind in the manifest in force. */
static bool find_kind(struct exe_run *r)
{
	const struct manifest *man = pub_manifest(exe_run_node(r)->pub);
	const struct manifest_service *s =
		man ? manifest_service_by_id(man, part_service(r->part)) : NULL;

	for (uint32_t i = 0; s && i < s->kind_count; i++) {
		if (strcmp(s->kinds[i].name, r->kind) == 0) {
			r->kind_index = i;
			r->idempotent = s->kinds[i].idempotent;
			return true;
		}
	}
	return false;
}

/* Asks for a slot. */
static void enter(struct exe_run *r)
{
	struct nod *n = exe_run_node(r);
	uint64_t now = nod_now_us(n);

	r->admission = upd_admission(n->upstream);
	if (!r->admission) {
		exe_run_refuse(r, PEER_NOT_RUN, SHED_RETRY_MS, NULL);
		return;
	}
	r->phase = RUN_QUEUED;
	switch (admit_enter(r->admission, r->kind_index, r->deadline_us, r,
			    now)) {
	case ADMIT_RUN:
		r->has_slot = true;
		r->started_us = now;
		exe_run_launch(r);
		break;
	case ADMIT_QUEUED:
		break;
	case ADMIT_SHED:
		ctr_add(CTR_SHED, 1);
		exe_run_release(r, ADMIT_CANCELLED);
		exe_run_refuse(r, PEER_SHED, SHED_RETRY_MS, NULL);
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
	r->started_us = nod_now_us(exe_run_node(r));
	step_at(r, r->started_us);
}

/* A queued request was dropped. */
void exe_dropped(void *exe, void *run)
{
	struct exe_run *r = run;

	(void)exe;
	ctr_add(CTR_SHED, 1);
	exe_run_release(r, ADMIT_CANCELLED);
	exe_run_refuse(r, PEER_SHED, SHED_RETRY_MS, NULL);
}

/* Looks the request up in the duplicate window; false if it was refused. */
static bool check_duplicate(struct exe_run *r)
{
	struct dedup_response stored = { 0 };
	enum dedup_result verdict;

	if (r->idempotent)
		return true;
	verdict = dedup_begin(exe_duplicates(r->exe), r->part, r->request_id,
			      clk_wall_ms(exe_run_node(r)->clk), &r->duplicate,
			      &stored);
	if (verdict == DEDUP_NEW)
		return true;
	r->duplicate = 0;
	ctr_add(CTR_DUPLICATES, 1);
	exe_run_release(r, ADMIT_CANCELLED);
	switch (verdict) {
	case DEDUP_DONE:
		exe_run_refuse(r, PEER_DUPLICATE, 0, &stored);
		break;
	case DEDUP_RUNNING:
		exe_run_refuse(r, PEER_DUPLICATE, 0, NULL);
		break;
	case DEDUP_INVALID:
		exe_run_refuse(r, PEER_INVALID, 0, NULL);
		break;
	case DEDUP_FULL:
		exe_run_refuse(r, PEER_SHED, SHED_RETRY_MS, NULL);
		break;
	default:
		exe_run_refuse(r, PEER_UNSEEN, 0, NULL);
		break;
	}
	return false;
}

/* Checks the quarantine; false if the request was refused or has to wait. */
static bool check_quarantine(struct exe_run *r, uint64_t now_us)
{
	struct quarantine_table *quarantine = exe_quarantine(r->exe);

	r->fingerprint =
		quarantine_fingerprint(part_service(r->part), r->kind_index,
				       r->target, r->first, r->first_len);
	switch (quarantine_check(quarantine, r->fingerprint,
				 clk_wall_ms(exe_run_node(r)->clk))) {
	case QUARANTINE_REFUSE:
		ctr_add(CTR_QUARANTINED, 1);
		exe_run_refuse(r, PEER_QUARANTINED, 0, NULL);
		return false;
	case QUARANTINE_SUSPECT:
		if (quarantine_suspect_begin(quarantine, r->fingerprint)) {
			r->suspect = true;
			return true;
		}
		if (now_us >= r->deadline_us)
			exe_run_refuse(r, PEER_SHED, SHED_RETRY_MS, NULL);
		else
			step_at(r, now_us + RECHECK_US);
		return false;
	default:
		return true;
	}
}

/*
 * True if this process will act soon: the newest row names it, or the sender
 * knows a newer row, which is then read.
 */
static bool waits_for_term(const struct exe_run *r)
{
	struct nod *n = exe_run_node(r);
	const struct row *row = replica_row(n->replica, r->part);

	if (own_is_named(n->own, r->part))
		return true;
	if (r->row_version <= (row ? row->set.version : 0))
		return false;
	syn_poll_soon(n->syn);
	return true;
}

/*
 * Checks the ownership. A process that the newest row names, but that may not
 * act yet, keeps the request for a while: its lease is about to begin.
 */
static bool check_owner(struct exe_run *r, uint64_t now_us)
{
	struct nod *n = exe_run_node(r);
	struct lease_term term;

	if (own_may_act(n->own, r->part, &term) && !term.draining)
		return true;
	if (waits_for_term(r) && now_us < r->hold_until_us &&
	    upd_is_serving(n->upstream))
		step_at(r, now_us + RECHECK_US);
	else
		exe_run_refuse(r, PEER_MOVED, 0, NULL);
	return false;
}

/* Passes the checks one after the other, then takes a slot. */
static void step_due(void *arg, uint64_t now_us)
{
	struct exe_run *r = arg;

	r->timer = 0;
	if (r->has_slot) {
		exe_run_launch(r);
		return;
	}
	if (!find_kind(r)) {
		exe_run_refuse(r, PEER_INVALID, 0, NULL);
		return;
	}
	if (!check_owner(r, now_us) || !check_quarantine(r, now_us) ||
	    !check_duplicate(r))
		return;
	hot_keys_add(exe_hot_keys(r->exe), r->part, r->key, strlen(r->key));
	enter(r);
}

/*
 * Passes a piece of the body on to the upstream, or keeps it until there is a
 * slot: the user sends the next one only after writable().
 */
bool exe_write(struct exe_run *r, const void *data, size_t len, bool end)
{
	if (r->phase == RUN_RUNNING && r->call)
		return upclient_write(r->pool, r->call, data, len, end);
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
		upclient_pause(r->pool, r->call, paused);
}

/* Stops the work on the upstream; a byte may have reached it. */
static void stop_work(struct exe_run *r)
{
	if (r->phase == RUN_QUEUED && !r->has_slot)
		admit_cancel(r->admission, r);
	if (r->call)
		upclient_cancel(r->pool, r->call);
	r->call = 0;
	exe_run_release(r, ADMIT_CANCELLED);
}

/* Ends the run for a caller that has gone. */
void exe_cancel(struct exe_run *r)
{
	bool sent = r->phase == RUN_RUNNING;

	ctr_add(CTR_CANCELLED, 1);
	stop_work(r);
	if (r->duplicate && sent)
		dedup_mark_unknown(exe_duplicates(r->exe), r->duplicate);
	else if (r->duplicate)
		dedup_remove(exe_duplicates(r->exe), r->duplicate);
	exe_run_end_span(r, "cancelled", 0);
	exe_run_destroy(r);
}

/* Ends the run for a partition that is lost. */
void exe_run_abandon(struct exe_run *r)
{
	bool sent = r->phase == RUN_RUNNING;

	stop_work(r);
	if (sent)
		exe_run_end_unknown(r);
	else
		exe_run_refuse(r, PEER_MOVED, 0, NULL);
}
