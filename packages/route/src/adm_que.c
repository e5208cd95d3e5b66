#include "adm_que.h"

#include <string.h>
#include <utlist.h>

/* Puts all entries on the list of unused ones. */
void que_init(struct que *q)
{
	memset(q, 0, sizeof(*q));
	for (size_t i = 0; i < ADM_QUEUE_MAX; i++)
		LL_PREPEND(q->unused, &q->pool[i]);
}

/*
 * Looks for the place from the end: requests of one kind mostly have the same
 * time to their deadline and arrive in its order.
 */
bool que_add(struct que *q, uint32_t kind, uint64_t deadline_us, void *request)
{
	struct que_entry *e = q->unused, *head = q->heads[kind], *at;

	if (!e)
		return false;
	LL_DELETE(q->unused, e);
	e->request = request;
	e->deadline_us = deadline_us;
	e->kind = kind;
	q->lengths[kind]++;
	at = head ? head->prev : NULL;
	while (at && at->deadline_us > deadline_us)
		at = at == head ? NULL : at->prev;
	if (at)
		DL_APPEND_ELEM(q->heads[kind], at, e);
	else
		DL_PREPEND(q->heads[kind], e);
	return true;
}

/* Counts from the start of the queue. */
uint32_t que_ahead(const struct que *q, uint32_t kind, uint64_t deadline_us)
{
	const struct que_entry *e;
	uint32_t n = 0;

	DL_FOREACH(q->heads[kind], e)
	{
		if (e->deadline_us > deadline_us)
			break;
		n++;
	}
	return n;
}

/* Takes an entry out of its queue and returns its request. */
static void *release(struct que *q, struct que_entry *e)
{
	void *request = e->request;

	DL_DELETE(q->heads[e->kind], e);
	q->lengths[e->kind]--;
	e->request = NULL;
	LL_PREPEND(q->unused, e);
	return request;
}

/* Takes the request with the earliest deadline. */
void *que_pop(struct que *q, uint32_t kind)
{
	return q->heads[kind] ? release(q, q->heads[kind]) : NULL;
}

/* Looks for the request in the whole pool, which is short and in one piece. */
bool que_remove(struct que *q, void *request)
{
	for (size_t i = 0; request && i < ADM_QUEUE_MAX; i++) {
		if (q->pool[i].request == request) {
			release(q, &q->pool[i]);
			return true;
		}
	}
	return false;
}
