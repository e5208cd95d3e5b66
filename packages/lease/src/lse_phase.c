#include "lse_part.h"

#include "ctr.h"

#include <string.h>

/* One transition; calls to ops wait until the new phase is stored. */
struct step {
	struct lse *l;
	struct part *p;
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

static uint64_t held_fence(const struct part *p)
{
	return p->as_successor ? row_successor_fence(&p->held) :
				 row_fence(&p->held);
}

static void begin_seal(void *arg)
{
	struct step *s = arg;

	lse_begin_seal(s->p, s->now_us);
}

static void hold_newest(struct step *s, bool as_successor)
{
	struct part *p = s->p;

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
	struct step *s = arg;

	hold_newest(s, false);
	if (!s->stopped)
		s->p->grace_us = 0;
	s->p->until_us = 0;
	s->p->next_ask_us = s->now_us;
}

static void take_claim(void *arg)
{
	hold_newest(arg, true);
}

static void start(void *arg)
{
	struct step *s = arg;

	s->p->acting = true;
	s->started = true;
	if (s->p->as_successor)
		ctr_add(CTR_LEASE_TAKEOVERS, 1);
}

/* Requests of a term that was not drained may run on at the upstream. */
static void stop(void *arg)
{
	struct step *s = arg;
	struct part *p = s->p;

	s->stopped = true;
	p->grace_us = p->until_us;
	s->stopped_fence = held_fence(p);
	p->acting = false;
	if (p->until_us > s->now_us)
		p->until_us = s->now_us;
	p->quiet_us = p->drained ? 0 : p->until_us + p->extra_us;
}

static void drop(void *arg)
{
	struct step *s = arg;

	s->p->holds = false;
	s->p->grace_us = 0;
	s->p->until_us = 0;
}

static void watch(void *arg)
{
	struct step *s = arg;

	s->p->lead_us = 0;
	s->p->next_ask_us = s->now_us;
	lse_begin_seal(s->p, s->now_us);
}

static void drain(void *arg)
{
	((struct step *)arg)->drain = true;
}

static const struct cht_action actions[] = {
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
struct cht *lse_chart_load(const char *path, struct err *err)
{
	return cht_load(path, state_names, event_names, actions,
			sizeof(actions) / sizeof(actions[0]), err);
}

/* Calls ops last: they may call the module again. */
static void report(struct lse *l, struct part *p, const struct step *s)
{
	struct proc new_owner = p->row.set.owner;

	if (s->stopped)
		l->ops.stopped(l->arg, p->part, s->stopped_fence);
	if (s->started)
		l->ops.started(l->arg, p->part, held_fence(p));
	if (s->drain)
		l->ops.drain(l->arg, p->part, &new_owner);
}

/*
 * Runs one event through the chart. A process that gave up an older version
 * takes its place in the newest one at once.
 */
void lse_fire(struct lse *l, struct part *p, enum event event, uint64_t now_us)
{
	struct step s = { .l = l, .p = p, .now_us = now_us };

	p->phase = cht_fire(l->chart, p->phase, (int)event, &s);
	if (event >= EVENT_ACTIVE && p->phase == PHASE_GIVEN_UP &&
	    p->held.version < p->row.set.version &&
	    p->claimed < p->row.set.version)
		lse_fire_role(l, p, now_us);
	report(l, p, &s);
}

/* Tells the chart the place of this process in the newest version. */
void lse_fire_role(struct lse *l, struct part *p, uint64_t now_us)
{
	const struct row_set *set = &p->row.set;

	if (lse_is_self(l, &set->owner))
		lse_fire(l, p, EVENT_OWNER, now_us);
	else if (lse_is_self(l, &set->witness[ROW_SUCCESSOR]))
		lse_fire(l, p, EVENT_SUCCESSOR, now_us);
	else
		lse_fire(l, p, EVENT_OTHER, now_us);
}

/* Takes no part in any version below this one from now on. */
void lse_seal_to(struct lse *l, struct part *p, uint64_t version,
		 uint64_t now_us)
{
	if (p->sealed_below >= version)
		return;
	p->sealed_below = version;
	ctr_add(CTR_LEASE_SEALS, 1);
	if (p->holds && p->held.version < version)
		lse_fire(l, p, EVENT_GIVE_UP, now_us);
}
