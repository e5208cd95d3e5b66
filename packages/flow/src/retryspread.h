#ifndef RETRYSPREAD_H
#define RETRYSPREAD_H

/*
 * Times to return for callers that are refused while an upstream recovers,
 * spread over the time in which its capacity comes. Does no I/O and takes time
 * and random numbers as arguments.
 *
 * Load that it responds to: many callers that are refused at once, after a loss
 * of power for instance. With one time for all of them they would return
 * together and be refused again.
 */

#include <stdint.h>

struct retryspread {
	uint64_t next_us; /* when there is room behind all that were refused */
};

/*
 * Returns the delay in microseconds after which a refused caller may return:
 * its place behind the queue and the callers refused before, over the rate, and
 * a random part of it. wait_us is the predicted wait in the queue, per_s the
 * rate of the upstream, and random a number from 0 to below 1.
 */
uint64_t retryspread_take(struct retryspread *s, double per_s, uint64_t wait_us,
			  uint64_t now_us, double random);

#endif
