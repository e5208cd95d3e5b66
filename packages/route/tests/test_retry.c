/*
 * Tests that a request that is not idempotent is never run twice, and that
 * retries do not multiply the load on a failing upstream.
 */

#include "clk.h"
#include "retry.h"
#include "route_test.h"

#define OFFERED 20000
#define STEPS 10

static struct retry_request request(bool idempotent)
{
	return (struct retry_request){ .idempotent = idempotent,
				       .attempts = 1,
				       .body_replayable = true,
				       .deadline_us = 1000 };
}

PLAIN(outcome_decides_on_retry)
{
	static const bool retryable[] = { [RETRY_NOT_RUN] = true,
					  [RETRY_SHED] = false,
					  [RETRY_MOVED] = true,
					  [RETRY_UNKNOWN] = false };
	struct retry_budget *r = retry_budget_create();
	struct retry_request idempotent_request = request(true),
			     not_idempotent = request(false);

	for (int o = RETRY_NOT_RUN; o <= RETRY_UNKNOWN; o++) {
		assert_true(retry_allowed(r, &idempotent_request,
					  (enum retry_outcome)o, 0));
		assert_int_equal(retry_allowed(r, &not_idempotent,
					       (enum retry_outcome)o, 0),
				 retryable[o]);
	}
	retry_budget_destroy(r);
}

PLAIN(no_retry_without_body_time_or_attempts)
{
	struct retry_budget *r = retry_budget_create();
	struct retry_request q = request(true);

	assert_false(retry_allowed(r, &q, RETRY_NOT_RUN, 1000));
	assert_false(retry_allowed(r, &q, RETRY_MOVED, 1000));
	q.attempts = RETRY_ATTEMPTS_MAX;
	assert_false(retry_allowed(r, &q, RETRY_NOT_RUN, 0));
	q = request(true);
	q.response_started = true;
	assert_false(retry_allowed(r, &q, RETRY_NOT_RUN, 0));
	q = request(true);
	q.body_replayable = false;
	assert_false(retry_allowed(r, &q, RETRY_NOT_RUN, 0));
	retry_budget_destroy(r);
}

PLAIN(moved_is_free_and_the_budget_is_limited)
{
	struct retry_budget *r = retry_budget_create();
	struct retry_request q = request(true);
	int allowed = 0;

	for (int i = 0; i < 10 * RETRY_BURST; i++) {
		assert_true(retry_allowed(r, &q, RETRY_MOVED, 0));
		allowed += retry_allowed(r, &q, RETRY_NOT_RUN, 0);
	}
	assert_int_equal(allowed, RETRY_BURST);
	for (int i = 0; i < 100 / RETRY_BUDGET_PCT; i++)
		retry_count_request(r);
	assert_true(retry_allowed(r, &q, RETRY_NOT_RUN, 0));
	assert_false(retry_allowed(r, &q, RETRY_NOT_RUN, 0));
	retry_budget_destroy(r);
}

/*
 * Sends requests to an upstream that fails failing_pct percent of them; returns
 * the number of attempts.
 */
static uint32_t send_requests(struct retry_budget *r, uint32_t failing_pct,
			      uint64_t *seed)
{
	uint32_t executed = 0;

	for (int i = 0; i < OFFERED; i++) {
		struct retry_request q = request(true);

		retry_count_request(r);
		executed++;
		while (prng_below(seed, 100) < failing_pct &&
		       retry_allowed(r, &q, RETRY_UNKNOWN, 0)) {
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
		OFFERED + OFFERED * RETRY_BUDGET_PCT / 100 + RETRY_BURST;
	uint64_t seed = PRNG_SEED;

	print_message("seed %u\n", PRNG_SEED);
	for (uint32_t step = 0; step <= STEPS; step++) {
		struct retry_budget *r = retry_budget_create();
		uint32_t pct = step * 100 / STEPS;
		uint32_t executed = send_requests(r, pct, &seed);

		print_message("%u%% failing: offered %u executed %u\n", pct,
			      OFFERED, executed);
		assert_in_range(executed, OFFERED, bound);
		retry_budget_destroy(r);
	}
}

PLAIN(delay_grows_and_has_jitter)
{
	uint64_t seed = PRNG_SEED;
	uint64_t low = UINT64_MAX, high = 0;

	for (int i = 0; i < 1000; i++) {
		uint64_t d = retry_delay_us(1, prng_next(&seed));

		low = d < low ? d : low;
		high = d > high ? d : high;
		assert_true(retry_delay_us(2, 0) > retry_delay_us(1, 0));
		assert_true(retry_delay_us(1000, prng_next(&seed)) < US_PER_S);
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
