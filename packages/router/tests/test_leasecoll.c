/*
 * Guards against calls of the table service that grow with the number of
 * daemons, and against a collected renewal that keeps a lease which was taken
 * away, or costs other daemons theirs.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fake_table.h"
#include "leasecoll.h"
#include "noderow.h"
#include "tblcount.h"

#define DAEMONS 20
#define MANY_DAEMONS 100
#define SETTLE_US (400 * US_PER_MS)

struct fixture {
	struct evloop *loop;
	struct fake table;
	struct leasecoll *collector;
};

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct err err = { 0 };

	f->loop = evloop_create(clk_system(), &err);
	faketbl_open(&f->table, f->loop);
	f->collector = leasecoll_create(f->loop, f->table.tbl);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	leasecoll_destroy(f->collector);
	evloop_run_once(f->loop, 10 * US_PER_MS);
	evloop_destroy(f->loop);
	free(f);
	return 0;
}

static void run(struct fixture *f, uint64_t us)
{
	uint64_t end = evloop_now_us(f->loop) + us;

	while (evloop_now_us(f->loop) < end)
		evloop_run_once(f->loop, US_PER_MS);
}

/* Adds the renewal of daemon number i; false if it is rejected. */
static bool add(struct fixture *f, int i, uint64_t expected, uint64_t until_ms)
{
	struct noderow row = { .lease_until_ms = until_ms };
	char *text;
	bool ok;

	snprintf(row.node, sizeof(row.node), "node%d", i);
	text = noderow_format(&row);
	ok = leasecoll_add(f->collector, row.node, expected, text,
			   strlen(text));
	free(text);
	return ok;
}

static bool find(struct fixture *f, int i, struct leasecoll_result *out)
{
	char node[NAME_SIZE];

	snprintf(node, sizeof(node), "node%d", i);
	return leasecoll_find_result(f->collector, node, out);
}

static void renewals_share_a_call(void **state)
{
	struct fixture *f = *state;
	struct leasecoll_result r;

	for (int i = 0; i < DAEMONS; i++)
		assert_true(add(f, i, 0, 1000));
	run(f, SETTLE_US);
	assert_int_equal(f->table.writes, 1);
	for (int i = 0; i < DAEMONS; i++) {
		assert_true(find(f, i, &r));
		assert_int_equal(r.expected, 0);
		assert_int_equal(r.version, f->table.version);
		assert_true(r.now_ms > 0);
	}
	/* The daemon asks again, as the result was lost: no further call. */
	assert_true(add(f, 3, 0, 1000));
	run(f, SETTLE_US);
	assert_int_equal(f->table.writes, 1);
}

/* The leader has taken the lease of one daemon away meanwhile. */
static void conflict_of_one_row_does_not_cost_the_others(void **state)
{
	struct fixture *f = *state;
	struct leasecoll_result r;
	uint64_t first;

	for (int i = 0; i < 3; i++)
		add(f, i, 0, 1000);
	run(f, SETTLE_US);
	first = f->table.version;
	f->table.version++;
	faketbl_put(&f->table, NODEROW_TABLE, "node1", "taken away");
	for (int i = 0; i < 3; i++)
		add(f, i, first, 2000);
	run(f, SETTLE_US);
	assert_true(find(f, 0, &r));
	assert_int_equal(r.expected, first);
	assert_true(find(f, 2, &r));
	assert_int_equal(r.expected, first);
	assert_false(find(f, 1, &r));
	assert_string_equal(
		faketbl_find(&f->table, NODEROW_TABLE, "node1")->value,
		"taken away");
}

/* Without the table there is no result, and no endless repetition. */
static void refused_write_has_no_result(void **state)
{
	struct fixture *f = *state;
	struct leasecoll_result r;

	f->table.down = true;
	add(f, 0, 0, 1000);
	run(f, 3 * SETTLE_US);
	assert_int_equal(f->table.writes, 1);
	assert_false(find(f, 0, &r));
	f->table.down = false;
	add(f, 0, 0, 1000);
	run(f, SETTLE_US);
	assert_true(find(f, 0, &r));
}

/* A message cannot write anything but a valid row of its own daemon. */
static void foreign_rows_are_rejected(void **state)
{
	struct fixture *f = *state;
	struct noderow row = { .node = "node1", .expired = true };
	char *text = noderow_format(&row);

	assert_false(
		leasecoll_add(f->collector, "node1", 0, text, strlen(text)));
	assert_false(
		leasecoll_add(f->collector, "node2", 0, text, strlen(text)));
	assert_false(leasecoll_add(f->collector, "node1", 0, "{", 1));
	free(text);
	run(f, SETTLE_US);
	assert_int_equal(f->table.writes, 0);
}

/*
 * Guards against a call with more entries than the table service takes, which
 * refuses all of them. Each renewal has two.
 */
static void more_renewals_than_fit_are_written_by_several_calls(void **state)
{
	struct fixture *f = *state;
	struct leasecoll_result r;

	for (int i = 0; i < MANY_DAEMONS; i++)
		assert_true(add(f, i, 0, 1000));
	run(f, 3 * SETTLE_US);
	assert_int_equal(f->table.writes, 2);
	for (int i = 0; i < MANY_DAEMONS; i++)
		assert_true(find(f, i, &r));
}

static void on_result(void *arg, const struct tbl_result *r)
{
	(void)arg;
	(void)r;
}

/* Guards against calls whose number no metric tells by kind. */
static void calls_are_counted_by_kind(void **state)
{
	struct fixture *f = *state;
	struct tblcount *c = tblcount_create(f->table.tbl);
	struct tbl t = tblcount_interface(c);
	const struct tbl_change row = { .table = NODEROW_TABLE,
					.key = "a",
					.value = "b" };

	t.ops->write(t.self, &row, 1, on_result, NULL);
	t.ops->read(t.self, "geraniumspoke-plan", on_result, NULL);
	t.ops->watch(t.self, "op", 0, 0, on_result, NULL);
	run(f, 10 * US_PER_MS);
	assert_int_equal(tblcount_calls(c, TBLCOUNT_LEASES, TBLCOUNT_WRITE), 1);
	assert_int_equal(tblcount_calls(c, TBLCOUNT_PLAN, TBLCOUNT_READ), 1);
	assert_int_equal(tblcount_calls(c, TBLCOUNT_CONFIG, TBLCOUNT_WATCH), 1);
	assert_int_equal(tblcount_calls(c, TBLCOUNT_PLAN, TBLCOUNT_WATCH), 0);
	tblcount_destroy(c);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(renewals_share_a_call),
		CASE(conflict_of_one_row_does_not_cost_the_others),
		CASE(refused_write_has_no_result),
		CASE(foreign_rows_are_rejected),
		CASE(more_renewals_than_fit_are_written_by_several_calls),
		CASE(calls_are_counted_by_kind),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
