#ifndef ADM_QUE_H
#define ADM_QUE_H

/*
 * The queues of admission: one for each kind, ordered by deadline, over one
 * pool of entries that is allocated once.
 */

#include "adm.h"

struct que_entry {
	void *request;
	uint64_t deadline_us;
	uint32_t kind;
	struct que_entry *prev, *next;
};

struct que {
	struct que_entry pool[ADM_QUEUE_MAX];
	struct que_entry *unused; /* linked by next */
	struct que_entry *heads[ADM_KINDS_MAX]; /* earliest deadline first */
	uint32_t lengths[ADM_KINDS_MAX];
};

void que_init(struct que *q);

/* Adds a request behind those with the same deadline; false if full. */
bool que_add(struct que *q, uint32_t kind, uint64_t deadline_us, void *request);

/* Counts the requests of a kind that are due no later than a deadline. */
uint32_t que_ahead(const struct que *q, uint32_t kind, uint64_t deadline_us);

/* Removes the first request of a kind and returns it; NULL if there is none. */
void *que_pop(struct que *q, uint32_t kind);

/* Removes a request of any kind; false if it does not wait. */
bool que_remove(struct que *q, void *request);

#endif
