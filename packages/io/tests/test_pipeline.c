#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "pipeline.h"

#define BUDGET (4 * PIPELINE_RESPONSE_BYTES)

static const struct pipeline_request safe = { .overlaps = true, .bytes = 100 };
static const struct pipeline_request unsafe = { .bytes = 100 };

/* Starts all requests that may run; returns how many. */
static uint32_t start_all(struct pipeline *p)
{
	uint32_t handle, started = 0;

	while ((handle = pipeline_next_start(p)) != PIPELINE_NONE) {
		pipeline_start(p, handle);
		started++;
	}
	return started;
}

/* Guards against a request that waits for the response to an earlier one. */
static void safe_requests_run_side_by_side(void **state)
{
	struct pipeline_budget budget = { .limit = BUDGET };
	struct pipeline *p = pipeline_create(&budget);
	uint32_t a, b;

	(void)state;
	a = pipeline_add(p, &safe);
	b = pipeline_add(p, &safe);
	assert_int_equal(start_all(p), 2);
	assert_true(pipeline_is_first(p, a));
	assert_false(pipeline_is_first(p, b));
	assert_int_equal(pipeline_earlier_count(p, b), 1);
	pipeline_remove_first(p);
	assert_true(pipeline_is_first(p, b));
	pipeline_destroy(p);
	assert_int_equal(budget.used, 0);
}

/*
 * Guards against a request that is not repeatable and has run although an
 * earlier response closes the connection, and against one that overtakes it.
 */
static void unsafe_request_runs_alone(void **state)
{
	struct pipeline_budget budget = { .limit = BUDGET };
	struct pipeline *p = pipeline_create(&budget);
	uint32_t handle;

	(void)state;
	pipeline_add(p, &safe);
	handle = pipeline_add(p, &unsafe);
	pipeline_add(p, &safe);
	assert_int_equal(start_all(p), 1);
	pipeline_remove_first(p);
	assert_int_equal(pipeline_next_start(p), handle);
	assert_int_equal(start_all(p), 1);
	pipeline_remove_first(p);
	assert_int_equal(start_all(p), 1);
	pipeline_destroy(p);
}

/* Guards against requests that run behind a response that closes. */
static void nothing_runs_behind_the_last_request(void **state)
{
	const struct pipeline_request closing = { .overlaps = true,
						  .last = true };
	struct pipeline_budget budget = { .limit = BUDGET };
	struct pipeline *p = pipeline_create(&budget);
	uint32_t handle = pipeline_add(p, &safe);

	(void)state;
	assert_true(pipeline_may_read(p));
	pipeline_set_last(p, handle);
	assert_false(pipeline_may_read(p));
	start_all(p);
	pipeline_remove_first(p);
	pipeline_add(p, &closing);
	assert_false(pipeline_may_read(p));
	pipeline_destroy(p);
}

/*
 * Guards against clients that pipeline and do not read their responses until
 * memory is exhausted. The first request of a connection always runs.
 */
static void memory_for_later_responses_is_bounded(void **state)
{
	struct pipeline_budget budget = { .limit = BUDGET };
	struct pipeline *p = pipeline_create(&budget);
	struct pipeline *q = pipeline_create(&budget);
	uint32_t second;

	(void)state;
	pipeline_add(p, &safe);
	second = pipeline_add(p, &safe);
	for (int i = 0; i < 6; i++)
		pipeline_add(p, &safe);
	/* Besides the first, three fit with the bytes of the requests. */
	assert_int_equal(start_all(p), 4);
	assert_true(budget.used <= BUDGET);
	pipeline_add(q, &safe);
	pipeline_add(q, &safe);
	assert_int_equal(start_all(q), 1);
	pipeline_hold(p, second, PIPELINE_RESPONSE_BYTES);
	assert_false(pipeline_is_over_budget(p));
	pipeline_hold(p, second, PIPELINE_RESPONSE_BYTES);
	assert_true(pipeline_is_over_budget(q));
	assert_false(pipeline_may_read(q));
	/* A response whose turn has come is not counted any more. */
	pipeline_remove_first(p);
	assert_false(pipeline_is_over_budget(q));
	assert_true(pipeline_may_read(q));
	pipeline_destroy(p);
	pipeline_destroy(q);
	assert_int_equal(budget.used, 0);
}

/* Guards against an unbounded number of requests on one connection. */
static void requests_of_a_connection_are_bounded(void **state)
{
	struct pipeline_budget budget = { .limit = SIZE_MAX };
	struct pipeline *p = pipeline_create(&budget);

	(void)state;
	for (uint32_t i = 0; i < PIPELINE_REQUESTS_MAX; i++) {
		assert_true(pipeline_may_read(p));
		pipeline_add(p, &safe);
	}
	assert_false(pipeline_may_read(p));
	assert_int_equal(start_all(p), PIPELINE_REQUESTS_MAX);
	pipeline_remove_first(p);
	assert_true(pipeline_may_read(p));
	pipeline_destroy(p);
}

/* Guards against handles that go wrong after many requests. */
static void a_long_connection_keeps_its_order(void **state)
{
	struct pipeline_budget budget = { .limit = BUDGET };
	struct pipeline *p = pipeline_create(&budget);

	(void)state;
	for (uint32_t i = 0; i < 1000; i++) {
		uint32_t a = pipeline_add(p, &safe);
		uint32_t b = pipeline_add(p, &safe);

		assert_int_equal(start_all(p), 2);
		assert_true(pipeline_is_first(p, a));
		pipeline_remove_first(p);
		assert_int_equal(pipeline_earlier_count(p, b), 0);
		pipeline_remove_first(p);
		assert_false(pipeline_is_first(p, b));
	}
	pipeline_destroy(p);
	assert_int_equal(budget.used, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(safe_requests_run_side_by_side),
		cmocka_unit_test(unsafe_request_runs_alone),
		cmocka_unit_test(nothing_runs_behind_the_last_request),
		cmocka_unit_test(memory_for_later_responses_is_bounded),
		cmocka_unit_test(requests_of_a_connection_are_bounded),
		cmocka_unit_test(a_long_connection_keeps_its_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
