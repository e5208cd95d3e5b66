#include "model.h"

#include <stdlib.h>
#include <string.h>

#define START_TIME 1000
#define ROLE_ORDERS 6

/* State and node for which callbacks of the running lease manager send. */
static struct model_state *send_state;
static int send_node;

/* Orders of roles, indexed by the bits of model_bounds.orders. */
static const uint8_t role_orders[ROLE_ORDERS][MODEL_NODES] = {
	{ 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
	{ 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 },
};

static const char *const kind_names[MODEL_KINDS] = {
	"deliver", "lose",    "copy",	 "tick",    "pause",
	"resume",  "restart", "prove",	 "cut",	    "restore",
	"rewrite", "learn",   "drained", "release", "advance"
};

const char *model_kind_name(enum model_kind kind)
{
	return kind_names[kind];
}

/*
 * Refusals, and renewals of an owner that is not active, can only delay a step
 * that the search may take at any time. Leaving them out of the network keeps
 * the number of states small.
 */
static bool has_no_effect(const struct lease_msg *m)
{
	return m->type == LEASE_REFUSE || m->type == LEASE_CLAIM_REFUSE ||
	       m->type == LEASE_SEAL_WAIT ||
	       (m->type == LEASE_RENEW && !m->active && !m->claimed);
}

static void on_send(void *arg, const struct proc *to,
		    const struct lease_msg *msg)
{
	struct model_msg m;
	int dest = (int)to->instance - 1;

	(void)arg;
	if (has_no_effect(msg) || send_state->cut[send_node][dest] ||
	    send_state->net_count == send_state->left.net)
		return;
	memset(&m, 0, sizeof(m));
	m.from = send_node;
	m.to = dest;
	m.sender = send_state->nodes[send_node]->self;
	m.msg = *msg;
	send_state->net[send_state->net_count++] = m;
}

static void on_fence(void *arg, uint64_t part, uint64_t fence)
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

static const struct lease_callbacks ops = { on_send, on_fence, on_fence,
					    on_drain, on_want };

static void release_node(struct model_node *n)
{
	if (!n || --n->refs)
		return;
	lease_destroy(n->mgr);
	free(n);
}

/* Frees a state and the processes that no other state shares. */
void model_destroy(struct model_state *s)
{
	if (!s)
		return;
	for (int i = 0; i < MODEL_NODES; i++)
		release_node(s->nodes[i]);
	free(s);
}

static struct model_state *copy_state(const struct model_state *s)
{
	struct model_state *c = malloc(sizeof(*c));

	if (!c)
		abort();
	*c = *s;
	for (int i = 0; i < MODEL_NODES; i++)
		c->nodes[i]->refs++;
	return c;
}

/* Replaces a shared process by a private copy and makes it the sender. */
static struct model_node *copy_node(struct model_state *s, int i)
{
	struct model_node *n = malloc(sizeof(*n));

	if (!n)
		abort();
	*n = *s->nodes[i];
	n->refs = 1;
	n->hashed_at = 0;
	n->mgr = lease_clone(n->mgr, NULL);
	if (!n->mgr)
		abort();
	release_node(s->nodes[i]);
	s->nodes[i] = n;
	send_state = s;
	send_node = i;
	return n;
}

static void learn(struct model_state *s, struct model_node *n)
{
	n->known = s->row.set.version;
	lease_update_row(n->mgr, &s->row, 0, s->now);
}

/* Creates the initial state, in which all processes know the first row. */
struct model_state *model_create(const struct model_bounds *bounds,
				 const struct statechart *chart,
				 enum lease_fault fault)
{
	/* Small values in the same order as the default parameters. */
	const struct lease_params params = {
		.renew_interval_us = 1,
		.promise_us = bounds->promise,
		.owner_term_us = bounds->promise - 1,
		.claim_interval_us = 1,
		.reassign_after_us = 2 * bounds->promise,
	};
	struct model_state *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->now = START_TIME;
	s->left = *bounds;
	s->row.part = MODEL_PART;
	s->row.set = (struct row_set){ 1, { 1, 1 }, { { 2, 1 }, { 3, 1 } } };
	send_state = s;
	for (int i = 0; i < MODEL_NODES; i++) {
		struct model_node *n = calloc(1, sizeof(*n));

		if (!n)
			abort();
		s->nodes[i] = n;
		send_node = i;
		n->refs = 1;
		n->self.instance = (uint32_t)i + 1;
		n->self.incarnation = 1;
		n->mgr = lease_create(&params, chart, &n->self, &ops, NULL);
		lease_inject_fault(n->mgr, fault);
		learn(s, n);
	}
	return s;
}

/* True if the bounds allow another step of this kind. */
static bool is_allowed(const struct model_state *s, enum model_kind kind)
{
	const struct model_bounds *left = &s->left;

	switch (kind) {
	case MODEL_COPY:
		return left->copies;
	case MODEL_PAUSE:
		return left->pauses;
	case MODEL_RESTART:
		return left->restarts;
	case MODEL_CUT:
		return left->cuts;
	case MODEL_REWRITE:
		return left->rewrites;
	case MODEL_RELEASE:
		return left->releases;
	case MODEL_ADVANCE:
		return left->time;
	default:
		return true;
	}
}

/* Includes args that model_apply() then rejects as not possible. */
unsigned int model_args(const struct model_state *s, enum model_kind kind)
{
	if (!is_allowed(s, kind))
		return 0;
	switch (kind) {
	case MODEL_DELIVER:
	case MODEL_LOSE:
	case MODEL_COPY:
		return (unsigned int)s->net_count;
	case MODEL_CUT:
	case MODEL_RESTORE:
		return MODEL_NODES * MODEL_NODES;
	case MODEL_REWRITE:
		return MODEL_NODES * ROLE_ORDERS;
	case MODEL_ADVANCE:
		return 1;
	default:
		return MODEL_NODES;
	}
}

static bool use_one(unsigned int *left)
{
	if (!*left)
		return false;
	--*left;
	return true;
}

static void remove_msg(struct model_state *s, size_t i)
{
	s->net[i] = s->net[--s->net_count];
}

static bool apply_msg(struct model_state *s, enum model_kind kind, size_t i)
{
	struct model_msg m = s->net[i];
	struct model_node *n;

	if (kind == MODEL_LOSE) {
		remove_msg(s, i);
		return true;
	}
	if (s->nodes[m.to]->paused)
		return false;
	if (kind == MODEL_COPY && !use_one(&s->left.copies))
		return false;
	if (kind == MODEL_DELIVER)
		remove_msg(s, i);
	n = copy_node(s, m.to);
	lease_receive(n->mgr, &m.sender, &m.msg, s->now);
	return true;
}

/* Replaces a process by a new incarnation that knows the current row. */
static bool apply_restart(struct model_state *s, int i)
{
	struct model_node *n;
	struct lease_mgr *old;

	if (!use_one(&s->left.restarts) || s->nodes[i]->paused)
		return false;
	n = copy_node(s, i);
	old = n->mgr;
	n->former = n->self;
	n->self.incarnation++;
	n->mgr = lease_recreate(old, &n->self);
	lease_destroy(old);
	learn(s, n);
	return true;
}

static bool apply_node(struct model_state *s, enum model_kind kind, int i)
{
	struct model_node *n = s->nodes[i];
	struct lease_term t;

	if (kind == MODEL_RESUME ? !n->paused : n->paused)
		return false;
	if (kind == MODEL_PAUSE && !use_one(&s->left.pauses))
		return false;
	if (kind == MODEL_LEARN && n->known == s->row.set.version)
		return false;
	if (kind == MODEL_RELEASE && !use_one(&s->left.releases))
		return false;
	if (kind == MODEL_DRAINED &&
	    (!lease_may_act(n->mgr, MODEL_PART, s->now, &t) || !t.draining))
		return false;
	n = copy_node(s, i);
	if (kind == MODEL_TICK)
		lease_tick(n->mgr, s->now);
	else if (kind == MODEL_LEARN)
		learn(s, n);
	else if (kind == MODEL_DRAINED)
		lease_drain_done(n->mgr, MODEL_PART, s->now);
	else if (kind == MODEL_RELEASE)
		lease_release(n->mgr, MODEL_PART, s->now);
	else
		n->paused = kind == MODEL_PAUSE;
	return true;
}

/* Each process receives the proofs in a step of its own. */
static bool apply_prove(struct model_state *s, int i)
{
	bool proved = false;

	if (s->nodes[i]->paused)
		return false;
	for (int j = 0; j < MODEL_NODES; j++) {
		struct proc former = s->nodes[j]->former;

		if (j == i || !former.incarnation)
			continue;
		lease_process_ended(copy_node(s, i)->mgr, &former, s->now);
		proved = true;
	}
	return proved;
}

static bool apply_link(struct model_state *s, enum model_kind kind,
		       unsigned int arg)
{
	bool *cut = &s->cut[arg / MODEL_NODES][arg % MODEL_NODES];

	if (arg / MODEL_NODES == arg % MODEL_NODES)
		return false;
	if (*cut != (kind == MODEL_RESTORE))
		return false;
	if (kind == MODEL_CUT && !use_one(&s->left.cuts))
		return false;
	*cut = kind == MODEL_CUT;
	return true;
}

/* Conditional write by a process that knows the current version of the row. */
static bool apply_rewrite(struct model_state *s, unsigned int arg)
{
	const struct model_node *n = s->nodes[arg / ROLE_ORDERS];
	const uint8_t *order = role_orders[arg % ROLE_ORDERS];
	struct row *row = &s->row;
	bool active = lease_is_active(n->mgr, MODEL_PART);

	if (n->paused || n->known != row->set.version ||
	    !row_set_has(&row->set, &n->self) || !use_one(&s->left.rewrites))
		return false;
	if (active)
		row->prev_count = 0;
	if (row->prev_count == ROW_PREV_MAX)
		return false;
	row->prev[row->prev_count++] = row->set;
	row->set.version++;
	row->set.owner = s->nodes[order[0]]->self;
	row->set.witness[0] = s->nodes[order[1]]->self;
	row->set.witness[1] = s->nodes[order[2]]->self;
	row->writer = n->self;
	return true;
}

static bool apply(struct model_state *s, struct model_step step)
{
	switch ((enum model_kind)step.kind) {
	case MODEL_DELIVER:
	case MODEL_LOSE:
	case MODEL_COPY:
		return apply_msg(s, step.kind, step.arg);
	case MODEL_RESTART:
		return apply_restart(s, step.arg);
	case MODEL_PROVE:
		return apply_prove(s, step.arg);
	case MODEL_CUT:
	case MODEL_RESTORE:
		return apply_link(s, step.kind, step.arg);
	case MODEL_REWRITE:
		return apply_rewrite(s, step.arg);
	case MODEL_ADVANCE:
		s->now++;
		return use_one(&s->left.time);
	default:
		return apply_node(s, step.kind, step.arg);
	}
}

/* Rejects impossible steps before the state is copied, for speed. */
static bool may_apply(const struct model_state *s, struct model_step step)
{
	const struct model_node *n = s->nodes[step.arg % MODEL_NODES];
	struct lease_term t;

	switch ((enum model_kind)step.kind) {
	case MODEL_RESUME:
		return n->paused;
	case MODEL_LEARN:
		return n->known != s->row.set.version;
	case MODEL_DRAINED:
		return lease_may_act(n->mgr, MODEL_PART, s->now, &t);
	case MODEL_RESTORE:
		return s->cut[step.arg / MODEL_NODES][step.arg % MODEL_NODES];
	case MODEL_PROVE:
		for (int i = 0; i < MODEL_NODES; i++) {
			if (s->nodes[i]->former.incarnation)
				return true;
		}
		return false;
	case MODEL_REWRITE:
		return s->left.orders & 1U << step.arg % ROLE_ORDERS;
	default:
		return true;
	}
}

/* Applies the step to a copy of the state. */
struct model_state *model_apply(const struct model_state *s,
				struct model_step step)
{
	struct model_state *c;

	if (!may_apply(s, step))
		return NULL;
	c = copy_state(s);
	if (apply(c, step))
		return c;
	model_destroy(c);
	return NULL;
}

/* Checks that at most one process acts and that the fence never decreases. */
const char *model_check(struct model_state *s)
{
	int acting = 0;
	struct lease_term t;

	for (int i = 0; i < MODEL_NODES; i++) {
		if (!lease_may_act(s->nodes[i]->mgr, MODEL_PART, s->now, &t))
			continue;
		if (++acting > 1)
			return "two processes may act";
		if (t.fence < s->fence)
			return "the fence went down";
		s->fence = t.fence;
	}
	return NULL;
}
