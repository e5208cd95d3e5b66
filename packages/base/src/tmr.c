#include "tmr.h"

#include <stdlib.h>

#include "tab.h"

struct entry {
	uint64_t due_us;
	uint64_t period_us; /* 0 for a timer that runs once */
	uint64_t order; /* timers due at one time run in this order */
	tmr_fn fn;
	void *arg;
	uint32_t handle;
	size_t pos; /* index in the heap */
};

struct tmr {
	struct tab *entries;
	struct entry **heap;
	size_t count;
	size_t capacity;
	uint64_t next_order;
};

/* Creates a service without timers. */
struct tmr *tmr_create(void)
{
	struct tmr *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->entries = tab_create(TAB_MAX);
	if (!t->entries) {
		free(t);
		return NULL;
	}
	return t;
}

/* Frees the service and all subscriptions without running them. */
void tmr_destroy(struct tmr *t)
{
	if (!t)
		return;
	for (size_t i = 0; i < t->count; i++)
		free(t->heap[i]);
	free(t->heap);
	tab_destroy(t->entries);
	free(t);
}

static int is_before(const struct entry *a, const struct entry *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->order < b->order;
}

static void put(struct tmr *t, size_t pos, struct entry *e)
{
	t->heap[pos] = e;
	e->pos = pos;
}

/* Moves an entry towards the root until its parent is due before it. */
static void sift_up(struct tmr *t, size_t pos)
{
	struct entry *e = t->heap[pos];

	while (pos > 0) {
		size_t parent = (pos - 1) / 2;

		if (!is_before(e, t->heap[parent]))
			break;
		put(t, pos, t->heap[parent]);
		pos = parent;
	}
	put(t, pos, e);
}

/* Moves an entry towards the leaves until its children are due after it. */
static void sift_down(struct tmr *t, size_t pos)
{
	struct entry *e = t->heap[pos];

	for (;;) {
		size_t child = pos * 2 + 1;

		if (child >= t->count)
			break;
		if (child + 1 < t->count &&
		    is_before(t->heap[child + 1], t->heap[child]))
			child++;
		if (!is_before(t->heap[child], e))
			break;
		put(t, pos, t->heap[child]);
		pos = child;
	}
	put(t, pos, e);
}

/* Appends to the heap, growing it when it is full. */
static int heap_add(struct tmr *t, struct entry *e)
{
	if (t->count == t->capacity) {
		size_t capacity = t->capacity ? t->capacity * 2 : 32;
		struct entry **heap =
			realloc(t->heap, capacity * sizeof(struct entry *));

		if (!heap)
			return -1;
		t->heap = heap;
		t->capacity = capacity;
	}
	put(t, t->count, e);
	t->count++;
	sift_up(t, t->count - 1);
	return 0;
}

/* Takes an entry out of the heap wherever it stands. */
static void heap_remove(struct tmr *t, struct entry *e)
{
	size_t pos = e->pos;
	struct entry *last = t->heap[--t->count];

	if (last == e)
		return;
	put(t, pos, last);
	sift_up(t, pos);
	sift_down(t, last->pos);
}

static uint32_t add(struct tmr *t, uint64_t due_us, uint64_t period_us,
		    tmr_fn fn, void *arg)
{
	struct entry *e = calloc(1, sizeof(*e));

	if (!e)
		return 0;
	e->due_us = due_us;
	e->period_us = period_us;
	e->order = t->next_order++;
	e->fn = fn;
	e->arg = arg;
	e->handle = tab_add(t->entries, e);
	if (!e->handle || heap_add(t, e) != 0) {
		tab_remove(t->entries, e->handle);
		free(e);
		return 0;
	}
	return e->handle;
}

/* Subscribes a function to one point in time. */
uint32_t tmr_at(struct tmr *t, uint64_t due_us, tmr_fn fn, void *arg)
{
	return add(t, due_us, 0, fn, arg);
}

/* Subscribes a function to a repeated point in time. */
uint32_t tmr_every(struct tmr *t, uint64_t first_us, uint64_t period_us,
		   tmr_fn fn, void *arg)
{
	return add(t, first_us, period_us ? period_us : 1, fn, arg);
}

/* Ends a subscription, also from inside the subscribed function. */
void tmr_cancel(struct tmr *t, uint32_t handle)
{
	struct entry *e = tab_remove(t->entries, handle);

	if (!e)
		return;
	heap_remove(t, e);
	free(e);
}

/* The root of the heap is due first. */
uint64_t tmr_next(const struct tmr *t)
{
	return t->count ? t->heap[0]->due_us : TMR_NEVER;
}

/*
 * A repeated timer is moved on before it runs, so that its function may cancel
 * it. Timers added during the run wait for the next run if they are due later.
 */
void tmr_run(struct tmr *t, uint64_t now_us)
{
	while (t->count && t->heap[0]->due_us <= now_us) {
		struct entry *e = t->heap[0];
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
