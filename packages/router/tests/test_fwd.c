#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "fwd_int.h"

#define DEADLINE_US (2 * US_PER_S)

/* Guards against a response that is cut off before its time is over. */
static void test_response_under_way_has_until_its_deadline(void **state)
{
	struct fwd *f = calloc(1, sizeof(*f));

	(void)state;
	f->deadline_us = DEADLINE_US;
	f->begun = true;
	assert_true(fwd_limit_us(f) >= DEADLINE_US);
	/* Its caller does not wait for it much longer. */
	assert_true(fwd_limit_us(f) <= DEADLINE_US + 50 * US_PER_MS);
	free(f);
}

/* Guards against an answer of the daemon that comes too late to be used. */
static void test_own_answer_comes_before_the_deadline(void **state)
{
	struct fwd *f = calloc(1, sizeof(*f));

	(void)state;
	f->deadline_us = DEADLINE_US;
	assert_true(fwd_limit_us(f) < DEADLINE_US);
	f->deadline_us = 1;
	assert_int_equal(fwd_limit_us(f), 0);
	free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_response_under_way_has_until_its_deadline),
		cmocka_unit_test(test_own_answer_comes_before_the_deadline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
