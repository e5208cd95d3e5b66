#include "tmr.h"

#include <stdlib.h>

#include "slotmap.h"

struct timer {
	uint64_t due_us;
	uint64_t period_us; /* 0 for a one-shot timer */
	uint64_t seq; /* timers with the same due time run in this order */
	tmr_fn fn;
	void *arg;
	uint32_t handle;
	size_t pos; /* index in the heap */
};

struct tmr {
	struct slotmap *handles;
	struct timer **heap; /* binary min-heap by due time */
	size_t count;
	size_t capacity;
	uint64_t next_seq;
};

/* Creates a timer queue; returns NULL if memory is exhausted. */
struct tmr *tmr_create(void)
{
	struct tmr *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->handles = slotmap_create(SLOTMAP_MAX_ENTRIES);
	if (!t->handles) {
		free(t);
		return NULL;
	}
	return t;
}

/* Frees all timers without running them. */
void tmr_destroy(struct tmr *t)
{
	if (!t)
		return;
	for (size_t i = 0; i < t->count; i++)
		free(t->heap[i]);
	free(t->heap);
	slotmap_destroy(t->handles);
	free(t);
}

static int is_before(const struct timer *a, const struct timer *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->seq < b->seq;
}

static void heap_set(struct tmr *t, size_t pos, struct timer *e)
{
	t->heap[pos] = e;
	e->pos = pos;
}

/* Moves a timer towards the root until its parent is due before it. */
static void sift_up(struct tmr *t, size_t pos)
{
	struct timer *e = t->heap[pos];

	while (pos > 0) {
		size_t parent = (pos - 1) / 2;

		if (!is_before(e, t->heap[parent]))
			break;
		heap_set(t, pos, t->heap[parent]);
		pos = parent;
	}
	heap_set(t, pos, e);
}

/* Moves a timer towards the leaves until its children are due after it. */
static void sift_down(struct tmr *t, size_t pos)
{
	struct timer *e = t->heap[pos];

	for (;;) {
		size_t child = pos * 2 + 1;

		if (child >= t->count)
			break;
		if (child + 1 < t->count &&
		    is_before(t->heap[child + 1], t->heap[child]))
			child++;
		if (!is_before(t->heap[child], e))
			break;
		heap_set(t, pos, t->heap[child]);
		pos = child;
	}
	heap_set(t, pos, e);
}

/* Inserts a timer into the heap; returns -1 if memory is exhausted. */
static int heap_add(struct tmr *t, struct timer *e)
{
	if (t->count == t->capacity) {
		size_t capacity = t->capacity ? t->capacity * 2 : 32;
		struct timer **heap =
			realloc(t->heap, capacity * sizeof(struct timer *));

		if (!heap)
			return -1;
		t->heap = heap;
		t->capacity = capacity;
	}
	heap_set(t, t->count, e);
	t->count++;
	sift_up(t, t->count - 1);
	return 0;
}

/* Removes a timer at any position of the heap. */
static void heap_remove(struct tmr *t, struct timer *e)
{
	size_t pos = e->pos;
	struct timer *last = t->heap[--t->count];

	if (last == e)
		return;
	heap_set(t, pos, last);
	sift_up(t, pos);
	sift_down(t, last->pos);
}

static uint32_t add_timer(struct tmr *t, uint64_t due_us, uint64_t period_us,
			  tmr_fn fn, void *arg)
{
	struct timer *e = calloc(1, sizeof(*e));

	if (!e)
		return 0;
	e->due_us = due_us;
	e->period_us = period_us;
	e->seq = t->next_seq++;
	e->fn = fn;
	e->arg = arg;
	e->handle = slotmap_add(t->handles, e);
	if (!e->handle || heap_add(t, e) != 0) {
		slotmap_remove(t->handles, e->handle);
		free(e);
		return 0;
	}
	return e->handle;
}

/* Adds a one-shot timer; returns its handle, 0 on failure. */
uint32_t tmr_at(struct tmr *t, uint64_t due_us, tmr_fn fn, void *arg)
{
	return add_timer(t, due_us, 0, fn, arg);
}

/* Adds a periodic timer; returns its handle, 0 on failure. */
uint32_t tmr_every(struct tmr *t, uint64_t first_us, uint64_t period_us,
		   tmr_fn fn, void *arg)
{
	return add_timer(t, first_us, period_us ? period_us : 1, fn, arg);
}

/* Cancels a timer; a timer may cancel itself from its callback. */
void tmr_cancel(struct tmr *t, uint32_t handle)
{
	struct timer *e = slotmap_remove(t->handles, handle);

	if (!e)
		return;
	heap_remove(t, e);
	free(e);
}

/* Returns the due time of the root of the heap, TMR_NEVER if it is empty. */
uint64_t tmr_next_due(const struct tmr *t)
{
	return t->count ? t->heap[0]->due_us : TMR_NEVER;
}

/*
 * Runs the timers that are due at now_us. A periodic timer is rescheduled
 * before its callback runs, so that the callback may cancel it. A timer that a
 * callback adds runs in the same call only if it is already due.
 */
void tmr_run_due(struct tmr *t, uint64_t now_us)
{
	while (t->count && t->heap[0]->due_us <= now_us) {
		struct timer *e = t->heap[0];
		tmr_fn fn = e->fn;
		void *arg = e->arg;

		if (e->period_us) {
			e->due_us = now_us + e->period_us;
			sift_down(t, 0);
		} else {
			tmr_cancel(t, e->handle);
		}
		fn(arg, now_us);
	}
}
