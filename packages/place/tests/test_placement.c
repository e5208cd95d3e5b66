/*
 * Tests that rows keep a live successor after the loss of a data centre, and
 * that churn and imbalance stay within what the policy allows.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "placement.h"
#include "placement_sim.h"

#define SERVICE 1
#define SEEDS 5

/* Enough that each has a small part of the load of its owner. */
#define MANY_PARTITIONS 256

static const struct placement_policy available = { PLACEMENT_COST_UNAVAILABLE,
						   25, 4 };
static const struct placement_policy churn = { PLACEMENT_COST_CHURN, 25, 4 };

static struct proc proc_of(uint32_t instance)
{
	return (struct proc){ instance, instance * 100ULL };
}

/* Rows of another service or naming an earlier incarnation are not counted. */
static void view_counts_the_rows_of_the_service(void **state)
{
	struct table_replica *table_replica = replica_create();
	struct replica_entry e = { .version = 1 };
	struct placement_view view;

	(void)state;
	for (uint32_t i = 3; i > 0; i--) {
		struct member m = { .proc = proc_of(i),
				    .address = "127.0.0.1",
				    .service = SERVICE };

		member_key(i, e.key);
		e.seq++;
		e.value = member_encode(&m);
		assert_int_equal(replica_apply(table_replica, &e, NULL),
				 REPLICA_UPDATED);
		free(e.value);
	}
	for (uint16_t service = 1; service <= 2; service++) {
		struct row row = {
			.part = part_id(service, 0),
			.set = { 1, proc_of(1), { proc_of(2), { 3, 1 } } }
		};

		row_key(row.part, e.key);
		e.seq++;
		e.value = row_encode(&row);
		assert_int_equal(replica_apply(table_replica, &e, NULL),
				 REPLICA_UPDATED);
		free(e.value);
	}
	assert_true(placement_view_create(table_replica, SERVICE, NULL, NULL,
					  &view));
	assert_int_equal(view.count, 3);
	for (uint32_t i = 0; i < 3; i++) {
		assert_int_equal(view.members[i].member->proc.instance, i + 1);
		assert_int_equal(view.members[i].owned, i == 0);
		assert_int_equal(view.members[i].succeeds, i == 1);
		assert_int_equal(view.members[i].witnesses, 0);
	}
	placement_view_free(&view);
	replica_destroy(table_replica);
}

struct counted_replica {
	struct table_replica *table_replica;
	struct placement_counts *counts;
	uint64_t writes;
	uint64_t random;
};

static uint32_t random_below(struct counted_replica *c, uint32_t limit)
{
	c->random = c->random * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)(c->random >> 33) % limit;
}

static void count_changed_row(void *arg, const struct replica_entry *entry)
{
	struct counted_replica *c = arg;
	const struct row_set *before;
	const struct row *row = replica_changed_row(c->table_replica, &before);

	(void)entry;
	if (row)
		placement_counts_update(c->counts, row->part, before,
					&row->set);
}

static void apply_value(struct counted_replica *c, struct replica_entry *e,
			char *value)
{
	e->version = ++c->writes;
	e->seq = c->writes;
	e->value = value;
	assert_int_equal(replica_apply(c->table_replica, e, NULL),
			 REPLICA_UPDATED);
	free(value);
}

/* Incarnations vary, as they do when processes restart. */
static struct proc random_proc(struct counted_replica *c)
{
	uint32_t instance = random_below(c, 8) + 1;
	uint32_t incarnation = random_below(c, 3);

	return (struct proc){ instance, incarnation };
}

static void apply_random(struct counted_replica *c)
{
	struct member m = { .proc = random_proc(c),
			    .address = "127.0.0.1",
			    .service = SERVICE };
	uint16_t service = (uint16_t)(random_below(c, 2) + 1);
	struct row row = { .part = part_id(service, random_below(c, 16)) };
	struct replica_entry e = { 0 };

	if (random_below(c, 8) == 0) {
		m.proc.incarnation++;
		member_key(m.proc.instance, e.key);
		apply_value(c, &e, member_encode(&m));
		return;
	}
	row.set = (struct row_set){ .version = c->writes + 1 };
	row.set.owner = random_proc(c);
	row.set.witness[0] = random_proc(c);
	row.set.witness[1] = random_proc(c);
	row.set.owner.incarnation++;
	row_key(row.part, e.key);
	apply_value(c, &e, row_encode(&row));
}

static void expect_same_view(const struct counted_replica *c, uint16_t service)
{
	struct placement_view computed;
	struct placement_view incremental;

	assert_true(placement_view_create(c->table_replica, service, NULL, NULL,
					  &computed));
	assert_true(placement_view_from_counts(c->counts, c->table_replica,
					       service, NULL, NULL,
					       &incremental));
	assert_int_equal(incremental.count, computed.count);
	for (size_t i = 0; i < computed.count; i++) {
		const struct placement_member *x = &computed.members[i];
		const struct placement_member *y = &incremental.members[i];

		assert_ptr_equal(x->member, y->member);
		assert_int_equal(x->owned, y->owned);
		assert_int_equal(x->succeeds, y->succeeds);
		assert_int_equal(x->witnesses, y->witnesses);
	}
	placement_view_free(&computed);
	placement_view_free(&incremental);
}

/*
 * Incremental counts must match the rows even if rows arrive before the members
 * they name, members restart, or rows name processes that are not members.
 */
static void incremental_counts_match_the_rows(void **state)
{
	struct counted_replica c = { .table_replica = replica_create(),
				     .counts = placement_counts_create(),
				     .random = 7 };

	(void)state;
	assert_true(replica_subscribe(c.table_replica, count_changed_row, &c));
	for (int i = 0; i < 2000; i++) {
		apply_random(&c);
		expect_same_view(&c, 1);
		expect_same_view(&c, 2);
	}
	placement_counts_destroy(c.counts);
	replica_destroy(c.table_replica);
}

/* The replica and the view must agree on exactly one creator. */
static void replica_and_view_agree_on_the_creator(void **state)
{
	struct counted_replica c = { .table_replica = replica_create(),
				     .random = 11 };
	struct placement_view view;
	const struct member *m;

	(void)state;
	for (int i = 0; i < 200; i++) {
		uint64_t part = part_id(SERVICE, (uint32_t)i);
		uint32_t creators = 0;
		size_t pos = 0;

		apply_random(&c);
		assert_true(placement_view_create(c.table_replica, SERVICE,
						  NULL, NULL, &view));
		while ((m = replica_next_member(c.table_replica, &pos))) {
			bool is = placement_is_creator_in_replica(
				c.table_replica, part, &m->proc);

			assert_int_equal(is, placement_is_creator(&view, part,
								  &m->proc));
			creators += is;
		}
		assert_int_equal(creators, view.count > 0);
		placement_view_free(&view);
	}
	replica_destroy(c.table_replica);
}

/*
 * A member may stay above the tolerance only if moving any partition would load
 * the target as much. It is then at most one partition above the mean or, under
 * PLACEMENT_COST_CHURN, half a partition above the tolerance.
 */
static double imbalance_bound(const struct placement_policy *policy,
			      const struct sim_result *r)
{
	double limit = 1 + policy->imbalance_tolerance_pct / 100.0;

	if (policy->weigh == PLACEMENT_COST_CHURN)
		limit += r->granularity / 2;
	return fmax(limit, 1 + r->granularity) + 1e-9;
}

/* The share of the new member plus the tolerance. */
static double join_bound(const struct sim_config *c, uint32_t members)
{
	return (double)c->partitions / members *
	       (1 + c->policy.imbalance_tolerance_pct / 100.0);
}

/* The policy limits the moves of each owner per minute. */
static double rate_bound(const struct sim_config *c, uint32_t members,
			 const struct sim_result *r)
{
	return r->forced +
	       (double)r->minutes * members * c->policy.moves_per_minute;
}

/*
 * A partition that has lost its owner may be moved once more by balancing. With
 * few partitions, a large one may displace several small ones, so that only the
 * rate limits the number of moves.
 */
static double churn_bound(const struct sim_config *c, enum sim_event event,
			  uint32_t members, const struct sim_result *r)
{
	bool joins = event == SIM_JOIN || event == SIM_ROLLING;

	if (c->partitions < MANY_PARTITIONS)
		return rate_bound(c, members + joins, r);
	switch (event) {
	case SIM_HOT_SET:
		return rate_bound(c, members, r);
	case SIM_JOIN:
		return join_bound(c, members + 1);
	case SIM_LEAVE:
	case SIM_CRASH:
		return 2.0 * r->forced;
	default:
		return 2.0 * r->forced + members * join_bound(c, members + 1);
	}
}

static void run_layout(const struct sim_config *c, bool print)
{
	struct sim *sims[SIM_PLACEMENTS];
	struct sim_result r[SIM_PLACEMENTS];
	uint32_t members = c->members;

	for (int p = 0; p < SIM_PLACEMENTS; p++) {
		sims[p] = sim_create(c, (enum sim_placement)p);
		assert_non_null(sims[p]);
	}
	for (int e = 0; e < SIM_EVENTS; e++) {
		enum sim_event event = (enum sim_event)e;

		for (int p = 0; p < SIM_PLACEMENTS; p++) {
			sim_run_event(sims[p], event, &r[p]);
			if (print)
				printf("%u+%u %-10s %-19s imbalance %.2f "
				       "churn %u\n",
				       c->members, c->others,
				       sim_placement_name(
					       (enum sim_placement)p),
				       sim_event_name(event), r[p].imbalance,
				       r[p].churn);
		}
		assert_true(r[0].churn >= r[0].forced);
		assert_true(r[0].churn <=
			    churn_bound(c, event, members, &r[0]));
		assert_true(r[0].imbalance <= imbalance_bound(&c->policy, r));
		if (event != SIM_HOT_SET)
			assert_true(r[0].churn < r[SIM_MODULO].churn);
		members += event == SIM_JOIN;
		members -= event == SIM_LEAVE || event == SIM_CRASH;
	}
	for (int p = 0; p < SIM_PLACEMENTS; p++)
		sim_destroy(sims[p]);
}

/* With few partitions, a hot one has a large part of its owner's load. */
static void run_seeds(struct sim_config c)
{
	static const uint32_t partitions[] = { 24, 64, MANY_PARTITIONS };

	for (int i = 0; i < 3; i++) {
		c.partitions = partitions[i];
		for (c.seed = 1; c.seed <= SEEDS; c.seed++) {
			bool print =
				c.seed == 1 && c.partitions == MANY_PARTITIONS;

			c.policy.weigh = PLACEMENT_COST_UNAVAILABLE;
			run_layout(&c, print && c.members == 8);
			c.policy.weigh = PLACEMENT_COST_CHURN;
			run_layout(&c, print && c.members == 9);
		}
	}
}

static void valeting_layout_keeps_to_the_policy(void **state)
{
	(void)state;
	run_seeds((struct sim_config){ .members = 8,
				       .others = 3,
				       .data_centres = 3,
				       .regions = 1,
				       .slots = 6,
				       .policy = available });
}

static void fitting_layout_keeps_to_the_policy(void **state)
{
	(void)state;
	run_seeds((struct sim_config){ .members = 9,
				       .others = 3,
				       .data_centres = 3,
				       .regions = 1,
				       .slots = 9,
				       .policy = churn });
}

static bool is_up(const struct sim *s, const struct proc *p)
{
	const struct placement_view *view = sim_view(s);
	const struct member *m = view->members[p->instance - 1].member;

	return p->incarnation && proc_equal(&m->proc, p) &&
	       m->state == MEMBER_UP;
}

static const char *centre_of(const struct sim *s, const struct proc *p)
{
	return sim_view(s)->members[p->instance - 1].member->data_centre;
}

/* The three processes of a row must be up and in three data centres. */
static void check_row(const struct sim *s, uint32_t i)
{
	const struct row_set *set = sim_row_set(s, i);

	assert_true(placement_is_complete(sim_view(s), set));
	for (int w = 0; w < ROW_WITNESSES; w++) {
		assert_true(is_up(s, &set->witness[w]));
		assert_string_not_equal(centre_of(s, &set->owner),
					centre_of(s, &set->witness[w]));
	}
	assert_string_not_equal(centre_of(s, &set->witness[0]),
				centre_of(s, &set->witness[1]));
}

static void lost_data_centre_leaves_live_successors(void **state)
{
	struct sim_config c = { .members = 6700,
				.data_centres = 10,
				.regions = 4,
				.slots = 6,
				.partitions = 10000,
				.seed = 1,
				.policy = { PLACEMENT_COST_UNAVAILABLE, 25,
					    0 } };
	struct sim *s = sim_create(&c, SIM_STICKY);
	uint32_t lost = 0;

	(void)state;
	assert_non_null(s);
	for (uint32_t i = 0; i < c.partitions; i++)
		check_row(s, i);
	sim_fail_data_centre(s, 0);
	for (uint32_t i = 0; i < c.partitions; i++) {
		const struct row_set *set = sim_row_set(s, i);
		bool owner = is_up(s, &set->owner);
		bool successor = is_up(s, &set->witness[ROW_SUCCESSOR]);
		bool second = is_up(s, &set->witness[1]);

		assert_true(owner + successor + second >= 2);
		lost += !owner || !successor || !second;
	}
	assert_int_equal(sim_replace_lost(s), lost);
	assert_int_equal(sim_replace_lost(s), 0);
	for (uint32_t i = 0; i < c.partitions; i++)
		check_row(s, i);
	printf("670 of 6,700 members lost: %u of %u rows written\n", lost,
	       c.partitions);
	sim_destroy(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(view_counts_the_rows_of_the_service),
		cmocka_unit_test(incremental_counts_match_the_rows),
		cmocka_unit_test(replica_and_view_agree_on_the_creator),
		cmocka_unit_test(valeting_layout_keeps_to_the_policy),
		cmocka_unit_test(fitting_layout_keeps_to_the_policy),
		cmocka_unit_test(lost_data_centre_leaves_live_successors),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
