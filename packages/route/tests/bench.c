#include "bench.h"

/* Linear congruential generator; the low bits are left out as they repeat. */
uint32_t bench_random(uint64_t *state)
{
	*state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(*state >> 33);
}

uint32_t bench_below(uint64_t *state, uint32_t bound)
{
	return bench_random(state) % bound;
}
