#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "clk.h"
#include "keylease.h"

#define HOLD_MAX_MS 10000

/* Guards against a hold that outlasts the lease on a clock that is 2 % slow. */
static void test_hold_ends_before_lease(void **state)
{
	(void)state;
	for (uint64_t left_ms = 0; left_ms < 12000; left_ms += 7) {
		uint64_t received = 5 * US_PER_S;
		uint32_t hold = keylease_hold_ms(received + left_ms * US_PER_MS,
						 received, HOLD_MAX_MS);

		assert_true((double)hold * 1.02 <= (double)left_ms);
		assert_true(hold <= HOLD_MAX_MS);
	}
}

/* Guards against a hold under a lease that has expired or soon will. */
static void test_no_hold_without_lease(void **state)
{
	(void)state;
	assert_int_equal(keylease_hold_ms(0, 1000, HOLD_MAX_MS), 0);
	assert_int_equal(keylease_hold_ms(1000, 1000, HOLD_MAX_MS), 0);
	assert_int_equal(keylease_hold_ms(60 * US_PER_MS, 0, HOLD_MAX_MS), 0);
}

/* Guards against bounds of the table's time that ignore the time of a call. */
static void test_table_time_is_bounded(void **state)
{
	/* The table's clock read 7,000 ms at a local time of 1.0 s to 1.4 s. */
	struct keylease_clock clock = { 7000, 1000000, 1400000, true };
	uint64_t now = 2000000;

	(void)state;
	assert_int_equal(keylease_latest_ms(&clock, now), 8000);
	assert_int_equal(keylease_earliest_ms(&clock, now), 7600);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hold_ends_before_lease),
		cmocka_unit_test(test_no_hold_without_lease),
		cmocka_unit_test(test_table_time_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
