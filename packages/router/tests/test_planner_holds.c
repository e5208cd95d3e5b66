/*
 * The first plan of a service in memory, without a network. Guards against keys
 * that are assigned while upstreams hold them by grants of a map that the table
 * service has lost, and against a first start that waits without need.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "keylease.h"
#include "planner_int.h"

#define NODES 3
#define SERVICE "s"
#define NOW_US (100 * US_PER_S)
#define NOW_MS 500000
#define HALF (KEYMAP_KEYS / 2)

struct fixture {
	struct planner_node nodes[NODES];
	struct planner_report reports[NODES];
	struct planner_input in;
	struct keymap *map;
};

/* All upstreams have said in the second era that they hold nothing. */
static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	for (size_t i = 0; i < NODES; i++) {
		struct noderow *row = &f->nodes[i].row;
		struct noderpt *report = &f->reports[i].report;

		snprintf(row->node, sizeof(row->node), "n%zu", i);
		snprintf(row->incarnation.node, sizeof(row->incarnation.node),
			 "n%zu", i);
		snprintf(row->incarnation.id, sizeof(row->incarnation.id),
			 "u%zu", i);
		snprintf(row->service, sizeof(row->service), SERVICE);
		row->slots = 4;
		row->takes_work = true;
		f->nodes[i].alive = true;
		report->incarnation = row->incarnation;
		snprintf(report->service, sizeof(report->service), SERVICE);
		report->states_holds = true;
		f->reports[i].at_us = NOW_US;
	}
	f->in = (struct planner_input){ .nodes = f->nodes,
					.node_count = NODES,
					.reports = f->reports,
					.report_count = NODES,
					.now_us = NOW_US,
					.table_now_ms = NOW_MS,
					.era = TBL_FIRST_ERA + 1,
					.era_ms = NOW_MS };
	f->map = keymap_create();
	keymap_set_era(f->map, f->in.era, false);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	keymap_destroy(f->map);
	free(f);
	return 0;
}

/* The upstream of a node reports that it holds the keys. */
static void report_hold(struct fixture *f, size_t node, uint32_t first,
			uint32_t last, uint64_t fence)
{
	struct noderpt *r = &f->reports[node].report;

	r->holds[r->hold_count++] = (struct noderpt_hold){ first, last, fence };
}

static struct planner_result plan(struct fixture *f, bool known)
{
	return planner_plan_keys(&f->in, SERVICE, f->map, known, 0);
}

/* Returns the id of the owner of a key, "" for none. */
static const char *owner_of(const struct fixture *f, uint32_t key)
{
	const struct incarnation *owner =
		keymap_incarnation(f->map, keymap_find(f->map, key)->owner);

	return owner ? owner->id : "";
}

static void first_start_in_a_later_era_does_not_wait(void **state)
{
	struct fixture *f = *state;
	struct planner_result r = plan(f, false);

	assert_false(r.incomplete);
	assert_int_equal(r.keys.keys_assigned, KEYMAP_KEYS);
}

static void first_start_in_the_first_era_does_not_wait_for_reports(void **state)
{
	struct fixture *f = *state;

	f->in.era = TBL_FIRST_ERA;
	f->in.report_count = 0;
	assert_int_equal(plan(f, false).keys.keys_assigned, KEYMAP_KEYS);
}

static void held_keys_stay_with_their_holders(void **state)
{
	struct fixture *f = *state;
	struct planner_result r;

	report_hold(f, 1, 0, 99, 7);
	report_hold(f, 2, 100, HALF - 1, 8);
	r = plan(f, false);
	assert_true(r.incomplete);
	assert_int_equal(r.adopted, HALF);
	assert_int_equal(r.keys.keys_assigned, 0);
	assert_int_equal(r.keys.keys_moved, 0);
	assert_string_equal(owner_of(f, 0), "u1");
	assert_string_equal(owner_of(f, 100), "u2");
	assert_string_equal(owner_of(f, HALF), "");
	assert_true(keymap_find(f->map, 0)->fence > UINT32_MAX);
}

/* Guards against keys of silent upstreams that are assigned too early. */
static void other_keys_wait_for_the_end_of_earlier_leases(void **state)
{
	struct fixture *f = *state;
	struct planner_result r;

	report_hold(f, 1, 0, HALF - 1, 7);
	plan(f, false);
	f->reports[1].report.hold_count = 0;
	f->in.table_now_ms =
		f->in.era_ms + KEYLEASE_TERM_MS + PLANNER_EXPIRY_MARGIN_MS;
	r = plan(f, true);
	assert_true(r.incomplete);
	assert_string_equal(owner_of(f, HALF), "");
	f->in.table_now_ms++;
	r = plan(f, true);
	assert_false(r.incomplete);
	assert_string_not_equal(owner_of(f, HALF), "");
	assert_string_equal(owner_of(f, 0), "u1");
}

/* Guards against the claim of an upstream that is still at work on old keys. */
static void the_highest_fence_of_two_claims_counts(void **state)
{
	struct fixture *f = *state;

	report_hold(f, 0, 0, 999, 7);
	report_hold(f, 1, 500, 1499, 9);
	plan(f, false);
	assert_string_equal(owner_of(f, 499), "u0");
	assert_string_equal(owner_of(f, 500), "u1");
	assert_string_equal(owner_of(f, 1499), "u1");
}

static void upstream_that_has_not_reported_delays_the_plan(void **state)
{
	struct fixture *f = *state;

	f->in.report_count = NODES - 1;
	assert_true(plan(f, false).incomplete);
	assert_false(keymap_has_owner(f->map));
	f->in.report_count = NODES;
	f->reports[0].report.states_holds = false;
	assert_true(plan(f, false).incomplete);
	f->reports[0].report.states_holds = true;
	assert_false(plan(f, false).incomplete);
	assert_true(keymap_has_owner(f->map));
}

static void row_of_an_earlier_era_delays_the_plan(void **state)
{
	struct fixture *f = *state;

	f->nodes[2].earlier = true;
	assert_true(plan(f, false).incomplete);
	assert_false(keymap_has_owner(f->map));
	f->nodes[2].alive = false;
	assert_false(plan(f, false).incomplete);
}

/* Guards against keys of an upstream that has ended and has no successor. */
static void keys_of_an_ended_owner_do_not_wait(void **state)
{
	struct fixture *f = *state;

	report_hold(f, 1, 0, HALF - 1, 7);
	plan(f, false);
	f->nodes[1].alive = false;
	f->reports[1].report.hold_count = 0;
	assert_true(plan(f, true).incomplete);
	assert_string_not_equal(owner_of(f, 0), "");
	assert_string_not_equal(owner_of(f, 0), "u1");
	assert_string_equal(owner_of(f, HALF), "");
}

/*
 * Guards against a map of an older copy that is written again while the upstream
 * of a daemon that cannot be reached holds keys by a later one. What others have
 * reported once is theirs, also when their holds have ended.
 */
static void map_of_a_copy_yields_to_silent_daemons(void **state)
{
	struct fixture *f = *state;
	struct planner_service s = { .name = SERVICE };
	struct keymap *copy = keymap_create();

	keymap_assign(copy, 0, KEYMAP_KEYS - 1, &f->nodes[1].row.incarnation);
	keymap_destroy(f->map);
	f->map = planner_choose_map(&s, &f->in, copy);
	assert_string_equal(owner_of(f, HALF), "u1");
	f->nodes[0].earlier = true;
	planner_collect_holds(&s, &f->in);
	assert_null(planner_choose_map(&s, &f->in, copy));
	report_hold(f, 1, 0, HALF - 1, 7);
	planner_collect_holds(&s, &f->in);
	f->reports[1].report.hold_count = 0;
	planner_collect_holds(&s, &f->in);
	keymap_destroy(f->map);
	f->map = planner_choose_map(&s, &f->in, copy);
	assert_non_null(f->map);
	assert_true(plan(f, true).incomplete);
	assert_string_equal(owner_of(f, 0), "u1");
	assert_string_equal(owner_of(f, HALF), "");
	keymap_destroy(s.reported);
	keymap_destroy(copy);
}

static void report_with_holds_is_read_as_written(void **state)
{
	struct fixture *f = *state;
	struct noderpt *r = &f->reports[0].report;
	struct noderpt out;
	char *text;

	r->pieces[r->piece_count++] = (struct keyplan_load){ 1, 2, 0.5 };
	for (int i = 0; i < 2; i++) {
		text = noderpt_format(r);
		assert_true(noderpt_parse(text, strlen(text), &out));
		free(text);
		assert_true(out.states_holds);
		assert_int_equal(out.hold_count, r->hold_count);
		assert_int_equal(out.piece_count, 1);
		report_hold(f, 0, 3, 4, UINT64_C(8589934592));
	}
	assert_int_equal(out.hold_count, 1);
	assert_int_equal(out.holds[0].last, 4);
	assert_true(out.holds[0].fence == UINT64_C(8589934592));
	r->states_holds = false;
	text = noderpt_format(r);
	assert_true(noderpt_parse(text, strlen(text), &out));
	assert_false(out.states_holds);
	free(text);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(first_start_in_a_later_era_does_not_wait),
		CASE(first_start_in_the_first_era_does_not_wait_for_reports),
		CASE(held_keys_stay_with_their_holders),
		CASE(other_keys_wait_for_the_end_of_earlier_leases),
		CASE(the_highest_fence_of_two_claims_counts),
		CASE(upstream_that_has_not_reported_delays_the_plan),
		CASE(row_of_an_earlier_era_delays_the_plan),
		CASE(keys_of_an_ended_owner_do_not_wait),
		CASE(map_of_a_copy_yields_to_silent_daemons),
		CASE(report_with_holds_is_read_as_written),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
