#ifndef WAIT_QUEUE_H
#define WAIT_QUEUE_H

/*
 * Queues of requests that wait for admission: one for each kind, ordered by
 * deadline. All of them allocate from one pool of fixed size.
 */

#include "admission.h"

struct wait_queue_entry {
	void *request;
	uint64_t deadline_us;
	uint32_t kind;
	struct wait_queue_entry *prev, *next;
};

struct wait_queue {
	struct wait_queue_entry pool[ADMIT_QUEUE_MAX];
	struct wait_queue_entry *unused; /* free list, linked by next */
	/* Earliest deadline first. */
	struct wait_queue_entry *heads[ADMIT_KINDS_MAX];
	uint32_t lengths[ADMIT_KINDS_MAX];
};

void wait_queue_init(struct wait_queue *q);

/* Adds a request after those with the same deadline; false if full. */
bool wait_queue_add(struct wait_queue *q, uint32_t kind, uint64_t deadline_us,
		    void *request);

/* Counts the requests of a kind whose deadline is not after deadline_us. */
uint32_t wait_queue_count_due(const struct wait_queue *q, uint32_t kind,
			      uint64_t deadline_us);

/* Removes the first request of a kind and returns it; NULL if there is none. */
void *wait_queue_pop(struct wait_queue *q, uint32_t kind);

/* Removes a request of any kind; false if it is not queued. */
bool wait_queue_remove(struct wait_queue *q, void *request);

#endif
