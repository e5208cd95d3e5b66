#include "forward.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "forward_int.h"
#include "log.h"
#include "txt.h"

#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504
#define STATUS_BAD_GATEWAY 502

/* Retry delay without a configuration, which arrives soon after the start. */
#define NO_CONFIG_RETRY_AFTER_MS 300
/* The daemon's own reply is sent this long before the deadline. */
#define REPLY_MARGIN_US (5 * US_PER_MS)
/* A started response is aborted this long after the deadline. */
#define RESPONSE_GRACE_US (20 * US_PER_MS)
/*
 * Retries that a daemon saves for each service. Those of all daemons add up, so
 * one has no more, and none at its start.
 */
#define RETRY_BURST 1
#define RETRY_INITIAL 0
/* Applies if neither the request nor its route sets a limit. */
#define DEFAULT_TIMEOUT_US (30 * US_PER_S)

/* Frees a request whose connection was answered or closed. */
void fwd_free(struct fwd_request *f)
{
	struct tmr *timers = evloop_timers(f->owner->parts.loop);

	fwd_cancel_attempt(f);
	tmr_cancel(timers, f->deadline_timer);
	tmr_cancel(timers, f->retry_timer);
	if (f->awaiting_plan)
		DL_DELETE(f->owner->waiting, f);
	DL_DELETE2(f->owner->all, f, all_prev, all_next);
	if (f->ended)
		*f->ended = true;
	buf_free(&f->fields);
	buf_free(&f->pending);
	free(f);
}

/* Logs and counts a request without a whole response of an upstream. */
static void log_outcome(const struct fwd_request *f, enum log_event event,
			enum rstats_outcome why)
{
	uint64_t now = evloop_now_us(f->owner->parts.loop);

	rstats_count_outcome(f->owner->stats, f->stats, why);
	log_emit(event,
		 "request=%s route=%s service=%s key=%d reason=\"%s\" "
		 "attempts=%u target=%s waited_us=%llu config=%llu epoch=%llu",
		 f->request.id, f->policy.name, f->service,
		 f->request.key == PLAT_NO_KEY ? -1 : (int)f->request.key,
		 rstats_outcome_text(why), f->attempts,
		 f->tried_count ? f->tried[f->tried_count - 1] : "-",
		 (unsigned long long)(now - f->arrival_us),
		 (unsigned long long)f->owner->parts.config->version,
		 (unsigned long long)planview_epoch(f->owner->parts.view));
}

/*
 * Replies that the request has not run and when it may be retried. If an
 * earlier attempt may have run it, replies with a failure instead.
 */
void fwd_reject(struct fwd_request *f, enum rstats_outcome why)
{
	struct httpconn *c = f->connection;
	const struct plat_ops *ops = f->owner->parts.platform->ops;
	struct buf fields = { 0 };

	if (f->may_have_run) {
		fwd_fail(f, STATUS_BAD_GATEWAY, why);
		return;
	}
	log_outcome(f, LOG_REQUEST_REFUSED, why);
	ctr_add(CTR_REQUESTS_REFUSED, 1);
	histogram_add(&f->owner->refusal_times,
		      evloop_now_us(f->owner->parts.loop) - f->arrival_us);
	ops->write_retry_after(&fields, f->retry_after_us / US_PER_MS);
	buf_add(&fields, "", 1);
	fwd_cancel_attempt(f);
	fwd_free(f);
	httpconn_reply(c, STATUS_UNAVAILABLE, buf_data(&fields), "", 0);
	buf_free(&fields);
}

/* Replies that the request may have run, or aborts its started response. */
void fwd_fail(struct fwd_request *f, uint16_t status, enum rstats_outcome why)
{
	struct httpconn *c = f->connection;
	bool head_sent = f->head_sent;

	log_outcome(f, LOG_REQUEST_FAILED, why);
	ctr_add(CTR_REQUESTS_FAILED, 1);
	fwd_free(f);
	if (head_sent)
		httpconn_abort(c);
	else
		httpconn_reply(c, status, "", "", 0);
}

/*
 * Returns the time at which a request without a whole response ends: a reply of
 * this daemon has to reach the caller before the deadline, while a started
 * response may still be completed shortly after it.
 */
uint64_t fwd_time_limit_us(const struct fwd_request *f)
{
	if (f->head_sent)
		return f->deadline_us + RESPONSE_GRACE_US;
	return f->deadline_us > REPLY_MARGIN_US ?
		       f->deadline_us - REPLY_MARGIN_US :
		       0;
}

/* Ends the request when its time limit has passed. */
static void on_deadline(void *arg, uint64_t now_us)
{
	struct fwd_request *f = arg;

	f->deadline_timer = 0;
	if (now_us < fwd_time_limit_us(f)) {
		f->deadline_timer =
			tmr_at(evloop_timers(f->owner->parts.loop),
			       fwd_time_limit_us(f), on_deadline, f);
		return;
	}
	if (f->exchange && httpcall_may_have_run(f->exchange))
		f->may_have_run = true;
	if (f->job && reqrun_was_sent(f->job))
		f->may_have_run = true;
	if (f->may_have_run)
		fwd_fail(f, STATUS_TIMEOUT, RSTATS_NO_RESPONSE);
	else
		fwd_reject(f, RSTATS_NOT_SENT);
}

/* Sets the deadline and the objective of a request. */
static void set_deadlines(struct fwd_request *f)
{
	uint64_t limit = (uint64_t)f->policy.timeout_ms * US_PER_MS;

	if (limit == 0)
		limit = DEFAULT_TIMEOUT_US;
	if (f->request.has_deadline && f->request.left_ms * US_PER_MS < limit)
		limit = f->request.left_ms * US_PER_MS;
	f->deadline_us = f->arrival_us + limit;
	if (f->owner->end_us && f->deadline_us > f->owner->end_us)
		f->deadline_us = f->owner->end_us;
	f->objective_us =
		f->arrival_us + (uint64_t)f->policy.objective_ms * US_PER_MS;
	if (f->policy.objective_ms == 0 || f->objective_us > f->deadline_us)
		f->objective_us = f->deadline_us;
	f->deadline_timer = tmr_at(evloop_timers(f->owner->parts.loop),
				   fwd_time_limit_us(f), on_deadline, f);
}

bool fwd_has_route(const struct fwd *w, const struct httpmsg *m)
{
	return rconfig_find_route(w->parts.config, httpmsg_find(m, "host"),
				  httpmsg_target(m)) != NULL;
}

/*
 * True if the request of a caller may run before earlier ones on its connection
 * have been answered: if one of these closes the connection, the caller sends
 * it again. The body of a request may be long and has to wait.
 */
bool fwd_may_overlap(const struct fwd *w, const struct httpmsg *m)
{
	const struct rconfig_route *route = rconfig_find_route(
		w->parts.config, httpmsg_find(m, "host"), httpmsg_target(m));

	return route && route->policy.idempotent && m->length == 0;
}

/* Replies to a request that has no route, or if there is no configuration. */
static void reply_without_route(struct fwd *w, struct httpconn *c,
				const struct httpmsg *m)
{
	struct buf fields = { 0 };
	struct span target = httpmsg_target(m);

	if (w->parts.config->version > 0) {
		log_emit(LOG_NO_ROUTE, "target=\"%.*s\" config=%llu",
			 (int)target.len, target.text,
			 (unsigned long long)w->parts.config->version);
		httpconn_reply(c, STATUS_NOT_FOUND, "", "", 0);
		return;
	}
	w->parts.platform->ops->write_retry_after(&fields,
						  NO_CONFIG_RETRY_AFTER_MS);
	buf_add(&fields, "", 1);
	log_emit(LOG_NO_CONFIG, "target=\"%.*s\"", (int)target.len,
		 target.text);
	httpconn_reply(c, STATUS_UNAVAILABLE, buf_data(&fields), "", 0);
	buf_free(&fields);
}

/*
 * Accepts a request. Returns the handle for fwd_caller_closed() and
 * fwd_caller_drained(), or NULL if the request has been answered.
 */
void *fwd_accept(struct fwd *w, struct httpconn *c, const struct httpmsg *m,
		 const struct buf *body)
{
	const struct rconfig *config = w->parts.config;
	const struct rconfig_route *route = rconfig_find_route(
		config, httpmsg_find(m, "host"), httpmsg_target(m));
	const struct rconfig_service *service = NULL;
	const char *name =
		route ? rconfig_choose_service(route, w->next_sequence++) :
			NULL;
	bool ended = false;
	struct fwd_request *f;

	if (name)
		service = rconfig_service(config, name);
	f = name ? calloc(1, sizeof(*f)) : NULL;
	if (!f) {
		reply_without_route(w, c, m);
		return NULL;
	}
	ctr_add(CTR_REQUESTS, 1);
	f->owner = w;
	f->connection = c;
	f->message = m;
	f->body = body;
	f->policy = route->policy;
	f->stats = rstats_find_route(w->stats, route->policy.name);
	f->retries = svcretry_find_service(w->retries, name);
	txt_copy(f->service, sizeof(f->service), name);
	w->parts.platform->ops->read_request(m, &f->request);
	f->keyed = service && service->keyed && f->request.key != PLAT_NO_KEY;
	f->arrival_us = httpconn_start_us(c);
	DL_APPEND2(w->all, f, all_prev, all_next);
	set_deadlines(f);
	f->ended = &ended;
	fwd_start_attempt(f);
	if (ended)
		return NULL;
	f->ended = NULL;
	return f;
}

/* Logs how far a request had come, with times relative to the line's time. */
static void log_caller_left(const struct fwd_request *f)
{
	struct evloop *l = f->owner->parts.loop;
	uint64_t now = evloop_now_us(l);

	log_emit(LOG_CALLER_LEFT,
		 "request=%s target=%s attempts=%u waited_us=%llu "
		 "sent_us=%llu polled_us=%llu left_us=%llu plan=%d sent=%d",
		 f->request.id,
		 f->tried_count ? f->tried[f->tried_count - 1] : "-",
		 f->attempts, (unsigned long long)(now - f->arrival_us),
		 (unsigned long long)(f->sent_us ? now - f->sent_us : 0),
		 (unsigned long long)clk_elapsed(now, evloop_polled_us(l)),
		 (unsigned long long)clk_elapsed(f->deadline_us, now),
		 f->awaiting_plan,
		 f->exchange ? httpcall_has_sent(f->exchange) : 0);
}

/* Cancels a request whose caller has closed the connection. */
void fwd_caller_closed(void *request)
{
	struct fwd_request *f = request;

	log_caller_left(f);
	ctr_add(CTR_CALLERS_GONE, 1);
	rstats_count_outcome(f->owner->stats, f->stats, RSTATS_CALLER_CLOSED);
	fwd_free(f);
}

/* Ends a request whose caller is found to have left before it is sent on. */
void fwd_abandon(struct fwd_request *f)
{
	struct httpconn *c = f->connection;

	fwd_caller_closed(f);
	httpconn_abort(c);
}

/* Resumes reading of the response when the caller's connection is drained. */
void fwd_caller_drained(void *request)
{
	struct fwd_request *f = request;

	if (!f->reading_paused)
		return;
	f->reading_paused = false;
	if (f->job)
		reqrun_pause(f->job, false);
	if (f->exchange)
		httpcall_pause(f->exchange, false);
}

/*
 * Caps the deadlines of all requests at end_us, when the process ends: one that
 * is open by then is answered, not cut off.
 */
void fwd_set_end(struct fwd *w, uint64_t end_us)
{
	struct tmr *timers = evloop_timers(w->parts.loop);
	struct fwd_request *f;

	w->end_us = end_us;
	DL_FOREACH2(w->all, f, all_next)
	{
		if (f->deadline_us <= end_us)
			continue;
		f->deadline_us = end_us;
		tmr_cancel(timers, f->deadline_timer);
		f->deadline_timer =
			tmr_at(timers, fwd_time_limit_us(f), on_deadline, f);
	}
}

/*
 * Retries each waiting request once after a change of owners or members. A
 * request may start to wait again.
 */
void fwd_plan_changed(struct fwd *w)
{
	struct fwd_request *f;
	uint32_t count;

	DL_COUNT(w->waiting, f, count);
	while (count-- > 0 && w->waiting) {
		f = w->waiting;
		DL_DELETE(w->waiting, f);
		f->awaiting_plan = false;
		fwd_start_attempt(f);
	}
}

/* Frees the forwarder; all requests must have ended. */
void fwd_destroy(struct fwd *w)
{
	if (!w)
		return;
	rstats_destroy(w->stats);
	svcretry_destroy(w->retries);
	free(w);
}

/* Creates a forwarder. Returns NULL when memory is exhausted. */
struct fwd *fwd_create(const struct fwd_parts *parts)
{
	struct fwd *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->parts = *parts;
	w->next_sequence = clk_random(evloop_clock(parts->loop));
	w->retries = svcretry_create(evloop_timers(parts->loop), RETRY_INITIAL,
				     RETRY_BURST, evloop_now_us(parts->loop));
	w->stats = rstats_create(parts->loop);
	if (!w->retries || !w->stats) {
		fwd_destroy(w);
		return NULL;
	}
	return w;
}

/* Returns the latencies of responses, in microseconds. */
const struct histogram *fwd_response_times(const struct fwd *w)
{
	return &w->response_times;
}

/* Returns the latencies of rejections, in microseconds. */
const struct histogram *fwd_rejection_times(const struct fwd *w)
{
	return &w->refusal_times;
}
