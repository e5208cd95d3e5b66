/*
 * Guards against a renewal by a collector that keeps a lease which was taken
 * away, loses one that is held, or depends on a collector that is gone.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fake_table.h"
#include "nodelease.h"

#define NODE "node1"
#define TERM_US (KEYLEASE_TERM_MS * US_PER_MS)
/* Interval of renewals, with some room. */
#define RENEWAL_US (2200 * US_PER_MS)

struct fixture {
	struct evloop *loop;
	struct fake table;
	struct nodelease *lease;
	bool has_collector;
	uint64_t expected; /* of the row given to the collector, 0 for none */
	char text[1024];
	uint64_t given_us;
	uint32_t lapses;
};

static void on_found(void *arg, const struct noderow *row)
{
	(void)arg;
	(void)row;
}

static void on_renewed(void *arg)
{
	(void)arg;
}

static void on_lapsed(void *arg, const char *reason)
{
	struct fixture *f = arg;

	(void)reason;
	f->lapses++;
}

static bool collect(void *arg, uint64_t expected, const char *text)
{
	struct fixture *f = arg;

	if (!f->has_collector)
		return false;
	assert_true(strlen(text) < sizeof(f->text));
	strcpy(f->text, text);
	f->expected = expected;
	f->given_us = evloop_now_us(f->loop);
	return true;
}

static const struct nodelease_ops lease_ops = { on_found, on_renewed, on_lapsed,
						on_renewed, collect };

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
	struct noderow row = { .node = NODE };

	f->loop = evloop_create(clk_system(), &err);
	faketbl_open(&f->table, f->loop);
	f->table.version = 10;
	f->has_collector = true;
	f->lease = nodelease_create(f->loop, f->table.tbl, &row, &lease_ops, f);
	run(f, 100 * US_PER_MS);
	assert_int_equal(f->table.writes, 1);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	nodelease_destroy(f->lease);
	run(f, 20 * US_PER_MS);
	evloop_destroy(f->loop);
	free(f);
	return 0;
}

/* Writes the row as the collector does; returns the new version. */
static uint64_t write_collected(struct fixture *f)
{
	struct faketbl_row *row = faketbl_find(&f->table, NODEROW_TABLE, NODE);

	assert_int_equal(row->version, f->expected);
	f->table.version++;
	faketbl_put(&f->table, NODEROW_TABLE, NODE, f->text);
	return f->table.version;
}

static uint64_t table_now_ms(const struct fixture *f)
{
	return evloop_now_us(f->loop) / US_PER_MS;
}

static void collected_renewals_need_no_calls(void **state)
{
	struct fixture *f = *state;

	for (int i = 0; i < 2; i++) {
		f->expected = 0;
		run(f, RENEWAL_US);
		assert_true(f->expected > 0);
		nodelease_collected(f->lease, f->expected, write_collected(f),
				    table_now_ms(f));
		/* It counts from when the row was given to the collector. */
		assert_true(nodelease_end_us(f->lease) <=
			    f->given_us + TERM_US);
		assert_true(nodelease_end_us(f->lease) >
			    f->given_us + TERM_US - RENEWAL_US / 4);
	}
	assert_int_equal(f->table.writes, 1);
	assert_int_equal(f->lapses, 0);
}

/* A collector that has died, or whose result is lost. */
static void without_a_result_the_daemon_writes_its_row(void **state)
{
	struct fixture *f = *state;
	uint64_t before = nodelease_end_us(f->lease);

	run(f, RENEWAL_US);
	assert_true(f->expected > 0);
	/* The row is written, but the daemon never learns of it. */
	write_collected(f);
	f->has_collector = false;
	run(f, RENEWAL_US);
	assert_true(f->table.writes > 1);
	assert_true(nodelease_end_us(f->lease) > before);
	assert_int_equal(f->lapses, 0);
}

static void result_of_another_renewal_is_ignored(void **state)
{
	struct fixture *f = *state;
	uint64_t before = nodelease_end_us(f->lease);

	/* No renewal is in progress. */
	nodelease_collected(f->lease, f->table.version, f->table.version + 1,
			    table_now_ms(f));
	assert_int_equal(nodelease_end_us(f->lease), before);
	run(f, RENEWAL_US);
	nodelease_collected(f->lease, f->expected - 1, f->expected + 1,
			    table_now_ms(f));
	nodelease_collected(f->lease, f->expected, f->expected,
			    table_now_ms(f));
	assert_int_equal(nodelease_end_us(f->lease), before);
}

static void lease_that_was_taken_away_is_lost(void **state)
{
	struct fixture *f = *state;
	struct noderow row = { .node = NODE, .expired = true };
	char *text;

	run(f, RENEWAL_US);
	assert_true(f->expected > 0);
	text = noderow_format(&row);
	f->table.version++;
	faketbl_put(&f->table, NODEROW_TABLE, NODE, text);
	free(text);
	f->has_collector = false;
	run(f, RENEWAL_US);
	assert_int_equal(f->lapses, 1);
}

/* A change of the upstream has to be in the row at once. */
static void change_does_not_wait_for_the_collector(void **state)
{
	struct fixture *f = *state;
	struct incarnation i = { .id = "u", .node = NODE };

	run(f, RENEWAL_US);
	assert_true(f->expected > 0);
	nodelease_set_upstream(f->lease, &i, "s", 4, true, false);
	run(f, 50 * US_PER_MS);
	assert_true(nodelease_is_written(f->lease));
	assert_int_equal(f->table.writes, 2);
	/* The late write of the collector fails, its result never comes. */
	assert_true(faketbl_find(&f->table, NODEROW_TABLE, NODE)->version >
		    f->expected);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(collected_renewals_need_no_calls),
		CASE(without_a_result_the_daemon_writes_its_row),
		CASE(result_of_another_renewal_is_ignored),
		CASE(lease_that_was_taken_away_is_lost),
		CASE(change_does_not_wait_for_the_collector),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
