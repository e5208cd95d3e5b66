#include "route_test.h"

/* Linear congruential generator; the low bits have short periods. */
uint32_t prng_next(uint64_t *state)
{
	*state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(*state >> 33);
}

uint32_t prng_below(uint64_t *state, uint32_t bound)
{
	return prng_next(state) % bound;
}
