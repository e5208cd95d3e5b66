#include "exq.h"

#include <math.h>
#include <stdlib.h>
#include <utlist.h>

#include "clk.h"

/*
 * Of the time to its deadline, a request that will miss its objective may
 * spend this much until its end; later ones are refused on arrival.
 */
#define LATE_SHARE_PCT 75
#define PERCENT 100

/* A request goes first that takes this many times less work. */
#define SHORT_FACTOR 2

/*
 * Part of the work that less urgent kinds get while they wait. It is counted in
 * work, as urgent requests are often the short calls of other upstreams.
 */
#define FAIR_SHARE_PCT 15

/* Time over which the work that was begun is averaged: some ten requests. */
#define MEMORY_US (1 * US_PER_S)
/* Ranks that are told apart; less urgent ones count as the last. */
#define RANKS 4
/* Least part of the slots that a wait is predicted with, so that it is finite. */
#define PART_MIN 0.02
/*
 * Below this part of the slots, what is late has no turn in time: it would wait
 * for ten times the work on a request.
 */
#define PART_FOR_LATE 0.10

/* Work that was begun, in microseconds, fading with MEMORY_US. */
struct begun {
	double on_time, late;
};

struct exq {
	struct exq_item *items;
	uint32_t count;
	uint64_t owed_us; /* work that less urgent kinds have not got */
	struct begun begun[RANKS];
	uint64_t faded_us;
	uint32_t slots; /* as last told */
};

/* Makes an empty queue. */
struct exq *exq_create(void)
{
	return calloc(1, sizeof(struct exq));
}

/* Frees the queue; its items belong to others. */
void exq_destroy(struct exq *q)
{
	free(q);
}

/* True if a request would end within its objective if it began now. */
static bool is_on_time(const struct exq_item *i, uint64_t now_us)
{
	return now_us + i->estimate_us + i->transfer_us <= i->objective_us;
}

/* True if a takes so much less work than b that it hardly delays it. */
static bool is_much_shorter(const struct exq_item *a, const struct exq_item *b)
{
	return a->estimate_us * SHORT_FACTOR <= b->estimate_us;
}

/*
 * True if a goes before b. Short requests are mostly calls of other upstreams,
 * which hold a slot there as long as they wait.
 */
static bool goes_before(const struct exq_item *a, const struct exq_item *b,
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

/* Returns the place of a rank. */
static uint32_t rank_of(const struct exq_item *i)
{
	return i->rank < RANKS ? i->rank : RANKS - 1;
}

/* Lets the work of the past fade. */
static void fade(struct exq *q, uint64_t now_us)
{
	double left;

	if (now_us <= q->faded_us)
		return;
	left = exp(-(double)(now_us - q->faded_us) / (double)MEMORY_US);
	q->faded_us = now_us;
	for (size_t i = 0; i < RANKS; i++) {
		q->begun[i].on_time *= left;
		q->begun[i].late *= left;
	}
}

/*
 * Part of the slots that is left for a request: requests of more urgent ranks
 * that come after it go first, and so do those of its own that are on time, if
 * it is not.
 */
static double part_for(const struct exq *q, const struct exq_item *item,
		       bool on_time)
{
	double all = (double)MEMORY_US * q->slots;
	double used = on_time ? 0 : q->begun[rank_of(item)].on_time;
	double part;

	for (uint32_t i = 0; i < rank_of(item); i++)
		used += q->begun[i].on_time + q->begun[i].late;
	part = q->slots > 0 ? 1 - used / all : 0;
	return part > PART_MIN ? part : PART_MIN;
}

/* Time in which a part of the slots does a number of requests. */
static uint64_t time_for(const struct exq *q, uint32_t requests,
			 uint64_t mean_us, double part)
{
	return (uint64_t)((double)requests * (double)mean_us /
			  (q->slots * part));
}

/*
 * Counts what goes first, and one slot that has to become free. A request that
 * is on time has its turn when all of that is done, or by the share of the less
 * urgent; one that would miss its objective waits for what the others leave.
 */
uint64_t exq_wait_us(struct exq *q, const struct exq_item *item,
		     uint32_t running, uint32_t slots, uint64_t mean_us,
		     uint64_t now_us)
{
	uint32_t busy = running;
	uint32_t alike = 1;
	const struct exq_item *i;
	uint64_t wait, share;

	fade(q, now_us);
	q->slots = slots;
	if (slots == 0)
		return item->deadline_us;
	DL_FOREACH(q->items, i)
	{
		if (goes_before(item, i, now_us))
			continue;
		busy++;
		alike += i->rank == item->rank;
	}
	if (busy < slots)
		return 0;
	wait = time_for(q, busy + 1 - slots, mean_us, part_for(q, item, true));
	share = time_for(q, alike, mean_us, (double)FAIR_SHARE_PCT / PERCENT);
	if (busy + 1 - slots > alike && share < wait)
		wait = share;
	if (is_on_time(item, now_us + wait))
		return wait;
	return time_for(q, busy + 1 - slots, mean_us, part_for(q, item, false));
}

/* Returns when a request must end to be worth its place. */
static uint64_t latest_end_us(const struct exq_item *i)
{
	uint64_t late = i->came_us + (i->deadline_us - i->came_us) *
					     LATE_SHARE_PCT / PERCENT;

	return late > i->objective_us ? late : i->objective_us;
}

/* True if it ends on time, or late but well before its deadline. */
bool exq_is_worth(const struct exq_item *item, uint64_t wait_us,
		  uint64_t now_us)
{
	if (item->deadline_us <= now_us)
		return false;
	return now_us + wait_us + item->estimate_us + item->transfer_us <=
	       latest_end_us(item);
}

/* Adds a request. */
void exq_add(struct exq *q, struct exq_item *item)
{
	DL_APPEND(q->items, item);
	q->count++;
}

/* Takes a request out. */
void exq_remove(struct exq *q, struct exq_item *item)
{
	DL_DELETE(q->items, item);
	q->count--;
}

/* Returns the first in order, of those with a rank of at least min_rank. */
static struct exq_item *find_first(const struct exq *q, uint32_t min_rank,
				   uint64_t now_us)
{
	struct exq_item *best = NULL;
	struct exq_item *i;

	DL_FOREACH(q->items, i)
	{
		if (i->rank < min_rank)
			continue;
		if (!best || goes_before(i, best, now_us))
			best = i;
	}
	return best;
}

/* Takes the next one; less urgent kinds get their part of the work. */
struct exq_item *exq_pop(struct exq *q, uint64_t now_us)
{
	struct exq_item *first = find_first(q, 0, now_us);
	struct exq_item *other;

	if (!first)
		return NULL;
	other = find_first(q, first->rank + 1, now_us);
	if (!other)
		q->owed_us = 0;
	else if (q->owed_us >= other->estimate_us)
		first = other;
	if (first == other)
		q->owed_us -= other->estimate_us;
	else if (other)
		q->owed_us += first->estimate_us * FAIR_SHARE_PCT /
			      (PERCENT - FAIR_SHARE_PCT);
	exq_remove(q, first);
	fade(q, now_us);
	if (is_on_time(first, now_us))
		q->begun[rank_of(first)].on_time += (double)first->estimate_us;
	else
		q->begun[rank_of(first)].late += (double)first->estimate_us;
	return first;
}

/* True if a request has no turn before it ends too late to be worth its place. */
static bool is_hopeless(const struct exq *q, const struct exq_item *i,
			uint64_t now_us)
{
	if (now_us + i->estimate_us + i->transfer_us > latest_end_us(i))
		return true;
	return !is_on_time(i, now_us) && q->slots > 0 &&
	       part_for(q, i, false) < PART_FOR_LATE;
}

/* Takes one that would end too late to be worth its place. */
struct exq_item *exq_pop_hopeless(struct exq *q, uint64_t now_us)
{
	struct exq_item *i;

	fade(q, now_us);
	DL_FOREACH(q->items, i)
	{
		if (is_hopeless(q, i, now_us)) {
			exq_remove(q, i);
			return i;
		}
	}
	return NULL;
}

/* Returns how many requests wait. */
uint32_t exq_count(const struct exq *q)
{
	return q->count;
}

/* Returns the first request. */
const struct exq_item *exq_first(const struct exq *q)
{
	return q->items;
}
