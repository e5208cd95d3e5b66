/*
 * Guards against two processes that act for one partition, and against a
 * partition that nobody takes over. Five processes exchange messages over a
 * simulated network; their clocks are driven.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "clk.h"
#include "lse.h"

#define PART 9
#define NODES 5
#define QUEUE_MAX 4096
#define STEP_US (5 * US_PER_MS)
#define LATENCY_US (3 * US_PER_MS)
#define TICK_US (50 * US_PER_MS)
#define EPOCH_US (1000 * US_PER_S)
#define NOBODY (-1)

enum node_name {
	A,
	B,
	C,
	D,
	E
};

struct packet {
	bool used;
	int from;
	int to;
	uint64_t due;
	struct lse_msg msg;
};

struct node {
	int id;
	struct proc self;
	struct lse *lse;
	bool running; /* false: paused, or killed */
	double rate; /* of its clock against true time */
	bool drains_at_once;
	int drains;
	int wants[3];
	int starts;
	struct world *w;
};

struct world {
	struct cht *chart;
	uint64_t now; /* true time */
	uint64_t highest_fence;
	uint64_t extra_us;
	uint64_t idle_us; /* how long nobody has acted in the current run */
	struct node nodes[NODES];
	bool cut[NODES][NODES];
	int copies; /* of each message; 0 loses all */
	struct packet queue[QUEUE_MAX];
};

static uint64_t local_now(const struct node *n)
{
	return EPOCH_US * (uint64_t)(n->id + 1) +
	       (uint64_t)((double)n->w->now * n->rate);
}

static void on_send(void *arg, const struct proc *to, const struct lse_msg *msg)
{
	struct node *n = arg;
	struct world *w = n->w;
	int dest = (int)to->instance - 1;
	size_t i = 0;

	for (int c = 0; c < w->copies; c++) {
		while (w->queue[i].used)
			i++;
		assert_true(i < QUEUE_MAX);
		w->queue[i] = (struct packet){
			.used = !w->cut[n->id][dest] &&
				proc_equal(to, &w->nodes[dest].self),
			.from = n->id,
			.to = dest,
			.due = w->now + LATENCY_US * (uint64_t)(c + 1),
			.msg = *msg
		};
	}
}

static void on_started(void *arg, uint64_t part, uint64_t fence)
{
	struct node *n = arg;

	assert_int_equal(part, PART);
	assert_true(fence > 0);
	n->starts++;
}

static void on_stopped(void *arg, uint64_t part, uint64_t fence)
{
	(void)arg;
	assert_int_equal(part, PART);
	assert_true(fence > 0);
}

static void on_drain(void *arg, uint64_t part, const struct proc *new_owner)
{
	struct node *n = arg;

	assert_false(proc_equal(new_owner, &n->self));
	n->drains++;
	if (n->drains_at_once)
		lse_drained(n->lse, part, local_now(n));
}

static void on_want(void *arg, uint64_t part, enum lse_want want)
{
	(void)part;
	((struct node *)arg)->wants[want]++;
}

static const struct lse_ops ops = { on_send, on_started, on_stopped, on_drain,
				    on_want };

static void start_node(struct world *w, int id, uint64_t incarnation)
{
	struct node *n = &w->nodes[id];

	lse_destroy(n->lse);
	*n = (struct node){ .id = id, .running = true, .rate = 1, .w = w };
	n->self.instance = (uint32_t)id + 1;
	n->self.incarnation = incarnation;
	n->lse = lse_create(&lse_default_params, w->chart, &n->self, &ops, n);
	assert_non_null(n->lse);
}

static int set_up(void **state)
{
	struct world *w = calloc(1, sizeof(*w));
	struct err err = { 0 };

	w->chart = lse_chart_load("charts/lease.yaml", &err);
	if (!w->chart)
		fail_msg("%s", err.text);
	w->copies = 1;
	w->now = US_PER_S;
	for (int i = 0; i < NODES; i++)
		start_node(w, i, 1);
	*state = w;
	return 0;
}

static int tear_down(void **state)
{
	struct world *w = *state;

	for (int i = 0; i < NODES; i++)
		lse_destroy(w->nodes[i].lse);
	cht_destroy(w->chart);
	free(w);
	return 0;
}

/* Returns who acts and checks that it is at most one, with a rising fence. */
static int acting(struct world *w)
{
	int found = NOBODY;

	for (int i = 0; i < NODES; i++) {
		struct lse_term t;

		if (!w->nodes[i].lse ||
		    !lse_may_act(w->nodes[i].lse, PART, local_now(&w->nodes[i]),
				 &t))
			continue;
		assert_int_equal(found, NOBODY);
		assert_true(t.fence >= w->highest_fence);
		w->highest_fence = t.fence;
		found = i;
	}
	return found;
}

static void deliver(struct world *w)
{
	for (size_t i = 0; i < QUEUE_MAX; i++) {
		struct packet p = w->queue[i];
		struct node *to = &w->nodes[p.to];

		if (!p.used || p.due > w->now || (to->lse && !to->running))
			continue;
		w->queue[i].used = false;
		if (to->lse)
			lse_receive(to->lse, &w->nodes[p.from].self, &p.msg,
				    local_now(to));
		acting(w);
	}
}

static void run(struct world *w, uint64_t ms)
{
	const uint64_t end = w->now + ms * US_PER_MS;

	w->idle_us = 0;
	while (w->now < end) {
		w->now += STEP_US;
		deliver(w);
		for (int i = 0; i < NODES; i++) {
			struct node *n = &w->nodes[i];

			if (n->lse && n->running && w->now % TICK_US == 0)
				lse_tick(n->lse, local_now(n));
		}
		if (acting(w) == NOBODY)
			w->idle_us += STEP_US;
	}
}

static struct row_set make_set(struct world *w, uint64_t version, int owner,
			       int successor, int second)
{
	return (struct row_set){ version,
				 w->nodes[owner].self,
				 { w->nodes[successor].self,
				   w->nodes[second].self } };
}

static struct row first_row(struct world *w)
{
	return (struct row){ .part = PART, .set = make_set(w, 1, A, B, C) };
}

/* A row after this one; the old set was active. */
static struct row next_row(struct world *w, const struct row *old, int owner,
			   int successor, int second)
{
	struct row row = { .part = PART, .prev_count = 1 };

	row.set = make_set(w, old->set.version + 1, owner, successor, second);
	row.prev[0] = old->set;
	return row;
}

static void learn(struct world *w, const struct row *row)
{
	for (int i = 0; i < NODES; i++) {
		struct node *n = &w->nodes[i];

		if (n->lse && n->running)
			assert_true(lse_learn(n->lse, row, w->extra_us,
					      local_now(n)));
	}
}

static struct row begin(struct world *w)
{
	struct row row = first_row(w);

	learn(w, &row);
	run(w, 1000);
	assert_int_equal(acting(w), A);
	return row;
}

static void cut_off(struct world *w, int id, bool cut)
{
	for (int i = 0; i < NODES; i++) {
		w->cut[id][i] = cut;
		w->cut[i][id] = cut;
	}
}

static void kill_node(struct world *w, int id)
{
	lse_destroy(w->nodes[id].lse);
	w->nodes[id].lse = NULL;
}

static void prove_end(struct world *w, int id)
{
	for (int i = 0; i < NODES; i++) {
		if (w->nodes[i].lse)
			lse_ended(w->nodes[i].lse, &w->nodes[id].self,
				  local_now(&w->nodes[i]));
	}
}

static void owner_renews_without_a_gap(void **state)
{
	struct world *w = *state;

	begin(w);
	run(w, 20000);
	assert_int_equal(w->idle_us, 0);
	assert_int_equal(w->nodes[A].starts, 1);
	assert_int_equal(
		lse_actor(w->nodes[C].lse, PART, local_now(&w->nodes[C]))
			.instance,
		A + 1);
	cut_off(w, B, true);
	run(w, 4000);
	assert_int_equal(w->idle_us, 0);
	run(w, 2000);
	assert_true(w->nodes[A].wants[LSE_WANT_WITNESS] > 0);
}

static void successor_takes_over_from_a_silent_owner(void **state)
{
	struct world *w = *state;

	begin(w);
	cut_off(w, A, true);
	run(w, 2500);
	assert_int_equal(acting(w), B);
	assert_int_equal(w->highest_fence, 3);
	assert_true(w->nodes[B].wants[LSE_WANT_REARM] > 0);
	cut_off(w, A, false);
	run(w, 5000);
	assert_int_equal(acting(w), B);
	assert_int_equal(w->idle_us, 0);
	assert_int_equal(w->highest_fence, 3);
}

/* B cannot hear A, but C can: the owner keeps its partition. */
static void claim_is_refused_while_the_owner_renews(void **state)
{
	struct world *w = *state;

	begin(w);
	w->cut[A][B] = true;
	run(w, 6000);
	assert_int_equal(acting(w), A);
	assert_int_equal(w->idle_us, 0);
	w->cut[A][B] = false;
	run(w, 1000);
	cut_off(w, C, true);
	run(w, 5000);
	assert_int_equal(acting(w), A);
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

	begin(w);
	cut_off(w, A, true);
	cut_off(w, C, true);
	run(w, 2500);
	grant.seq = local_now(b);
	lse_receive(b->lse, &w->nodes[A].self, &renew, local_now(b));
	lse_receive(b->lse, &w->nodes[C].self, &grant, local_now(b));
	assert_false(lse_may_act(b->lse, PART, local_now(b), &t));
	run(w, 1600);
	grant.seq = local_now(b) - 1400 * US_PER_MS;
	lse_receive(b->lse, &w->nodes[C].self, &grant, local_now(b));
	assert_false(lse_may_act(b->lse, PART, local_now(b), &t));
	grant.seq = local_now(b);
	lse_receive(b->lse, &w->nodes[C].self, &grant, local_now(b));
	assert_true(lse_may_act(b->lse, PART, local_now(b), &t));
}

static void released_row_passes_without_waiting(void **state)
{
	struct world *w = *state;

	begin(w);
	w->extra_us = 10 * US_PER_S;
	lse_release(w->nodes[A].lse, PART, local_now(&w->nodes[A]));
	run(w, 100);
	assert_int_equal(acting(w), B);
	assert_true(w->idle_us <= 50 * US_PER_MS);
	run(w, 5000);
	assert_int_equal(acting(w), B);
}

static void proof_of_end_ends_the_wait(void **state)
{
	struct world *w = *state;

	begin(w);
	kill_node(w, A);
	prove_end(w, A);
	run(w, 100);
	/* The term of A is over with A. */
	assert_int_equal(acting(w), B);
}

static void unfenced_upstream_delays_the_takeover(void **state)
{
	struct world *w = *state;

	w->extra_us = US_PER_S;
	begin(w);
	kill_node(w, A);
	prove_end(w, A);
	run(w, 950);
	assert_int_equal(acting(w), NOBODY);
	run(w, 400);
	assert_int_equal(acting(w), B);
}

static void new_witness_needs_seals_of_the_old_set(void **state)
{
	struct world *w = *state;
	struct row row = begin(w);

	row = next_row(w, &row, A, B, D);
	learn(w, &row);
	run(w, 200);
	assert_int_equal(acting(w), A);
	assert_int_equal(w->highest_fence, 4);
	assert_true(w->idle_us <= 50 * US_PER_MS);
	assert_true(lse_is_active(w->nodes[A].lse, PART));
	cut_off(w, A, true);
	run(w, 2500);
	assert_int_equal(acting(w), B);
	assert_int_equal(w->highest_fence, 5);
}

/* D is told that the set of version 1 may still act, but cannot reach it. */
static void new_owner_without_seals_does_not_act(void **state)
{
	struct world *w = *state;
	struct row row = begin(w);
	struct row two = next_row(w, &row, D, E, C);

	cut_off(w, D, true);
	lse_learn(w->nodes[D].lse, &two, 0, local_now(&w->nodes[D]));
	run(w, 10000);
	assert_int_equal(acting(w), A);
	assert_int_equal(w->idle_us, 0);
	cut_off(w, D, false);
	learn(w, &two);
	run(w, 5000);
	assert_int_equal(acting(w), D);
	assert_int_equal(w->nodes[A].drains, 1);
}

static void planned_move_waits_for_the_drain(void **state)
{
	struct world *w = *state;
	struct row row = begin(w);
	struct lse_term t;

	row = next_row(w, &row, D, E, C);
	learn(w, &row);
	run(w, 8000);
	assert_int_equal(acting(w), A);
	assert_int_equal(w->idle_us, 0);
	assert_int_equal(w->nodes[A].drains, 1);
	assert_true(lse_may_act(w->nodes[A].lse, PART, local_now(&w->nodes[A]),
				&t));
	assert_true(t.draining);
	lse_drained(w->nodes[A].lse, PART, local_now(&w->nodes[A]));
	assert_int_equal(acting(w), NOBODY);
	run(w, 500);
	assert_int_equal(acting(w), D);
	assert_true(w->idle_us <= 300 * US_PER_MS);
	assert_int_equal(w->highest_fence, 4);
}

/* The daemon may report the end of the drain from inside ops.drain(). */
static void drain_may_end_at_once(void **state)
{
	struct world *w = *state;
	struct row row = begin(w);

	w->nodes[A].drains_at_once = true;
	row = next_row(w, &row, B, A, C);
	learn(w, &row);
	run(w, 300);
	assert_int_equal(acting(w), B);
	cut_off(w, B, true);
	run(w, 2500);
	assert_int_equal(acting(w), A);
	assert_int_equal(w->highest_fence, 5);
}

static void move_from_a_lost_owner_waits_for_its_promise(void **state)
{
	struct world *w = *state;
	struct row row = begin(w);

	cut_off(w, A, true);
	row = next_row(w, &row, D, E, C);
	learn(w, &row);
	/* The last renewal is at most 600 ms old, so 800 ms are left. */
	run(w, 750);
	assert_int_equal(acting(w), A);
	run(w, 2750);
	assert_int_equal(acting(w), D);
}

/* C forgot its promise; as the old process it must not be asked for more. */
static void restarted_witness_takes_no_part(void **state)
{
	struct world *w = *state;
	struct row row = begin(w);

	start_node(w, C, 2);
	assert_true(
		lse_learn(w->nodes[C].lse, &row, 0, local_now(&w->nodes[C])));
	w->cut[A][B] = true;
	w->cut[B][A] = true;
	run(w, 300);
	assert_int_equal(acting(w), A);
	run(w, 5000);
	assert_int_equal(acting(w), NOBODY);
	prove_end(w, A);
	run(w, 2000);
	assert_int_equal(acting(w), NOBODY);
}

/* C is alone; A and B are cut off from the table and renew each other. */
static void lone_survivor_does_not_take_over(void **state)
{
	struct world *w = *state;
	struct row row = begin(w);
	struct row two = next_row(w, &row, C, D, E);

	for (int i = C; i < NODES; i++) {
		w->cut[A][i] = w->cut[i][A] = true;
		w->cut[B][i] = w->cut[i][B] = true;
	}
	run(w, 6000);
	assert_true(w->nodes[C].wants[LSE_WANT_REASSIGN] > 0);
	for (int i = C; i < NODES; i++)
		lse_learn(w->nodes[i].lse, &two, 0, local_now(&w->nodes[i]));
	run(w, 20000);
	assert_int_equal(acting(w), A);
	assert_int_equal(w->idle_us, 0);
	kill_node(w, A);
	lse_ended(w->nodes[C].lse, &w->nodes[A].self, local_now(&w->nodes[C]));
	run(w, 2000);
	assert_int_equal(acting(w), C);
}

static void owner_does_not_act_after_a_long_pause(void **state)
{
	struct world *w = *state;

	begin(w);
	w->nodes[A].running = false;
	run(w, 5000);
	assert_int_equal(acting(w), B);
	w->nodes[A].running = true;
	run(w, 5000);
	assert_int_equal(acting(w), B);
	assert_int_equal(w->idle_us, 0);
}

static void duplicated_messages_change_nothing(void **state)
{
	struct world *w = *state;
	struct row row;

	w->copies = 3;
	row = begin(w);
	run(w, 10000);
	assert_int_equal(w->idle_us, 0);
	w->nodes[A].drains_at_once = true;
	row = next_row(w, &row, D, B, C);
	learn(w, &row);
	run(w, 1000);
	assert_int_equal(acting(w), D);
}

static void lost_messages_are_sent_again(void **state)
{
	struct world *w = *state;

	begin(w);
	for (int i = 0; i < 20; i++) {
		w->copies = i % 2;
		run(w, 450);
		assert_int_equal(w->idle_us, 0);
	}
	w->copies = 0;
	run(w, 1500);
	assert_int_equal(acting(w), NOBODY);
	w->copies = 1;
	run(w, 1500);
	assert_true(acting(w) != NOBODY);
}

/* The margin between OWNER_TERM and PROMISE has to cover both clocks. */
static void drift_of_two_percent_is_safe(void **state)
{
	struct world *w = *state;

	for (int owner = -1; owner <= 1; owner++) {
		for (int witness = -1; witness <= 1; witness++) {
			for (int i = 0; i < NODES; i++) {
				start_node(w, i, 1);
				w->nodes[i].rate = 1 + 0.02 * witness;
			}
			w->highest_fence = 0;
			cut_off(w, A, false);
			w->nodes[A].rate = 1 + 0.02 * owner;
			begin(w);
			run(w, 3000);
			assert_int_equal(w->idle_us, 0);
			cut_off(w, A, true);
			run(w, 2700);
			assert_int_equal(acting(w), B);
		}
	}
}

/* D, the owner of version 2, dies before it could renew even once. */
static void successor_seals_for_an_owner_that_never_acted(void **state)
{
	struct world *w = *state;
	struct row row = begin(w);

	w->nodes[A].drains_at_once = true;
	kill_node(w, D);
	row = next_row(w, &row, D, E, C);
	learn(w, &row);
	run(w, 4500);
	assert_int_equal(acting(w), E);
	assert_int_equal(w->highest_fence, 5);
}

/* D grants the claim of E while it waits for seals, which come afterwards. */
static void owner_gives_up_before_it_has_acted(void **state)
{
	struct world *w = *state;
	struct row row = begin(w);
	struct node *d = &w->nodes[D];
	struct lse_msg msg = { .type = LSE_CLAIM, .part = PART, .version = 2 };
	struct lse_term t;

	cut_off(w, D, true);
	row = next_row(w, &row, D, E, C);
	lse_learn(d->lse, &row, 0, local_now(d));
	lse_receive(d->lse, &w->nodes[E].self, &msg, local_now(d));
	msg.type = LSE_SEALED;
	msg.sealed_below = 2;
	for (int i = A; i <= C; i++)
		lse_receive(d->lse, &w->nodes[i].self, &msg, local_now(d));
	lse_tick(d->lse, local_now(d));
	msg.type = LSE_GRANT;
	msg.seq = local_now(d);
	lse_receive(d->lse, &w->nodes[C].self, &msg, local_now(d));
	assert_false(lse_may_act(d->lse, PART, local_now(d), &t));
}

#define TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(owner_renews_without_a_gap),
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
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
