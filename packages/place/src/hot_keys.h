#ifndef HOT_KEYS_H
#define HOT_KEYS_H

/*
 * Space-saving sketch of the most requested keys, in bounded memory: the count
 * of a key that is not kept is at most the smallest count kept.
 * hot_keys_decay() halves all counts, so that keys that are no longer requested
 * are replaced.
 */

#include <stddef.h>
#include <stdint.h>

#define HOT_KEY_BYTES_MAX 64 /* bytes of a key that are stored, NUL included */

struct hot_key {
	uint64_t hash; /* XXH3 of the whole key, seeded with the partition */
	uint64_t part;
	uint64_t count;
	uint64_t error; /* by how much count may be too high */
	char key[HOT_KEY_BYTES_MAX];
};

struct hot_keys;

/*
 * Creates a sketch of at most size keys, from 1 to 10000. Returns NULL for
 * another size or when memory is exhausted.
 */
struct hot_keys *hot_keys_create(size_t size);
void hot_keys_destroy(struct hot_keys *h);

/* Counts a request for a key of len bytes in a partition. */
void hot_keys_add(struct hot_keys *h, uint64_t part, const char *key,
		  size_t len);

/* Halves all counts. */
void hot_keys_decay(struct hot_keys *h);

/*
 * Copies at most max keys to out in descending order of their counts and
 * returns how many. Returns 0 if there are none or memory is exhausted.
 */
size_t hot_keys_top(const struct hot_keys *h, struct hot_key *out, size_t max);

#endif
