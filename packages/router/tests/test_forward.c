#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>
#include <utlist.h>

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

/*
 * Guards against a request, taken before a planned stop, that is cut off without
 * an answer when the process ends.
 */
static void test_stop_ends_requests_in_progress(void **state)
{
	struct err err = { 0 };
	struct evloop *l = evloop_create(clk_system(), &err);
	struct fwd_parts parts = { .loop = l };
	struct fwd *w = fwd_create(&parts);
	struct fwd_request late = { .owner = w }, early = { .owner = w };
	uint64_t now = evloop_now_us(l);

	(void)state;
	late.deadline_us = now + 9 * US_PER_S;
	early.deadline_us = now + 1 * US_PER_S;
	DL_APPEND2(w->all, &late, all_prev, all_next);
	DL_APPEND2(w->all, &early, all_prev, all_next);
	fwd_set_end(w, now + 3 * US_PER_S);
	assert_int_equal(late.deadline_us, now + 3 * US_PER_S);
	assert_int_not_equal(late.deadline_timer, 0);
	assert_int_equal(early.deadline_us, now + 1 * US_PER_S);
	tmr_cancel(evloop_timers(l), late.deadline_timer);
	fwd_destroy(w);
	evloop_destroy(l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_started_response_has_until_its_deadline),
		cmocka_unit_test(test_own_reply_is_sent_before_the_deadline),
		cmocka_unit_test(test_stop_ends_requests_in_progress),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
