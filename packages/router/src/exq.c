#include "exq.h"

#include <stdlib.h>
#include <utlist.h>

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

struct exq {
	struct exq_item *items;
	uint32_t count;
	uint64_t owed_us; /* work that less urgent kinds have not got */
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
	return now_us + i->estimate_us <= i->objective_us;
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

/* Counts what goes first, and one slot that has to become free. */
uint64_t exq_wait_us(const struct exq *q, const struct exq_item *item,
		     uint32_t running, uint32_t slots, uint64_t mean_us,
		     uint64_t now_us)
{
	uint32_t ahead = 0;
	const struct exq_item *i;

	if (slots == 0)
		return item->deadline_us;
	DL_FOREACH(q->items, i)
	{
		if (!goes_before(item, i, now_us))
			ahead++;
	}
	if (running + ahead < slots)
		return 0;
	return (uint64_t)(running + ahead + 1 - slots) * mean_us / slots;
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
	return now_us + wait_us + item->estimate_us <= latest_end_us(item);
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
	return first;
}

/* Takes one that would end too late to be worth its place. */
struct exq_item *exq_pop_hopeless(struct exq *q, uint64_t now_us)
{
	struct exq_item *i;

	DL_FOREACH(q->items, i)
	{
		if (now_us + i->estimate_us > latest_end_us(i)) {
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
