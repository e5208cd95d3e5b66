#ifndef LGK_H
#define LGK_H

/* What the load generator asks for: kinds of requests and their keys. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LGK_KINDS_MAX 16
#define LGK_KEYS_MAX 10000000ULL
#define LGK_TEXT_MAX 256

struct lgk_kind {
	char method[8];
	char path[LGK_TEXT_MAX]; /* {key} stands for the key */
	unsigned int weight;
	bool once; /* sent with an idempotency key */
	size_t body_bytes;
};

/*
 * Reads METHOD,PATH,WEIGHT,idempotent|once[,BODY_BYTES]. Returns false if the
 * text has another form.
 */
bool lgk_parse(const char *text, struct lgk_kind *out);

/* Draws keys by a Zipf distribution; the numbers depend only on the seed. */
struct lgk;

/* skew 0 draws evenly. NULL when memory is exhausted. */
struct lgk *lgk_create(uint64_t keys, double skew, uint64_t seed);
void lgk_destroy(struct lgk *g);

/* Returns 64 random bits. */
uint64_t lgk_random(struct lgk *g);

/*
 * Returns a key from 0 to keys-1. Another value of epoch makes other keys the
 * hot ones.
 */
uint64_t lgk_key(struct lgk *g, uint64_t epoch);

/* Draws a kind by the weights. */
const struct lgk_kind *lgk_draw(struct lgk *g, const struct lgk_kind *kinds,
				size_t count);

#endif
