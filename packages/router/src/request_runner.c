#include "request_runner.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "request_runner_int.h"
#include "log.h"

/* Interval between checks of the queued and held requests. */
#define CHECK_INTERVAL_US (20 * US_PER_MS)
/* Longest wait for an expected grant of a key. */
#define GRANT_WAIT_US (900 * US_PER_MS)
/* Mean run time before the first measurement, in microseconds. */
#define INITIAL_MEAN_US (60.0 * 1000)
/* Idle connections to the upstream are closed after this time. */
#define UPSTREAM_IDLE_US (9 * US_PER_S)
/*
 * A request that has run for this many times its estimate, and at least for
 * LOST_MIN_US, has most likely lost its response; it no longer counts as
 * occupying a slot.
 */
#define LOST_FACTOR 5
#define LOST_MIN_US (700 * US_PER_MS)
/*
 * The upstream is suspected to be unresponsive if it sends no response for the
 * estimate of the oldest request times UNRESPONSIVE_FACTOR, plus
 * UNRESPONSIVE_MIN_US.
 */
#define UNRESPONSIVE_FACTOR 3
#define UNRESPONSIVE_MIN_US (150 * US_PER_MS)
/*
 * Time in which the upstream notices a closed connection and stops the request.
 * A request that is sent earlier may find all slots occupied.
 */
#define CANCEL_NOTICE_US (20 * US_PER_MS)

/*
 * Removes a job from the expected bytes on the link, once its response has
 * started and the link counts it, or when there will be no response.
 */
void reqrun_clear_expected(struct reqrun_job *j)
{
	j->owner->expected_bytes -= j->expected_bytes;
	j->expected_bytes = 0;
}

/* Removes a job from the queue or the list that it is in. */
void reqrun_remove_job(struct reqrun_job *j)
{
	struct reqrun *x = j->owner;

	reqrun_clear_expected(j);
	if (j->state == REQRUN_QUEUED) {
		rqueue_remove(x->queue, &j->item);
	} else if (j->state == REQRUN_AWAITING_KEY) {
		DL_DELETE(x->held, j);
	} else {
		DL_DELETE(x->running, j);
		x->running_count--;
	}
}

/*
 * Rejects and frees a job that is in no list. wait_us is the delay in
 * microseconds after which the caller may retry.
 */
void reqrun_reject(struct reqrun_job *j, enum reqrun_rejection why,
		   uint64_t wait_us)
{
	const struct reqrun_ops *ops = j->ops;
	void *arg = j->arg;

	reqrun_clear_expected(j);
	j->owner->refused += why == REQRUN_BUSY;
	free(j);
	ops->on_refused(arg, why, wait_us);
}

/* Counts the occupied slots, including those of requests just cancelled. */
uint32_t reqrun_count_busy_slots(const struct reqrun *x, uint64_t now_us)
{
	uint32_t n = 0;
	const struct reqrun_job *j;

	DL_FOREACH(x->running, j)
	{
		uint64_t limit = j->item.estimate_us * LOST_FACTOR;

		if (limit < LOST_MIN_US)
			limit = LOST_MIN_US;
		if (clk_elapsed(now_us, j->started_us) < limit)
			n++;
	}
	for (size_t i = 0; i < REQRUN_CANCELLED_MAX; i++)
		n += x->cancelled_us[i] > 0 &&
		     clk_elapsed(now_us, x->cancelled_us[i]) < CANCEL_NOTICE_US;
	return n;
}

/* Returns whether the upstream holds the key of the request. */
enum upstr_key_state reqrun_key_state(const struct reqrun_job *j,
				      uint64_t now_us)
{
	if (j->request.request.key == PLAT_NO_KEY)
		return UPSTR_KEY_GRANTED;
	return upstr_key_state(j->owner->upstream, j->request.request.key,
			       now_us);
}

/*
 * Removes the queued requests that may no longer be sent to the upstream, and
 * rejects those that do not wait for a grant.
 */
static void recheck_queue(struct reqrun *x, uint64_t now_us)
{
	const struct rqueue_item *i = rqueue_first(x->queue);

	while (i) {
		struct reqrun_job *j = (struct reqrun_job *)i;
		bool open = reqrun_may_send(j, now_us);

		i = i->next;
		if (open && reqrun_key_state(j, now_us) == UPSTR_KEY_GRANTED)
			continue;
		rqueue_remove(x->queue, &j->item);
		if (open &&
		    reqrun_key_state(j, now_us) == UPSTR_KEY_GRANT_PENDING) {
			j->state = REQRUN_AWAITING_KEY;
			DL_APPEND(x->held, j);
			continue;
		}
		reqrun_reject(j, open ? REQRUN_NOT_OWNER : REQRUN_NO_UPSTREAM,
			      0);
	}
}

/*
 * The close of the caller may have come without having been handled yet, as a
 * daemon short of processor time has many events in hand.
 */
static bool is_abandoned(const struct reqrun_job *j)
{
	return j->ops->is_abandoned && j->ops->is_abandoned(j->arg);
}

/* Sends queued requests to the upstream while it has free slots. */
void reqrun_dispatch(struct reqrun *x)
{
	uint64_t now = evloop_now_us(x->loop);
	uint32_t slots;
	struct reqrun_job *j;

	if (x->closed || rqueue_count(x->queue) == 0)
		return;
	/* A draining upstream closes at a set time, without an event. */
	if (!reqrun_is_open(x, now)) {
		recheck_queue(x, now);
		return;
	}
	reqrun_refresh_recovery(x, now);
	slots = reqrun_usable_slots(x, now);
	/* A request that fails at once dispatches others: count every time. */
	while (rqueue_count(x->queue) > 0 &&
	       reqrun_count_busy_slots(x, evloop_now_us(x->loop)) < slots) {
		j = (struct reqrun_job *)rqueue_peek(x->queue, now);
		if (is_abandoned(j)) {
			rqueue_remove(x->queue, &j->item);
			log_emit(LOG_REQUEST_ABANDONED,
				 "request=%s queue_us=%llu",
				 j->request.request.id,
				 (unsigned long long)(now - j->arrival_us));
			reqrun_reject(j, REQRUN_ABANDONED, 0);
			continue;
		}
		if (reqrun_bound_wait_us(x, 0, now) > 0 ||
		    !ratelimit_take(&x->limit, now))
			return;
		rqueue_pop(x->queue, now);
		reqrun_send(j);
	}
}

/* Enqueues held jobs whose key was granted, rejects those out of time. */
static void recheck_held(struct reqrun *x, uint64_t now_us)
{
	struct reqrun_job *j, *next;

	DL_FOREACH_SAFE(x->held, j, next)
	{
		enum upstr_key_state state = reqrun_key_state(j, now_us);
		bool open = reqrun_is_open(x, now_us);

		if (state == UPSTR_KEY_GRANT_PENDING && open &&
		    now_us < j->arrival_us + GRANT_WAIT_US &&
		    now_us + j->item.estimate_us < j->item.deadline_us)
			continue;
		DL_DELETE(x->held, j);
		if (!open)
			reqrun_reject(j, REQRUN_NO_UPSTREAM,
				      REQRUN_RETRY_AFTER_US);
		else if (state == UPSTR_KEY_GRANTED)
			reqrun_enqueue(j, now_us);
		else
			reqrun_reject(j, REQRUN_NOT_OWNER, 0);
	}
}

/*
 * Starts a check of the upstream if a request runs for much longer than its
 * estimate and no other response has arrived since it was sent.
 */
static void check_responsiveness(struct reqrun *x, uint64_t now_us)
{
	const struct reqrun_job *j = x->running; /* the oldest one */

	if (j && x->last_response_us < j->started_us &&
	    clk_elapsed(now_us, j->started_us) >
		    j->item.estimate_us * UNRESPONSIVE_FACTOR +
			    UNRESPONSIVE_MIN_US)
		upstr_check_health(x->upstream);
}

/* Checks the queued, held and running requests. */
static void on_tick(void *arg, uint64_t now_us)
{
	struct reqrun *x = arg;
	struct rqueue_item *item;

	x->timer = 0;
	while ((item = rqueue_pop_unservable(x->queue, now_us)))
		reqrun_reject_busy((struct reqrun_job *)item,
				   REQRUN_RETRY_AFTER_US, now_us);
	recheck_held(x, now_us);
	reqrun_dispatch(x);
	check_responsiveness(x, now_us);
	if ((x->held || x->running || rqueue_count(x->queue) > 0) && !x->timer)
		x->timer = tmr_at(evloop_timers(x->loop),
				  now_us + CHECK_INTERVAL_US, on_tick, x);
}

/* Begins the periodic checks, unless they are running. */
void reqrun_start_checks(struct reqrun *x)
{
	if (!x->timer)
		x->timer = tmr_at(evloop_timers(x->loop),
				  evloop_now_us(x->loop) + CHECK_INTERVAL_US,
				  on_tick, x);
}

/*
 * Creates a runner for one upstream address. link is the link that carries the
 * responses, NULL if its rate is not known. Returns NULL if the address is
 * invalid or memory is exhausted.
 */
struct reqrun *reqrun_create(struct evloop *l, const struct plat *platform,
			     struct upstr *upstream, const struct pacer *link,
			     const char *address)
{
	struct reqrun *x = calloc(1, sizeof(*x));
	struct sockaddr_in a;

	if (!x)
		return NULL;
	x->loop = l;
	x->platform = platform;
	x->upstream = upstream;
	x->link = link;
	x->mean_us = INITIAL_MEAN_US;
	x->long_mean_us = INITIAL_MEAN_US;
	x->queue = rqueue_create();
	x->samples = keysample_create();
	x->pool = tcpsock_parse_address(address, &a) ?
			  httppool_create(l, &a, UPSTREAM_IDLE_US) :
			  NULL;
	x->recovery.sent = coldrate_create(evloop_now_us(l));
	if (!x->queue || !x->samples || !x->pool || !x->recovery.sent) {
		reqrun_destroy(x);
		return NULL;
	}
	return x;
}

/* Frees the runner; all jobs must have ended or been cancelled. */
void reqrun_destroy(struct reqrun *x)
{
	if (!x)
		return;
	tmr_cancel(evloop_timers(x->loop), x->timer);
	httppool_destroy(x->pool);
	rqueue_destroy(x->queue);
	keysample_destroy(x->samples);
	coldrate_destroy(x->recovery.sent);
	free(x);
}

/* Caps the deadline of a job that has not been sent. */
static void cap_deadline(struct reqrun_job *j, uint64_t end_us)
{
	if (j->item.deadline_us <= end_us)
		return;
	j->request.deadline_us = end_us;
	j->item.deadline_us = end_us;
	if (j->item.objective_us > end_us)
		j->item.objective_us = end_us;
}

/*
 * Caps the deadlines at end_us, when the process ends, so that requests that
 * could not end by then are rejected and not cut off.
 */
void reqrun_set_end(struct reqrun *x, uint64_t end_us)
{
	const struct rqueue_item *i;
	struct reqrun_job *j;

	x->end_us = end_us;
	for (i = rqueue_first(x->queue); i; i = i->next)
		cap_deadline((struct reqrun_job *)i, end_us);
	DL_FOREACH(x->held, j)
	{
		cap_deadline(j, end_us);
	}
}

/*
 * Stops sending requests to the upstream, as the process ends: cancelling a job
 * must not start a queued one.
 */
void reqrun_close(struct reqrun *x)
{
	x->closed = true;
}

/* Cancels a job and frees it, without a call of its ops. */
void reqrun_cancel(struct reqrun_job *j)
{
	struct reqrun *x = j->owner;
	bool was_running = j->state == REQRUN_RUNNING;

	reqrun_remove_job(j);
	if (was_running)
		pace_forget(&x->recovery.pace, j->started_us);
	if (j->exchange && httpcall_has_sent(j->exchange))
		x->cancelled_us[x->next_cancelled++ % REQRUN_CANCELLED_MAX] =
			evloop_now_us(x->loop);
	if (j->exchange)
		httpcall_cancel(j->exchange);
	free(j);
	if (was_running)
		reqrun_dispatch(x);
}

/*
 * Re-evaluates the queued and held requests after a change of the upstream's
 * keys, incarnation or state.
 */
void reqrun_keys_changed(struct reqrun *x)
{
	uint64_t now = evloop_now_us(x->loop);

	recheck_queue(x, now);
	recheck_held(x, now);
}

/*
 * Reports the measured load by key in up to max entries and returns their
 * number; see keysample_ranges().
 */
size_t reqrun_key_loads(struct reqrun *x, struct keyplan_load *out, size_t max)
{
	return keysample_ranges(x->samples, out, max, evloop_now_us(x->loop));
}
