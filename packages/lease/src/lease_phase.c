#include "lease_int.h"

#include "ctr.h"

#include <string.h>

/*
 * One transition of the chart. Calls to ops are deferred until the new phase is
 * stored.
 */
struct transition {
	struct lease_mgr *mgr;
	struct partition *p;
	uint64_t now_us;
	bool started;
	bool stopped;
	bool drain;
	uint64_t stopped_fence;
};

static const char *const state_names[] = { "idle",     "sealing",  "renewing",
					   "acting",   "moving",   "draining",
					   "watching", "claiming", "leading",
					   "given_up", NULL };

static const char *const event_names[] = { "owner",   "successor", "other",
					   "active",  "granted",   "expired",
					   "overdue", "renewed",   "give_up",
					   NULL };

static uint64_t held_fence(const struct partition *p)
{
	return p->as_successor ? row_successor_fence(&p->held) :
				 row_fence(&p->held);
}

static void begin_seal(void *arg)
{
	struct transition *t = arg;

	lease_begin_seal(t->p, t->now_us);
}

static void hold_newest_set(struct transition *t, bool as_successor)
{
	struct partition *p = t->p;

	p->holds = true;
	p->as_successor = as_successor;
	p->held = p->row.set;
	p->drained = false;
	if (p->active < p->held.version)
		p->active = p->held.version;
	if (p->sealed_below < p->held.version)
		p->sealed_below = p->held.version;
}

/* The owner has no term in the new version until a witness grants one. */
static void take_newest(void *arg)
{
	struct transition *t = arg;

	hold_newest_set(t, false);
	if (!t->stopped)
		t->p->grace_end_us = 0;
	t->p->until_us = 0;
	t->p->next_request_us = t->now_us;
}

static void take_claim(void *arg)
{
	hold_newest_set(arg, true);
}

static void start(void *arg)
{
	struct transition *t = arg;

	t->p->acting = true;
	t->started = true;
	if (t->p->as_successor)
		ctr_add(CTR_LEASE_TAKEOVERS, 1);
}

/* Requests of a term that was not drained may still run at the upstream. */
static void stop(void *arg)
{
	struct transition *t = arg;
	struct partition *p = t->p;

	t->stopped = true;
	p->grace_end_us = p->until_us;
	t->stopped_fence = held_fence(p);
	p->acting = false;
	if (p->until_us > t->now_us)
		p->until_us = t->now_us;
	p->requests_end_us =
		p->drained ? 0 : p->until_us + p->takeover_extra_us;
}

static void drop(void *arg)
{
	struct transition *t = arg;

	t->p->holds = false;
	t->p->grace_end_us = 0;
	t->p->until_us = 0;
}

static void watch(void *arg)
{
	struct transition *t = arg;

	t->p->takeover_us = 0;
	t->p->next_request_us = t->now_us;
	lease_begin_seal(t->p, t->now_us);
}

static void drain(void *arg)
{
	((struct transition *)arg)->drain = true;
}

static const struct statechart_action actions[] = {
	{ "begin_seal", begin_seal },
	{ "take_newest", take_newest },
	{ "take_claim", take_claim },
	{ "start", start },
	{ "stop", stop },
	{ "drop", drop },
	{ "watch", watch },
	{ "drain", drain },
};

/* Loads the chart with the names of the phases and events above. */
struct statechart *lease_chart_load(const char *path, struct err *err)
{
	return statechart_load(path, state_names, event_names, actions,
			       sizeof(actions) / sizeof(actions[0]), err);
}

/* Calls ops after the transition, as they may call this module again. */
static void run_callbacks(struct lease_mgr *mgr, struct partition *p,
			  const struct transition *t)
{
	struct proc new_owner = p->row.set.owner;

	if (t->stopped)
		mgr->ops.stopped(mgr->arg, p->part, t->stopped_fence);
	if (t->started)
		mgr->ops.started(mgr->arg, p->part, held_fence(p));
	if (t->drain)
		mgr->ops.drain(mgr->arg, p->part, &new_owner);
}

/*
 * Processes one event. A process that has given up an older version takes its
 * role in the newest one at once.
 */
void lease_fire(struct lease_mgr *mgr, struct partition *p, enum event event,
		uint64_t now_us)
{
	struct transition t = { .mgr = mgr, .p = p, .now_us = now_us };

	p->phase = statechart_fire(mgr->chart, p->phase, (int)event, &t);
	if (event >= EVENT_ACTIVE && p->phase == PHASE_GIVEN_UP &&
	    p->held.version < p->row.set.version &&
	    p->claimed < p->row.set.version)
		lease_fire_role(mgr, p, now_us);
	run_callbacks(mgr, p, &t);
}

/* Fires the event for the role of this process in the newest version. */
void lease_fire_role(struct lease_mgr *mgr, struct partition *p,
		     uint64_t now_us)
{
	const struct row_set *set = &p->row.set;

	if (lease_is_self(mgr, &set->owner))
		lease_fire(mgr, p, EVENT_OWNER, now_us);
	else if (lease_is_self(mgr, &set->witness[ROW_SUCCESSOR]))
		lease_fire(mgr, p, EVENT_SUCCESSOR, now_us);
	else
		lease_fire(mgr, p, EVENT_OTHER, now_us);
}

/*
 * Seals all versions below this one: the process takes no part in them any
 * more.
 */
void lease_seal_below(struct lease_mgr *mgr, struct partition *p,
		      uint64_t version, uint64_t now_us)
{
	if (p->sealed_below >= version)
		return;
	p->sealed_below = version;
	ctr_add(CTR_LEASE_SEALS, 1);
	if (p->holds && p->held.version < version)
		lease_fire(mgr, p, EVENT_GIVE_UP, now_us);
}
