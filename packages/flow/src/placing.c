#include "placing.h"

#define PERCENT 100
/*
 * Time that a kilobyte to or from another data centre counts as. Such bytes are
 * dear for the operator: a request goes to another data centre only if that
 * saves the caller more.
 */
#define KILOBYTE_US 10000
#define KILOBYTE 1000
/*
 * Runs that take less than this part of the objective count alike: the caller
 * gains little, and the load is spread over more upstreams.
 */
#define QUICK_DIVISOR 3
/* Largest random part of a cost, as a fraction of it. */
#define RANDOM_PART 0.25

/* Returns the expected slowdown in per cent; an old report counts for less. */
static double expected_slowdown(const struct placing_option *o)
{
	double reported = o->slowdown_pct > 0 ? o->slowdown_pct : PERCENT;

	return PERCENT + (reported - PERCENT) * o->confidence;
}

/*
 * Counts a part of a run for each part of the slots in use: the nearer an
 * upstream is to being full, the more likely the request has to wait.
 */
uint64_t placing_answer_us(const struct placing_option *o,
			   const struct placing_request *r)
{
	double run = (double)o->run_us * expected_slowdown(o) / PERCENT;
	uint64_t answer_us =
		(uint64_t)(run * r->size + run * o->use) + o->transit_us;

	if (answer_us < r->objective_us / QUICK_DIVISOR)
		answer_us = r->objective_us / QUICK_DIVISOR;
	return answer_us + r->bytes * KILOBYTE_US / KILOBYTE;
}

/* Adds the random part to the time of an option. */
uint64_t placing_cost(const struct placing_option *o,
		      const struct placing_request *r, uint32_t random)
{
	double part = RANDOM_PART * random / PLACING_RANDOM_RANGE;

	return (uint64_t)((double)placing_answer_us(o, r) * (1 + part));
}

/* A request that is late anywhere is served where it has arrived. */
bool placing_should_pass_back(uint64_t wait_us, uint64_t usual_run_us,
			      uint32_t slowdown_pct, uint64_t left_us)
{
	uint64_t run_us = usual_run_us * slowdown_pct / PERCENT;

	return wait_us + run_us > left_us && usual_run_us <= left_us;
}
