#ifndef ROUTE_TEST_H
#define ROUTE_TEST_H

/* Shared by the tests of this package: cmocka and a seeded generator. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

/* Declares a test that does not use the cmocka state. */
#define PLAIN(name) static void name(void **state __attribute__((unused)))

#define PRNG_SEED 20261204u

/* Returns the next 31 pseudo-random bits; *state is the seed. */
uint32_t prng_next(uint64_t *state);

/* Returns a pseudo-random number from 0 to bound - 1. */
uint32_t prng_below(uint64_t *state, uint32_t bound);

#endif
