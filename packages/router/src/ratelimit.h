#ifndef RATELIMIT_H
#define RATELIMIT_H

/*
 * Rate limit of an upstream, as it names it in its answers: a token bucket of
 * one request for each token. Does no I/O and takes time as an argument.
 */

#include <stdbool.h>
#include <stdint.h>

struct ratelimit {
	bool active;
	double per_s; /* limit in force, in requests per second */
	double tokens; /* as of updated_us */
	uint64_t updated_us;
};

/* Sets or changes the limit, in requests per second; 0 or more. */
void ratelimit_set(struct ratelimit *l, double per_s, uint64_t now_us);

/* Lifts the limit. */
void ratelimit_clear(struct ratelimit *l);

/* Takes the token of one request. False if there is none yet. */
bool ratelimit_take(struct ratelimit *l, uint64_t now_us);

/* Predicts the wait in microseconds of a request with this many ahead of it. */
uint64_t ratelimit_wait_us(const struct ratelimit *l, uint32_t ahead,
			   uint64_t now_us);

#endif
