/*
 * Tests that a request that is not idempotent is never run twice, and that
 * retries do not multiply the load on a failing upstream.
 */

#include "clk.h"
#include "ret.h"
#include "route_test.h"

#define OFFERED 20000
#define STEPS 10

static struct ret_request request(bool idempotent)
{
	return (struct ret_request){ .idempotent = idempotent,
				     .attempts = 1,
				     .body_replayable = true,
				     .deadline_us = 1000 };
}

PLAIN(outcome_decides_on_retry)
{
	static const bool retryable[] = { [RET_NOT_RUN] = true,
					  [RET_SHED] = false,
					  [RET_MOVED] = true,
					  [RET_UNKNOWN] = false };
	struct ret *r = ret_create();
	struct ret_request idempotent_request = request(true),
			   not_idempotent = request(false);

	for (int o = RET_NOT_RUN; o <= RET_UNKNOWN; o++) {
		assert_true(ret_allows(r, &idempotent_request,
				       (enum ret_outcome)o, 0));
		assert_int_equal(
			ret_allows(r, &not_idempotent, (enum ret_outcome)o, 0),
			retryable[o]);
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

PLAIN(moved_is_free_and_the_budget_is_limited)
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

/*
 * Sends requests to an upstream that fails failing_pct percent of them; returns
 * the number of attempts.
 */
static uint32_t send_requests(struct ret *r, uint32_t failing_pct,
			      uint64_t *seed)
{
	uint32_t executed = 0;

	for (int i = 0; i < OFFERED; i++) {
		struct ret_request q = request(true);

		ret_request_seen(r);
		executed++;
		while (prng_below(seed, 100) < failing_pct &&
		       ret_allows(r, &q, RET_UNKNOWN, 0)) {
			q.attempts++;
			executed++;
		}
	}
	return executed;
}

/*
 * The budget allows 10 retries per 100 requests and one burst. Without it, a
 * failed upstream would get three times the offered load.
 */
PLAIN(failing_upstream_gets_no_more_than_the_budget)
{
	const uint32_t bound =
		OFFERED + OFFERED * RET_BUDGET_PCT / 100 + RET_BURST;
	uint64_t seed = PRNG_SEED;

	print_message("seed %u\n", PRNG_SEED);
	for (uint32_t step = 0; step <= STEPS; step++) {
		struct ret *r = ret_create();
		uint32_t pct = step * 100 / STEPS;
		uint32_t executed = send_requests(r, pct, &seed);

		print_message("%u%% failing: offered %u executed %u\n", pct,
			      OFFERED, executed);
		assert_in_range(executed, OFFERED, bound);
		ret_destroy(r);
	}
}

PLAIN(delay_grows_and_has_jitter)
{
	uint64_t seed = PRNG_SEED;
	uint64_t low = UINT64_MAX, high = 0;

	for (int i = 0; i < 1000; i++) {
		uint64_t d = ret_delay_us(1, prng_next(&seed));

		low = d < low ? d : low;
		high = d > high ? d : high;
		assert_true(ret_delay_us(2, 0) > ret_delay_us(1, 0));
		assert_true(ret_delay_us(1000, prng_next(&seed)) < US_PER_S);
	}
	assert_true(high > low);
	assert_true(low > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(outcome_decides_on_retry),
		cmocka_unit_test(no_retry_without_body_time_or_attempts),
		cmocka_unit_test(moved_is_free_and_the_budget_is_limited),
		cmocka_unit_test(failing_upstream_gets_no_more_than_the_budget),
		cmocka_unit_test(delay_grows_and_has_jitter),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
