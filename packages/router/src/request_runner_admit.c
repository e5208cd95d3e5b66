#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "placing.h"
#include "request_runner_int.h"

#define PERCENT 100
/*
 * A request whose body has been asked for counts for at most this long: a round
 * trip between data centres and the transfer of the body. A sender that does
 * not send it keeps others waiting for no longer.
 */
#define ANNOUNCED_US (200 * US_PER_MS)

/* Returns the time that a run of a usual time takes now, in microseconds. */
static uint64_t run_now_us(const struct reqrun *x, double usual_us)
{
	return (uint64_t)(x->slowdown_pct > 0 ?
				  usual_us * x->slowdown_pct / PERCENT :
				  usual_us);
}

/* A decision on a request that has arrived. */
struct decision {
	bool admitted;
	bool awaits_key; /* admitted, but its key has not been granted yet */
	bool waits_for_bound; /* of a cold upstream */
	enum reqrun_rejection why; /* if not admitted */
	uint64_t wait_us; /* retry delay of the caller, or predicted wait */
};

/*
 * Puts the requests whose body is on the way into the queue, or takes them out.
 * Without them all heads that arrive within a round trip would be admitted for
 * the same free slot, and most of their bodies refused.
 */
static void queue_announced(struct reqrun *x, bool in, uint64_t now_us)
{
	for (size_t i = 0; i < REQRUN_ANNOUNCED_MAX; i++) {
		struct reqrun_announced *a = &x->announced[i];

		if (clk_elapsed(now_us, a->item.arrival_us) >= ANNOUNCED_US)
			a->expected = false;
		if (!a->expected)
			continue;
		if (in)
			rqueue_push(x->queue, &a->item);
		else
			rqueue_remove(x->queue, &a->item);
	}
}

/* Forgets the oldest announced request of the rank of one that has arrived. */
static void remove_announced(struct reqrun *x, uint32_t rank)
{
	for (size_t i = 0; i < REQRUN_ANNOUNCED_MAX; i++) {
		struct reqrun_announced *a =
			&x->announced[(x->next_announced + i) %
				      REQRUN_ANNOUNCED_MAX];

		if (a->expected && a->item.rank == rank) {
			a->expected = false;
			return;
		}
	}
}

/* Predicts the wait of a request and decides whether it can finish in time. */
static struct decision check_wait(const struct reqrun_job *j, uint64_t now_us)
{
	struct reqrun *x = j->owner;
	uint32_t ahead = rqueue_ahead(x->queue, &j->item, now_us);
	uint32_t running = reqrun_count_busy_slots(x, now_us);
	struct decision d = { .why = REQRUN_BUSY };
	uint64_t limit_wait, bound_wait;

	reqrun_refresh_recovery(x, now_us);
	d.wait_us = rqueue_wait_us(x->queue, &j->item, running,
				   reqrun_predicted_slots(x, now_us),
				   run_now_us(x, x->mean_us), now_us);
	limit_wait = ratelimit_wait_us(&x->limit, ahead, now_us);
	bound_wait = reqrun_bound_wait_us(x, ahead, now_us);
	if (limit_wait > d.wait_us)
		d.wait_us = limit_wait;
	if (bound_wait > d.wait_us) {
		d.waits_for_bound = true;
		d.wait_us = bound_wait;
	}
	d.admitted = rqueue_should_admit(&j->item, d.wait_us, now_us);
	if (x->slowdown_pct > 0 && j->request.others_left &&
	    placing_should_pass_back(d.wait_us, j->usual_us, x->slowdown_pct,
				     clk_elapsed(j->item.objective_us, now_us)))
		d.admitted = false;
	return d;
}

/* Decides on a job when it arrives. */
static struct decision decide(const struct reqrun_job *j)
{
	const struct reqrun *x = j->owner;
	enum upstr_key_state key = reqrun_key_state(j, j->arrival_us);

	if (!reqrun_may_send(j, j->arrival_us) ||
	    strcmp(j->request.upstream_id,
		   upstr_incarnation(x->upstream)->id) != 0)
		return (struct decision){ .why = REQRUN_NO_UPSTREAM,
					  .wait_us = REQRUN_RETRY_AFTER_US };
	if (key == UPSTR_KEY_NOT_OWNED)
		return (struct decision){ .why = REQRUN_NOT_OWNER };
	if (key == UPSTR_KEY_GRANT_PENDING)
		return (struct decision){ .admitted = true,
					  .awaits_key = true };
	return check_wait(j, j->arrival_us);
}

/* Counts a request as work on its key, whether it is admitted or not. */
static void sample_key(const struct reqrun_job *j, uint64_t now_us)
{
	if (j->request.request.key != PLAT_NO_KEY)
		keysample_add(j->owner->samples, j->request.request.key,
			      j->item.estimate_us, now_us);
}

/* Enqueues and dispatches a job, or rejects it, as check_wait() decided. */
static void enqueue(struct reqrun_job *j, const struct decision *d,
		    uint64_t now_us)
{
	sample_key(j, now_us);
	j->waits_for_bound = d->waits_for_bound;
	if (!d->admitted) {
		reqrun_reject_busy(j, d->wait_us, now_us);
		return;
	}
	j->state = REQRUN_QUEUED;
	rqueue_push(j->owner->queue, &j->item);
	reqrun_dispatch(j->owner);
}

/* Enqueues and dispatches a job, or rejects it if it cannot finish in time. */
void reqrun_enqueue(struct reqrun_job *j, uint64_t now_us)
{
	struct decision d = check_wait(j, now_us);

	enqueue(j, &d, now_us);
}

/*
 * Rejects a job that cannot run here, enqueues it or lets it wait for its key.
 */
static void admit(struct reqrun_job *j)
{
	struct decision d = decide(j);

	if (d.awaits_key) {
		j->state = REQRUN_AWAITING_KEY;
		DL_APPEND(j->owner->held, j);
	} else if (d.admitted || d.why == REQRUN_BUSY) {
		enqueue(j, &d, j->arrival_us);
	} else {
		reqrun_reject(j, d.why, d.wait_us);
	}
}

/*
 * Predicts the transfer time of the response from the mean length of its kind,
 * and returns that length if the response is long, else 0. A long response is
 * sent after all other long ones that are pending or expected; a short one does
 * not wait for them.
 */
static uint64_t predict_transfer(struct reqrun_job *j)
{
	struct reqrun *x = j->owner;
	int64_t bytes = (int64_t)x->kind_bytes[j->request.kind % REQRUN_KINDS];

	if (!x->link || !pacer_is_long(x->link, bytes))
		return 0;
	j->item.transfer_us = pacer_send_time_us(x->link, (uint64_t)bytes);
	return (uint64_t)bytes;
}

/* Sets up a job that has arrived and returns predict_transfer(). */
static uint64_t init_job(struct reqrun_job *j, struct reqrun *x,
			 const struct reqrun_request *r)
{
	double kind_run_us = x->kind_run_us[r->kind % REQRUN_KINDS];

	j->owner = x;
	j->request = *r;
	j->arrival_us = evloop_now_us(x->loop);
	j->item.arrival_us = j->arrival_us;
	j->item.objective_us = r->objective_us;
	if (x->end_us && j->request.deadline_us > x->end_us)
		j->request.deadline_us = x->end_us;
	j->item.deadline_us = j->request.deadline_us;
	j->item.rank = r->rank;
	j->usual_us = (uint64_t)(kind_run_us > 0 ? kind_run_us : x->mean_us);
	j->item.estimate_us = run_now_us(x, (double)j->usual_us);
	return predict_transfer(j);
}

/*
 * Starts a job and sets *job to it. The job may end before this function
 * returns; the functions of ops are then called with *job already set. Without
 * memory the request is rejected as REQRUN_BUSY and *job is NULL.
 */
void reqrun_start(struct reqrun *x, const struct reqrun_request *r,
		  const struct reqrun_ops *ops, void *arg,
		  struct reqrun_job **job)
{
	struct reqrun_job *j = calloc(1, sizeof(*j));

	*job = j;
	if (!j) {
		ops->on_refused(arg, REQRUN_BUSY, REQRUN_RETRY_AFTER_US);
		return;
	}
	j->ops = ops;
	j->arg = arg;
	j->expected_bytes = init_job(j, x, r);
	x->expected_bytes += j->expected_bytes;
	if (r->announced)
		remove_announced(x, r->rank);
	reqrun_start_checks(x);
	admit(j);
}

/* Makes the checks of reqrun_start() without starting or queueing anything. */
bool reqrun_would_admit(struct reqrun *x, const struct reqrun_request *r,
			enum reqrun_rejection *why, uint64_t *wait_us)
{
	struct reqrun_job j = { 0 };
	struct decision d;

	init_job(&j, x, r);
	queue_announced(x, true, j.arrival_us);
	d = decide(&j);
	queue_announced(x, false, j.arrival_us);
	*why = d.why;
	*wait_us = d.wait_us;
	if (d.admitted)
		x->announced[x->next_announced++ % REQRUN_ANNOUNCED_MAX] =
			(struct reqrun_announced){ j.item, true };
	if (!d.admitted && d.why == REQRUN_BUSY) {
		sample_key(&j, j.arrival_us);
		j.waits_for_bound = d.waits_for_bound;
		*wait_us = reqrun_return_wait_us(&j, d.wait_us, j.arrival_us);
		x->refused++;
	}
	return d.admitted;
}
