#ifndef BURST_H
#define BURST_H

/* Sends many GET requests at once, each over a connection of its own. */

#include <stddef.h>
#include <stdint.h>

#include "cluster.h"

#define BURST_MAX 256

enum burst_outcome {
	BURST_DONE, /* status 200 */
	BURST_SHED,
	BURST_NOT_RUN,
	BURST_UNKNOWN,
	BURST_OTHER, /* another answer */
	BURST_NONE, /* no answer */
	BURST_OUTCOMES
};

struct burst {
	size_t count[BURST_OUTCOMES];
	size_t without_delay; /* shed answers without Retry-After */
	uint64_t worst_ms; /* until an answer was whole */
	void (*step)(void); /* called while answers are awaited, or NULL */
};

/*
 * Adds the results of count requests. format makes the target from a number
 * that starts at first; requests go to all daemons in turn.
 */
void burst_get(struct cluster *c, const char *format, size_t first,
	       size_t count, unsigned int limit_ms, struct burst *b);

/*
 * Starts count requests whose answers are not waited for; their connections
 * stay open until burst_forget().
 */
void burst_leave(struct cluster *c, const char *format, size_t first,
		 size_t count);
void burst_forget(void);

void burst_print(const char *what, const struct burst *b);

#endif
