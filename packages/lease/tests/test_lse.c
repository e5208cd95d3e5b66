/*
 * Guards against two processes that act for one partition, and against a
 * partition that nobody takes over. The clocks are driven.
 */

#include "wld.h"

static void owner_renews_without_a_gap(void **state)
{
	struct world *w = *state;

	wld_begin(w);
	wld_run(w, 20000);
	assert_int_equal(w->idle_us, 0);
	assert_int_equal(w->nodes[A].starts, 1);
	assert_int_equal(lse_actor(w->nodes[C].lse, PART, wld_now(&w->nodes[C]))
				 .instance,
			 A + 1);
	wld_cut_off(w, B, true);
	wld_run(w, 4000);
	assert_int_equal(w->idle_us, 0);
	wld_run(w, 2000);
	assert_true(w->nodes[A].wants[LSE_WANT_WITNESS] > 0);
}

/*
 * The term runs out before there is a proof that both witnesses have ended:
 * nobody else can replace them.
 */
static void owner_without_a_term_asks_for_witnesses(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);

	wld_kill(w, B);
	wld_kill(w, C);
	wld_run(w, 2500);
	assert_int_equal(wld_acting(w), NOBODY);
	assert_int_equal(w->nodes[A].wants[LSE_WANT_WITNESS], 0);
	wld_prove_end(w, B);
	wld_prove_end(w, C);
	wld_run(w, 1000);
	assert_true(w->nodes[A].wants[LSE_WANT_WITNESS] > 0);
	row = wld_next_row(w, &row, A, D, E);
	wld_learn(w, &row);
	wld_run(w, 3000);
	assert_int_equal(wld_acting(w), A);
}

static void successor_takes_over_from_a_silent_owner(void **state)
{
	struct world *w = *state;

	wld_begin(w);
	wld_cut_off(w, A, true);
	wld_run(w, 2500);
	assert_int_equal(wld_acting(w), B);
	assert_int_equal(w->highest_fence, 3);
	assert_true(w->nodes[B].wants[LSE_WANT_REARM] > 0);
	wld_cut_off(w, A, false);
	wld_run(w, 5000);
	assert_int_equal(wld_acting(w), B);
	assert_int_equal(w->idle_us, 0);
	assert_int_equal(w->highest_fence, 3);
}

/* B cannot hear A, but C can: the owner keeps its partition. */
static void claim_is_refused_while_the_owner_renews(void **state)
{
	struct world *w = *state;

	wld_begin(w);
	w->cut[A][B] = true;
	wld_run(w, 6000);
	assert_int_equal(wld_acting(w), A);
	assert_int_equal(w->idle_us, 0);
	w->cut[A][B] = false;
	wld_run(w, 1000);
	wld_cut_off(w, C, true);
	wld_run(w, 5000);
	assert_int_equal(wld_acting(w), A);
	assert_int_equal(w->idle_us, 0);
}

/* The grant of C is held back until B has renewed the owner's promise. */
static void late_grant_is_not_used(void **state)
{
	struct world *w = *state;
	struct lse_msg grant = { .type = LSE_CLAIM_GRANT,
				 .part = PART,
				 .version = 1 };
	struct lse_msg renew = { .type = LSE_RENEW,
				 .part = PART,
				 .version = 1,
				 .active = true };
	struct node *b = &w->nodes[B];
	struct lse_term t;

	wld_begin(w);
	wld_cut_off(w, A, true);
	wld_cut_off(w, C, true);
	wld_run(w, 2500);
	grant.seq = wld_now(b);
	lse_receive(b->lse, &w->nodes[A].self, &renew, wld_now(b));
	lse_receive(b->lse, &w->nodes[C].self, &grant, wld_now(b));
	assert_false(lse_may_act(b->lse, PART, wld_now(b), &t));
	wld_run(w, 1600);
	grant.seq = wld_now(b) - 1400 * US_PER_MS;
	lse_receive(b->lse, &w->nodes[C].self, &grant, wld_now(b));
	assert_false(lse_may_act(b->lse, PART, wld_now(b), &t));
	grant.seq = wld_now(b);
	lse_receive(b->lse, &w->nodes[C].self, &grant, wld_now(b));
	assert_true(lse_may_act(b->lse, PART, wld_now(b), &t));
}

static void released_row_passes_without_waiting(void **state)
{
	struct world *w = *state;

	wld_begin(w);
	w->extra_us = 10 * US_PER_S;
	lse_release(w->nodes[A].lse, PART, wld_now(&w->nodes[A]));
	wld_run(w, 100);
	assert_int_equal(wld_acting(w), B);
	assert_true(w->idle_us <= 50 * US_PER_MS);
	wld_run(w, 5000);
	assert_int_equal(wld_acting(w), B);
}

static void proof_of_end_ends_the_wait(void **state)
{
	struct world *w = *state;

	wld_begin(w);
	wld_kill(w, A);
	wld_prove_end(w, A);
	wld_run(w, 100);
	/* The term of A is over with A. */
	assert_int_equal(wld_acting(w), B);
}

static void unfenced_upstream_delays_the_takeover(void **state)
{
	struct world *w = *state;

	w->extra_us = US_PER_S;
	wld_begin(w);
	wld_kill(w, A);
	wld_prove_end(w, A);
	wld_run(w, 950);
	assert_int_equal(wld_acting(w), NOBODY);
	wld_run(w, 400);
	assert_int_equal(wld_acting(w), B);
}

static void new_witness_needs_seals_of_the_old_set(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);

	row = wld_next_row(w, &row, A, B, D);
	wld_learn(w, &row);
	wld_run(w, 200);
	assert_int_equal(wld_acting(w), A);
	assert_int_equal(w->highest_fence, 4);
	assert_true(w->idle_us <= 50 * US_PER_MS);
	assert_true(lse_is_active(w->nodes[A].lse, PART));
	wld_cut_off(w, A, true);
	wld_run(w, 2500);
	assert_int_equal(wld_acting(w), B);
	assert_int_equal(w->highest_fence, 5);
}

/* D is told that the set of version 1 may still act, but cannot reach it. */
static void new_owner_without_seals_does_not_act(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);
	struct row two = wld_next_row(w, &row, D, E, C);

	wld_cut_off(w, D, true);
	lse_learn(w->nodes[D].lse, &two, 0, wld_now(&w->nodes[D]));
	wld_run(w, 10000);
	assert_int_equal(wld_acting(w), A);
	assert_int_equal(w->idle_us, 0);
	wld_cut_off(w, D, false);
	wld_learn(w, &two);
	wld_run(w, 5000);
	assert_int_equal(wld_acting(w), D);
	assert_int_equal(w->nodes[A].drains, 1);
}

static void planned_move_waits_for_the_drain(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);
	struct lse_term t;

	row = wld_next_row(w, &row, D, E, C);
	wld_learn(w, &row);
	wld_run(w, 8000);
	assert_int_equal(wld_acting(w), A);
	assert_int_equal(w->idle_us, 0);
	assert_int_equal(w->nodes[A].drains, 1);
	assert_true(
		lse_may_act(w->nodes[A].lse, PART, wld_now(&w->nodes[A]), &t));
	assert_true(t.draining);
	lse_drained(w->nodes[A].lse, PART, wld_now(&w->nodes[A]));
	assert_int_equal(wld_acting(w), NOBODY);
	wld_run(w, 500);
	assert_int_equal(wld_acting(w), D);
	assert_true(w->idle_us <= 300 * US_PER_MS);
	assert_int_equal(w->highest_fence, 4);
}

/* The daemon may report the end of the drain from inside ops.drain(). */
static void drain_may_end_at_once(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);

	w->nodes[A].drains_at_once = true;
	row = wld_next_row(w, &row, B, A, C);
	wld_learn(w, &row);
	wld_run(w, 300);
	assert_int_equal(wld_acting(w), B);
	wld_cut_off(w, B, true);
	wld_run(w, 2500);
	assert_int_equal(wld_acting(w), A);
	assert_int_equal(w->highest_fence, 5);
}

static void move_from_a_lost_owner_waits_for_its_promise(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);

	wld_cut_off(w, A, true);
	row = wld_next_row(w, &row, D, E, C);
	wld_learn(w, &row);
	/* The last renewal is at most 600 ms old, so 800 ms are left. */
	wld_run(w, 750);
	assert_int_equal(wld_acting(w), A);
	wld_run(w, 2750);
	assert_int_equal(wld_acting(w), D);
}

/* C forgot its promise; as the old process it must not be asked for more. */
static void restarted_witness_takes_no_part(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);

	wld_start(w, C, 2);
	assert_true(lse_learn(w->nodes[C].lse, &row, 0, wld_now(&w->nodes[C])));
	w->cut[A][B] = true;
	w->cut[B][A] = true;
	wld_run(w, 300);
	assert_int_equal(wld_acting(w), A);
	wld_run(w, 5000);
	assert_int_equal(wld_acting(w), NOBODY);
	wld_prove_end(w, A);
	wld_run(w, 2000);
	assert_int_equal(wld_acting(w), NOBODY);
}

/* C is alone; A and B are cut off from the table and renew each other. */
static void lone_survivor_does_not_take_over(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);
	struct row two = wld_next_row(w, &row, C, D, E);

	for (int i = C; i < NODES; i++) {
		w->cut[A][i] = w->cut[i][A] = true;
		w->cut[B][i] = w->cut[i][B] = true;
	}
	wld_run(w, 6000);
	assert_true(w->nodes[C].wants[LSE_WANT_REASSIGN] > 0);
	for (int i = C; i < NODES; i++)
		lse_learn(w->nodes[i].lse, &two, 0, wld_now(&w->nodes[i]));
	wld_run(w, 20000);
	assert_int_equal(wld_acting(w), A);
	assert_int_equal(w->idle_us, 0);
	wld_kill(w, A);
	lse_ended(w->nodes[C].lse, &w->nodes[A].self, wld_now(&w->nodes[C]));
	wld_run(w, 2000);
	assert_int_equal(wld_acting(w), C);
}

static void owner_does_not_act_after_a_long_pause(void **state)
{
	struct world *w = *state;

	wld_begin(w);
	w->nodes[A].running = false;
	wld_run(w, 5000);
	assert_int_equal(wld_acting(w), B);
	w->nodes[A].running = true;
	wld_run(w, 5000);
	assert_int_equal(wld_acting(w), B);
	assert_int_equal(w->idle_us, 0);
}

static void duplicated_messages_change_nothing(void **state)
{
	struct world *w = *state;
	struct row row;

	w->copies = 3;
	row = wld_begin(w);
	wld_run(w, 10000);
	assert_int_equal(w->idle_us, 0);
	w->nodes[A].drains_at_once = true;
	row = wld_next_row(w, &row, D, B, C);
	wld_learn(w, &row);
	wld_run(w, 1000);
	assert_int_equal(wld_acting(w), D);
}

static void lost_messages_are_sent_again(void **state)
{
	struct world *w = *state;

	wld_begin(w);
	for (int i = 0; i < 20; i++) {
		w->copies = i % 2;
		wld_run(w, 450);
		assert_int_equal(w->idle_us, 0);
	}
	w->copies = 0;
	wld_run(w, 1500);
	assert_int_equal(wld_acting(w), NOBODY);
	w->copies = 1;
	wld_run(w, 1500);
	assert_true(wld_acting(w) != NOBODY);
}

/* The margin between OWNER_TERM and PROMISE has to cover both clocks. */
static void drift_of_two_percent_is_safe(void **state)
{
	struct world *w = *state;

	for (int owner = -1; owner <= 1; owner++) {
		for (int witness = -1; witness <= 1; witness++) {
			for (int i = 0; i < NODES; i++) {
				wld_start(w, i, 1);
				w->nodes[i].rate = 1 + 0.02 * witness;
			}
			w->highest_fence = 0;
			wld_cut_off(w, A, false);
			w->nodes[A].rate = 1 + 0.02 * owner;
			wld_begin(w);
			wld_run(w, 3000);
			assert_int_equal(w->idle_us, 0);
			wld_cut_off(w, A, true);
			wld_run(w, 2700);
			assert_int_equal(wld_acting(w), B);
		}
	}
}

/* D, the owner of version 2, dies before it could renew even once. */
static void successor_seals_for_an_owner_that_never_acted(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);

	w->nodes[A].drains_at_once = true;
	wld_kill(w, D);
	row = wld_next_row(w, &row, D, E, C);
	wld_learn(w, &row);
	wld_run(w, 4500);
	assert_int_equal(wld_acting(w), E);
	assert_int_equal(w->highest_fence, 5);
}

/* D grants the claim of E while it waits for seals, which come afterwards. */
static void owner_gives_up_before_it_has_acted(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);
	struct node *d = &w->nodes[D];
	struct lse_msg msg = { .type = LSE_CLAIM, .part = PART, .version = 2 };
	struct lse_term t;

	wld_cut_off(w, D, true);
	row = wld_next_row(w, &row, D, E, C);
	lse_learn(d->lse, &row, 0, wld_now(d));
	lse_receive(d->lse, &w->nodes[E].self, &msg, wld_now(d));
	msg.type = LSE_SEALED;
	msg.sealed_below = 2;
	for (int i = A; i <= C; i++)
		lse_receive(d->lse, &w->nodes[i].self, &msg, wld_now(d));
	lse_tick(d->lse, wld_now(d));
	msg.type = LSE_GRANT;
	msg.seq = wld_now(d);
	lse_receive(d->lse, &w->nodes[C].self, &msg, wld_now(d));
	assert_false(lse_may_act(d->lse, PART, wld_now(d), &t));
}

/* Without the release E would wait for D as long as D answers. */
static void version_is_released_before_it_is_active(void **state)
{
	struct world *w = *state;
	struct row row = wld_begin(w);

	row = wld_next_row(w, &row, D, E, C);
	wld_learn(w, &row);
	lse_release(w->nodes[D].lse, PART, wld_now(&w->nodes[D]));
	wld_run(w, 100);
	assert_int_equal(wld_acting(w), A);
	lse_drained(w->nodes[A].lse, PART, wld_now(&w->nodes[A]));
	wld_run(w, 1000);
	assert_int_equal(wld_acting(w), E);
	assert_int_equal(w->highest_fence, 5);
}

#define TEST(fn) cmocka_unit_test_setup_teardown(fn, wld_set_up, wld_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(owner_renews_without_a_gap),
		TEST(owner_without_a_term_asks_for_witnesses),
		TEST(successor_takes_over_from_a_silent_owner),
		TEST(claim_is_refused_while_the_owner_renews),
		TEST(late_grant_is_not_used),
		TEST(released_row_passes_without_waiting),
		TEST(proof_of_end_ends_the_wait),
		TEST(unfenced_upstream_delays_the_takeover),
		TEST(new_witness_needs_seals_of_the_old_set),
		TEST(new_owner_without_seals_does_not_act),
		TEST(planned_move_waits_for_the_drain),
		TEST(drain_may_end_at_once),
		TEST(move_from_a_lost_owner_waits_for_its_promise),
		TEST(restarted_witness_takes_no_part),
		TEST(lone_survivor_does_not_take_over),
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
