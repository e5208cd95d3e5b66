#ifndef HOT_H
#define HOT_H

/*
 * Sketch of the most requested keys (space-saving): bounded memory, and the
 * count of a key is never too low by more than the smallest count kept. Counts
 * are halved on each decay, so that keys that were hot fade.
 */

#include <stddef.h>
#include <stdint.h>

#define HOT_KEY_MAX 64 /* bytes of a key that are kept, with the closing NUL */

struct hot_key {
	uint64_t hash; /* xxh3 of the whole key, the partition is its seed */
	uint64_t part;
	uint64_t count;
	uint64_t error; /* how much of the count may belong to other keys */
	char key[HOT_KEY_MAX];
};

struct hot;

/*
 * size is the number of keys kept, from 1 to 10000. Returns NULL for another
 * size and when memory is exhausted.
 */
struct hot *hot_create(size_t size);
void hot_destroy(struct hot *h);

void hot_add(struct hot *h, uint64_t part, const char *key, size_t len);

/* Halves all counts. */
void hot_decay(struct hot *h);

/*
 * Copies the hottest keys in descending order; returns how many. Returns 0 also
 * when memory is exhausted.
 */
size_t hot_top(const struct hot *h, struct hot_key *out, size_t max);

#endif
