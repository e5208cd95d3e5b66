#include "request_queue.h"

#include <math.h>
#include <stdlib.h>
#include <utlist.h>

#include "clk.h"

/*
 * A request that misses its objective must finish within this part of the time
 * between its arrival and its deadline. Otherwise it is rejected on arrival.
 */
#define LATE_FINISH_PCT 75
#define PERCENT 100

/* A request whose estimate is this many times smaller is dequeued first. */
#define SHORT_FACTOR 2

/*
 * Minimum share of the run time for less urgent ranks while they have queued
 * requests. The share is one of run time and not of requests, as urgent
 * requests are often short calls made by other upstreams.
 */
#define FAIR_SHARE_PCT 15

/*
 * Time constant of the moving average of started work; spans about ten
 * requests.
 */
#define AVERAGING_US (1 * US_PER_S)
/* Number of distinct ranks; less urgent ranks are treated as the last one. */
#define RANK_COUNT 4
/* Lower bound of the slot fraction in a predicted wait, to keep it finite. */
#define SLOT_FRACTION_MIN 0.02
/*
 * A late request is not served in time with a smaller fraction of the slots: it
 * would wait for ten times its own run time.
 */
#define LATE_SLOT_FRACTION_MIN 0.10

/* Exponentially decaying sums of the estimates of started requests, in us. */
struct started {
	double on_time, late;
};

struct rqueue {
	struct rqueue_item *items;
	uint32_t count;
	uint64_t share_credit_us; /* unused share of the less urgent ranks */
	struct started started[RANK_COUNT];
	uint64_t decayed_at_us;
	uint32_t slots; /* from the last call of rqueue_wait_us() */
};

/* Creates an empty queue. Returns NULL when memory is exhausted. */
struct rqueue *rqueue_create(void)
{
	return calloc(1, sizeof(struct rqueue));
}

/* Frees the queue, but not its items, which the caller owns. */
void rqueue_destroy(struct rqueue *q)
{
	free(q);
}

/* True if a request that starts now would meet its objective. */
static bool is_on_time(const struct rqueue_item *i, uint64_t now_us)
{
	return now_us + i->estimate_us + i->transfer_us <= i->objective_us;
}

/* True if a is so much shorter than b that running it first hardly delays b. */
static bool is_much_shorter(const struct rqueue_item *a,
			    const struct rqueue_item *b)
{
	return a->estimate_us * SHORT_FACTOR <= b->estimate_us;
}

/*
 * True if a is dequeued before b. Within a rank, much shorter requests go
 * first: they are mostly calls made by other upstreams, where each occupies a
 * slot while it waits.
 */
static bool precedes(const struct rqueue_item *a, const struct rqueue_item *b,
		     uint64_t now_us)
{
	bool a_on_time = is_on_time(a, now_us);
	bool b_on_time = is_on_time(b, now_us);

	if (a->rank != b->rank)
		return a->rank < b->rank;
	if (is_much_shorter(a, b) || is_much_shorter(b, a))
		return is_much_shorter(a, b);
	if (a_on_time != b_on_time)
		return a_on_time;
	return a->objective_us < b->objective_us;
}

/* Returns the index of a request's rank in the sums of started work. */
static uint32_t rank_index(const struct rqueue_item *i)
{
	return i->rank < RANK_COUNT ? i->rank : RANK_COUNT - 1;
}

/* Decays the sums of started work to the current time. */
static void decay_started(struct rqueue *q, uint64_t now_us)
{
	double factor;

	if (now_us <= q->decayed_at_us)
		return;
	factor = exp(-(double)(now_us - q->decayed_at_us) /
		     (double)AVERAGING_US);
	q->decayed_at_us = now_us;
	for (size_t i = 0; i < RANK_COUNT; i++) {
		q->started[i].on_time *= factor;
		q->started[i].late *= factor;
	}
}

/*
 * Returns the fraction of the slots that remains for a request. Later arrivals
 * of more urgent ranks overtake it. If it is late, later arrivals of its own
 * rank that are on time overtake it too.
 */
static double slot_fraction(const struct rqueue *q,
			    const struct rqueue_item *item, bool on_time)
{
	double all = (double)AVERAGING_US * q->slots;
	double used = on_time ? 0 : q->started[rank_index(item)].on_time;
	double fraction;

	for (uint32_t i = 0; i < rank_index(item); i++)
		used += q->started[i].on_time + q->started[i].late;
	fraction = q->slots > 0 ? 1 - used / all : 0;
	return fraction > SLOT_FRACTION_MIN ? fraction : SLOT_FRACTION_MIN;
}

/* Returns the time to run a number of requests on a fraction of the slots. */
static uint64_t run_time_us(const struct rqueue *q, uint32_t requests,
			    uint64_t mean_us, double fraction)
{
	return (uint64_t)((double)requests * (double)mean_us /
			  (q->slots * fraction));
}

/*
 * Predicts the time in microseconds until a request that arrives now is
 * started, given the requests in flight, the slots of the upstream and the mean
 * run time. The requests ahead of it have to run first, and one slot has to
 * become free. A request on time is started after these, or earlier by the
 * minimum share of the less urgent ranks. A request that would miss its
 * objective gets only the slots that the others leave. Without slots, returns
 * the request's deadline.
 */
uint64_t rqueue_wait_us(struct rqueue *q, const struct rqueue_item *item,
			uint32_t running, uint32_t slots, uint64_t mean_us,
			uint64_t now_us)
{
	uint32_t ahead = running;
	uint32_t same_rank = 1;
	const struct rqueue_item *i;
	uint64_t wait, share;

	decay_started(q, now_us);
	q->slots = slots;
	if (slots == 0)
		return item->deadline_us;
	DL_FOREACH(q->items, i)
	{
		if (precedes(item, i, now_us))
			continue;
		ahead++;
		same_rank += i->rank == item->rank;
	}
	if (ahead < slots)
		return 0;
	wait = run_time_us(q, ahead + 1 - slots, mean_us,
			   slot_fraction(q, item, true));
	share = run_time_us(q, same_rank, mean_us,
			    (double)FAIR_SHARE_PCT / PERCENT);
	if (ahead + 1 - slots > same_rank && share < wait)
		wait = share;
	if (is_on_time(item, now_us + wait))
		return wait;
	return run_time_us(q, ahead + 1 - slots, mean_us,
			   slot_fraction(q, item, false));
}

/* Returns the number of queued requests that start before this one. */
uint32_t rqueue_ahead(const struct rqueue *q, const struct rqueue_item *item,
		      uint64_t now_us)
{
	const struct rqueue_item *i;
	uint32_t n = 0;

	DL_FOREACH(q->items, i)
	{
		n += !precedes(item, i, now_us);
	}
	return n;
}

/* Returns the latest time at which the response is still of use. */
static uint64_t latest_finish_us(const struct rqueue_item *i)
{
	uint64_t late = i->arrival_us + (i->deadline_us - i->arrival_us) *
						LATE_FINISH_PCT / PERCENT;

	return late > i->objective_us ? late : i->objective_us;
}

/*
 * Decides whether to admit a request that would start after wait_us. True if it
 * would finish on time, or late but well before its deadline.
 */
bool rqueue_should_admit(const struct rqueue_item *item, uint64_t wait_us,
			 uint64_t now_us)
{
	if (item->deadline_us <= now_us)
		return false;
	return now_us + wait_us + item->estimate_us + item->transfer_us <=
	       latest_finish_us(item);
}

/* Enqueues a request. The caller keeps the item valid until it is removed. */
void rqueue_push(struct rqueue *q, struct rqueue_item *item)
{
	DL_APPEND(q->items, item);
	q->count++;
}

/* Removes a queued request in any position. */
void rqueue_remove(struct rqueue *q, struct rqueue_item *item)
{
	DL_DELETE(q->items, item);
	q->count--;
}

/* Returns the next request among those with a rank of at least min_rank. */
static struct rqueue_item *find_first(const struct rqueue *q, uint32_t min_rank,
				      uint64_t now_us)
{
	struct rqueue_item *best = NULL;
	struct rqueue_item *i;

	DL_FOREACH(q->items, i)
	{
		if (i->rank < min_rank)
			continue;
		if (!best || precedes(i, best, now_us))
			best = i;
	}
	return best;
}

/*
 * Selects the next request, honouring the minimum share of the less urgent
 * ranks, and sets *other to the first one of these ranks. Returns NULL if the
 * queue is empty.
 */
static struct rqueue_item *select_next(const struct rqueue *q, uint64_t now_us,
				       struct rqueue_item **other)
{
	struct rqueue_item *first = find_first(q, 0, now_us);

	*other = first ? find_first(q, first->rank + 1, now_us) : NULL;
	if (*other && q->share_credit_us >= (*other)->estimate_us)
		return *other;
	return first;
}

/* Returns the request that rqueue_pop() would dequeue, NULL if there is none. */
struct rqueue_item *rqueue_peek(const struct rqueue *q, uint64_t now_us)
{
	struct rqueue_item *other;

	return select_next(q, now_us, &other);
}

/* Dequeues the next request. Returns NULL if the queue is empty. */
struct rqueue_item *rqueue_pop(struct rqueue *q, uint64_t now_us)
{
	struct rqueue_item *other;
	struct rqueue_item *first = select_next(q, now_us, &other);

	if (!first)
		return NULL;
	if (!other)
		q->share_credit_us = 0;
	if (first == other)
		q->share_credit_us -= other->estimate_us;
	else if (other)
		q->share_credit_us += first->estimate_us * FAIR_SHARE_PCT /
				      (PERCENT - FAIR_SHARE_PCT);
	rqueue_remove(q, first);
	decay_started(q, now_us);
	if (is_on_time(first, now_us))
		q->started[rank_index(first)].on_time +=
			(double)first->estimate_us;
	else
		q->started[rank_index(first)].late +=
			(double)first->estimate_us;
	return first;
}

/* True if a request would finish too late for its response to be of use. */
static bool is_unservable(const struct rqueue *q, const struct rqueue_item *i,
			  uint64_t now_us)
{
	if (now_us + i->estimate_us + i->transfer_us > latest_finish_us(i))
		return true;
	return !is_on_time(i, now_us) && q->slots > 0 &&
	       slot_fraction(q, i, false) < LATE_SLOT_FRACTION_MIN;
}

/*
 * Dequeues a request that would finish too late, for the caller to reject.
 * Returns NULL if there is none.
 */
struct rqueue_item *rqueue_pop_unservable(struct rqueue *q, uint64_t now_us)
{
	struct rqueue_item *i;

	decay_started(q, now_us);
	DL_FOREACH(q->items, i)
	{
		if (is_unservable(q, i, now_us)) {
			rqueue_remove(q, i);
			return i;
		}
	}
	return NULL;
}

/* Returns the number of queued requests. */
uint32_t rqueue_count(const struct rqueue *q)
{
	return q->count;
}

/*
 * Returns the head of the list of queued requests in order of arrival, linked
 * by `next`, for inspection only. NULL if the queue is empty.
 */
const struct rqueue_item *rqueue_first(const struct rqueue *q)
{
	return q->items;
}
