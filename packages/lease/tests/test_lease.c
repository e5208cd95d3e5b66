/*
 * Guards against two processes that act for one partition at the same time, and
 * against a partition that no process takes over. Simulates clocks, message
 * loss, pauses and restarts.
 */

#include "simnet.h"

static void owner_renews_without_a_gap(void **state)
{
	struct simnet *net = *state;

	simnet_start_with_owner(net);
	simnet_run(net, 20000);
	assert_int_equal(net->idle_us, 0);
	assert_int_equal(net->nodes[A].starts, 1);
	assert_int_equal(lease_acting_process(net->nodes[C].mgr, PART,
					      simnet_now(&net->nodes[C]))
				 .instance,
			 A + 1);
	simnet_cut_off(net, B, true);
	simnet_run(net, 4000);
	assert_int_equal(net->idle_us, 0);
	simnet_run(net, 2000);
	assert_true(net->nodes[A].row_requests[LEASE_ROW_NEW_WITNESS] > 0);
}

/*
 * The term expires before there is proof that both witnesses have ended. The
 * owner has to request new witnesses, because no other process can.
 */
static void owner_without_a_term_asks_for_witnesses(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);

	simnet_kill(net, B);
	simnet_kill(net, C);
	simnet_run(net, 2500);
	assert_int_equal(simnet_acting(net), NOBODY);
	assert_int_equal(net->nodes[A].row_requests[LEASE_ROW_NEW_WITNESS], 0);
	simnet_prove_ended(net, B);
	simnet_prove_ended(net, C);
	simnet_run(net, 1000);
	assert_true(net->nodes[A].row_requests[LEASE_ROW_NEW_WITNESS] > 0);
	row = simnet_next_row(net, &row, A, D, E);
	simnet_learn(net, &row);
	simnet_run(net, 3000);
	assert_int_equal(simnet_acting(net), A);
}

static void successor_takes_over_from_a_silent_owner(void **state)
{
	struct simnet *net = *state;

	simnet_start_with_owner(net);
	simnet_cut_off(net, A, true);
	simnet_run(net, 2500);
	assert_int_equal(simnet_acting(net), B);
	assert_int_equal(net->highest_fence, 3);
	assert_true(net->nodes[B].row_requests[LEASE_ROW_PROMOTE] > 0);
	simnet_cut_off(net, A, false);
	simnet_run(net, 5000);
	assert_int_equal(simnet_acting(net), B);
	assert_int_equal(net->idle_us, 0);
	assert_int_equal(net->highest_fence, 3);
}

/* B receives nothing from A, but C does: A keeps the partition. */
static void claim_is_refused_while_the_owner_renews(void **state)
{
	struct simnet *net = *state;

	simnet_start_with_owner(net);
	net->cut[A][B] = true;
	simnet_run(net, 6000);
	assert_int_equal(simnet_acting(net), A);
	assert_int_equal(net->idle_us, 0);
	net->cut[A][B] = false;
	simnet_run(net, 1000);
	simnet_cut_off(net, C, true);
	simnet_run(net, 5000);
	assert_int_equal(simnet_acting(net), A);
	assert_int_equal(net->idle_us, 0);
}

/* The grant of C arrives after B has renewed its promise to the owner. */
static void late_grant_is_not_used(void **state)
{
	struct simnet *net = *state;
	struct lease_msg grant = { .type = LEASE_CLAIM_GRANT,
				   .part = PART,
				   .version = 1 };
	struct lease_msg renew = { .type = LEASE_RENEW,
				   .part = PART,
				   .version = 1,
				   .active = true };
	struct node *b = &net->nodes[B];
	struct lease_term t;

	simnet_start_with_owner(net);
	simnet_cut_off(net, A, true);
	simnet_cut_off(net, C, true);
	simnet_run(net, 2500);
	grant.seq = simnet_now(b);
	lease_receive(b->mgr, &net->nodes[A].self, &renew, simnet_now(b));
	lease_receive(b->mgr, &net->nodes[C].self, &grant, simnet_now(b));
	assert_false(lease_may_act(b->mgr, PART, simnet_now(b), &t));
	simnet_run(net, 1600);
	grant.seq = simnet_now(b) - 1400 * US_PER_MS;
	lease_receive(b->mgr, &net->nodes[C].self, &grant, simnet_now(b));
	assert_false(lease_may_act(b->mgr, PART, simnet_now(b), &t));
	grant.seq = simnet_now(b);
	lease_receive(b->mgr, &net->nodes[C].self, &grant, simnet_now(b));
	assert_true(lease_may_act(b->mgr, PART, simnet_now(b), &t));
}

static void released_version_is_claimed_at_once(void **state)
{
	struct simnet *net = *state;

	simnet_start_with_owner(net);
	net->takeover_extra_us = 10 * US_PER_S;
	lease_release(net->nodes[A].mgr, PART, simnet_now(&net->nodes[A]));
	simnet_run(net, 100);
	assert_int_equal(simnet_acting(net), B);
	assert_true(net->idle_us <= 50 * US_PER_MS);
	simnet_run(net, 5000);
	assert_int_equal(simnet_acting(net), B);
}

static void proof_of_end_allows_takeover_at_once(void **state)
{
	struct simnet *net = *state;

	simnet_start_with_owner(net);
	simnet_kill(net, A);
	simnet_prove_ended(net, A);
	simnet_run(net, 100);
	/* A has ended, so its term and the promises to it are void. */
	assert_int_equal(simnet_acting(net), B);
}

static void unfenced_upstream_delays_the_takeover(void **state)
{
	struct simnet *net = *state;

	net->takeover_extra_us = US_PER_S;
	simnet_start_with_owner(net);
	simnet_kill(net, A);
	simnet_prove_ended(net, A);
	simnet_run(net, 950);
	assert_int_equal(simnet_acting(net), NOBODY);
	simnet_run(net, 400);
	assert_int_equal(simnet_acting(net), B);
}

static void new_witness_needs_seals_of_the_old_set(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);

	row = simnet_next_row(net, &row, A, B, D);
	simnet_learn(net, &row);
	simnet_run(net, 200);
	assert_int_equal(simnet_acting(net), A);
	assert_int_equal(net->highest_fence, 4);
	assert_true(net->idle_us <= 50 * US_PER_MS);
	assert_true(lease_is_active(net->nodes[A].mgr, PART));
	simnet_cut_off(net, A, true);
	simnet_run(net, 2500);
	assert_int_equal(simnet_acting(net), B);
	assert_int_equal(net->highest_fence, 5);
}

/* D knows that the set of version 1 may still act, but cannot reach it. */
static void new_owner_without_seals_does_not_act(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);
	struct row two = simnet_next_row(net, &row, D, E, C);

	simnet_cut_off(net, D, true);
	lease_update_row(net->nodes[D].mgr, &two, 0,
			 simnet_now(&net->nodes[D]));
	simnet_run(net, 10000);
	assert_int_equal(simnet_acting(net), A);
	assert_int_equal(net->idle_us, 0);
	simnet_cut_off(net, D, false);
	simnet_learn(net, &two);
	simnet_run(net, 5000);
	assert_int_equal(simnet_acting(net), D);
	assert_int_equal(net->nodes[A].drains, 1);
}

static void planned_move_waits_for_the_drain(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);
	struct lease_term t;

	row = simnet_next_row(net, &row, D, E, C);
	simnet_learn(net, &row);
	simnet_run(net, 8000);
	assert_int_equal(simnet_acting(net), A);
	assert_int_equal(net->idle_us, 0);
	assert_int_equal(net->nodes[A].drains, 1);
	assert_true(lease_may_act(net->nodes[A].mgr, PART,
				  simnet_now(&net->nodes[A]), &t));
	assert_true(t.draining);
	lease_drain_done(net->nodes[A].mgr, PART, simnet_now(&net->nodes[A]));
	assert_int_equal(simnet_acting(net), NOBODY);
	simnet_run(net, 500);
	assert_int_equal(simnet_acting(net), D);
	assert_true(net->idle_us <= 300 * US_PER_MS);
	assert_int_equal(net->highest_fence, 4);
}

/* ops.drain() may itself report the end of the drain. */
static void drain_may_end_at_once(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);

	net->nodes[A].drains_at_once = true;
	row = simnet_next_row(net, &row, B, A, C);
	simnet_learn(net, &row);
	simnet_run(net, 300);
	assert_int_equal(simnet_acting(net), B);
	simnet_cut_off(net, B, true);
	simnet_run(net, 2500);
	assert_int_equal(simnet_acting(net), A);
	assert_int_equal(net->highest_fence, 5);
}

static void move_from_a_lost_owner_waits_for_its_promise(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);

	simnet_cut_off(net, A, true);
	row = simnet_next_row(net, &row, D, E, C);
	simnet_learn(net, &row);
	/*
	 * The last renewal is at most 600 ms old, so the term lasts 800 ms or
	 * more.
	 */
	simnet_run(net, 750);
	assert_int_equal(simnet_acting(net), A);
	simnet_run(net, 2750);
	assert_int_equal(simnet_acting(net), D);
}

/*
 * A restart loses the promise that C gave, so the new incarnation must not
 * grant a claim in its place.
 */
static void restarted_witness_takes_no_part(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);

	simnet_start_node(net, C, 2);
	assert_true(lease_update_row(net->nodes[C].mgr, &row, 0,
				     simnet_now(&net->nodes[C])));
	net->cut[A][B] = true;
	net->cut[B][A] = true;
	simnet_run(net, 300);
	assert_int_equal(simnet_acting(net), A);
	simnet_run(net, 5000);
	assert_int_equal(simnet_acting(net), NOBODY);
	simnet_prove_ended(net, A);
	simnet_run(net, 2000);
	assert_int_equal(simnet_acting(net), NOBODY);
}

/*
 * A and B are cut off from the table and from the others, but renew each other.
 * C must not take over.
 */
static void isolated_witness_does_not_take_over(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);
	struct row two = simnet_next_row(net, &row, C, D, E);

	for (int i = C; i < NODES; i++) {
		net->cut[A][i] = net->cut[i][A] = true;
		net->cut[B][i] = net->cut[i][B] = true;
	}
	simnet_run(net, 6000);
	assert_true(net->nodes[C].row_requests[LEASE_ROW_REASSIGN] > 0);
	for (int i = C; i < NODES; i++)
		lease_update_row(net->nodes[i].mgr, &two, 0,
				 simnet_now(&net->nodes[i]));
	simnet_run(net, 20000);
	assert_int_equal(simnet_acting(net), A);
	assert_int_equal(net->idle_us, 0);
	simnet_kill(net, A);
	lease_process_ended(net->nodes[C].mgr, &net->nodes[A].self,
			    simnet_now(&net->nodes[C]));
	simnet_run(net, 2000);
	assert_int_equal(simnet_acting(net), C);
}

static void owner_does_not_act_after_a_long_pause(void **state)
{
	struct simnet *net = *state;

	simnet_start_with_owner(net);
	net->nodes[A].running = false;
	simnet_run(net, 5000);
	assert_int_equal(simnet_acting(net), B);
	net->nodes[A].running = true;
	simnet_run(net, 5000);
	assert_int_equal(simnet_acting(net), B);
	assert_int_equal(net->idle_us, 0);
}

static void duplicated_messages_change_nothing(void **state)
{
	struct simnet *net = *state;
	struct row row;

	net->copies = 3;
	row = simnet_start_with_owner(net);
	simnet_run(net, 10000);
	assert_int_equal(net->idle_us, 0);
	net->nodes[A].drains_at_once = true;
	row = simnet_next_row(net, &row, D, B, C);
	simnet_learn(net, &row);
	simnet_run(net, 1000);
	assert_int_equal(simnet_acting(net), D);
}

static void lost_messages_are_sent_again(void **state)
{
	struct simnet *net = *state;

	simnet_start_with_owner(net);
	for (int i = 0; i < 20; i++) {
		net->copies = i % 2;
		simnet_run(net, 450);
		assert_int_equal(net->idle_us, 0);
	}
	net->copies = 0;
	simnet_run(net, 1500);
	assert_int_equal(simnet_acting(net), NOBODY);
	net->copies = 1;
	simnet_run(net, 1500);
	assert_true(simnet_acting(net) != NOBODY);
}

/*
 * The difference between owner_term_us and promise_us has to cover the drift of
 * both clocks.
 */
static void drift_of_two_percent_is_safe(void **state)
{
	struct simnet *net = *state;

	for (int owner = -1; owner <= 1; owner++) {
		for (int witness = -1; witness <= 1; witness++) {
			for (int i = 0; i < NODES; i++) {
				simnet_start_node(net, i, 1);
				net->nodes[i].rate = 1 + 0.02 * witness;
			}
			net->highest_fence = 0;
			simnet_cut_off(net, A, false);
			net->nodes[A].rate = 1 + 0.02 * owner;
			simnet_start_with_owner(net);
			simnet_run(net, 3000);
			assert_int_equal(net->idle_us, 0);
			simnet_cut_off(net, A, true);
			simnet_run(net, 2700);
			assert_int_equal(simnet_acting(net), B);
		}
	}
}

/* D, the owner of version 2, ends before its first renewal. */
static void successor_seals_for_an_owner_that_never_acted(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);

	net->nodes[A].drains_at_once = true;
	simnet_kill(net, D);
	row = simnet_next_row(net, &row, D, E, C);
	simnet_learn(net, &row);
	simnet_run(net, 4500);
	assert_int_equal(simnet_acting(net), E);
	assert_int_equal(net->highest_fence, 5);
}

/* D grants the claim of E while it waits for seals, which arrive later. */
static void owner_gives_up_before_it_has_acted(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);
	struct node *d = &net->nodes[D];
	struct lease_msg msg = { .type = LEASE_CLAIM,
				 .part = PART,
				 .version = 2 };
	struct lease_term t;

	simnet_cut_off(net, D, true);
	row = simnet_next_row(net, &row, D, E, C);
	lease_update_row(d->mgr, &row, 0, simnet_now(d));
	lease_receive(d->mgr, &net->nodes[E].self, &msg, simnet_now(d));
	msg.type = LEASE_SEALED;
	msg.sealed_below = 2;
	for (int i = A; i <= C; i++)
		lease_receive(d->mgr, &net->nodes[i].self, &msg, simnet_now(d));
	lease_tick(d->mgr, simnet_now(d));
	msg.type = LEASE_GRANT;
	msg.seq = simnet_now(d);
	lease_receive(d->mgr, &net->nodes[C].self, &msg, simnet_now(d));
	assert_false(lease_may_act(d->mgr, PART, simnet_now(d), &t));
}

/* Without the release, E would wait for D as long as D replies. */
static void version_is_released_before_it_is_active(void **state)
{
	struct simnet *net = *state;
	struct row row = simnet_start_with_owner(net);

	row = simnet_next_row(net, &row, D, E, C);
	simnet_learn(net, &row);
	lease_release(net->nodes[D].mgr, PART, simnet_now(&net->nodes[D]));
	simnet_run(net, 100);
	assert_int_equal(simnet_acting(net), A);
	lease_drain_done(net->nodes[A].mgr, PART, simnet_now(&net->nodes[A]));
	simnet_run(net, 1000);
	assert_int_equal(simnet_acting(net), E);
	assert_int_equal(net->highest_fence, 5);
}

#define TEST(fn) \
	cmocka_unit_test_setup_teardown(fn, simnet_setup, simnet_teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(owner_renews_without_a_gap),
		TEST(owner_without_a_term_asks_for_witnesses),
		TEST(successor_takes_over_from_a_silent_owner),
		TEST(claim_is_refused_while_the_owner_renews),
		TEST(late_grant_is_not_used),
		TEST(released_version_is_claimed_at_once),
		TEST(proof_of_end_allows_takeover_at_once),
		TEST(unfenced_upstream_delays_the_takeover),
		TEST(new_witness_needs_seals_of_the_old_set),
		TEST(new_owner_without_seals_does_not_act),
		TEST(planned_move_waits_for_the_drain),
		TEST(drain_may_end_at_once),
		TEST(move_from_a_lost_owner_waits_for_its_promise),
		TEST(restarted_witness_takes_no_part),
		TEST(isolated_witness_does_not_take_over),
		TEST(owner_does_not_act_after_a_long_pause),
		TEST(duplicated_messages_change_nothing),
		TEST(lost_messages_are_sent_again),
		TEST(drift_of_two_percent_is_safe),
		TEST(successor_seals_for_an_owner_that_never_acted),
		TEST(owner_gives_up_before_it_has_acted),
		TEST(version_is_released_before_it_is_active),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
