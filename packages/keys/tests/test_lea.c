#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "clk.h"
#include "lea.h"

#define HOLD_MAX_MS 10000

/* On a clock that is 2 % slow a hold must end before the lease. */
static void test_hold_ends_before_lease(void **state)
{
	(void)state;
	for (uint64_t left_ms = 0; left_ms < 12000; left_ms += 7) {
		uint64_t received = 5 * US_PER_S;
		uint32_t hold = lea_hold_ms(received + left_ms * US_PER_MS,
					    received, HOLD_MAX_MS);

		assert_true((double)hold * 1.02 <= (double)left_ms);
		assert_true(hold <= HOLD_MAX_MS);
	}
}

/* A lease that is over, or nearly, grants nothing. */
static void test_no_hold_without_lease(void **state)
{
	(void)state;
	assert_int_equal(lea_hold_ms(0, 1000, HOLD_MAX_MS), 0);
	assert_int_equal(lea_hold_ms(1000, 1000, HOLD_MAX_MS), 0);
	assert_int_equal(lea_hold_ms(60 * US_PER_MS, 0, HOLD_MAX_MS), 0);
}

/* The table's time lies between the two bounds, however slow the call was. */
static void test_table_time_is_bounded(void **state)
{
	/* The table read 7,000 ms somewhere between 1.0 s and 1.4 s. */
	struct lea_clock c = { 7000, 1000000, 1400000, true };
	uint64_t now = 2000000;

	(void)state;
	assert_int_equal(lea_table_latest_ms(&c, now), 8000);
	assert_int_equal(lea_table_earliest_ms(&c, now), 7600);
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
