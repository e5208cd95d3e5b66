#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "forward_int.h"

#define DEADLINE_US (2 * US_PER_S)

/* Guards against a started response that is aborted before its deadline. */
static void test_started_response_has_until_its_deadline(void **state)
{
	struct fwd_request *f = calloc(1, sizeof(*f));

	(void)state;
	f->deadline_us = DEADLINE_US;
	f->head_sent = true;
	assert_true(fwd_time_limit_us(f) >= DEADLINE_US);
	/* The caller waits little longer than its deadline. */
	assert_true(fwd_time_limit_us(f) <= DEADLINE_US + 50 * US_PER_MS);
	free(f);
}

/* Guards against a reply of the daemon that reaches the caller too late. */
static void test_own_reply_is_sent_before_the_deadline(void **state)
{
	struct fwd_request *f = calloc(1, sizeof(*f));

	(void)state;
	f->deadline_us = DEADLINE_US;
	assert_true(fwd_time_limit_us(f) < DEADLINE_US);
	f->deadline_us = 1;
	assert_int_equal(fwd_time_limit_us(f), 0);
	free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_started_response_has_until_its_deadline),
		cmocka_unit_test(test_own_reply_is_sent_before_the_deadline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
