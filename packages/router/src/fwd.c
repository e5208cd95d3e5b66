#include "fwd.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "fwd_int.h"
#include "log.h"
#include "txt.h"

#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504
#define STATUS_BAD_GATEWAY 502

/* A daemon without a configuration has one soon. */
#define NO_CONFIG_RETURN_MS 300
/* The final answer leaves this much before the time it is due. */
#define ANSWER_MARGIN_US (5 * US_PER_MS)
/* A response under way is cut off this much after its time is over. */
#define BEGUN_SLACK_US (20 * US_PER_MS)
/* Wait of a caller without a deadline on a route without a timeout. */
#define DEFAULT_TIMEOUT_US (30 * US_PER_S)

/* Frees a request; its connection has been answered or is gone. */
void fwd_finish(struct fwd *f)
{
	struct tmr *timers = evl_timers(f->owner->parts.loop);

	fwd_stop_attempt(f);
	tmr_cancel(timers, f->deadline_timer);
	tmr_cancel(timers, f->retry_timer);
	if (f->waits)
		DL_DELETE(f->owner->waiting, f);
	if (f->over)
		*f->over = true;
	buf_free(&f->fields);
	buf_free(&f->pending);
	free(f);
}

/* Logs the end of a request that was not answered by an upstream. */
static void log_end(const struct fwd *f, enum log_event event,
		    enum rts_outcome why)
{
	uint64_t now = evl_now_us(f->owner->parts.loop);

	rts_end(f->owner->stats, f->stats, why);
	log_emit(event,
		 "request=%s route=%s service=%s key=%d reason=\"%s\" "
		 "attempts=%u target=%s waited_us=%llu config=%llu epoch=%llu",
		 f->request.id, f->route.name, f->service,
		 f->request.key == PLAT_NO_KEY ? -1 : (int)f->request.key,
		 rts_text(why), f->attempts,
		 f->tried_count ? f->tried[f->tried_count - 1] : "-",
		 (unsigned long long)(now - f->began_us),
		 (unsigned long long)f->owner->parts.config->version,
		 (unsigned long long)vew_epoch(f->owner->parts.view));
}

/* Answers that the request has not run and when to come back. */
void fwd_refuse(struct fwd *f, enum rts_outcome why)
{
	struct hsc *c = f->connection;
	const struct plat_ops *ops = f->owner->parts.platform->ops;
	struct buf fields = { 0 };

	if (f->may_have_run) {
		fwd_fail(f, STATUS_BAD_GATEWAY, why);
		return;
	}
	log_end(f, LOG_REQUEST_REFUSED, why);
	ctr_add(CTR_REQUESTS_REFUSED, 1);
	hst_add(&f->owner->refusal_times,
		evl_now_us(f->owner->parts.loop) - f->began_us);
	ops->write_retry_after(&fields, f->return_us / US_PER_MS);
	buf_add(&fields, "", 1);
	fwd_stop_attempt(f);
	fwd_finish(f);
	hsc_reply(c, STATUS_UNAVAILABLE, buf_data(&fields), "", 0);
	buf_free(&fields);
}

/* Answers that the request may have run, or breaks its response off. */
void fwd_fail(struct fwd *f, uint16_t status, enum rts_outcome why)
{
	struct hsc *c = f->connection;
	bool begun = f->begun;

	log_end(f, LOG_REQUEST_FAILED, why);
	ctr_add(CTR_REQUESTS_FAILED, 1);
	fwd_finish(f);
	if (begun)
		hsc_abort(c);
	else
		hsc_reply(c, status, "", "", 0);
}

/*
 * An answer of this daemon has to reach the caller in time; a response that is
 * under way may still end until then.
 */
uint64_t fwd_limit_us(const struct fwd *f)
{
	if (f->begun)
		return f->deadline_us + BEGUN_SLACK_US;
	return f->deadline_us > ANSWER_MARGIN_US ?
		       f->deadline_us - ANSWER_MARGIN_US :
		       0;
}

/* The caller's time or that of the route is over. */
static void on_deadline(void *arg, uint64_t now_us)
{
	struct fwd *f = arg;

	f->deadline_timer = 0;
	if (now_us < fwd_limit_us(f)) {
		f->deadline_timer = tmr_at(evl_timers(f->owner->parts.loop),
					   fwd_limit_us(f), on_deadline, f);
		return;
	}
	if (f->exchange && hxc_has_sent(f->exchange))
		f->may_have_run = true;
	if (f->job && exr_was_sent(f->job))
		f->may_have_run = true;
	if (f->may_have_run)
		fwd_fail(f, STATUS_TIMEOUT, RTS_NO_RESPONSE);
	else
		fwd_refuse(f, RTS_NOT_SENT);
}

/* Sets the times by which the request has to be answered. */
static void set_times(struct fwd *f)
{
	uint64_t limit = (uint64_t)f->route.timeout_ms * US_PER_MS;

	if (limit == 0)
		limit = DEFAULT_TIMEOUT_US;
	if (f->request.has_deadline && f->request.left_ms * US_PER_MS < limit)
		limit = f->request.left_ms * US_PER_MS;
	f->deadline_us = f->began_us + limit;
	if (f->owner->end_us && f->deadline_us > f->owner->end_us)
		f->deadline_us = f->owner->end_us;
	f->objective_us =
		f->began_us + (uint64_t)f->route.objective_ms * US_PER_MS;
	if (f->route.objective_ms == 0 || f->objective_us > f->deadline_us)
		f->objective_us = f->deadline_us;
	f->deadline_timer = tmr_at(evl_timers(f->owner->parts.loop),
				   fwd_limit_us(f), on_deadline, f);
}

/* Answers what no route or no configuration allows. */
static void reject(struct fwr *w, struct hsc *c, const struct hmg *m)
{
	struct buf fields = { 0 };
	struct span target = hmg_target(m);

	if (w->parts.config->version > 0) {
		log_emit(LOG_NO_ROUTE, "target=\"%.*s\" config=%llu",
			 (int)target.len, target.text,
			 (unsigned long long)w->parts.config->version);
		hsc_reply(c, STATUS_NOT_FOUND, "", "", 0);
		return;
	}
	w->parts.platform->ops->write_retry_after(&fields, NO_CONFIG_RETURN_MS);
	buf_add(&fields, "", 1);
	log_emit(LOG_NO_CONFIG, "target=\"%.*s\"", (int)target.len,
		 target.text);
	hsc_reply(c, STATUS_UNAVAILABLE, buf_data(&fields), "", 0);
	buf_free(&fields);
}

/* Takes a request. */
void *fwr_request(struct fwr *w, struct hsc *c, const struct hmg *m,
		  const struct buf *body)
{
	const struct rcf *config = w->parts.config;
	const struct rcf_route *route =
		rcf_find(config, hmg_find(m, "host"), hmg_target(m));
	const struct rcf_service *service = NULL;
	const char *name = route ? rcf_choose(route, w->points++) : NULL;
	bool over = false;
	struct fwd *f;

	if (name)
		service = rcf_service(config, name);
	f = name ? calloc(1, sizeof(*f)) : NULL;
	if (!f) {
		reject(w, c, m);
		return NULL;
	}
	ret_request_seen(w->retries);
	ctr_add(CTR_REQUESTS, 1);
	f->owner = w;
	f->connection = c;
	f->message = m;
	f->body = body;
	f->route = *route;
	f->stats = rts_route(w->stats, route->name);
	txt_copy(f->service, sizeof(f->service), name);
	w->parts.platform->ops->read_request(m, &f->request);
	f->keyed = service && service->keyed && f->request.key != PLAT_NO_KEY;
	f->began_us = hsc_began_us(c);
	set_times(f);
	f->over = &over;
	fwd_try(f);
	if (over)
		return NULL;
	f->over = NULL;
	return f;
}

/* The caller has left: nobody works on the request any more. */
void fwr_gone(void *request)
{
	struct fwd *f = request;

	ctr_add(CTR_CALLERS_GONE, 1);
	rts_end(f->owner->stats, f->stats, RTS_CALLER_GONE);
	fwd_finish(f);
}

/* The connection has room again. */
void fwr_drained(void *request)
{
	struct fwd *f = request;

	if (!f->held)
		return;
	f->held = false;
	if (f->job)
		exr_hold(f->job, false);
	if (f->exchange)
		hxc_hold(f->exchange, false);
}

/* Limits the time of requests that come from now on. */
void fwr_stop_at(struct fwr *w, uint64_t end_us)
{
	w->end_us = end_us;
}

/* Each request that waits looks at the plan once; it may wait again. */
void fwr_plan_changed(struct fwr *w)
{
	struct fwd *f;
	uint32_t count;

	DL_COUNT(w->waiting, f, count);
	while (count-- > 0 && w->waiting) {
		f = w->waiting;
		DL_DELETE(w->waiting, f);
		f->waits = false;
		fwd_try(f);
	}
}

/* Frees the part; its requests must be over. */
void fwr_destroy(struct fwr *w)
{
	if (!w)
		return;
	rts_destroy(w->stats);
	ret_destroy(w->retries);
	free(w);
}

/* Makes the part. */
struct fwr *fwr_create(const struct fwr_parts *parts)
{
	struct fwr *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->parts = *parts;
	w->points = clk_random(evl_clock(parts->loop));
	w->retries = ret_create();
	w->stats = rts_create(parts->loop);
	if (!w->retries || !w->stats) {
		fwr_destroy(w);
		return NULL;
	}
	return w;
}

/* Returns the times of responses. */
const struct hst *fwr_response_times(const struct fwr *w)
{
	return &w->response_times;
}

/* Returns the times of refusals. */
const struct hst *fwr_refusal_times(const struct fwr *w)
{
	return &w->refusal_times;
}
