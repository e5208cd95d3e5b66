/*
 * Tests that a request that is not idempotent is never run twice, and that
 * retries do not multiply the load on a failing upstream.
 */

#include "clk.h"
#include "retry.h"
#include "route_test.h"

#define OFFERED 20000
#define STEPS 10
#define BURST 10

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
	struct retry_budget *r = retry_budget_create(BURST, BURST);
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
	struct retry_budget *r = retry_budget_create(BURST, BURST);
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
	struct retry_budget *r = retry_budget_create(BURST, BURST);
	struct retry_request q = request(true);
	int allowed = 0;

	for (int i = 0; i < 10 * BURST; i++) {
		assert_true(retry_allowed(r, &q, RETRY_MOVED, 0));
		allowed += retry_allowed(r, &q, RETRY_NOT_RUN, 0);
	}
	assert_int_equal(allowed, BURST);
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
		OFFERED + OFFERED * RETRY_BUDGET_PCT / 100 + BURST;
	uint64_t seed = PRNG_SEED;

	print_message("seed %u\n", PRNG_SEED);
	for (uint32_t step = 0; step <= STEPS; step++) {
		struct retry_budget *r = retry_budget_create(BURST, BURST);
		uint32_t pct = step * 100 / STEPS;
		uint32_t executed = send_requests(r, pct, &seed);

		print_message("%u%% failing: offered %u executed %u\n", pct,
			      OFFERED, executed);
		assert_in_range(executed, OFFERED, bound);
		retry_budget_destroy(r);
	}
}

/* Guards against a fleet whose new processes all have retries to spend. */
PLAIN(new_budget_may_be_empty)
{
	struct retry_budget *r = retry_budget_create(0, 1);
	struct retry_request q = request(true);

	assert_false(retry_allowed(r, &q, RETRY_NOT_RUN, 0));
	for (int i = 0; i < 100 / RETRY_BUDGET_PCT - 1; i++)
		retry_count_request(r);
	assert_false(retry_allowed(r, &q, RETRY_NOT_RUN, 0));
	for (int i = 0; i < 1000; i++)
		retry_count_request(r);
	assert_true(retry_allowed(r, &q, RETRY_NOT_RUN, 0));
	assert_false(retry_allowed(r, &q, RETRY_NOT_RUN, 0));
	retry_budget_destroy(r);
}

#define DAEMONS 84
#define SIM_S 60
#define STEPS_PER_S 10
#define WINDOW_S 10
#define WINDOW_STEPS (WINDOW_S * STEPS_PER_S)
#define TIMES_MAX (SIM_S * STEPS_PER_S)
#define CALL_PCT 70 /* runs of the first service that call the second one */
#define ALLOWED_PCT 20 /* share of the requests that may be repeated */
#define SLACK 208 /* more of them, for all daemons together */

struct fleet {
	struct retry_budget *budgets[DAEMONS][2];
	uint32_t requests[2][TIMES_MAX];
	uint32_t repeats[2][TIMES_MAX];
	uint32_t failing_pct[2];
	uint64_t seed;
};

/* Sends a request of a daemon until it succeeds or may not be repeated. */
static void send_request(struct fleet *f, uint32_t daemon, uint32_t service,
			 uint32_t time, bool is_repeat)
{
	struct retry_budget *r = f->budgets[daemon][service];
	struct retry_request q = request(true);
	uint64_t now = (uint64_t)time * US_PER_S / STEPS_PER_S;

	q.deadline_us = UINT64_MAX;
	f->requests[service][time]++;
	f->repeats[service][time] += is_repeat;
	retry_count_request(r);
	for (;;) {
		bool repeats = q.attempts > 1;

		if (repeats)
			f->repeats[service][time]++;
		if (service == 0 && prng_below(&f->seed, 100) < CALL_PCT)
			send_request(f, prng_below(&f->seed, DAEMONS), 1, time,
				     repeats);
		if (prng_below(&f->seed, 100) >= f->failing_pct[service] ||
		    !retry_allowed(r, &q, RETRY_UNKNOWN, now))
			return;
		q.attempts++;
	}
}

static uint32_t sum(const uint32_t *counts, int first)
{
	uint32_t n = 0;

	for (int i = first < 0 ? 0 : first;
	     i < first + WINDOW_STEPS && i < TIMES_MAX; i++)
		n += counts[i];
	return n;
}

/* A window, the one before it or the one half a window before: the most. */
static uint32_t most_requests(const uint32_t *counts, int first)
{
	uint32_t most = 0;

	for (int back = 0; back <= WINDOW_STEPS; back += WINDOW_STEPS / 2) {
		uint32_t n = sum(counts, first - back);

		most = n > most ? n : most;
	}
	return most;
}

/* Restarts one daemon in STEPS_PER_S, chosen by the step. */
static void restart_daemons(struct fleet *f, uint32_t step)
{
	for (uint32_t d = step; d < DAEMONS; d += STEPS_PER_S) {
		for (int s = 0; s < 2; s++) {
			retry_budget_destroy(f->budgets[d][s]);
			f->budgets[d][s] = retry_budget_create(0, 1);
		}
	}
}

/*
 * Guards against repetitions that stay within the share at each daemon and pass
 * it for the fleet, with the calls of repeated runs and restarts of daemons.
 */
PLAIN(fleet_repeats_no_more_than_a_fifth)
{
	static struct fleet f;

	f.seed = PRNG_SEED;
	for (uint32_t d = 0; d < DAEMONS; d++) {
		for (int s = 0; s < 2; s++)
			f.budgets[d][s] = retry_budget_create(0, 1);
	}
	for (uint32_t time = 0; time < TIMES_MAX; time++) {
		uint32_t second = time / STEPS_PER_S;

		/* One service fails for a time, then both. */
		f.failing_pct[0] = second >= 20 && second < 50 ? 100 : 2;
		f.failing_pct[1] = second < 10 || second >= 20 ? 100 : 2;
		for (uint32_t d = 0; d < DAEMONS; d++) {
			uint32_t load = 20 + second % 4;

			for (uint32_t i = prng_below(&f.seed, load); i >= 10;
			     i -= 5)
				send_request(&f, d, 0, time, false);
			if (prng_below(&f.seed, load) >= 10)
				send_request(&f, d, 1, time, false);
		}
		if (second == 5 || second == 25 || second == 40)
			restart_daemons(&f, time % STEPS_PER_S);
	}
	for (int first = 0; first + WINDOW_STEPS <= TIMES_MAX; first++) {
		for (int s = 0; s < 2; s++) {
			uint32_t allowed = most_requests(f.requests[s], first) *
						   ALLOWED_PCT / 100 +
					   SLACK;

			assert_in_range(sum(f.repeats[s], first), 0, allowed);
		}
	}
	for (uint32_t d = 0; d < DAEMONS; d++) {
		for (int s = 0; s < 2; s++)
			retry_budget_destroy(f.budgets[d][s]);
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
		cmocka_unit_test(new_budget_may_be_empty),
		cmocka_unit_test(fleet_repeats_no_more_than_a_fifth),
		cmocka_unit_test(delay_grows_and_has_jitter),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
