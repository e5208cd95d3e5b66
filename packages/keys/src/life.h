#ifndef LIFE_H
#define LIFE_H

/*
 * Session of an upstream: from its first announcement to a daemon until it
 * stops or the daemon declares it lost. A restarted upstream has a new session
 * even if it keeps its id, as it holds no keys and has lost its state. An
 * upstream that was declared lost and announces itself again has a new one too,
 * as its keys may have been assigned to others meanwhile.
 */

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#define LIFE_ID_MAX 64
#define LIFE_NODE_MAX 64

struct life {
	char id[LIFE_ID_MAX]; /* of the upstream; empty for no session */
	char node[LIFE_NODE_MAX]; /* instance whose daemon grants its keys */
	int64_t born_ms; /* start of the upstream, Unix time; 0 if unknown */
	int64_t attached; /* random, chosen by the daemon at the first announcement */
};

/* True if all fields are equal. */
static inline bool life_is_same(const struct life *a, const struct life *b)
{
	return a->born_ms == b->born_ms && a->attached == b->attached &&
	       strcmp(a->id, b->id) == 0 && strcmp(a->node, b->node) == 0;
}

#endif
