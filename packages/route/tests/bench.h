#ifndef BENCH_H
#define BENCH_H

/* What the tests of this package share: a seeded generator and its seed. */

#include <stdint.h>

#define BENCH_SEED 20261204u

/* Returns the next of a fixed sequence of 31 random bits. */
uint32_t bench_random(uint64_t *state);

/* Returns a number from 0 to bound-1. */
uint32_t bench_below(uint64_t *state, uint32_t bound);

#endif
