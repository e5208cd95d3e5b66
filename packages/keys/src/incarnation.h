#ifndef INCARNATION_H
#define INCARNATION_H

/*
 * Incarnation of an upstream: from its first announcement to a daemon until it
 * stops or the daemon declares it lost. A restarted upstream has a new
 * incarnation even if it keeps its id, as it holds no keys and has lost its
 * state. An upstream that was declared lost and announces itself again has a
 * new one too, as its keys may have been assigned to others meanwhile.
 */

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "name.h"

struct incarnation {
	/* Identifier of its id; empty for no incarnation. */
	char id[NAME_SIZE];
	/* Identifier of the instance whose daemon grants its keys. */
	char node[NAME_SIZE];
	/* Start of the upstream, Unix time; 0 if unknown. */
	int64_t start_unix_ms;
	/* Random, chosen by the daemon at the first announcement. */
	int64_t attached;
};

/* True if all fields are equal. */
static inline bool incarnation_equal(const struct incarnation *a,
				     const struct incarnation *b)
{
	return a->start_unix_ms == b->start_unix_ms &&
	       a->attached == b->attached && strcmp(a->id, b->id) == 0 &&
	       strcmp(a->node, b->node) == 0;
}

#endif
