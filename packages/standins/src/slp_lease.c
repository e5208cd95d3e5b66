#include "slp_run.h"

#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "lease.h"

#define PROCESSES 3
#define START_US (1000 * US_PER_S)
#define TICK_US (50 * US_PER_MS)
#define TAKEOVER_TICKS 60
#define CHECKS 10000
#define ROUNDS 4 /* of renewal in each repetition */

enum process {
	OWNER,
	SUCCESSOR,
	WITNESS
};

struct packet {
	uint32_t from;
	uint32_t to;
	struct lease_msg msg;
};

struct queue {
	struct packet *packets;
	size_t count;
	size_t size;
};

struct world;

struct node {
	struct proc self;
	struct lease_mgr *lease_mgr;
	struct world *world;
	uint32_t started;
	double ns; /* processor time spent */
};

/*
 * An owner and its witnesses with the same partitions; messages take no time.
 */
struct world {
	struct statechart *chart;
	struct node nodes[PROCESSES];
	struct queue queue;
	struct queue batch; /* messages that are being delivered */
	uint64_t now_us;
	double clock_ns; /* cost of reading the processor clock */
	bool owner_lost;
	bool failed;
};

static void on_send(void *arg, const struct proc *to,
		    const struct lease_msg *msg)
{
	struct node *n = arg;
	struct queue *q = &n->world->queue;

	if (q->count == q->size) {
		size_t size = q->size ? q->size * 2 : 64;
		struct packet *p =
			reallocarray(q->packets, size, sizeof(*q->packets));

		if (!p) {
			n->world->failed = true;
			return;
		}
		q->packets = p;
		q->size = size;
	}
	q->packets[q->count++] =
		(struct packet){ n->self.instance - 1, to->instance - 1, *msg };
}

static void on_started(void *arg, uint64_t part, uint64_t fence)
{
	(void)part;
	(void)fence;
	((struct node *)arg)->started++;
}

static void on_stopped(void *arg, uint64_t part, uint64_t fence)
{
	(void)arg;
	(void)part;
	(void)fence;
}

static void on_drain(void *arg, uint64_t part, const struct proc *new_owner)
{
	(void)arg;
	(void)part;
	(void)new_owner;
}

static void on_want(void *arg, uint64_t part, enum lease_row_reason want)
{
	(void)arg;
	(void)part;
	(void)want;
}

static const struct lease_callbacks ops = { on_send, on_started, on_stopped,
					    on_drain, on_want };

static bool create_world(struct world *w)
{
	for (uint32_t i = 0; i < PROCESSES; i++) {
		struct node *n = &w->nodes[i];

		*n = (struct node){ .self = { i + 1, i + 100 }, .world = w };
		n->lease_mgr = lease_create(&lease_default_params, w->chart,
					    &n->self, &ops, n);
		if (!n->lease_mgr)
			return false;
	}
	w->now_us = START_US;
	w->owner_lost = false;
	return true;
}

static void destroy_world(struct world *w)
{
	for (uint32_t i = 0; i < PROCESSES; i++) {
		lease_destroy(w->nodes[i].lease_mgr);
		w->nodes[i].lease_mgr = NULL;
	}
	w->queue.count = 0;
}

/* Delivers to one process what is in the batch for it. */
static void deliver_to(struct world *w, uint32_t to)
{
	struct node *n = &w->nodes[to];
	double start = slp_cpu_ns();

	for (size_t i = 0; i < w->batch.count; i++) {
		struct packet *p = &w->batch.packets[i];

		if (p->to == to)
			lease_receive(n->lease_mgr, &w->nodes[p->from].self,
				      &p->msg, w->now_us);
	}
	n->ns += slp_cpu_ns() - start - w->clock_ns;
}

/* Delivers messages until none is under way. */
static void deliver(struct world *w)
{
	while (w->queue.count) {
		struct queue batch = w->queue;

		w->queue = w->batch;
		w->queue.count = 0;
		w->batch = batch;
		for (uint32_t i = 0; i < PROCESSES; i++) {
			if (i != OWNER || !w->owner_lost)
				deliver_to(w, i);
		}
	}
}

static void tick(struct world *w, uint64_t step_us)
{
	w->now_us += step_us;
	for (uint32_t i = 0; i < PROCESSES; i++) {
		struct node *n = &w->nodes[i];
		double start;

		if (i == OWNER && w->owner_lost)
			continue;
		start = slp_cpu_ns();
		lease_tick(n->lease_mgr, w->now_us);
		n->ns += slp_cpu_ns() - start - w->clock_ns;
	}
	deliver(w);
}

static void clear_times(struct world *w)
{
	for (uint32_t i = 0; i < PROCESSES; i++)
		w->nodes[i].ns = 0;
}

/* Teaches all processes the rows; returns the time of one process. */
static double learn(struct world *w, uint32_t parts)
{
	double ns = 0;

	for (uint32_t k = 0; k < PROCESSES; k++) {
		double start = slp_cpu_ns();

		for (uint32_t i = 0; i < parts; i++) {
			struct row row = { .part = part_id(1, i) };

			row.set.version = 1;
			row.set.owner = w->nodes[OWNER].self;
			row.set.witness[0] = w->nodes[SUCCESSOR].self;
			row.set.witness[1] = w->nodes[WITNESS].self;
			if (!lease_update_row(w->nodes[k].lease_mgr, &row, 0,
					      w->now_us))
				w->failed = true;
		}
		ns += slp_cpu_ns() - start - w->clock_ns;
	}
	deliver(w);
	return ns / PROCESSES;
}

/* The check before each send to the upstream, over all partitions in turn. */
static double check_terms(struct world *w, uint32_t parts)
{
	double start = slp_cpu_ns();

	for (uint32_t i = 0; i < CHECKS; i++) {
		struct lease_term term;

		if (!lease_may_act(w->nodes[OWNER].lease_mgr,
				   part_id(1, i % parts), w->now_us, &term))
			w->failed = true;
	}
	return (slp_cpu_ns() - start) / CHECKS;
}

/* Results of one size, a value for each repetition. */
struct results {
	double *learn;
	double *owner;
	double *witness;
	double *idle;
	double *takeover;
	double *check;
	double bytes;
};

/* Lets the owner fall silent and the successor take over. */
static double take_over(struct world *w)
{
	double ns;

	w->owner_lost = true;
	clear_times(w);
	for (int i = 0; i < TAKEOVER_TICKS; i++)
		tick(w, TICK_US);
	ns = w->nodes[SUCCESSOR].ns;
	return ns;
}

static bool repeat(struct world *w, uint32_t parts, uint32_t k,
		   struct results *r)
{
	size_t before = slp_heap_bytes();
	bool ok;

	if (!create_world(w))
		return false;
	r->learn[k] = learn(w, parts);
	r->bytes = ((double)slp_heap_bytes() - (double)before) / PROCESSES;
	clear_times(w);
	for (int i = 0; i < ROUNDS; i++)
		tick(w, lease_default_params.renew_interval_us);
	r->owner[k] = w->nodes[OWNER].ns / ROUNDS;
	r->witness[k] = w->nodes[WITNESS].ns / ROUNDS;
	clear_times(w);
	for (int i = 0; i < ROUNDS; i++)
		tick(w, TICK_US);
	r->idle[k] = w->nodes[OWNER].ns / ROUNDS;
	ok = w->nodes[OWNER].started == parts;
	r->check[k] = check_terms(w, parts);
	r->takeover[k] = take_over(w);
	ok = ok && w->nodes[SUCCESSOR].started == parts && !w->failed;
	destroy_world(w);
	return ok;
}

static void add_lines(struct slp *s, uint32_t parts, struct results *r)
{
	uint32_t n = slp_options(s)->repetitions;

	slp_add(s, "lse learn, rows", parts, slp_median(r->learn, n), r->bytes);
	slp_add(s, "lse round owner, partitions", parts,
		slp_median(r->owner, n), SLP_NONE);
	slp_add(s, "lse round witness, partitions", parts,
		slp_median(r->witness, n), SLP_NONE);
	slp_add(s, "lse idle tick, partitions", parts, slp_median(r->idle, n),
		SLP_NONE);
	slp_add(s, "lse may_act, partitions", parts, slp_median(r->check, n),
		SLP_NONE);
	slp_add(s, "lse takeover successor, partitions", parts,
		slp_median(r->takeover, n), SLP_NONE);
}

static bool measure(struct slp *s, struct world *w, uint32_t parts)
{
	uint32_t n = slp_options(s)->repetitions;
	double *values = calloc(n * 6, sizeof(*values));
	struct results r = { values,
			     values + n,
			     values + 2 * n,
			     values + 3 * n,
			     values + 4 * n,
			     values + 5 * n,
			     0 };
	bool ok = values;

	for (uint32_t k = 0; ok && k < n; k++)
		ok = repeat(w, parts, k, &r);
	if (ok)
		add_lines(s, parts, &r);
	free(values);
	return ok;
}

static void read_clock(void *arg)
{
	*(double *)arg = slp_cpu_ns();
}

/* One renewal round, learning and takeover of 1 to 1,000 partitions. */
bool slp_lease(struct slp *s)
{
	static const uint32_t sizes[] = { 1, 10, 30, 100, 1000 };
	struct world w = { 0 };
	char path[256];
	double unused;
	bool ok;

	snprintf(path, sizeof(path), "%s/lease.yaml", slp_options(s)->charts);
	w.chart = lease_chart_load(path, NULL);
	w.clock_ns = slp_time(s, read_clock, &unused);
	ok = w.chart;
	for (size_t i = 0; ok && i < sizeof(sizes) / sizeof(*sizes); i++) {
		if (slp_wants(s, sizes[i]))
			ok = measure(s, &w, sizes[i]);
	}
	free(w.queue.packets);
	free(w.batch.packets);
	statechart_destroy(w.chart);
	return ok;
}
