#ifndef BENCH_H
#define BENCH_H

/* What the tests of this package share: cmocka and a seeded generator. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

/* Head of a test that needs no state of its group. */
#define PLAIN(name) static void name(void **state __attribute__((unused)))

#define BENCH_SEED 20261204u

/* Returns the next of a fixed sequence of 31 random bits. */
uint32_t bench_random(uint64_t *state);

/* Returns a number from 0 to bound-1. */
uint32_t bench_below(uint64_t *state, uint32_t bound);

#endif
