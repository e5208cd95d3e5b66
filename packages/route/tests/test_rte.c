/*
 * Guards against requests that go to a process that no longer acts while one
 * that does is known, and against forwards without an end.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <cmocka.h>

#include "rte.h"

#define VERSION 4

static const struct proc owner = { 1, 11 }, successor = { 2, 22 },
			 witness = { 3, 33 }, other = { 4, 44 };

struct bench {
	struct mir *mir;
	struct rte *rte;
	uint64_t part;
};

/* Puts a row of a version into the mirror; owner and successor may differ. */
static void put_row(struct bench *b, uint64_t version, const struct proc *own,
		    const struct proc *succ)
{
	struct row row = { .part = b->part, .writer = *own };
	struct mir_entry e = { .version = version, .seq = version };
	struct err err = { 0 };

	row.set.version = version;
	row.set.owner = *own;
	row.set.witness[ROW_SUCCESSOR] = *succ;
	row.set.witness[1] = witness;
	row_key(b->part, e.key);
	e.value = row_encode(&row);
	assert_int_equal(mir_apply(b->mir, &e, &err), MIR_NEW);
	free(e.value);
}

static int setup(void **state)
{
	struct bench *b = calloc(1, sizeof(*b));

	b->mir = mir_create();
	b->rte = rte_create(b->mir);
	b->part = part_id(7, 5);
	put_row(b, VERSION, &owner, &successor);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bench *b = *state;

	rte_destroy(b->rte);
	mir_destroy(b->mir);
	free(b);
	return 0;
}

/* Checks that the next process is the expected one, NULL for none. */
static void expect(struct bench *b, struct rte_try *t, const struct proc *p)
{
	struct proc out = { 0 };

	assert_int_equal(rte_next(b->rte, t, &out), p != NULL);
	if (p)
		assert_true(proc_equal(&out, p));
}

static void owner_comes_before_successor(void **state)
{
	struct bench *b = *state;
	struct rte_try t = { .part = b->part };

	expect(b, &t, &owner);
	expect(b, &t, &successor);
	expect(b, &t, NULL);
}

static void hint_and_last_seen_come_first(void **state)
{
	struct bench *b = *state;
	struct rte_try t = { .part = b->part };

	rte_seen(b->rte, b->part, VERSION, &successor);
	expect(b, &t, &successor);
	t.hint = other;
	expect(b, &t, &other);
	expect(b, &t, &owner);
	expect(b, &t, NULL);
}

static void hint_of_a_tried_process_is_not_tried_again(void **state)
{
	struct bench *b = *state;
	struct rte_try t = { .part = b->part };

	expect(b, &t, &owner);
	t.hint = owner;
	expect(b, &t, &successor);
	expect(b, &t, NULL);
}

static void forwards_end_after_three(void **state)
{
	struct bench *b = *state;
	struct rte_try t = { .part = b->part };

	for (uint32_t i = 0; i < RTE_FORWARDS_MAX; i++) {
		t.hint = (struct proc){ 100 + i, 1 };
		expect(b, &t, &t.hint);
	}
	t.hint = other;
	expect(b, &t, NULL);
}

static void process_that_failed_is_not_preferred(void **state)
{
	struct bench *b = *state;
	struct rte_try t = { .part = b->part };

	rte_seen(b->rte, b->part, VERSION, &successor);
	rte_failed(b->rte, b->part, &other);
	rte_failed(b->rte, b->part, &successor);
	expect(b, &t, &owner);
}

static void newer_row_replaces_what_was_seen(void **state)
{
	struct bench *b = *state;
	struct rte_try t = { .part = b->part };

	rte_seen(b->rte, b->part, VERSION, &successor);
	put_row(b, VERSION + 1, &other, &owner);
	expect(b, &t, &other);
	expect(b, &t, &owner);
	expect(b, &t, NULL);
}

static void late_answer_of_an_older_version_changes_nothing(void **state)
{
	struct bench *b = *state;
	struct rte_try t = { .part = b->part };

	rte_seen(b->rte, b->part, VERSION + 1, &other);
	rte_seen(b->rte, b->part, VERSION, &successor);
	expect(b, &t, &other);
	rte_seen(b->rte, b->part, VERSION + 1, &owner);
	t = (struct rte_try){ .part = b->part };
	expect(b, &t, &owner);
	expect(b, &t, &successor);
}

static void partition_without_row_has_only_hints(void **state)
{
	struct bench *b = *state;
	struct rte_try t = { .part = part_id(7, 6) };

	expect(b, &t, NULL);
	t.hint = other;
	expect(b, &t, &other);
	expect(b, &t, NULL);
}

int main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(owner_comes_before_successor),
		TEST(hint_and_last_seen_come_first),
		TEST(hint_of_a_tried_process_is_not_tried_again),
		TEST(forwards_end_after_three),
		TEST(process_that_failed_is_not_preferred),
		TEST(newer_row_replaces_what_was_seen),
		TEST(late_answer_of_an_older_version_changes_nothing),
		TEST(partition_without_row_has_only_hints),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
