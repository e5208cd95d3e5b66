#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "forward_int.h"
#include "log.h"
#include "traffic.h"
#include "txt.h"

/* Longest wait for the plan, as a share of the time to the deadline. */
#define PLAN_WAIT_PCT 45
#define PERCENT 100
/* Longest wait for a key that is being moved; a move is shorter. */
#define MOVE_WAIT_US (600 * US_PER_MS)
/* Longest wait for a missing upstream, which only a new plan can replace. */
#define MISSING_WAIT_US (150 * US_PER_MS)
/* Retry pause while a new owner has not learned of its keys. */
#define RETRY_PAUSE_US (25 * US_PER_MS)
/* Plan changes are pushed within this time; after it the plan is re-read. */
#define PLAN_READ_AFTER_US (100 * US_PER_MS)
/* Time limit of a connection to another daemon. */
#define CONNECT_TIMEOUT_US (250 * US_PER_MS)
/* Retry delay of a request that found no upstream. */
#define NO_TARGET_RETRY_AFTER_US (300 * US_PER_MS)
/* The same if all data centres are evacuated, which lasts longer. */
#define EVACUATED_RETRY_AFTER_US (1 * US_PER_S)
/* Retry delay of a request that has crashed its upstreams. */
#define CRASHES_RETRY_AFTER_US (30 * US_PER_S)
#define STATUS_BAD_GATEWAY 502

/* Cancels the current attempt, if any, and releases its target. */
void fwd_cancel_attempt(struct fwd_request *f)
{
	tmr_cancel(evloop_timers(f->owner->parts.loop), f->connect_timer);
	f->connect_timer = 0;
	if (f->job)
		reqrun_cancel(f->job);
	if (f->exchange)
		httpcall_cancel(f->exchange);
	f->job = NULL;
	f->exchange = NULL;
	if (f->target)
		f->target->outstanding--;
	f->target = NULL;
}

/* Retries a waiting request after a pause. */
static void on_retry(void *arg, uint64_t now_us)
{
	struct fwd_request *f = arg;

	f->retry_timer = 0;
	if (f->awaiting_plan) {
		DL_DELETE(f->owner->waiting, f);
		f->awaiting_plan = false;
	}
	if (f->key_moving && now_us - f->arrival_us >= PLAN_READ_AFTER_US)
		planview_refresh(f->owner->parts.view);
	fwd_start_attempt(f);
}

/* Returns how long a request may wait for a target, in microseconds. */
static uint64_t plan_wait_us(const struct fwd_request *f)
{
	uint64_t limit =
		(f->deadline_us - f->arrival_us) * PLAN_WAIT_PCT / PERCENT;
	uint64_t most = f->key_moving ? MOVE_WAIT_US : MISSING_WAIT_US;

	return limit < most ? limit : most;
}

/* Waits for a change of the plan, or rejects the request if out of time. */
static void wait_for_plan(struct fwd_request *f, uint64_t now_us)
{
	struct tmr *timers = evloop_timers(f->owner->parts.loop);

	if (now_us >= f->arrival_us + plan_wait_us(f)) {
		if (f->retry_after_us == 0)
			f->retry_after_us = NO_TARGET_RETRY_AFTER_US;
		fwd_reject(f, f->keyed ? RSTATS_NO_OWNER : RSTATS_NO_UPSTREAM);
		return;
	}
	/* Members that rejected the request may accept it later. */
	f->tried_count = 0;
	f->awaiting_plan = true;
	DL_APPEND(f->owner->waiting, f);
	tmr_cancel(timers, f->retry_timer);
	f->retry_timer = tmr_at(timers, now_us + RETRY_PAUSE_US, on_retry, f);
}

/* Starts the next attempt, or waits for the plan if there is no target. */
void fwd_start_attempt(struct fwd_request *f)
{
	uint64_t now = evloop_now_us(f->owner->parts.loop);
	struct memb *m;

	tmr_cancel(evloop_timers(f->owner->parts.loop), f->retry_timer);
	f->retry_timer = 0;
	if (f->owner->parts.crashes &&
	    crashwatch_refuses(f->owner->parts.crashes, f->message, f->body)) {
		f->retry_after_us = CRASHES_RETRY_AFTER_US;
		fwd_reject(f, RSTATS_CRASHES);
		return;
	}
	m = fwd_find_target(f, now);
	if (m) {
		fwd_send(f, m);
	} else if (membs_all_evacuated(planview_members(f->owner->parts.view),
				       f->service, &f->policy)) {
		f->retry_after_us = EVACUATED_RETRY_AFTER_US;
		fwd_reject(f, RSTATS_NO_UPSTREAM);
	} else {
		f->key_moving = f->key_moving || fwd_is_key_leaving(f, now);
		wait_for_plan(f, now);
	}
}

/* True if the route, the retry budget and the deadline allow a retry. */
static bool may_retry(struct fwd_request *f, enum retry_outcome outcome)
{
	struct retry_request r = {
		.idempotent = f->policy.idempotent,
		.attempts = f->attempts,
		.response_started = f->head_sent,
		.body_replayable = true,
		.deadline_us = f->deadline_us,
	};

	if (f->policy.attempts_max > 0 && f->attempts >= f->policy.attempts_max)
		return false;
	return svcretry_allow(f->owner->retries, f->retries, &r, outcome,
			      evloop_now_us(f->owner->parts.loop));
}

/* Counts an attempt that has reached an upstream. */
void fwd_count_attempt(struct fwd_request *f)
{
	f->attempts++;
	svcretry_count_arrival(f->owner->retries, f->retries, f->attempts);
}

/* Handles a rejected attempt; the request has not run there. */
static void handle_refusal(struct fwd_request *f)
{
	uint64_t now = evloop_now_us(f->owner->parts.loop);

	bool has_other = !f->keyed && f->tried_count < FWD_TRIED_MAX &&
			 fwd_find_target(f, now);

	switch (f->refusal) {
	case REQRUN_BUSY:
		if (has_other)
			fwd_start_attempt(f);
		else
			fwd_reject(f, RSTATS_BUSY);
		return;
	case REQRUN_SHED:
		fwd_count_attempt(f);
		if (may_retry(f, RETRY_NOT_RUN))
			wait_for_plan(f, now);
		else
			fwd_reject(f, RSTATS_SHED);
		return;
	case REQRUN_NOT_OWNER:
		f->key_moving = true;
		wait_for_plan(f, now);
		return;
	case REQRUN_NO_UPSTREAM:
	default:
		f->key_moving = f->key_moving || fwd_is_key_leaving(f, now);
		if (has_other)
			fwd_start_attempt(f);
		else
			wait_for_plan(f, now);
		return;
	}
}

/* Ends an attempt without a usable response; retries, waits or replies. */
void fwd_end_attempt(struct fwd_request *f, enum fwd_outcome outcome)
{
	struct memb *m = f->target;
	uint64_t now = evloop_now_us(f->owner->parts.loop);

	f->job = NULL;
	f->exchange = NULL;
	if (m && outcome == FWD_UNREACHABLE) {
		memb_record_failure(m, now);
		log_emit(LOG_PEER_UNREACHED, "node=%s request=%s failures=%u",
			 m->incarnation.node, f->request.id, m->failures);
	}
	fwd_cancel_attempt(f);
	fwd_discard_response(f);
	if (outcome == FWD_REJECTED) {
		handle_refusal(f);
	} else if (outcome == FWD_UNREACHABLE) {
		fwd_start_attempt(f);
	} else {
		fwd_count_attempt(f);
		f->may_have_run = true;
		if (may_retry(f, RETRY_UNKNOWN))
			fwd_start_attempt(f);
		else
			fwd_fail(f, STATUS_BAD_GATEWAY, RSTATS_LOST);
	}
}

/* Ends an attempt whose connection was not established in time. */
static void on_connect_timeout(void *arg, uint64_t now_us)
{
	struct fwd_request *f = arg;

	(void)now_us;
	f->connect_timer = 0;
	if (!f->exchange || httpcall_has_sent(f->exchange))
		return;
	httpcall_cancel(f->exchange);
	fwd_end_attempt(f, FWD_UNREACHABLE);
}

/* Records that the upstream of the attempt says that it leaves. */
static void record_leave(struct fwd_request *f, const struct httpmsg *m)
{
	struct plat_response r;

	f->owner->parts.platform->ops->read_response(m, f->request.id, &r);
	if (r.leaving && f->target->drain_end_us == 0)
		f->target->drain_end_us =
			upstr_drain_end_us(f->owner->parts.settings,
					   evloop_now_us(f->owner->parts.loop));
}

/* Records the queueing, run and transit times up to the response head. */
static void record_times(struct fwd_request *f, const struct reqrun_times *t,
			 uint64_t now)
{
	struct rstats *stats = f->owner->stats;
	uint64_t elapsed = clk_elapsed(now, f->sent_us);
	uint64_t upstream_us = t->queue_us + t->run_us;

	f->head_us = now;
	f->run_us = t->run_us;
	f->bytes = 0;
	rstats_add_duration(stats, f->stats, RSTATS_QUEUE, t->queue_us);
	rstats_add_duration(stats, f->stats, RSTATS_RUN, t->run_us);
	rstats_add_duration(stats, f->stats, RSTATS_TRANSIT,
			    clk_elapsed(elapsed, upstream_us));
	memb_record_transit(f->target, clk_elapsed(elapsed, upstream_us));
}

static void on_head(void *arg, const struct httpmsg *m)
{
	struct fwd_request *f = arg;
	struct reqrun_times t;

	reqrun_times(f->job, &t);
	record_times(f, &t, evloop_now_us(f->owner->parts.loop));
	record_leave(f, m);
	fwd_on_response_head(arg, m);
}

static void on_body(void *arg, const char *bytes, size_t len)
{
	fwd_on_response_body(arg, bytes, len);
}

static void on_done(void *arg)
{
	struct fwd_request *f = arg;

	f->job = NULL;
	fwd_on_response_end(f);
}

/* Handles a rejection by the local upstream; the request has not run. */
static void on_refused(void *arg, enum reqrun_rejection why, uint64_t wait_us)
{
	struct fwd_request *f = arg;

	f->job = NULL;
	if (why == REQRUN_ABANDONED) {
		fwd_abandon(f);
		return;
	}
	f->refusal = why;
	f->retry_after_us = wait_us;
	fwd_end_attempt(f, FWD_REJECTED);
}

/* Handles a lost or truncated response of the local upstream. */
static void on_failed(void *arg, enum reqrun_failure why)
{
	struct fwd_request *f = arg;

	(void)why;
	f->job = NULL;
	if (f->head_sent)
		fwd_fail(f, STATUS_BAD_GATEWAY, RSTATS_TRUNCATED);
	else
		fwd_end_attempt(f, FWD_FAILED);
}

/* True if the caller has closed the connection. */
static bool is_abandoned(void *arg)
{
	const struct fwd_request *f = arg;

	return httpconn_client_has_left(f->connection);
}

static const struct reqrun_ops job_ops = {
	is_abandoned, on_head, on_body, on_done, on_refused, on_failed
};

/* Runs the request at the local upstream. */
static void send_to_local(struct fwd_request *f, struct memb *m)
{
	struct reqrun_request r = {
		.message = f->message,
		.body = f->body,
		.request = f->request,
		.upstream_id = m->incarnation.id,
		.caller_service = fwd_caller_service(f),
		.kind = fwd_request_kind(f),
		.rank = f->policy.rank,
		.idempotent = f->policy.idempotent,
		.deadline_us = f->deadline_us,
		.objective_us = f->objective_us,
	};

	if (!f->keyed)
		r.request.key = PLAT_NO_KEY;
	r.others_left = f->others_left;
	reqrun_start(f->owner->parts.runner, &r, &job_ops, f, &f->job);
}

/* Reads the response head and the header fields of another daemon. */
static void on_peer_head(void *arg, const struct httpmsg *m)
{
	struct fwd_request *f = arg;
	uint64_t now = evloop_now_us(f->owner->parts.loop);
	struct reqrun_times times;
	uint32_t busy;

	memb_record_answer(f->target);
	if (peerhdr_read_load(m, &busy)) {
		f->target->waiting = busy;
		f->target->told_us = now;
	}
	peerhdr_read_speed(m, &f->target->run_us, &f->target->slowdown_pct);
	f->peer_refused =
		peerhdr_read_rejection(m, &f->refusal, &f->retry_after_us);
	if (f->peer_refused)
		httpcall_mark_refusal(f->exchange);
	f->peer_failed = httpmsg_find(m, PEERHDR_FAILED_FIELD).text != NULL;
	if (peerhdr_read_times(m, &times))
		record_times(f, &times, now);
	if (!f->peer_refused && !f->peer_failed) {
		record_leave(f, m);
		fwd_on_response_head(f, m);
	}
}

/* Passes bytes of the body on, unless the other daemon made the response. */
static void on_peer_body(void *arg, const char *bytes, size_t len)
{
	struct fwd_request *f = arg;

	if (!f->peer_refused && !f->peer_failed)
		fwd_on_response_body(f, bytes, len);
}

/* Ends an attempt after the whole response of another daemon. */
static void on_peer_done(void *arg)
{
	struct fwd_request *f = arg;

	f->exchange = NULL;
	if (f->peer_refused)
		fwd_end_attempt(f, FWD_REJECTED);
	else if (f->peer_failed)
		fwd_end_attempt(f, FWD_FAILED);
	else
		fwd_on_response_end(f);
}

/* Ends an attempt whose exchange with another daemon failed. */
static void on_peer_failed(void *arg, enum httpcall_failure failure)
{
	struct fwd_request *f = arg;

	f->exchange = NULL;
	if (f->head_sent)
		fwd_fail(f, STATUS_BAD_GATEWAY, RSTATS_TRUNCATED);
	else if (failure == HTTPCALL_REFUSED || failure == HTTPCALL_NOT_SENT)
		fwd_end_attempt(f, FWD_UNREACHABLE);
	else
		fwd_end_attempt(f, FWD_FAILED);
}

static const struct httpcall_ops peer_ops = { NULL, on_peer_head, on_peer_body,
					      on_peer_done, on_peer_failed };

/* Sends the request to the daemon of another upstream. */
static void send_to_peer(struct fwd_request *f, struct memb *m, uint64_t now_us)
{
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head, .reuse_us = UINT64_MAX };

	if (is_abandoned(f)) {
		fwd_abandon(f);
		return;
	}
	fwd_write_peer_head(f, m, now_us, &head);
	if (buf_len(f->body) > 0)
		r.body = buf_data(f->body);
	r.body_len = buf_len(f->body);
	r.await_continue = fwd_awaits_continue(f, m);
	r.is_abandoned = is_abandoned;
	r.body_stays = true;
	r.expect_no_body = strcmp(f->message->method, "HEAD") == 0;
	f->peer_refused = false;
	f->peer_failed = false;
	r.counters = traffic_counters(TRAFFIC_REQUEST,
				      f->owner->parts.settings->data_centre,
				      m->data_centre);
	f->exchange = httpcall_start(m->pool, &r, &peer_ops, f);
	buf_free(&head);
	if (!f->exchange) {
		log_emit(LOG_NO_DESCRIPTOR, "to=%s", m->peer_address);
		fwd_end_attempt(f, FWD_UNREACHABLE);
		return;
	}
	if (!httpcall_has_sent(f->exchange))
		f->connect_timer = tmr_at(evloop_timers(f->owner->parts.loop),
					  now_us + CONNECT_TIMEOUT_US,
					  on_connect_timeout, f);
}

/* Starts an attempt at a member: the local upstream or another daemon. */
void fwd_send(struct fwd_request *f, struct memb *m)
{
	uint64_t now = evloop_now_us(f->owner->parts.loop);

	f->target = m;
	f->others_left = fwd_has_others(f, now);
	f->sent_us = now;
	m->outstanding++;
	if (f->tried_count < FWD_TRIED_MAX)
		txt_copy(f->tried[f->tried_count++], sizeof(f->tried[0]),
			 m->incarnation.node);
	if (strcmp(m->incarnation.node, f->owner->parts.settings->instance) ==
	    0)
		send_to_local(f, m);
	else if (m->pool)
		send_to_peer(f, m, now);
	else
		fwd_end_attempt(f, FWD_UNREACHABLE);
}
