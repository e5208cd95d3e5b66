/* Guards against lost, reverted or disordered rows in the mirror. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "mir.h"

#define ROWS 65000
#define BATCH 100
#define BLOCK 1000

/* A linear search for each batch would need over 20 million steps. */
#define SCAN_LIMIT_US (2 * US_PER_S)

static enum mir_result put(struct mir *m, const char *key, uint64_t version,
			   uint64_t seq, const char *value, struct err *err)
{
	struct mir_entry e = { .version = version, .seq = seq };

	snprintf(e.key, sizeof(e.key), "%s", key);
	e.value = (char *)value;
	return mir_apply(m, &e, err);
}

static enum mir_result put_row(struct mir *m, uint32_t partition,
			       uint64_t version, uint64_t seq)
{
	struct row row = { .part = part_id(1, partition),
			   .set = { .version = version, .owner = { 1, 1 } } };
	char key[ROW_KEY_MAX];
	char *value = row_encode(&row);
	enum mir_result result;

	row_key(row.part, key);
	result = put(m, key, version, seq, value, NULL);
	free(value);
	return result;
}

static void older_rows_change_nothing(void **state)
{
	struct mir *m = mir_create();
	size_t pos = 0;

	(void)state;
	assert_int_equal(put_row(m, 3, 5, 50), MIR_NEW);
	assert_int_equal(put_row(m, 3, 5, 50), MIR_OLD);
	assert_int_equal(put_row(m, 3, 4, 40), MIR_OLD);
	assert_int_equal(mir_row(m, part_id(1, 3))->set.version, 5);
	assert_int_equal(put_row(m, 3, 6, 60), MIR_NEW);
	assert_int_equal(mir_row(m, part_id(1, 3))->set.version, 6);
	assert_int_equal(mir_get(m, "row/1/3")->seq, 60);
	assert_non_null(mir_next_row(m, &pos));
	assert_null(mir_next_row(m, &pos));
	assert_null(mir_row(m, part_id(2, 3)));
	mir_destroy(m);
}

static void unreadable_rows_leave_the_held_one(void **state)
{
	struct mir *m = mir_create();
	struct err err = { 0 };

	(void)state;
	put_row(m, 3, 5, 50);
	assert_int_equal(put(m, "row/1/3", 6, 60, "{", &err), MIR_INVALID);
	assert_int_equal(err.code, ROW_BAD_JSON);
	assert_int_equal(
		put(m, "row/1/4", 6, 60, mir_get(m, "row/1/3")->value, &err),
		MIR_INVALID);
	assert_int_equal(err.code, ROW_BAD_KEY);
	assert_int_equal(put(m, "", 1, 70, "{}", &err), MIR_INVALID);
	assert_int_equal(mir_get(m, "row/1/3")->version, 5);
	assert_int_equal(mir_row(m, part_id(1, 3))->set.version, 5);
	assert_int_equal(put(m, "manifest", 1, 71, "{\"version\":1}", &err),
			 MIR_NEW);
	assert_string_equal(mir_get(m, "manifest")->value, "{\"version\":1}");
	mir_destroy(m);
}

static void members_are_found_by_instance(void **state)
{
	struct mir *m = mir_create();
	struct member member = { .proc = { 9, 77 }, .address = "127.0.0.1" };
	char *value = member_encode(&member);
	size_t pos = 0;

	(void)state;
	assert_int_equal(put(m, "member/9", 1, 1, value, NULL), MIR_NEW);
	free(value);
	member.proc.incarnation = 78;
	member.state = MEMBER_GONE;
	value = member_encode(&member);
	assert_int_equal(put(m, "member/9", 2, 2, value, NULL), MIR_NEW);
	free(value);
	assert_int_equal(mir_member_count(m), 1);
	assert_int_equal(mir_member(m, 9)->proc.incarnation, 78);
	assert_ptr_equal(mir_next_member(m, &pos), mir_member(m, 9));
	assert_null(mir_next_member(m, &pos));
	mir_destroy(m);
}

static void complete_never_falls(void **state)
{
	struct mir *m = mir_create();

	(void)state;
	mir_set_complete(m, 9);
	mir_set_complete(m, 7);
	assert_int_equal(mir_complete(m), 9);
	mir_destroy(m);
}

static void count_change(void *arg, const struct mir_entry *entry)
{
	assert_non_null(entry->value);
	++*(int *)arg;
}

static void subscribers_hear_of_changes_only(void **state)
{
	struct mir *m = mir_create();
	int changes = 0;

	(void)state;
	for (int i = 0; i < MIR_SUBSCRIBERS_MAX; i++)
		assert_true(mir_subscribe(m, count_change, &changes));
	assert_false(mir_subscribe(m, count_change, &changes));
	put_row(m, 1, 2, 2);
	put_row(m, 1, 1, 1);
	put(m, "row/1/1", 3, 3, "{", NULL);
	assert_int_equal(changes, MIR_SUBSCRIBERS_MAX);
	mir_destroy(m);
}

struct told {
	const struct mir *mir;
	uint64_t before; /* version, 0 for a new row */
	uint64_t after; /* version, 0 for another kind of row */
};

static void note_change(void *arg, const struct mir_entry *entry)
{
	struct told *t = arg;
	const struct row_set *before;
	const struct row *row = mir_changed_row(t->mir, &before);

	(void)entry;
	t->before = before ? before->version : 0;
	t->after = row ? row->set.version : 0;
}

/* Guards against counts that keep what a row named before. */
static void subscribers_see_the_set_before_the_change(void **state)
{
	struct mir *m = mir_create();
	struct told told = { .mir = m };
	const struct row_set *before;

	(void)state;
	assert_true(mir_subscribe(m, note_change, &told));
	put_row(m, 1, 2, 2);
	assert_int_equal(told.before, 0);
	assert_int_equal(told.after, 2);
	put_row(m, 1, 5, 5);
	assert_int_equal(told.before, 2);
	assert_int_equal(told.after, 5);
	put_row(m, 2, 1, 6);
	assert_int_equal(told.before, 0);
	put_row(m, 1, 6, 7);
	put(m, "manifest", 1, 8, "{\"version\":1}", NULL);
	assert_int_equal(told.before, 0);
	assert_int_equal(told.after, 0);
	assert_null(mir_changed_row(m, &before));
	assert_null(before);
	mir_destroy(m);
}

/* Reads everything in batches and checks order, count and duplicates. */
static void check_scan(const struct mir *m, size_t expected)
{
	const struct mir_entry *batch[BATCH];
	uint64_t last = 0;
	size_t total = 0;
	size_t count;

	while ((count = mir_since(m, last, batch, BATCH)) > 0) {
		for (size_t i = 0; i < count; i++) {
			assert_true(batch[i]->seq > last);
			last = batch[i]->seq;
		}
		total += count;
	}
	assert_int_equal(total, expected);
}

/* Rows arrive out of order and are written again; none is lost or doubled. */
static void since_is_in_order_and_complete(void **state)
{
	struct mir *m = mir_create();
	uint64_t seq = ROWS;
	uint64_t start;

	(void)state;
	for (uint32_t i = 0; i < ROWS; i++) /* backwards in each block */
		put_row(m, i, 1, i / BLOCK * BLOCK + BLOCK - i % BLOCK);
	check_scan(m, ROWS);
	for (uint32_t i = 0; i < ROWS; i += 2)
		put_row(m, i, 2, ++seq);
	for (uint32_t i = 0; i < 10; i++) {
		for (uint64_t version = 3; version < 1000; version++)
			put_row(m, i, version, ++seq);
	}
	start = clk_mono_us(clk_system());
	check_scan(m, ROWS);
	assert_true(clk_mono_us(clk_system()) - start < SCAN_LIMIT_US);
	mir_destroy(m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(older_rows_change_nothing),
		cmocka_unit_test(unreadable_rows_leave_the_held_one),
		cmocka_unit_test(members_are_found_by_instance),
		cmocka_unit_test(complete_never_falls),
		cmocka_unit_test(subscribers_hear_of_changes_only),
		cmocka_unit_test(subscribers_see_the_set_before_the_change),
		cmocka_unit_test(since_is_in_order_and_complete),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
