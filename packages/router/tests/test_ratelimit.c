/*
 * Guards against an upstream that gets more requests than the limit which it
 * names, and against a queue whose requests wait longer than predicted.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "clk.h"
#include "ratelimit.h"

#define STEP_US (5 * US_PER_MS)
#define WINDOW_US (4 * US_PER_S)
#define RUN_US (20 * US_PER_S)
#define STEPS (RUN_US / STEP_US)
#define WINDOW_STEPS (WINDOW_US / STEP_US)

static uint32_t taken[STEPS];

/* Takes all tokens that there are; returns the most in a window. */
static uint32_t take_greedily(struct ratelimit *l, uint64_t idle_us)
{
	uint32_t most = 0;

	memset(taken, 0, sizeof(taken));
	for (size_t i = 0; i < STEPS; i++) {
		uint64_t now = US_PER_S + i * STEP_US;
		uint32_t n = 0;

		/* Requests come in bursts, with pauses of idle_us. */
		while (i * STEP_US % (idle_us + STEP_US) == 0 &&
		       ratelimit_take(l, now))
			taken[i]++;
		for (size_t k = i < WINDOW_STEPS ? 0 : i - WINDOW_STEPS + 1;
		     k <= i; k++)
			n += taken[k];
		most = n > most ? n : most;
	}
	return most;
}

static void no_window_exceeds_the_limit(void **state)
{
	static const double limits[] = { 0.5, 1, 3.7, 13.7, 47.5, 900 };
	static const uint64_t idle_us[] = { 0, 95 * US_PER_MS, 1 * US_PER_S };

	(void)state;
	for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		for (size_t k = 0; k < 3; k++) {
			struct ratelimit l = { 0 };
			uint32_t most;

			ratelimit_set(&l, limits[i], US_PER_S);
			most = take_greedily(&l, idle_us[k]);
			/* Well below the 1.5 times and 5 more of the users. */
			assert_true(most <= limits[i] * 4 * 1.1 + 2);
			if (idle_us[k] == 0)
				assert_true(most >= (uint32_t)(limits[i] * 4));
		}
	}
}

static void limit_of_nothing_is_asked_again(void **state)
{
	struct ratelimit l = { 0 };
	uint32_t most;

	(void)state;
	ratelimit_set(&l, 0, US_PER_S);
	most = take_greedily(&l, 0);
	assert_in_range(most, 1, 4);
}

static void request_starts_when_predicted(void **state)
{
	struct ratelimit l = { 0 };
	uint64_t now = 5 * US_PER_S;
	uint64_t wait;

	(void)state;
	assert_int_equal(ratelimit_wait_us(&l, 7, now), 0);
	ratelimit_set(&l, 10, now);
	wait = ratelimit_wait_us(&l, 2, now);
	assert_in_range(wait, 299 * US_PER_MS, 301 * US_PER_MS);
	for (int i = 0; i < 3; i++) {
		uint64_t next = ratelimit_wait_us(&l, 0, now);

		assert_false(ratelimit_take(&l, now + next - US_PER_MS));
		now += next + 10;
		assert_true(ratelimit_take(&l, now));
	}
	assert_in_range(now, 5 * US_PER_S + wait,
			5 * US_PER_S + wait + US_PER_MS);
}

/* Guards against tokens of a higher limit that are kept under a lower one. */
static void changed_limit_binds_at_once(void **state)
{
	struct ratelimit l = { 0 };

	(void)state;
	ratelimit_set(&l, 400, US_PER_S);
	assert_true(ratelimit_take(&l, 2 * US_PER_S));
	ratelimit_set(&l, 2, 3 * US_PER_S);
	assert_true(ratelimit_take(&l, 3 * US_PER_S));
	assert_false(ratelimit_take(&l, 3 * US_PER_S));
	/* An answer that repeats the limit brings no tokens. */
	ratelimit_set(&l, 2, 3 * US_PER_S + 100 * US_PER_MS);
	assert_false(ratelimit_take(&l, 3 * US_PER_S + 100 * US_PER_MS));
	ratelimit_clear(&l);
	for (int i = 0; i < 100; i++)
		assert_true(ratelimit_take(&l, 3 * US_PER_S));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_window_exceeds_the_limit),
		cmocka_unit_test(limit_of_nothing_is_asked_again),
		cmocka_unit_test(request_starts_when_predicted),
		cmocka_unit_test(changed_limit_binds_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
