#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "fwd_int.h"
#include "log.h"
#include "txt.h"

/* Share of the time to the deadline that a request waits for the plan. */
#define PLAN_WAIT_PCT 45
#define PERCENT 100
/* Keys that move are served again within this time. */
#define MOVE_WAIT_US (600 * US_PER_MS)
/* An upstream that is missing is not back sooner than a plan takes. */
#define MISSING_WAIT_US (150 * US_PER_MS)
/* Pause before an owner that has not learned of its keys is asked again. */
#define ASK_AGAIN_US (25 * US_PER_MS)
/* Changes of the plan are told within this time; then it is read. */
#define DOUBT_AFTER_US (100 * US_PER_MS)
/* A daemon that takes no connection within this time is not waited for. */
#define CONNECT_US (250 * US_PER_MS)
/* When a caller may come back whose request found no upstream. */
#define NO_TARGET_RETURN_US (300 * US_PER_MS)
#define LEFT_MIN_US (1 * US_PER_MS)
#define STATUS_BAD_GATEWAY 502

/* Stops the attempt; the target is not used any more. */
void fwd_stop_attempt(struct fwd *f)
{
	tmr_cancel(evl_timers(f->owner->parts.loop), f->connect_timer);
	f->connect_timer = 0;
	if (f->job)
		exr_cancel(f->job);
	if (f->exchange)
		hxc_cancel(f->exchange);
	f->job = NULL;
	f->exchange = NULL;
	if (f->target)
		f->target->outstanding--;
	f->target = NULL;
}

/* Returns the member that owns the key, NULL if none is known. */
static struct mbr *find_owner(const struct fwd *f)
{
	uint64_t version;
	const struct krm *map =
		vew_map(f->owner->parts.view, f->service, &version);
	const struct krm_range *r;

	if (!map)
		return NULL;
	r = krm_find(map, f->request.key % KRM_KEYS);
	return mbs_find_life(vew_members(f->owner->parts.view),
			     krm_life(map, r->owner));
}

/* Returns where the request goes next, NULL if nowhere now. */
static struct mbr *find_target(const struct fwd *f, uint64_t now_us)
{
	const struct fwr *w = f->owner;
	const char *tried[FWD_TRIED_MAX];
	struct mbr *m;

	if (f->keyed) {
		m = find_owner(f);
		return m && now_us >= m->avoid_until_us ? m : NULL;
	}
	for (uint32_t i = 0; i < f->tried_count; i++)
		tried[i] = f->tried[i];
	m = mbs_choose(vew_members(w->parts.view), f->service,
		       w->parts.settings->instance,
		       w->parts.settings->data_centre, tried, f->tried_count,
		       now_us);
	return m && now_us >= m->avoid_until_us ? m : NULL;
}

/* Looks again after a pause. */
static void on_retry(void *arg, uint64_t now_us)
{
	struct fwd *f = arg;

	f->retry_timer = 0;
	if (f->waits) {
		DL_DELETE(f->owner->waiting, f);
		f->waits = false;
	}
	if (f->moving && now_us - f->began_us >= DOUBT_AFTER_US)
		vew_doubt(f->owner->parts.view);
	fwd_try(f);
}

/* Tells how long a request may wait for what it misses. */
static uint64_t plan_wait_us(const struct fwd *f)
{
	uint64_t limit =
		(f->deadline_us - f->began_us) * PLAN_WAIT_PCT / PERCENT;
	uint64_t most = f->moving ? MOVE_WAIT_US : MISSING_WAIT_US;

	return limit < most ? limit : most;
}

/* Waits for the plan to change, if that may be soon. */
static void wait_for_plan(struct fwd *f, uint64_t now_us)
{
	struct tmr *timers = evl_timers(f->owner->parts.loop);

	if (now_us >= f->began_us + plan_wait_us(f)) {
		if (f->return_us == 0)
			f->return_us = NO_TARGET_RETURN_US;
		fwd_refuse(f, f->keyed ? RTS_NO_OWNER : RTS_NO_UPSTREAM);
		return;
	}
	/* Those that refused before may take it then. */
	f->tried_count = 0;
	f->waits = true;
	DL_APPEND(f->owner->waiting, f);
	tmr_cancel(timers, f->retry_timer);
	f->retry_timer = tmr_at(timers, now_us + ASK_AGAIN_US, on_retry, f);
}

/* Sends the request on, or waits. */
void fwd_try(struct fwd *f)
{
	uint64_t now = evl_now_us(f->owner->parts.loop);
	struct mbr *m;

	tmr_cancel(evl_timers(f->owner->parts.loop), f->retry_timer);
	f->retry_timer = 0;
	m = find_target(f, now);
	if (m)
		fwd_send(f, m);
	else
		wait_for_plan(f, now);
}

/* True if the budget and the time allow another run. */
static bool may_run_again(struct fwd *f, enum ret_outcome outcome)
{
	struct ret_request r = {
		.idempotent = f->route.idempotent,
		.attempts = f->attempts,
		.response_started = f->begun,
		.body_replayable = true,
		.deadline_us = f->deadline_us,
	};

	if (f->route.attempts_max > 0 && f->attempts >= f->route.attempts_max)
		return false;
	return ret_allows(f->owner->retries, &r, outcome,
			  evl_now_us(f->owner->parts.loop));
}

/* A daemon has refused the request, which has not run there. */
static void after_refusal(struct fwd *f)
{
	uint64_t now = evl_now_us(f->owner->parts.loop);

	switch (f->refusal) {
	case EXR_BUSY:
		if (!f->keyed && f->tried_count < FWD_TRIED_MAX &&
		    find_target(f, now))
			fwd_try(f);
		else
			fwd_refuse(f, RTS_BUSY);
		return;
	case EXR_SHED:
		f->attempts++;
		if (may_run_again(f, RET_NOT_RUN))
			wait_for_plan(f, now);
		else
			fwd_refuse(f, RTS_SHED);
		return;
	case EXR_NOT_OWNER:
		f->moving = true;
		wait_for_plan(f, now);
		return;
	case EXR_NO_UPSTREAM:
	default:
		wait_for_plan(f, now);
		return;
	}
}

/* An attempt has ended without a usable response. */
void fwd_attempt_ended(struct fwd *f, enum fwd_outcome outcome)
{
	struct mbr *m = f->target;
	uint64_t now = evl_now_us(f->owner->parts.loop);

	f->job = NULL;
	f->exchange = NULL;
	if (m && outcome == FWD_UNREACHED) {
		mbr_failed(m, now);
		log_emit(LOG_PEER_UNREACHED, "node=%s request=%s failures=%u",
			 m->life.node, f->request.id, m->failures);
	}
	fwd_stop_attempt(f);
	fwd_drop_response(f);
	if (outcome == FWD_REFUSED) {
		after_refusal(f);
	} else if (outcome == FWD_UNREACHED) {
		fwd_try(f);
	} else {
		f->attempts++;
		f->may_have_run = true;
		if (may_run_again(f, RET_UNKNOWN))
			fwd_try(f);
		else
			fwd_fail(f, STATUS_BAD_GATEWAY, RTS_LOST);
	}
}

/* A daemon did not take the connection in time. */
static void on_connect_time(void *arg, uint64_t now_us)
{
	struct fwd *f = arg;

	(void)now_us;
	f->connect_timer = 0;
	if (!f->exchange || hxc_has_sent(f->exchange))
		return;
	hxc_cancel(f->exchange);
	fwd_attempt_ended(f, FWD_UNREACHED);
}

/* Notes where the time of the request went, up to the head of the response. */
static void note_times(struct fwd *f, const struct exr_times *t, uint64_t now)
{
	struct rts *stats = f->owner->stats;
	uint64_t passed = clk_passed(now, f->sent_us);
	uint64_t there = t->queue_us + t->run_us;

	f->head_us = now;
	rts_add_time(stats, f->stats, RTS_QUEUE, t->queue_us);
	rts_add_time(stats, f->stats, RTS_RUN, t->run_us);
	rts_add_time(stats, f->stats, RTS_TRANSIT, clk_passed(passed, there));
}

static void on_head(void *arg, const struct hmg *m)
{
	struct fwd *f = arg;
	struct exr_times t;

	exr_times(f->job, &t);
	note_times(f, &t, evl_now_us(f->owner->parts.loop));
	fwd_take_head(arg, m);
}

static void on_body(void *arg, const char *bytes, size_t len)
{
	fwd_take_body(arg, bytes, len);
}

static void on_done(void *arg)
{
	struct fwd *f = arg;

	f->job = NULL;
	fwd_take_end(f);
}

/* The upstream beside this daemon did not run the request. */
static void on_refused(void *arg, enum exr_refusal why, uint64_t wait_us)
{
	struct fwd *f = arg;

	f->job = NULL;
	f->refusal = why;
	f->return_us = wait_us;
	fwd_attempt_ended(f, FWD_REFUSED);
}

/* The response of the upstream beside this daemon was lost. */
static void on_failed(void *arg, enum exr_failure why)
{
	struct fwd *f = arg;

	(void)why;
	f->job = NULL;
	if (f->begun)
		fwd_fail(f, STATUS_BAD_GATEWAY, RTS_CUT);
	else
		fwd_attempt_ended(f, FWD_FAILED);
}

static const struct exr_ops job_ops = { on_head, on_body, on_done, on_refused,
					on_failed };

/* Requests of one route of a service are of one kind. */
static uint32_t kind_of(const struct fwd *f)
{
	return (uint32_t)XXH3_64bits(f->route.name, strlen(f->route.name));
}

/* Starts the request at the upstream beside this daemon. */
static void send_here(struct fwd *f, struct mbr *m)
{
	struct exr_request r = {
		.message = f->message,
		.body = f->body,
		.request = f->request,
		.upstream_id = m->life.id,
		.caller_service = f->owner->parts.settings->service,
		.kind = kind_of(f),
		.rank = f->route.rank,
		.idempotent = f->route.idempotent,
		.deadline_us = f->deadline_us,
		.objective_us = f->objective_us,
	};

	if (!f->keyed)
		r.request.key = PLAT_NO_KEY;
	exr_start(f->owner->parts.runner, &r, &job_ops, f, &f->job);
}

/* Reads what another daemon says of the request. */
static void on_peer_head(void *arg, const struct hmg *m)
{
	struct fwd *f = arg;
	uint64_t now = evl_now_us(f->owner->parts.loop);
	struct exr_times times;
	uint32_t busy;

	mbr_answered(f->target);
	if (fwl_read_load(m, &busy)) {
		f->target->waiting = busy;
		f->target->told_us = now;
	}
	f->peer_refused = fwl_read_refusal(m, &f->refusal, &f->return_us);
	f->peer_failed = hmg_find(m, FWL_FAILED_FIELD).text != NULL;
	if (fwl_read_times(m, &times))
		note_times(f, &times, now);
	if (!f->peer_refused && !f->peer_failed)
		fwd_take_head(f, m);
}

/* Takes bytes of the body, if it is the upstream's. */
static void on_peer_body(void *arg, const char *bytes, size_t len)
{
	struct fwd *f = arg;

	if (!f->peer_refused && !f->peer_failed)
		fwd_take_body(f, bytes, len);
}

/* The answer of another daemon is complete. */
static void on_peer_done(void *arg)
{
	struct fwd *f = arg;

	f->exchange = NULL;
	if (f->peer_refused)
		fwd_attempt_ended(f, FWD_REFUSED);
	else if (f->peer_failed)
		fwd_attempt_ended(f, FWD_FAILED);
	else
		fwd_take_end(f);
}

/* The exchange with another daemon has failed. */
static void on_peer_failed(void *arg, enum hxc_failure failure)
{
	struct fwd *f = arg;

	f->exchange = NULL;
	if (f->begun)
		fwd_fail(f, STATUS_BAD_GATEWAY, RTS_CUT);
	else if (failure == HXC_REFUSED || failure == HXC_NOT_SENT)
		fwd_attempt_ended(f, FWD_UNREACHED);
	else
		fwd_attempt_ended(f, FWD_FAILED);
}

static const struct hxc_ops peer_ops = { NULL, on_peer_head, on_peer_body,
					 on_peer_done, on_peer_failed };

/* Writes the head of the request for another daemon. */
static void write_peer_head(const struct fwd *f, const struct mbr *m,
			    uint64_t now_us, struct buf *out)
{
	struct span target = hmg_target(f->message);
	struct fwl_request line = {
		.left_us = LEFT_MIN_US,
		.rank = f->route.rank,
		.kind = kind_of(f),
		.idempotent = f->route.idempotent,
		.keyed = f->keyed,
		.hurries = f->owner->end_us > 0,
	};

	txt_copy(line.upstream_id, sizeof(line.upstream_id), m->life.id);
	txt_copy(line.caller_service, sizeof(line.caller_service),
		 f->owner->parts.settings->service);
	if (f->deadline_us > now_us)
		line.left_us = f->deadline_us - now_us;
	if (f->objective_us > now_us)
		line.objective_left_us = f->objective_us - now_us;
	buf_add_text(out, f->message->method);
	buf_add(out, " ", 1);
	buf_add(out, target.text, target.len);
	buf_add_text(out, " HTTP/1.1\r\n");
	hmg_copy_fields(f->message, out, NULL, NULL);
	fwl_write_request(out, &line);
	if (buf_len(f->body) > 0 || f->message->length != 0)
		buf_printf(out, "Content-Length: %zu\r\n", buf_len(f->body));
	buf_add_text(out, "\r\n");
}

/* Sends the request to the daemon beside its upstream. */
static void send_there(struct fwd *f, struct mbr *m, uint64_t now_us)
{
	struct buf head = { 0 };
	struct hxc_request r = { .head = &head, .reuse_us = UINT64_MAX };

	write_peer_head(f, m, now_us, &head);
	if (buf_len(f->body) > 0)
		r.body = buf_data(f->body);
	r.body_len = buf_len(f->body);
	r.expect_no_body = strcmp(f->message->method, "HEAD") == 0;
	f->peer_refused = false;
	f->peer_failed = false;
	f->exchange = hxc_start(m->pool, &r, &peer_ops, f);
	buf_free(&head);
	if (!f->exchange) {
		log_emit(LOG_NO_DESCRIPTOR, "to=%s", m->peer_address);
		fwd_attempt_ended(f, FWD_UNREACHED);
		return;
	}
	if (!hxc_has_sent(f->exchange))
		f->connect_timer =
			tmr_at(evl_timers(f->owner->parts.loop),
			       now_us + CONNECT_US, on_connect_time, f);
}

/* Sends the request to a member. */
void fwd_send(struct fwd *f, struct mbr *m)
{
	uint64_t now = evl_now_us(f->owner->parts.loop);

	f->target = m;
	f->sent_us = now;
	m->outstanding++;
	if (f->tried_count < FWD_TRIED_MAX)
		txt_copy(f->tried[f->tried_count++], sizeof(f->tried[0]),
			 m->life.node);
	if (strcmp(m->life.node, f->owner->parts.settings->instance) == 0)
		send_here(f, m);
	else if (m->pool)
		send_there(f, m, now);
	else
		fwd_attempt_ended(f, FWD_UNREACHED);
}
