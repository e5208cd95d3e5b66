#ifndef LIFE_H
#define LIFE_H

/*
 * Incarnations of upstreams. An upstream that starts again is another life,
 * also when it keeps its id: it holds no keys and knows nothing of before. An
 * upstream that its daemon has given up and that announces itself again is
 * another life too, as its keys may have been given away meanwhile.
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
	int64_t attached; /* drawn at random by its daemon at first sight */
};

static inline bool life_is_same(const struct life *a, const struct life *b)
{
	return a->born_ms == b->born_ms && a->attached == b->attached &&
	       strcmp(a->id, b->id) == 0 && strcmp(a->node, b->node) == 0;
}

#endif
