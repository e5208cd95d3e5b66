/*
 * Tests that witnesses do not share a data centre and are not leaving, and that
 * no move merely swaps the loads of two members or moves a hot key around.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>

#include "placement.h"

#define SERVICE 1
#define MEMBERS_MAX 40
#define PART part_id(SERVICE, 0)

static const struct placement_policy available = { PLACEMENT_COST_UNAVAILABLE,
						   25, 4 };
static const struct placement_policy churn = { PLACEMENT_COST_CHURN, 25, 4 };

struct fixture {
	struct member members[MEMBERS_MAX];
	struct placement_member entries[MEMBERS_MAX];
	struct placement_view view;
};

static struct proc proc_of(uint32_t instance)
{
	return (struct proc){ instance, instance * 100ULL };
}

/* Adds the next instance; location is "region/data centre". */
static void add(struct fixture *b, uint16_t service, const char *location)
{
	size_t i = b->view.count++;
	struct member *m = &b->members[i];

	m->proc = proc_of((uint32_t)i + 1);
	m->service = service;
	m->slots = 6;
	snprintf(m->data_centre, sizeof(m->data_centre), "%s", location);
	snprintf(m->region, sizeof(m->region), "%.1s", location);
	b->entries[i].member = m;
	b->view.members = b->entries;
}

static bool arm(const struct fixture *b, const struct row_set *old,
		uint32_t owner, const struct placement_policy *policy,
		struct row_set *set)
{
	struct proc p = proc_of(owner);

	return placement_assign_witnesses(&b->view, PART, old, &p, policy, set);
}

static void successor_stays_in_the_region(void **state)
{
	struct fixture b = { 0 };
	struct row_set set;

	(void)state;
	add(&b, SERVICE, "a/1");
	add(&b, SERVICE, "a/1");
	add(&b, SERVICE, "a/2");
	add(&b, SERVICE, "b/1");
	b.entries[2].succeeds = 50;
	assert_true(arm(&b, NULL, 1, &available, &set));
	assert_int_equal(set.witness[ROW_SUCCESSOR].instance, 3);
	assert_int_equal(set.witness[1].instance, 4);
	b.members[2].state = MEMBER_DRAINING;
	assert_true(arm(&b, NULL, 1, &available, &set));
	assert_int_equal(set.witness[ROW_SUCCESSOR].instance, 4);
	assert_int_equal(set.witness[1].instance, 2);
}

/* The second witness may be of any service, but in a third data centre. */
static void second_witness_is_in_a_third_centre(void **state)
{
	struct fixture b = { 0 };
	struct row_set set;

	(void)state;
	add(&b, SERVICE, "a/1");
	add(&b, SERVICE, "a/2");
	add(&b, 2, "a/2");
	add(&b, 2, "a/1");
	assert_true(arm(&b, NULL, 1, &available, &set));
	assert_int_equal(set.witness[ROW_SUCCESSOR].instance, 2);
	assert_int_equal(set.witness[1].instance, 3);
	add(&b, 2, "b/3");
	assert_true(arm(&b, &set, 1, &available, &set));
	assert_int_equal(set.witness[1].instance, 5);
	assert_int_equal(set.version, 2);
}

static void suitable_witnesses_are_kept(void **state)
{
	struct fixture b = { 0 };
	struct row_set old;
	struct row_set set;

	(void)state;
	for (int i = 0; i < 3; i++) {
		add(&b, SERVICE, "a/1");
		add(&b, SERVICE, "a/2");
		add(&b, SERVICE, "a/3");
	}
	assert_true(arm(&b, NULL, 1, &churn, &old));
	b.entries[old.witness[0].instance - 1].succeeds = 9;
	b.entries[old.witness[1].instance - 1].witnesses = 9;
	assert_true(arm(&b, &old, 1, &churn, &set));
	assert_true(proc_equal(&set.witness[0], &old.witness[0]));
	assert_true(proc_equal(&set.witness[1], &old.witness[1]));
	/*
	 * Above its share: PLACEMENT_COST_UNAVAILABLE chooses another
	 * successor.
	 */
	assert_true(arm(&b, &old, 1, &available, &set));
	assert_int_not_equal(set.witness[0].instance, old.witness[0].instance);
	/* A restarted witness has lost its state and must be replaced. */
	b.members[old.witness[1].instance - 1].proc.incarnation++;
	assert_false(placement_is_complete(&b.view, &old));
	assert_true(arm(&b, &old, 1, &churn, &set));
	assert_true(placement_is_complete(&b.view, &set));
	assert_false(proc_equal(&set.witness[1], &old.witness[1]));
	assert_true(proc_equal(&set.witness[0], &old.witness[0]));
}

static void new_successor_has_the_fewest_rows(void **state)
{
	struct fixture b = { 0 };
	struct row_set set;

	(void)state;
	add(&b, SERVICE, "a/1");
	for (int i = 0; i < 8; i++)
		add(&b, SERVICE, "a/2");
	for (size_t i = 0; i < b.view.count; i++)
		b.entries[i].succeeds = 3;
	b.entries[5].succeeds = 2;
	arm(&b, NULL, 1, &available, &set);
	assert_int_equal(set.witness[ROW_SUCCESSOR].instance, 6);
}

static void missing_witnesses_have_incarnation_0(void **state)
{
	struct fixture b = { 0 };
	struct row_set set;

	(void)state;
	assert_false(placement_choose_owner(&b.view, PART, 1, &churn, &set));
	add(&b, SERVICE, "a/1");
	assert_false(arm(&b, NULL, 1, &churn, &set));
	assert_int_equal(set.owner.instance, 1);
	assert_int_equal(set.witness[0].incarnation, 0);
	assert_int_equal(set.witness[1].incarnation, 0);
	assert_false(placement_is_complete(&b.view, &set));
	assert_true(placement_choose_owner(&b.view, PART, 7, &churn, &set));
	assert_int_equal(set.version, 7);
	add(&b, 2, "a/1");
	assert_false(arm(&b, NULL, 1, &churn, &set));
	assert_int_equal(set.witness[0].incarnation, 0);
	assert_int_equal(set.witness[1].instance, 2);
}

static void leaving_members_get_no_new_partitions(void **state)
{
	struct fixture b = { 0 };
	struct placement_load loads[] = { { PART, 1 }, { PART + 1, 1 } };
	struct row_set set;
	struct proc target;
	uint64_t part;

	(void)state;
	for (int i = 0; i < 3; i++)
		add(&b, SERVICE, "a/1");
	b.entries[0].load = 2;
	b.members[1].state = MEMBER_DRAINING;
	b.members[2].state = MEMBER_GONE;
	for (uint32_t i = 0; i < 64; i++) {
		assert_true(placement_choose_owner(&b.view, PART + i, 1, &churn,
						   &set));
		assert_int_equal(set.owner.instance, 1);
		assert_int_equal(set.witness[0].incarnation, 0);
		assert_true(
			placement_is_creator(&b.view, PART + i, &set.owner));
		assert_false(placement_drain_target(&b.view, &set.owner, PART,
						    &target));
	}
	assert_false(placement_next_move(&b.view, &set.owner, loads, 2,
					 &available, &part, &target));
}

static void only_one_member_creates_a_row(void **state)
{
	struct fixture b = { 0 };

	(void)state;
	for (int i = 0; i < 8; i++)
		add(&b, i < 6 ? SERVICE : 2, "a/1");
	for (uint32_t part = 0; part < 100; part++) {
		int creators = 0;

		for (uint32_t i = 1; i <= 8; i++) {
			struct proc p = proc_of(i);

			creators +=
				placement_is_creator(&b.view, PART + part, &p);
		}
		assert_int_equal(creators, 1);
	}
}

static bool next_move(struct fixture *b, const double *loads, size_t count,
		      const struct placement_policy *policy, uint64_t *part,
		      struct proc *target)
{
	struct proc self = proc_of(1);
	struct placement_load list[8];

	b->entries[0].load = 0;
	for (size_t i = 0; i < count; i++) {
		list[i] = (struct placement_load){ PART + i, loads[i] };
		b->entries[0].load += loads[i];
	}
	return placement_next_move(&b->view, &self, list, count, policy, part,
				   target);
}

static void moves_reduce_the_imbalance(void **state)
{
	static const double one_hot[] = { 0.3, 0.1, 0.1, 0.1 };
	static const double single[] = { 0.9 };
	static const double pair[] = { 0.4, 0.4 };
	static const double swap[] = { 0.5, 0.5 };
	static const double small_excess[] = { 0.2, 0.2, 0.22 };
	struct placement_policy no_moves = { PLACEMENT_COST_CHURN, 25, 0 };
	struct fixture b = { 0 };
	struct proc target;
	uint64_t part;

	(void)state;
	for (int i = 0; i < 3; i++)
		add(&b, SERVICE, "a/1");
	b.entries[1].load = 0.1;
	/*
	 * Not the hottest, although its move would reduce the imbalance most.
	 */
	assert_true(next_move(&b, one_hot, 4, &available, &part, &target));
	assert_int_equal(part, PART + 1);
	assert_int_equal(target.instance, 3);
	assert_false(next_move(&b, one_hot, 4, &no_moves, &part, &target));
	assert_false(next_move(&b, single, 1, &available, &part, &target));
	assert_true(next_move(&b, pair, 2, &churn, &part, &target));
	/* A target that ends up with the load of self is not an improvement. */
	b.entries[1].load = b.entries[2].load = 0.5;
	assert_false(next_move(&b, swap, 2, &available, &part, &target));
	/*
	 * 0.62 exceeds the limit by 0.003, too little to move 0.2 under
	 * PLACEMENT_COST_CHURN.
	 */
	b.entries[1].load = 0.56;
	b.entries[2].load = 0.3;
	assert_true(next_move(&b, small_excess, 3, &available, &part, &target));
	assert_false(next_move(&b, small_excess, 3, &churn, &part, &target));
}

/* The limit of candidates must not exclude the only member below the mean. */
static void target_is_below_the_mean_among_many(void **state)
{
	static const double loads[] = { 0.3, 0.3, 0.3 };
	struct fixture b = { 0 };
	struct proc target;
	uint64_t part;

	(void)state;
	for (int i = 0; i < MEMBERS_MAX; i++)
		add(&b, SERVICE, "a/1");
	for (uint32_t idle = 1; idle < MEMBERS_MAX; idle++) {
		for (uint32_t i = 1; i < MEMBERS_MAX; i++)
			b.entries[i].load = i == idle ? 0 : 0.55;
		assert_true(
			next_move(&b, loads, 3, &available, &part, &target));
		assert_int_equal(target.instance, idle + 1);
	}
}

static void drain_prefers_the_successor_under_churn(void **state)
{
	struct fixture b = { 0 };
	struct row_set set = { .owner = proc_of(1), .witness = { proc_of(2) } };
	struct proc self = proc_of(1);
	struct proc target;

	(void)state;
	for (int i = 0; i < 3; i++)
		add(&b, SERVICE, "a/1");
	b.members[0].state = MEMBER_DRAINING;
	b.entries[1].load = 0.5;
	b.entries[2].load = 0.4;
	assert_true(placement_drain_target_of_row(&b.view, &self, PART, &set,
						  &available, &target));
	assert_int_equal(target.instance, 3);
	b.entries[1].load = 0.4;
	assert_true(placement_drain_target_of_row(&b.view, &self, PART, &set,
						  &churn, &target));
	assert_int_equal(target.instance, 2);
	b.entries[1].load = 0.9;
	assert_true(placement_drain_target_of_row(&b.view, &self, PART, &set,
						  &churn, &target));
	assert_int_equal(target.instance, 3);
}

static void imbalance_partition_and_modulo(void **state)
{
	static const double loads[] = { 1, 2, 3 };

	(void)state;
	assert_true(fabs(placement_imbalance(loads, 3) - 1.5) < 1e-9);
	assert_true(placement_imbalance(NULL, 0) == 1);
	/*
	 * The published XXH3 of an empty input, so that callers can rely on it.
	 */
	assert_int_equal(placement_partition_of_key("", 0, 65536),
			 0x2d06800538d394c2ULL % 65536);
	assert_int_equal(placement_partition_of_key("", 0, 0), 0);
	assert_int_equal(placement_owner_modulo(part_id(3, 10), 4), 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(successor_stays_in_the_region),
		cmocka_unit_test(second_witness_is_in_a_third_centre),
		cmocka_unit_test(suitable_witnesses_are_kept),
		cmocka_unit_test(new_successor_has_the_fewest_rows),
		cmocka_unit_test(missing_witnesses_have_incarnation_0),
		cmocka_unit_test(leaving_members_get_no_new_partitions),
		cmocka_unit_test(only_one_member_creates_a_row),
		cmocka_unit_test(moves_reduce_the_imbalance),
		cmocka_unit_test(target_is_below_the_mean_among_many),
		cmocka_unit_test(drain_prefers_the_successor_under_churn),
		cmocka_unit_test(imbalance_partition_and_modulo),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
