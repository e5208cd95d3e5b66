#include "simnet.h"

/* Returns the clock of a process in us. */
uint64_t simnet_now(const struct node *n)
{
	return EPOCH_US * (uint64_t)(n->id + 1) +
	       (uint64_t)((double)n->net->now * n->rate);
}

static void on_send(void *arg, const struct proc *to,
		    const struct lease_msg *msg)
{
	struct node *n = arg;
	struct simnet *net = n->net;
	int dest = (int)to->instance - 1;
	size_t i = 0;

	for (int c = 0; c < net->copies; c++) {
		while (net->queue[i].used)
			i++;
		assert_true(i < QUEUE_MAX);
		net->queue[i] = (struct packet){
			.used = !net->cut[n->id][dest] &&
				proc_equal(to, &net->nodes[dest].self),
			.from = n->id,
			.to = dest,
			.due = net->now + LATENCY_US * (uint64_t)(c + 1),
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
		lease_drain_done(n->mgr, part, simnet_now(n));
}

static void on_want(void *arg, uint64_t part, enum lease_row_reason want)
{
	(void)part;
	((struct node *)arg)->row_requests[want]++;
}

static const struct lease_callbacks ops = { on_send, on_started, on_stopped,
					    on_drain, on_want };

/* Starts a process, replacing an older incarnation if there is one. */
void simnet_start_node(struct simnet *net, int id, uint64_t incarnation)
{
	struct node *n = &net->nodes[id];

	lease_destroy(n->mgr);
	*n = (struct node){ .id = id, .running = true, .rate = 1, .net = net };
	n->self.instance = (uint32_t)id + 1;
	n->self.incarnation = incarnation;
	n->mgr = lease_create(&lease_default_params, net->chart, &n->self, &ops,
			      n);
	assert_non_null(n->mgr);
}

/* Creates five processes that know no row. */
int simnet_setup(void **state)
{
	struct simnet *net = calloc(1, sizeof(*net));
	struct err err = { 0 };

	net->chart = lease_chart_load("charts/lease.yaml", &err);
	if (!net->chart)
		fail_msg("%s", err.text);
	net->copies = 1;
	net->now = US_PER_S;
	for (int i = 0; i < NODES; i++)
		simnet_start_node(net, i, 1);
	*state = net;
	return 0;
}

/* Frees all processes. */
int simnet_teardown(void **state)
{
	struct simnet *net = *state;

	for (int i = 0; i < NODES; i++)
		lease_destroy(net->nodes[i].mgr);
	statechart_destroy(net->chart);
	free(net);
	return 0;
}

/*
 * Returns the acting process or NOBODY. Checks that at most one process acts
 * and that the fence never decreases.
 */
int simnet_acting(struct simnet *net)
{
	int found = NOBODY;

	for (int i = 0; i < NODES; i++) {
		struct lease_term t;

		if (!net->nodes[i].mgr ||
		    !lease_may_act(net->nodes[i].mgr, PART,
				   simnet_now(&net->nodes[i]), &t))
			continue;
		assert_int_equal(found, NOBODY);
		assert_true(t.fence >= net->highest_fence);
		net->highest_fence = t.fence;
		found = i;
	}
	return found;
}

static void deliver(struct simnet *net)
{
	for (size_t i = 0; i < QUEUE_MAX; i++) {
		struct packet p = net->queue[i];
		struct node *to = &net->nodes[p.to];

		if (!p.used || p.due > net->now || (to->mgr && !to->running))
			continue;
		net->queue[i].used = false;
		if (to->mgr)
			lease_receive(to->mgr, &net->nodes[p.from].self, &p.msg,
				      simnet_now(to));
		simnet_acting(net);
	}
}

/*
 * Advances the true time by ms. Checks in each step that at most one process
 * acts.
 */
void simnet_run(struct simnet *net, uint64_t ms)
{
	const uint64_t end = net->now + ms * US_PER_MS;

	net->idle_us = 0;
	while (net->now < end) {
		net->now += STEP_US;
		deliver(net);
		for (int i = 0; i < NODES; i++) {
			struct node *n = &net->nodes[i];

			if (n->mgr && n->running && net->now % TICK_US == 0)
				lease_tick(n->mgr, simnet_now(n));
		}
		if (simnet_acting(net) == NOBODY)
			net->idle_us += STEP_US;
	}
}

static struct row_set make_set(struct simnet *net, uint64_t version, int owner,
			       int successor, int second)
{
	return (struct row_set){ version,
				 net->nodes[owner].self,
				 { net->nodes[successor].self,
				   net->nodes[second].self } };
}

static struct row first_row(struct simnet *net)
{
	return (struct row){ .part = PART, .set = make_set(net, 1, A, B, C) };
}

/* Returns the version after old, whose set was active. */
struct row simnet_next_row(struct simnet *net, const struct row *old, int owner,
			   int successor, int second)
{
	struct row row = { .part = PART, .prev_count = 1 };

	row.set = make_set(net, old->set.version + 1, owner, successor, second);
	row.prev[0] = old->set;
	return row;
}

/* Delivers a row to all running processes. */
void simnet_learn(struct simnet *net, const struct row *row)
{
	for (int i = 0; i < NODES; i++) {
		struct node *n = &net->nodes[i];

		if (n->mgr && n->running)
			assert_true(lease_update_row(n->mgr, row,
						     net->takeover_extra_us,
						     simnet_now(n)));
	}
}

/* Delivers the first row, which names A, B and C, and waits until A acts. */
struct row simnet_start_with_owner(struct simnet *net)
{
	struct row row = first_row(net);

	simnet_learn(net, &row);
	simnet_run(net, 1000);
	assert_int_equal(simnet_acting(net), A);
	return row;
}

/* Cuts or restores all links of a process. */
void simnet_cut_off(struct simnet *net, int id, bool cut)
{
	for (int i = 0; i < NODES; i++) {
		net->cut[id][i] = cut;
		net->cut[i][id] = cut;
	}
}

/* Ends a process without notifying the others. */
void simnet_kill(struct simnet *net, int id)
{
	lease_destroy(net->nodes[id].mgr);
	net->nodes[id].mgr = NULL;
}

/* Delivers proof to all processes that one has ended. */
void simnet_prove_ended(struct simnet *net, int id)
{
	for (int i = 0; i < NODES; i++) {
		if (net->nodes[i].mgr)
			lease_process_ended(net->nodes[i].mgr,
					    &net->nodes[id].self,
					    simnet_now(&net->nodes[i]));
	}
}
