/* Guards against lost, reverted or misordered rows in the replica. */

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
#define BATCH_ROWS 100
#define BLOCK_ROWS 1000

/* With a linear search per batch the scan takes over 20 million steps. */
#define SCAN_LIMIT_US (2 * US_PER_S)

static enum mir_result apply(struct mir *mirror, const char *key,
			     uint64_t version, uint64_t seq, const char *value,
			     struct err *err)
{
	struct mir_entry entry = { .version = version, .seq = seq };

	snprintf(entry.key, sizeof(entry.key), "%s", key);
	entry.value = (char *)value;
	return mir_apply(mirror, &entry, err);
}

static enum mir_result apply_row(struct mir *mirror, uint32_t partition,
				 uint64_t version, uint64_t seq)
{
	struct row row = { .part = part_id(1, partition),
			   .set = { .version = version, .owner = { 1, 1 } } };
	char key[ROW_KEY_MAX];
	char *value = row_encode(&row);
	enum mir_result result;

	row_key(row.part, key);
	result = apply(mirror, key, version, seq, value, NULL);
	free(value);
	return result;
}

static void older_versions_are_ignored(void **state)
{
	struct mir *mirror = mir_create();
	size_t pos = 0;

	(void)state;
	assert_int_equal(apply_row(mirror, 3, 5, 50), MIR_NEW);
	assert_int_equal(apply_row(mirror, 3, 5, 50), MIR_OLD);
	assert_int_equal(apply_row(mirror, 3, 4, 40), MIR_OLD);
	assert_int_equal(mir_row(mirror, part_id(1, 3))->set.version, 5);
	assert_int_equal(apply_row(mirror, 3, 6, 60), MIR_NEW);
	assert_int_equal(mir_row(mirror, part_id(1, 3))->set.version, 6);
	assert_int_equal(mir_get(mirror, "row/1/3")->seq, 60);
	assert_non_null(mir_next_row(mirror, &pos));
	assert_null(mir_next_row(mirror, &pos));
	assert_null(mir_row(mirror, part_id(2, 3)));
	mir_destroy(mirror);
}

static void invalid_rows_leave_the_stored_row(void **state)
{
	struct mir *mirror = mir_create();
	struct err err = { 0 };

	(void)state;
	apply_row(mirror, 3, 5, 50);
	assert_int_equal(apply(mirror, "row/1/3", 6, 60, "{", &err),
			 MIR_INVALID);
	assert_int_equal(err.code, ROW_BAD_JSON);
	assert_int_equal(apply(mirror, "row/1/4", 6, 60,
			       mir_get(mirror, "row/1/3")->value, &err),
			 MIR_INVALID);
	assert_int_equal(err.code, ROW_BAD_KEY);
	assert_int_equal(apply(mirror, "", 1, 70, "{}", &err), MIR_INVALID);
	assert_int_equal(mir_get(mirror, "row/1/3")->version, 5);
	assert_int_equal(mir_row(mirror, part_id(1, 3))->set.version, 5);
	assert_int_equal(
		apply(mirror, "manifest", 1, 71, "{\"version\":1}", &err),
		MIR_NEW);
	assert_string_equal(mir_get(mirror, "manifest")->value,
			    "{\"version\":1}");
	mir_destroy(mirror);
}

static void members_are_found_by_instance(void **state)
{
	struct mir *mirror = mir_create();
	struct member member = { .proc = { 9, 77 }, .address = "127.0.0.1" };
	char *value = member_encode(&member);
	size_t pos = 0;

	(void)state;
	assert_int_equal(apply(mirror, "member/9", 1, 1, value, NULL), MIR_NEW);
	free(value);
	member.proc.incarnation = 78;
	member.state = MEMBER_GONE;
	value = member_encode(&member);
	assert_int_equal(apply(mirror, "member/9", 2, 2, value, NULL), MIR_NEW);
	free(value);
	assert_int_equal(mir_member_count(mirror), 1);
	assert_int_equal(mir_member(mirror, 9)->proc.incarnation, 78);
	assert_ptr_equal(mir_next_member(mirror, &pos), mir_member(mirror, 9));
	assert_null(mir_next_member(mirror, &pos));
	mir_destroy(mirror);
}

static void complete_seq_never_decreases(void **state)
{
	struct mir *mirror = mir_create();

	(void)state;
	mir_set_complete(mirror, 9);
	mir_set_complete(mirror, 7);
	assert_int_equal(mir_complete(mirror), 9);
	mir_destroy(mirror);
}

static void count_change(void *arg, const struct mir_entry *entry)
{
	assert_non_null(entry->value);
	++*(int *)arg;
}

static void subscribers_are_called_for_changes_only(void **state)
{
	struct mir *mirror = mir_create();
	int changes = 0;

	(void)state;
	for (int i = 0; i < MIR_SUBSCRIBERS_MAX; i++)
		assert_true(mir_subscribe(mirror, count_change, &changes));
	assert_false(mir_subscribe(mirror, count_change, &changes));
	apply_row(mirror, 1, 2, 2);
	apply_row(mirror, 1, 1, 1);
	apply(mirror, "row/1/1", 3, 3, "{", NULL);
	assert_int_equal(changes, MIR_SUBSCRIBERS_MAX);
	mir_destroy(mirror);
}

struct observed_change {
	const struct mir *mirror;
	uint64_t before; /* version, 0 for a new row */
	uint64_t after; /* version, 0 for another kind of row */
};

static void record_change(void *arg, const struct mir_entry *entry)
{
	struct observed_change *change = arg;
	const struct row_set *previous_set;
	const struct row *row = mir_changed_row(change->mirror, &previous_set);

	(void)entry;
	change->before = previous_set ? previous_set->version : 0;
	change->after = row ? row->set.version : 0;
}

/* Guards against subscribers that still count the processes of the old set. */
static void subscribers_get_the_previous_set(void **state)
{
	struct mir *mirror = mir_create();
	struct observed_change observed_change = { .mirror = mirror };
	const struct row_set *previous_set;

	(void)state;
	assert_true(mir_subscribe(mirror, record_change, &observed_change));
	apply_row(mirror, 1, 2, 2);
	assert_int_equal(observed_change.before, 0);
	assert_int_equal(observed_change.after, 2);
	apply_row(mirror, 1, 5, 5);
	assert_int_equal(observed_change.before, 2);
	assert_int_equal(observed_change.after, 5);
	apply_row(mirror, 2, 1, 6);
	assert_int_equal(observed_change.before, 0);
	apply_row(mirror, 1, 6, 7);
	apply(mirror, "manifest", 1, 8, "{\"version\":1}", NULL);
	assert_int_equal(observed_change.before, 0);
	assert_int_equal(observed_change.after, 0);
	assert_null(mir_changed_row(mirror, &previous_set));
	assert_null(previous_set);
	mir_destroy(mirror);
}

/* Reads all rows in batches and checks order, count and duplicates. */
static void check_all_batches(const struct mir *mirror, size_t expected)
{
	const struct mir_entry *batch[BATCH_ROWS];
	uint64_t last = 0;
	size_t total = 0;
	size_t count;

	while ((count = mir_since(mirror, last, batch, BATCH_ROWS)) > 0) {
		for (size_t i = 0; i < count; i++) {
			assert_true(batch[i]->seq > last);
			last = batch[i]->seq;
		}
		total += count;
	}
	assert_int_equal(total, expected);
}

/*
 * Guards against lost or duplicate rows when rows arrive out of order and are
 * written again.
 */
static void since_returns_all_rows_in_order(void **state)
{
	struct mir *mirror = mir_create();
	uint64_t seq = ROWS;
	uint64_t start;

	(void)state;
	for (uint32_t i = 0; i < ROWS; i++) /* descending in each block */
		apply_row(mirror, i, 1,
			  i / BLOCK_ROWS * BLOCK_ROWS + BLOCK_ROWS -
				  i % BLOCK_ROWS);
	check_all_batches(mirror, ROWS);
	for (uint32_t i = 0; i < ROWS; i += 2)
		apply_row(mirror, i, 2, ++seq);
	for (uint32_t i = 0; i < 10; i++) {
		for (uint64_t version = 3; version < 1000; version++)
			apply_row(mirror, i, version, ++seq);
	}
	start = clk_mono_us(clk_system());
	check_all_batches(mirror, ROWS);
	assert_true(clk_mono_us(clk_system()) - start < SCAN_LIMIT_US);
	mir_destroy(mirror);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(older_versions_are_ignored),
		cmocka_unit_test(invalid_rows_leave_the_stored_row),
		cmocka_unit_test(members_are_found_by_instance),
		cmocka_unit_test(complete_seq_never_decreases),
		cmocka_unit_test(subscribers_are_called_for_changes_only),
		cmocka_unit_test(subscribers_get_the_previous_set),
		cmocka_unit_test(since_returns_all_rows_in_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
