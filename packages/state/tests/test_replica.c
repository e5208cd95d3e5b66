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
#include "replica.h"

#define ROWS 65000
#define BATCH_ROWS 100
#define BLOCK_ROWS 1000

/* With a linear search per batch the scan takes over 20 million steps. */
#define SCAN_LIMIT_US (2 * US_PER_S)

static enum replica_result apply(struct table_replica *replica, const char *key,
				 uint64_t version, uint64_t seq,
				 const char *value, struct err *err)
{
	struct replica_entry entry = { .version = version, .seq = seq };

	snprintf(entry.key, sizeof(entry.key), "%s", key);
	entry.value = (char *)value;
	return replica_apply(replica, &entry, err);
}

static enum replica_result apply_row(struct table_replica *replica,
				     uint32_t partition, uint64_t version,
				     uint64_t seq)
{
	struct row row = { .part = part_id(1, partition),
			   .set = { .version = version, .owner = { 1, 1 } } };
	char key[ROW_KEY_MAX];
	char *value = row_encode(&row);
	enum replica_result result;

	row_key(row.part, key);
	result = apply(replica, key, version, seq, value, NULL);
	free(value);
	return result;
}

static void older_versions_are_ignored(void **state)
{
	struct table_replica *replica = replica_create();
	size_t pos = 0;

	(void)state;
	assert_int_equal(apply_row(replica, 3, 5, 50), REPLICA_UPDATED);
	assert_int_equal(apply_row(replica, 3, 5, 50), REPLICA_OLD_VERSION);
	assert_int_equal(apply_row(replica, 3, 4, 40), REPLICA_OLD_VERSION);
	assert_int_equal(replica_row(replica, part_id(1, 3))->set.version, 5);
	assert_int_equal(apply_row(replica, 3, 6, 60), REPLICA_UPDATED);
	assert_int_equal(replica_row(replica, part_id(1, 3))->set.version, 6);
	assert_int_equal(replica_get(replica, "row/1/3")->seq, 60);
	assert_non_null(replica_next_row(replica, &pos));
	assert_null(replica_next_row(replica, &pos));
	assert_null(replica_row(replica, part_id(2, 3)));
	replica_destroy(replica);
}

static void invalid_rows_leave_the_stored_row(void **state)
{
	struct table_replica *replica = replica_create();
	struct err err = { 0 };

	(void)state;
	apply_row(replica, 3, 5, 50);
	assert_int_equal(apply(replica, "row/1/3", 6, 60, "{", &err),
			 REPLICA_INVALID);
	assert_int_equal(err.code, ROW_BAD_JSON);
	assert_int_equal(apply(replica, "row/1/4", 6, 60,
			       replica_get(replica, "row/1/3")->value, &err),
			 REPLICA_INVALID);
	assert_int_equal(err.code, ROW_BAD_KEY);
	assert_int_equal(apply(replica, "", 1, 70, "{}", &err),
			 REPLICA_INVALID);
	assert_int_equal(replica_get(replica, "row/1/3")->version, 5);
	assert_int_equal(replica_row(replica, part_id(1, 3))->set.version, 5);
	assert_int_equal(
		apply(replica, "manifest", 1, 71, "{\"version\":1}", &err),
		REPLICA_UPDATED);
	assert_string_equal(replica_get(replica, "manifest")->value,
			    "{\"version\":1}");
	replica_destroy(replica);
}

static void members_are_found_by_instance(void **state)
{
	struct table_replica *replica = replica_create();
	struct member member = { .proc = { 9, 77 }, .address = "127.0.0.1" };
	char *value = member_encode(&member);
	size_t pos = 0;

	(void)state;
	assert_int_equal(apply(replica, "member/9", 1, 1, value, NULL),
			 REPLICA_UPDATED);
	free(value);
	member.proc.incarnation = 78;
	member.state = MEMBER_GONE;
	value = member_encode(&member);
	assert_int_equal(apply(replica, "member/9", 2, 2, value, NULL),
			 REPLICA_UPDATED);
	free(value);
	assert_int_equal(replica_member_count(replica), 1);
	assert_int_equal(replica_member(replica, 9)->proc.incarnation, 78);
	assert_ptr_equal(replica_next_member(replica, &pos),
			 replica_member(replica, 9));
	assert_null(replica_next_member(replica, &pos));
	replica_destroy(replica);
}

static void complete_seq_never_decreases(void **state)
{
	struct table_replica *replica = replica_create();

	(void)state;
	replica_set_complete_seq(replica, 9);
	replica_set_complete_seq(replica, 7);
	assert_int_equal(replica_complete_seq(replica), 9);
	replica_destroy(replica);
}

static void count_change(void *arg, const struct replica_entry *entry)
{
	assert_non_null(entry->value);
	++*(int *)arg;
}

static void subscribers_are_called_for_changes_only(void **state)
{
	struct table_replica *replica = replica_create();
	int changes = 0;

	(void)state;
	for (int i = 0; i < REPLICA_SUBSCRIBERS_MAX; i++)
		assert_true(replica_subscribe(replica, count_change, &changes));
	assert_false(replica_subscribe(replica, count_change, &changes));
	apply_row(replica, 1, 2, 2);
	apply_row(replica, 1, 1, 1);
	apply(replica, "row/1/1", 3, 3, "{", NULL);
	assert_int_equal(changes, REPLICA_SUBSCRIBERS_MAX);
	replica_destroy(replica);
}

struct observed_change {
	const struct table_replica *replica;
	uint64_t before; /* version, 0 for a new row */
	uint64_t after; /* version, 0 for another kind of row */
};

static void record_change(void *arg, const struct replica_entry *entry)
{
	struct observed_change *change = arg;
	const struct row_set *previous_set;
	const struct row *row =
		replica_changed_row(change->replica, &previous_set);

	(void)entry;
	change->before = previous_set ? previous_set->version : 0;
	change->after = row ? row->set.version : 0;
}

/* Guards against subscribers that still count the processes of the old set. */
static void subscribers_get_the_previous_set(void **state)
{
	struct table_replica *replica = replica_create();
	struct observed_change observed_change = { .replica = replica };
	const struct row_set *previous_set;

	(void)state;
	assert_true(
		replica_subscribe(replica, record_change, &observed_change));
	apply_row(replica, 1, 2, 2);
	assert_int_equal(observed_change.before, 0);
	assert_int_equal(observed_change.after, 2);
	apply_row(replica, 1, 5, 5);
	assert_int_equal(observed_change.before, 2);
	assert_int_equal(observed_change.after, 5);
	apply_row(replica, 2, 1, 6);
	assert_int_equal(observed_change.before, 0);
	apply_row(replica, 1, 6, 7);
	apply(replica, "manifest", 1, 8, "{\"version\":1}", NULL);
	assert_int_equal(observed_change.before, 0);
	assert_int_equal(observed_change.after, 0);
	assert_null(replica_changed_row(replica, &previous_set));
	assert_null(previous_set);
	replica_destroy(replica);
}

/* Reads all rows in batches and checks order, count and duplicates. */
static void check_all_batches(const struct table_replica *replica,
			      size_t expected)
{
	const struct replica_entry *batch[BATCH_ROWS];
	uint64_t last = 0;
	size_t total = 0;
	size_t count;

	while ((count = replica_rows_since(replica, last, batch, BATCH_ROWS)) >
	       0) {
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
	struct table_replica *replica = replica_create();
	uint64_t seq = ROWS;
	uint64_t start;

	(void)state;
	for (uint32_t i = 0; i < ROWS; i++) /* descending in each block */
		apply_row(replica, i, 1,
			  i / BLOCK_ROWS * BLOCK_ROWS + BLOCK_ROWS -
				  i % BLOCK_ROWS);
	check_all_batches(replica, ROWS);
	for (uint32_t i = 0; i < ROWS; i += 2)
		apply_row(replica, i, 2, ++seq);
	for (uint32_t i = 0; i < 10; i++) {
		for (uint64_t version = 3; version < 1000; version++)
			apply_row(replica, i, version, ++seq);
	}
	start = clk_mono_us(clk_system());
	check_all_batches(replica, ROWS);
	assert_true(clk_mono_us(clk_system()) - start < SCAN_LIMIT_US);
	replica_destroy(replica);
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
