/*
 * Guards against polls of the plan that are made although the leader confirms
 * it, and against a plan that stays out of date when it does not.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "fake_table.h"
#include "planage.h"
#include "planview.h"

#define REPORT_US (500 * US_PER_MS)
#define LEADER "{\"node\":\"n1\",\"peer\":\"127.0.0.1:1\"}"

struct fixture {
	struct evloop *loop;
	struct fake table;
	struct planview *view;
};

static void on_change(void *arg)
{
	(void)arg;
}

static void run(struct fixture *f, uint64_t us)
{
	uint64_t end = evloop_now_us(f->loop) + us;

	while (evloop_now_us(f->loop) < end)
		evloop_run_once(f->loop, 5 * US_PER_MS);
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct err err = { 0 };

	f->loop = evloop_create(clk_system(), &err);
	faketbl_open(&f->table, f->loop);
	f->table.version = 5;
	f->table.hasty = true;
	faketbl_put(&f->table, PLANVIEW_TABLE, PLANVIEW_LEADER, LEADER);
	f->view = planview_create(f->loop, f->table.tbl, on_change, f);
	run(f, 100 * US_PER_MS);
	assert_int_equal(planview_leader(f->view)->version, 5);
	f->table.watches = 0;
	f->table.reads = 0;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	planview_destroy(f->view);
	run(f, 20 * US_PER_MS);
	evloop_destroy(f->loop);
	free(f);
	return 0;
}

/* Lets the leader tell this digest for some reports. */
static void report(struct fixture *f, int reports, uint64_t digest)
{
	for (int i = 0; i < reports; i++) {
		run(f, REPORT_US);
		planview_confirm(f->view, digest);
		planview_check_age(f->view);
	}
}

static void confirmed_plan_is_not_polled(void **state)
{
	struct fixture *f = *state;

	report(f, 11, planview_digest(f->view));
	assert_int_equal(f->table.watches + f->table.reads, 0);
}

/* The leader has died, or cannot be reached. */
static void unconfirmed_plan_is_polled(void **state)
{
	struct fixture *f = *state;

	for (int i = 0; i < 10; i++) {
		run(f, REPORT_US);
		planview_check_age(f->view);
	}
	assert_int_equal(f->table.watches, 1);
}

/* A change was sent and has not arrived. */
static void different_plan_is_polled_soon(void **state)
{
	struct fixture *f = *state;
	uint64_t before = planview_digest(f->view);

	report(f, 2, before);
	report(f, 1, before + 1);
	assert_int_equal(f->table.watches, 0);
	report(f, 4, before + 1);
	assert_int_equal(f->table.watches, 1);
	planview_apply_row(f->view, PLANVIEW_MEMBERS, "[]", 2, 6);
	assert_int_not_equal(planview_digest(f->view), before);
}

/* A long pause is ended by a snapshot, not by each version of each row. */
static void poll_follows_the_age(void **state)
{
	struct planage a = { 0 };
	uint64_t second = US_PER_S;

	(void)state;
	assert_int_equal(planage_due(&a, 10 * second, 13 * second),
			 PLANAGE_NONE);
	assert_int_equal(planage_due(&a, 10 * second, 14 * second),
			 PLANAGE_CHANGES);
	assert_int_equal(planage_due(&a, 10 * second, 18 * second),
			 PLANAGE_SNAPSHOT);
	planage_record(&a, true, 50 * second);
	assert_int_equal(planage_due(&a, 10 * second, 51 * second),
			 PLANAGE_NONE);
	planage_record(&a, false, 51 * second);
	assert_int_equal(planage_due(&a, 10 * second, 51 * second),
			 PLANAGE_NONE);
	planage_record(&a, false, 52 * second);
	assert_int_equal(planage_due(&a, 10 * second, 52 * second),
			 PLANAGE_SNAPSHOT);
	/* The answer has brought nothing: the leader may be behind. */
	assert_int_equal(planage_due(&a, 53 * second, 54 * second),
			 PLANAGE_NONE);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(confirmed_plan_is_not_polled),
		CASE(unconfirmed_plan_is_polled),
		CASE(different_plan_is_polled_soon),
		cmocka_unit_test(poll_follows_the_age),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
