/*
 * Tests that requests go to the process that was last seen to serve a partition
 * rather than to one that no longer does, and that forwards are limited.
 */

#include <stdlib.h>

#include "route_test.h"
#include "route.h"

#define VERSION 4

static const struct proc owner = { 1, 11 }, successor = { 2, 22 },
			 witness = { 3, 33 }, other = { 4, 44 };

static struct table_replica *replica;
static struct route_cache *routes;
static struct route_search t;
static uint64_t part;

/* Applies a row with this version to the replica. */
static void put_row(uint64_t version, const struct proc *own,
		    const struct proc *succ)
{
	struct row row = { .part = part, .writer = *own };
	struct replica_entry e = { .version = version, .seq = version };
	struct err err = { 0 };

	row.set.version = version;
	row.set.owner = *own;
	row.set.witness[ROW_SUCCESSOR] = *succ;
	row.set.witness[1] = witness;
	row_key(part, e.key);
	e.value = row_encode(&row);
	assert_int_equal(replica_apply(replica, &e, &err), REPLICA_UPDATED);
	free(e.value);
}

static int setup(void **state)
{
	(void)state;
	replica = replica_create();
	routes = route_cache_create(replica);
	part = part_id(7, 5);
	t = (struct route_search){ .part = part };
	put_row(VERSION, &owner, &successor);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	route_cache_destroy(routes);
	replica_destroy(replica);
	return 0;
}

/* Checks the next process to try; NULL if none is expected. */
static void expect(const struct proc *p)
{
	struct proc out = { 0 };

	assert_int_equal(route_next(routes, &t, &out), p != NULL);
	if (p)
		assert_true(proc_equal(&out, p));
}

PLAIN(owner_comes_before_successor)
{
	expect(&owner);
	expect(&successor);
	expect(NULL);
}

PLAIN(hint_and_last_seen_come_first)
{
	route_set_serving(routes, part, VERSION, &successor);
	expect(&successor);
	t.hint = other;
	expect(&other);
	expect(&owner);
	expect(NULL);
}

PLAIN(hint_of_a_tried_process_is_not_tried_again)
{
	expect(&owner);
	t.hint = owner;
	expect(&successor);
	expect(NULL);
}

PLAIN(forwards_are_limited_to_three)
{
	for (uint32_t i = 0; i < ROUTE_FORWARDS_MAX; i++) {
		t.hint = (struct proc){ 100 + i, 1 };
		expect(&t.hint);
	}
	t.hint = other;
	expect(NULL);
}

PLAIN(process_that_failed_is_not_preferred)
{
	route_set_serving(routes, part, VERSION, &successor);
	route_invalidate(routes, part, &other);
	route_invalidate(routes, part, &successor);
	expect(&owner);
}

PLAIN(newer_row_replaces_the_cached_process)
{
	route_set_serving(routes, part, VERSION, &successor);
	put_row(VERSION + 1, &other, &owner);
	expect(&other);
	expect(&owner);
	expect(NULL);
}

PLAIN(late_answer_of_an_older_version_changes_nothing)
{
	route_set_serving(routes, part, VERSION + 1, &other);
	route_set_serving(routes, part, VERSION, &successor);
	expect(&other);
	route_set_serving(routes, part, VERSION + 1, &owner);
	t = (struct route_search){ .part = part };
	expect(&owner);
	expect(&successor);
}

PLAIN(partition_without_row_has_only_hints)
{
	t.part = part_id(7, 6);
	expect(NULL);
	t.hint = other;
	expect(&other);
	expect(NULL);
}

int main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(owner_comes_before_successor),
		TEST(hint_and_last_seen_come_first),
		TEST(hint_of_a_tried_process_is_not_tried_again),
		TEST(forwards_are_limited_to_three),
		TEST(process_that_failed_is_not_preferred),
		TEST(newer_row_replaces_the_cached_process),
		TEST(late_answer_of_an_older_version_changes_nothing),
		TEST(partition_without_row_has_only_hints),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
