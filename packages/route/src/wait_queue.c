#include "wait_queue.h"

#include <string.h>
#include <utlist.h>

/* Puts all entries on the free list. */
void wait_queue_init(struct wait_queue *q)
{
	memset(q, 0, sizeof(*q));
	for (size_t i = 0; i < ADMIT_QUEUE_MAX; i++)
		LL_PREPEND(q->unused, &q->pool[i]);
}

/*
 * Searches from the tail: requests of one kind mostly have the same timeout and
 * so arrive in the order of their deadlines.
 */
bool wait_queue_add(struct wait_queue *q, uint32_t kind, uint64_t deadline_us,
		    void *request)
{
	struct wait_queue_entry *e = q->unused, *head = q->heads[kind], *after;

	if (!e)
		return false;
	LL_DELETE(q->unused, e);
	e->request = request;
	e->deadline_us = deadline_us;
	e->kind = kind;
	q->lengths[kind]++;
	after = head ? head->prev : NULL;
	while (after && after->deadline_us > deadline_us)
		after = after == head ? NULL : after->prev;
	if (after)
		DL_APPEND_ELEM(q->heads[kind], after, e);
	else
		DL_PREPEND(q->heads[kind], e);
	return true;
}

uint32_t wait_queue_count_due(const struct wait_queue *q, uint32_t kind,
			      uint64_t deadline_us)
{
	const struct wait_queue_entry *e;
	uint32_t n = 0;

	DL_FOREACH(q->heads[kind], e)
	{
		if (e->deadline_us > deadline_us)
			break;
		n++;
	}
	return n;
}

/* Returns an entry to the free list and its request to the caller. */
static void *release(struct wait_queue *q, struct wait_queue_entry *e)
{
	void *request = e->request;

	DL_DELETE(q->heads[e->kind], e);
	q->lengths[e->kind]--;
	e->request = NULL;
	LL_PREPEND(q->unused, e);
	return request;
}

void *wait_queue_pop(struct wait_queue *q, uint32_t kind)
{
	return q->heads[kind] ? release(q, q->heads[kind]) : NULL;
}

/* Scans the whole pool, which is small and contiguous. */
bool wait_queue_remove(struct wait_queue *q, void *request)
{
	for (size_t i = 0; request && i < ADMIT_QUEUE_MAX; i++) {
		if (q->pool[i].request == request) {
			release(q, &q->pool[i]);
			return true;
		}
	}
	return false;
}
