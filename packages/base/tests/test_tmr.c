/* Tests that no timer runs early, twice, out of order or once cancelled. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "slotmap.h"
#include "tmr.h"

struct timer_log {
	struct tmr *timers;
	uint32_t to_cancel;
	int runs;
	uint64_t last_us;
};

static void log_run(void *arg, uint64_t now_us)
{
	struct timer_log *r = arg;

	r->runs++;
	r->last_us = now_us;
}

static void cancel_other_timer(void *arg, uint64_t now_us)
{
	struct timer_log *r = arg;

	(void)now_us;
	tmr_cancel(r->timers, r->to_cancel);
}

static void one_shot_timer_runs_once_when_due(void **state)
{
	struct tmr *t = tmr_create();
	struct timer_log r = { 0 };

	(void)state;
	assert_int_not_equal(tmr_at(t, 100, log_run, &r), 0);
	assert_int_equal(tmr_next_due(t), 100);
	tmr_run_due(t, 99);
	assert_int_equal(r.runs, 0);
	tmr_run_due(t, 100);
	tmr_run_due(t, 200);
	assert_int_equal(r.runs, 1);
	assert_true(tmr_next_due(t) == TMR_NEVER);
	tmr_destroy(t);
}

static void periodic_timer_skips_missed_periods(void **state)
{
	struct tmr *t = tmr_create();
	struct timer_log r = { 0 };

	(void)state;
	tmr_every(t, 10, 10, log_run, &r);
	tmr_run_due(t, 1000);
	assert_int_equal(r.runs, 1);
	assert_int_equal(tmr_next_due(t), 1010);
	tmr_destroy(t);
}

static void callback_cancels_another_due_timer(void **state)
{
	struct tmr *t = tmr_create();
	struct timer_log r = { .timers = t };

	(void)state;
	tmr_at(t, 5, cancel_other_timer, &r);
	r.to_cancel = tmr_at(t, 6, log_run, &r);
	tmr_run_due(t, 10);
	assert_int_equal(r.runs, 0);
	tmr_destroy(t);
}

static void many_timers_run_in_order(void **state)
{
	struct tmr *t = tmr_create();
	struct timer_log r = { 0 };
	uint32_t handles[200];

	(void)state;
	for (uint32_t i = 0; i < 200; i++)
		handles[i] = tmr_at(t, (i * 37) % 200 + 1, log_run, &r);
	for (uint32_t i = 0; i < 200; i += 2)
		tmr_cancel(t, handles[i]);
	for (uint64_t now = 1; now <= 200; now++) {
		tmr_run_due(t, now);
		assert_true(tmr_next_due(t) > now);
	}
	assert_int_equal(r.runs, 100);
	tmr_destroy(t);
}

static void stale_handle_is_not_valid(void **state)
{
	struct slotmap *t = slotmap_create(4);
	int a = 1, b = 2;
	uint32_t first = slotmap_add(t, &a);
	uint32_t second;

	(void)state;
	slotmap_remove(t, first);
	second = slotmap_add(t, &b);
	assert_int_not_equal(first, second);
	assert_null(slotmap_get(t, first));
	assert_ptr_equal(slotmap_get(t, second), &b);
	slotmap_destroy(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_shot_timer_runs_once_when_due),
		cmocka_unit_test(periodic_timer_skips_missed_periods),
		cmocka_unit_test(callback_cancels_another_due_timer),
		cmocka_unit_test(many_timers_run_in_order),
		cmocka_unit_test(stale_handle_is_not_valid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
