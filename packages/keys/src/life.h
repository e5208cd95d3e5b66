#ifndef LIFE_H
#define LIFE_H

/*
 * Incarnations of upstreams. An upstream that starts again is another life,
 * also when it keeps its id: it holds no keys and knows nothing of before.
 */

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#define LIFE_ID_MAX 64
#define LIFE_NODE_MAX 64

struct life {
	char id[LIFE_ID_MAX]; /* of the upstream; empty for no life */
	char node[LIFE_NODE_MAX]; /* instance whose daemon grants its keys */
	int64_t born_ms; /* start of the life, Unix time; 0 if not told */
};

static inline bool life_is_same(const struct life *a, const struct life *b)
{
	return a->born_ms == b->born_ms && strcmp(a->id, b->id) == 0 &&
	       strcmp(a->node, b->node) == 0;
}

#endif
