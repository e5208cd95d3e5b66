#include "pipeline.h"

#include <stdlib.h>

struct entry {
	struct pipeline_request request;
	size_t charged; /* bytes taken from the budget */
	size_t held; /* bytes of the response */
	bool started;
};

/* The unanswered requests, in the order of arrival, in a ring. */
struct pipeline {
	struct pipeline_budget *budget;
	uint32_t first; /* handle of the first request */
	uint32_t count;
	struct entry entries[PIPELINE_REQUESTS_MAX];
};

/* Returns the entry of a handle; it must be in use. */
static struct entry *find_entry(const struct pipeline *p, uint32_t handle)
{
	return (struct entry *)&p->entries[handle % PIPELINE_REQUESTS_MAX];
}

/* Sets the bytes that a request takes from the budget. */
static void charge(struct pipeline *p, struct entry *e, size_t bytes)
{
	p->budget->used += bytes - e->charged;
	e->charged = bytes;
}

/* Creates an empty pipeline. Returns NULL if out of memory. */
struct pipeline *pipeline_create(struct pipeline_budget *budget)
{
	struct pipeline *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->budget = budget;
	p->first = PIPELINE_NONE + 1;
	return p;
}

/* Returns what its requests have taken to the budget. */
void pipeline_destroy(struct pipeline *p)
{
	if (!p)
		return;
	while (p->count > 0)
		pipeline_remove_first(p);
	free(p);
}

/*
 * The first request of a connection is always read, so that each client is
 * served whatever the budget. The others need room in it.
 */
bool pipeline_may_read(const struct pipeline *p)
{
	if (p->count == 0)
		return true;
	if (p->count == PIPELINE_REQUESTS_MAX ||
	    p->budget->used >= p->budget->limit)
		return false;
	return !find_entry(p, p->first + p->count - 1)->request.last;
}

/* Adds a request behind the others. Returns its handle. */
uint32_t pipeline_add(struct pipeline *p, const struct pipeline_request *r)
{
	uint32_t handle;
	struct entry *e;

	/* Handles restart before they would wrap around to PIPELINE_NONE. */
	if (p->count == 0 && p->first > UINT32_MAX / 2)
		p->first = PIPELINE_NONE + 1;
	handle = p->first + p->count++;
	e = find_entry(p, handle);
	*e = (struct entry){ .request = *r };
	if (handle != p->first)
		charge(p, e, r->bytes);
	return handle;
}

/* Marks a request as the last one of its connection. */
void pipeline_set_last(struct pipeline *p, uint32_t handle)
{
	find_entry(p, handle)->request.last = true;
}

/* Finds the request that may run next, if any. */
uint32_t pipeline_next_start(const struct pipeline *p)
{
	for (uint32_t i = 0; i < p->count; i++) {
		const struct entry *e = find_entry(p, p->first + i);

		if (!e->started) {
			bool room = p->budget->used + PIPELINE_RESPONSE_BYTES <=
				    p->budget->limit;

			if (i == 0 || (e->request.overlaps && room))
				return p->first + i;
			return PIPELINE_NONE;
		}
		if (!e->request.overlaps || e->request.last)
			return PIPELINE_NONE;
	}
	return PIPELINE_NONE;
}

/* Records that a request runs. */
void pipeline_start(struct pipeline *p, uint32_t handle)
{
	struct entry *e = find_entry(p, handle);

	e->started = true;
	if (handle != p->first)
		charge(p, e, e->request.bytes + PIPELINE_RESPONSE_BYTES);
}

bool pipeline_is_first(const struct pipeline *p, uint32_t handle)
{
	return p->count > 0 && handle == p->first;
}

/* Charges what a response has beyond the memory set aside for it. */
void pipeline_hold(struct pipeline *p, uint32_t handle, size_t bytes)
{
	struct entry *e = find_entry(p, handle);

	e->held += bytes;
	if (handle != p->first && e->held > PIPELINE_RESPONSE_BYTES)
		charge(p, e, e->request.bytes + e->held);
}

bool pipeline_is_over_budget(const struct pipeline *p)
{
	return p->budget->used > p->budget->limit;
}

/* The next request becomes the first and takes nothing from the budget. */
void pipeline_remove_first(struct pipeline *p)
{
	charge(p, find_entry(p, p->first), 0);
	p->first++;
	p->count--;
	if (p->count > 0)
		charge(p, find_entry(p, p->first), 0);
}

/* Returns how many unanswered requests were read before this one. */
uint32_t pipeline_earlier_count(const struct pipeline *p, uint32_t handle)
{
	return handle - p->first;
}
