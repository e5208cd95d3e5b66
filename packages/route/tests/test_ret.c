/*
 * Guards against retries that run a request twice which may not be repeated,
 * and against retries that multiply the load on an upstream that is dying.
 */

#include "bench.h"
#include "clk.h"
#include "ret.h"

#define OFFERED 20000
#define STEPS 10

static struct ret_request request(bool idempotent)
{
	return (struct ret_request){ .idempotent = idempotent,
				     .attempts = 1,
				     .body_replayable = true,
				     .deadline_us = 1000 };
}

PLAIN(outcome_decides_on_repeating)
{
	static const bool repeatable[] = { [RET_NOT_RUN] = true,
					   [RET_SHED] = false,
					   [RET_MOVED] = true,
					   [RET_UNKNOWN] = false };
	struct ret *r = ret_create();
	struct ret_request safe = request(true), once = request(false);

	for (int o = RET_NOT_RUN; o <= RET_UNKNOWN; o++) {
		assert_true(ret_allows(r, &safe, (enum ret_outcome)o, 0));
		assert_int_equal(ret_allows(r, &once, (enum ret_outcome)o, 0),
				 repeatable[o]);
	}
	ret_destroy(r);
}

PLAIN(no_retry_without_body_time_or_attempts)
{
	struct ret *r = ret_create();
	struct ret_request q = request(true);

	assert_false(ret_allows(r, &q, RET_NOT_RUN, 1000));
	assert_false(ret_allows(r, &q, RET_MOVED, 1000));
	q.attempts = RET_ATTEMPTS_MAX;
	assert_false(ret_allows(r, &q, RET_NOT_RUN, 0));
	q = request(true);
	q.response_started = true;
	assert_false(ret_allows(r, &q, RET_NOT_RUN, 0));
	q = request(true);
	q.body_replayable = false;
	assert_false(ret_allows(r, &q, RET_NOT_RUN, 0));
	ret_destroy(r);
}

PLAIN(moved_is_free_and_the_budget_ends)
{
	struct ret *r = ret_create();
	struct ret_request q = request(true);
	int allowed = 0;

	for (int i = 0; i < 10 * RET_BURST; i++) {
		assert_true(ret_allows(r, &q, RET_MOVED, 0));
		allowed += ret_allows(r, &q, RET_NOT_RUN, 0);
	}
	assert_int_equal(allowed, RET_BURST);
	for (int i = 0; i < 100 / RET_BUDGET_PCT; i++)
		ret_request_seen(r);
	assert_true(ret_allows(r, &q, RET_NOT_RUN, 0));
	assert_false(ret_allows(r, &q, RET_NOT_RUN, 0));
	ret_destroy(r);
}

/* Offers requests to an upstream that fails at a rate; returns the attempts. */
static uint32_t offer(struct ret *r, uint32_t failing_pct, uint64_t *seed)
{
	uint32_t executed = 0;

	for (int i = 0; i < OFFERED; i++) {
		struct ret_request q = request(true);

		ret_request_seen(r);
		executed++;
		while (bench_below(seed, 100) < failing_pct &&
		       ret_allows(r, &q, RET_UNKNOWN, 0)) {
			q.attempts++;
			executed++;
		}
	}
	return executed;
}

/*
 * The policy allows 10 retries for 100 requests and one burst; without a budget
 * a dead upstream would get three times what is offered.
 */
PLAIN(dying_upstream_gets_no_more_than_the_budget)
{
	const uint32_t bound =
		OFFERED + OFFERED * RET_BUDGET_PCT / 100 + RET_BURST;
	uint64_t seed = BENCH_SEED;

	print_message("seed %u\n", BENCH_SEED);
	for (uint32_t step = 0; step <= STEPS; step++) {
		struct ret *r = ret_create();
		uint32_t pct = step * 100 / STEPS;
		uint32_t executed = offer(r, pct, &seed);

		print_message("%u%% failing: offered %u executed %u\n", pct,
			      OFFERED, executed);
		assert_in_range(executed, OFFERED, bound);
		ret_destroy(r);
	}
}

PLAIN(delay_grows_and_has_jitter)
{
	uint64_t seed = BENCH_SEED;
	uint64_t low = UINT64_MAX, high = 0;

	for (int i = 0; i < 1000; i++) {
		uint64_t d = ret_delay_us(1, bench_random(&seed));

		low = d < low ? d : low;
		high = d > high ? d : high;
		assert_true(ret_delay_us(2, 0) > ret_delay_us(1, 0));
		assert_true(ret_delay_us(1000, bench_random(&seed)) < US_PER_S);
	}
	assert_true(high > low);
	assert_true(low > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(outcome_decides_on_repeating),
		cmocka_unit_test(no_retry_without_body_time_or_attempts),
		cmocka_unit_test(moved_is_free_and_the_budget_ends),
		cmocka_unit_test(dying_upstream_gets_no_more_than_the_budget),
		cmocka_unit_test(delay_grows_and_has_jitter),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
