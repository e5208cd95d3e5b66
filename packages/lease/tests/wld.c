#include "wld.h"

/* Returns the time on the clock of a process. */
uint64_t wld_now(const struct node *n)
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
		lse_drained(n->lse, part, wld_now(n));
}

static void on_want(void *arg, uint64_t part, enum lse_want want)
{
	(void)part;
	((struct node *)arg)->wants[want]++;
}

static const struct lse_ops ops = { on_send, on_started, on_stopped, on_drain,
				    on_want };

/* Starts a process, in place of an older incarnation if there was one. */
void wld_start(struct world *w, int id, uint64_t incarnation)
{
	struct node *n = &w->nodes[id];

	lse_destroy(n->lse);
	*n = (struct node){ .id = id, .running = true, .rate = 1, .w = w };
	n->self.instance = (uint32_t)id + 1;
	n->self.incarnation = incarnation;
	n->lse = lse_create(&lse_default_params, w->chart, &n->self, &ops, n);
	assert_non_null(n->lse);
}

/* Creates five processes that know no row. */
int wld_set_up(void **state)
{
	struct world *w = calloc(1, sizeof(*w));
	struct err err = { 0 };

	w->chart = lse_chart_load("charts/lease.yaml", &err);
	if (!w->chart)
		fail_msg("%s", err.text);
	w->copies = 1;
	w->now = US_PER_S;
	for (int i = 0; i < NODES; i++)
		wld_start(w, i, 1);
	*state = w;
	return 0;
}

/* Frees all processes. */
int wld_tear_down(void **state)
{
	struct world *w = *state;

	for (int i = 0; i < NODES; i++)
		lse_destroy(w->nodes[i].lse);
	cht_destroy(w->chart);
	free(w);
	return 0;
}

/* Returns who acts and checks that it is at most one, with a rising fence. */
int wld_acting(struct world *w)
{
	int found = NOBODY;

	for (int i = 0; i < NODES; i++) {
		struct lse_term t;

		if (!w->nodes[i].lse || !lse_may_act(w->nodes[i].lse, PART,
						     wld_now(&w->nodes[i]), &t))
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
				    wld_now(to));
		wld_acting(w);
	}
}

/* Lets time pass; checks in each step that at most one process acts. */
void wld_run(struct world *w, uint64_t ms)
{
	const uint64_t end = w->now + ms * US_PER_MS;

	w->idle_us = 0;
	while (w->now < end) {
		w->now += STEP_US;
		deliver(w);
		for (int i = 0; i < NODES; i++) {
			struct node *n = &w->nodes[i];

			if (n->lse && n->running && w->now % TICK_US == 0)
				lse_tick(n->lse, wld_now(n));
		}
		if (wld_acting(w) == NOBODY)
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
struct row wld_next_row(struct world *w, const struct row *old, int owner,
			int successor, int second)
{
	struct row row = { .part = PART, .prev_count = 1 };

	row.set = make_set(w, old->set.version + 1, owner, successor, second);
	row.prev[0] = old->set;
	return row;
}

/* Tells all running processes a row. */
void wld_learn(struct world *w, const struct row *row)
{
	for (int i = 0; i < NODES; i++) {
		struct node *n = &w->nodes[i];

		if (n->lse && n->running)
			assert_true(lse_learn(n->lse, row, w->extra_us,
					      wld_now(n)));
	}
}

/* Starts with the first row, in which A, B and C are named, and A acts. */
struct row wld_begin(struct world *w)
{
	struct row row = first_row(w);

	wld_learn(w, &row);
	wld_run(w, 1000);
	assert_int_equal(wld_acting(w), A);
	return row;
}

/* Cuts or restores all links of a process. */
void wld_cut_off(struct world *w, int id, bool cut)
{
	for (int i = 0; i < NODES; i++) {
		w->cut[id][i] = cut;
		w->cut[i][id] = cut;
	}
}

/* Ends a process without telling anybody. */
void wld_kill(struct world *w, int id)
{
	lse_destroy(w->nodes[id].lse);
	w->nodes[id].lse = NULL;
}

/* Tells all processes that one has ended. */
void wld_prove_end(struct world *w, int id)
{
	for (int i = 0; i < NODES; i++) {
		if (w->nodes[i].lse)
			lse_ended(w->nodes[i].lse, &w->nodes[id].self,
				  wld_now(&w->nodes[i]));
	}
}
