#include "mdl.h"

#include <stdlib.h>
#include <string.h>

#define START_TIME 1000
#define ROLE_ORDERS 6

/* The state to which the module that runs now sends, and its place there. */
static struct mdl_state *sink;
static int sink_from;

/* The numbers in the bits of mdl_bounds.orders. */
static const uint8_t role_orders[ROLE_ORDERS][MDL_NODES] = {
	{ 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
	{ 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 },
};

static const char *const kind_names[MDL_KINDS] = {
	"deliver", "lose",    "copy",	 "tick",    "pause",
	"resume",  "restart", "prove",	 "cut",	    "restore",
	"rewrite", "learn",   "drained", "release", "advance"
};

/* Returns the name of a kind of step. */
const char *mdl_kind_name(enum mdl_kind kind)
{
	return kind_names[kind];
}

/*
 * Refusals, and heartbeats of an owner that is not active, can only delay a
 * step that the search takes at any time; they are not put into the network.
 */
static bool is_without_effect(const struct lse_msg *m)
{
	return m->type == LSE_REFUSE || m->type == LSE_CLAIM_REFUSE ||
	       m->type == LSE_SEAL_WAIT ||
	       (m->type == LSE_RENEW && !m->active && !m->claimed);
}

static void on_send(void *arg, const struct proc *to, const struct lse_msg *msg)
{
	struct mdl_msg m;
	int dest = (int)to->instance - 1;

	(void)arg;
	if (is_without_effect(msg) || sink->cut[sink_from][dest] ||
	    sink->net_count == sink->left.net)
		return;
	memset(&m, 0, sizeof(m));
	m.from = sink_from;
	m.to = dest;
	m.sender = sink->nodes[sink_from]->self;
	m.msg = *msg;
	sink->net[sink->net_count++] = m;
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

static void on_want(void *arg, uint64_t part, enum lse_want want)
{
	(void)arg;
	(void)part;
	(void)want;
}

static const struct lse_ops ops = { on_send, on_fence, on_fence, on_drain,
				    on_want };

static void drop_node(struct mdl_node *n)
{
	if (!n || --n->refs)
		return;
	lse_destroy(n->lse);
	free(n);
}

/* Frees a state and the processes that no other state shares. */
void mdl_destroy(struct mdl_state *s)
{
	if (!s)
		return;
	for (int i = 0; i < MDL_NODES; i++)
		drop_node(s->nodes[i]);
	free(s);
}

static struct mdl_state *copy_state(const struct mdl_state *s)
{
	struct mdl_state *c = malloc(sizeof(*c));

	if (!c)
		abort();
	*c = *s;
	for (int i = 0; i < MDL_NODES; i++)
		c->nodes[i]->refs++;
	return c;
}

/* Makes a process of the state its own and the one that sends. */
static struct mdl_node *own_node(struct mdl_state *s, int i)
{
	struct mdl_node *n = malloc(sizeof(*n));

	if (!n)
		abort();
	*n = *s->nodes[i];
	n->refs = 1;
	n->hashed_at = 0;
	n->lse = lse_clone(n->lse, NULL);
	if (!n->lse)
		abort();
	drop_node(s->nodes[i]);
	s->nodes[i] = n;
	sink = s;
	sink_from = i;
	return n;
}

static void learn(struct mdl_state *s, struct mdl_node *n)
{
	n->known = s->row.set.version;
	lse_learn(n->lse, &s->row, 0, s->now);
}

/* Creates the first state, in which all know the first row. */
struct mdl_state *mdl_create(const struct mdl_bounds *bounds,
			     const struct cht *chart, enum lse_fault fault)
{
	/* Small numbers with the relations of the default parameters. */
	const struct lse_params params = {
		.renew_interval_us = 1,
		.promise_us = bounds->promise,
		.owner_term_us = bounds->promise - 1,
		.claim_interval_us = 1,
		.reassign_after_us = 2 * bounds->promise,
	};
	struct mdl_state *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->now = START_TIME;
	s->left = *bounds;
	s->row.part = MDL_PART;
	s->row.set = (struct row_set){ 1, { 1, 1 }, { { 2, 1 }, { 3, 1 } } };
	sink = s;
	for (int i = 0; i < MDL_NODES; i++) {
		struct mdl_node *n = calloc(1, sizeof(*n));

		if (!n)
			abort();
		s->nodes[i] = n;
		sink_from = i;
		n->refs = 1;
		n->self.instance = (uint32_t)i + 1;
		n->self.incarnation = 1;
		n->lse = lse_create(&params, chart, &n->self, &ops, NULL);
		lse_set_fault(n->lse, fault);
		learn(s, n);
	}
	return s;
}

/* True if the bounds leave steps of this kind. */
static bool is_left(const struct mdl_state *s, enum mdl_kind kind)
{
	const struct mdl_bounds *left = &s->left;

	switch (kind) {
	case MDL_COPY:
		return left->copies;
	case MDL_PAUSE:
		return left->pauses;
	case MDL_RESTART:
		return left->restarts;
	case MDL_CUT:
		return left->cuts;
	case MDL_REWRITE:
		return left->rewrites;
	case MDL_RELEASE:
		return left->releases;
	case MDL_ADVANCE:
		return left->time;
	default:
		return true;
	}
}

/* Counts the args of a kind of step. */
unsigned int mdl_args(const struct mdl_state *s, enum mdl_kind kind)
{
	if (!is_left(s, kind))
		return 0;
	switch (kind) {
	case MDL_DELIVER:
	case MDL_LOSE:
	case MDL_COPY:
		return (unsigned int)s->net_count;
	case MDL_CUT:
	case MDL_RESTORE:
		return MDL_NODES * MDL_NODES;
	case MDL_REWRITE:
		return MDL_NODES * ROLE_ORDERS;
	case MDL_ADVANCE:
		return 1;
	default:
		return MDL_NODES;
	}
}

static bool take(unsigned int *left)
{
	if (!*left)
		return false;
	--*left;
	return true;
}

static void remove_msg(struct mdl_state *s, size_t i)
{
	s->net[i] = s->net[--s->net_count];
}

static bool apply_msg(struct mdl_state *s, enum mdl_kind kind, size_t i)
{
	struct mdl_msg m = s->net[i];
	struct mdl_node *n;

	if (kind == MDL_LOSE) {
		remove_msg(s, i);
		return true;
	}
	if (s->nodes[m.to]->paused)
		return false;
	if (kind == MDL_COPY && !take(&s->left.copies))
		return false;
	if (kind == MDL_DELIVER)
		remove_msg(s, i);
	n = own_node(s, m.to);
	lse_receive(n->lse, &m.sender, &m.msg, s->now);
	return true;
}

/* Replaces a process by a new incarnation that knows the table's row. */
static bool apply_restart(struct mdl_state *s, int i)
{
	struct mdl_node *n;
	struct lse *old;

	if (!take(&s->left.restarts) || s->nodes[i]->paused)
		return false;
	n = own_node(s, i);
	old = n->lse;
	n->former = n->self;
	n->self.incarnation++;
	n->lse = lse_recreate(old, &n->self);
	lse_destroy(old);
	learn(s, n);
	return true;
}

static bool apply_node(struct mdl_state *s, enum mdl_kind kind, int i)
{
	struct mdl_node *n = s->nodes[i];
	struct lse_term t;

	if (kind == MDL_RESUME ? !n->paused : n->paused)
		return false;
	if (kind == MDL_PAUSE && !take(&s->left.pauses))
		return false;
	if (kind == MDL_LEARN && n->known == s->row.set.version)
		return false;
	if (kind == MDL_RELEASE && !take(&s->left.releases))
		return false;
	if (kind == MDL_DRAINED &&
	    (!lse_may_act(n->lse, MDL_PART, s->now, &t) || !t.draining))
		return false;
	n = own_node(s, i);
	if (kind == MDL_TICK)
		lse_tick(n->lse, s->now);
	else if (kind == MDL_LEARN)
		learn(s, n);
	else if (kind == MDL_DRAINED)
		lse_drained(n->lse, MDL_PART, s->now);
	else if (kind == MDL_RELEASE)
		lse_release(n->lse, MDL_PART, s->now);
	else
		n->paused = kind == MDL_PAUSE;
	return true;
}

/* Each other process learns the proof at a time of its own. */
static bool apply_prove(struct mdl_state *s, int i)
{
	bool proved = false;

	if (s->nodes[i]->paused)
		return false;
	for (int j = 0; j < MDL_NODES; j++) {
		struct proc former = s->nodes[j]->former;

		if (j == i || !former.incarnation)
			continue;
		lse_ended(own_node(s, i)->lse, &former, s->now);
		proved = true;
	}
	return proved;
}

static bool apply_link(struct mdl_state *s, enum mdl_kind kind,
		       unsigned int arg)
{
	bool *cut = &s->cut[arg / MDL_NODES][arg % MDL_NODES];

	if (arg / MDL_NODES == arg % MDL_NODES)
		return false;
	if (*cut != (kind == MDL_RESTORE))
		return false;
	if (kind == MDL_CUT && !take(&s->left.cuts))
		return false;
	*cut = kind == MDL_CUT;
	return true;
}

/* Conditional write by a process that knows the version in the table. */
static bool apply_rewrite(struct mdl_state *s, unsigned int arg)
{
	const struct mdl_node *n = s->nodes[arg / ROLE_ORDERS];
	const uint8_t *order = role_orders[arg % ROLE_ORDERS];
	struct row *row = &s->row;
	bool active = lse_is_active(n->lse, MDL_PART);

	if (n->paused || n->known != row->set.version ||
	    !row_set_has(&row->set, &n->self) || !take(&s->left.rewrites))
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

static bool apply(struct mdl_state *s, struct mdl_step step)
{
	switch ((enum mdl_kind)step.kind) {
	case MDL_DELIVER:
	case MDL_LOSE:
	case MDL_COPY:
		return apply_msg(s, step.kind, step.arg);
	case MDL_RESTART:
		return apply_restart(s, step.arg);
	case MDL_PROVE:
		return apply_prove(s, step.arg);
	case MDL_CUT:
	case MDL_RESTORE:
		return apply_link(s, step.kind, step.arg);
	case MDL_REWRITE:
		return apply_rewrite(s, step.arg);
	case MDL_ADVANCE:
		s->now++;
		return take(&s->left.time);
	default:
		return apply_node(s, step.kind, step.arg);
	}
}

/* Rules out at little cost what apply() would refuse. */
static bool may_apply(const struct mdl_state *s, struct mdl_step step)
{
	const struct mdl_node *n = s->nodes[step.arg % MDL_NODES];
	struct lse_term t;

	switch ((enum mdl_kind)step.kind) {
	case MDL_RESUME:
		return n->paused;
	case MDL_LEARN:
		return n->known != s->row.set.version;
	case MDL_DRAINED:
		return lse_may_act(n->lse, MDL_PART, s->now, &t);
	case MDL_RESTORE:
		return s->cut[step.arg / MDL_NODES][step.arg % MDL_NODES];
	case MDL_PROVE:
		for (int i = 0; i < MDL_NODES; i++) {
			if (s->nodes[i]->former.incarnation)
				return true;
		}
		return false;
	case MDL_REWRITE:
		return s->left.orders & 1U << step.arg % ROLE_ORDERS;
	default:
		return true;
	}
}

/* Copies the state and takes the step in the copy. */
struct mdl_state *mdl_apply(const struct mdl_state *s, struct mdl_step step)
{
	struct mdl_state *c;

	if (!may_apply(s, step))
		return NULL;
	c = copy_state(s);
	if (apply(c, step))
		return c;
	mdl_destroy(c);
	return NULL;
}

/* At most one process acts, and with a fence that never goes down. */
const char *mdl_check(struct mdl_state *s)
{
	int acting = 0;
	struct lse_term t;

	for (int i = 0; i < MDL_NODES; i++) {
		if (!lse_may_act(s->nodes[i]->lse, MDL_PART, s->now, &t))
			continue;
		if (++acting > 1)
			return "two processes may act";
		if (t.fence < s->fence)
			return "the fence went down";
		s->fence = t.fence;
	}
	return NULL;
}
