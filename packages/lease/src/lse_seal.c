#include "lse_part.h"

#include <string.h>

/* Begins to ask the older sets of the newest version for their seals. */
void lse_begin_seal(struct part *p, uint64_t now_us)
{
	memset(p->seals, 0, sizeof(p->seals));
	p->next_seal_us = now_us;
	p->next_ask_us = now_us;
	p->old_owner_us = now_us;
}

/* Returns the newest of the older sets. */
static const struct row_set *newest_old(const struct part *p)
{
	const struct row_set *set = &p->row.prev[0];

	for (uint32_t i = 1; i < p->row.prev_count; i++) {
		if (p->row.prev[i].version > set->version)
			set = &p->row.prev[i];
	}
	return set;
}

/* True if a process has answered SEAL. */
static bool has_sealed(const struct part *p, const struct proc *proc)
{
	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		for (size_t j = 0; j < MEMBERS; j++) {
			if (p->seals[i][j].sealed &&
			    proc_equal(lse_member(&p->row.prev[i], j), proc))
				return true;
		}
	}
	return false;
}

/* True if a process cannot act in an older version any more. */
static bool is_stopped(const struct lse *l, const struct part *p,
		       const struct proc *proc)
{
	return lse_is_self(l, proc) || lse_find_ended(l, proc) ||
	       has_sealed(p, proc);
}

static uint64_t later(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/*
 * Looks at one member of an older set. Returns false if it counts for nothing;
 * else raises *until_us to the end of the promise that it may have given and
 * *at_us to the moment of its answer.
 */
static bool count_member(const struct lse *l, const struct part *p, uint32_t i,
			 size_t j, uint64_t *until_us, uint64_t *at_us)
{
	const struct row_set *set = &p->row.prev[i];
	const struct proc *member = lse_member(set, j);
	const struct ended *ended = lse_find_ended(l, member);
	struct seal s = p->seals[i][j];

	if (lse_is_self(l, member)) {
		s.to = p->promise.to;
		s.until_us = p->promise.until_us;
	} else if (!s.sealed && !ended) {
		return false;
	} else if (!s.sealed) {
		*at_us = later(*at_us, ended->at_us);
		if (!is_stopped(l, p, &set->owner) ||
		    !is_stopped(l, p, &set->witness[ROW_SUCCESSOR]))
			*until_us = later(*until_us,
					  ended->at_us + l->params.promise_us);
		return true;
	}
	*at_us = later(*at_us, s.at_us);
	if (s.to.incarnation && !is_stopped(l, p, &s.to))
		*until_us = later(*until_us, s.until_us);
	return true;
}

/* True if a process that could act in the set has not stopped by itself. */
static bool may_run_on(const struct lse *l, const struct part *p,
		       const struct proc *proc)
{
	return !lse_is_self(l, proc) && !has_sealed(p, proc);
}

/*
 * True if this process itself acts in the set. Then nobody else has acted in
 * it since, and no request of another owner can still run.
 */
static bool acts_in(const struct part *p, const struct row_set *set,
		    uint64_t now_us)
{
	return p->holds && p->acting && p->held.version == set->version &&
	       now_us < p->until_us;
}

/* True if nobody acts in an older set now, nor ever again. */
static bool is_set_sealed(const struct lse *l, const struct part *p, uint32_t i,
			  uint64_t now_us)
{
	const struct row_set *set = &p->row.prev[i];
	uint64_t until = 0;
	uint64_t at = 0;
	int count = 0;

	for (size_t j = 0; j < MEMBERS; j++)
		count += count_member(l, p, i, j, &until, &at);
	if (l->fault == LSE_FAULT_NO_WAIT)
		until = 0;
	if (!acts_in(p, set, now_us) &&
	    (may_run_on(l, p, &set->owner) ||
	     may_run_on(l, p, &set->witness[ROW_SUCCESSOR])))
		until = later(until, at) + p->extra_us;
	return count >= MAJORITY && now_us >= until;
}

static bool are_all_sealed(const struct lse *l, const struct part *p,
			   uint64_t now_us)
{
	if (l->fault == LSE_FAULT_NO_SEALS)
		return true;
	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		if (!is_set_sealed(l, p, i, now_us))
			return false;
	}
	return true;
}

/*
 * True if the witnesses may be asked. Until then only the old owner is, so that
 * it keeps its term while it drains.
 */
static bool may_ask_witnesses(const struct lse *l, const struct part *p,
			      uint64_t now_us)
{
	const struct proc *owner = &newest_old(p)->owner;

	return is_stopped(l, p, owner) ||
	       now_us >= p->old_owner_us + l->params.promise_us;
}

static void send_seals(struct lse *l, struct part *p, bool all)
{
	struct lse_msg msg = { .type = LSE_SEAL,
			       .version = p->row.set.version,
			       .seq = p->next_seal_us };
	const struct proc *owner = &newest_old(p)->owner;

	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		for (size_t j = 0; j < MEMBERS; j++) {
			const struct proc *m = lse_member(&p->row.prev[i], j);

			if (p->seals[i][j].sealed ||
			    (!all && !proc_equal(m, owner)))
				continue;
			lse_send(l, p, m, &msg);
		}
	}
}

/* True if this process needs the seals of the older sets itself. */
static bool wants_seals(const struct lse *l, const struct part *p,
			uint64_t now_us)
{
	const struct row_set *set = &p->row.set;

	if (p->sealed_below > set->version)
		return false;
	if (p->phase == PHASE_SEALING || p->phase == PHASE_MOVING)
		return p->claimed < set->version;
	return p->phase == PHASE_WATCHING && p->active < set->version &&
	       (p->released >= set->version || lse_find_ended(l, &set->owner) ||
		now_us >= p->heard_us[0] + l->params.promise_us);
}

/*
 * Asks for the seals that are missing and makes the newest version active when
 * all are there. A successor does so only when the owner is silent, or has
 * released the version, before its first renewal.
 */
void lse_gather_seals(struct lse *l, struct part *p, uint64_t now_us)
{
	bool all;

	if (!wants_seals(l, p, now_us))
		return;
	all = p->row.prev_count == 0 || may_ask_witnesses(l, p, now_us);
	if (all && p->phase != PHASE_MOVING)
		lse_seal_to(l, p, p->row.set.version, now_us);
	if (all && are_all_sealed(l, p, now_us)) {
		p->active = p->row.set.version;
		lse_fire(l, p, EVENT_ACTIVE, now_us);
		lse_seal_to(l, p, p->row.set.version, now_us);
		return;
	}
	if (now_us < p->next_seal_us)
		return;
	p->next_seal_us = now_us;
	send_seals(l, p, all);
	p->next_seal_us = now_us + l->params.claim_interval_us;
}

/* Notes the seal of a process in each older set that names it. */
void lse_on_sealed(struct lse *l, struct part *p, const struct proc *from,
		   const struct lse_msg *msg, uint64_t now_us)
{
	if (msg->version != p->row.set.version ||
	    msg->sealed_below < msg->version)
		return;
	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		for (size_t j = 0; j < MEMBERS; j++) {
			struct seal *s = &p->seals[i][j];

			if (s->sealed ||
			    !proc_equal(from, lse_member(&p->row.prev[i], j)))
				continue;
			s->sealed = true;
			s->at_us = now_us;
			s->to = msg->promised_to;
			s->until_us = now_us + msg->promise_left_us;
		}
	}
	/* The witnesses may be asked from now on. */
	if (p->row.prev_count && proc_equal(from, &newest_old(p)->owner))
		p->next_seal_us = now_us;
	lse_gather_seals(l, p, now_us);
}

/* The old owner is alive and drains. */
void lse_on_seal_wait(struct part *p, const struct proc *from,
		      const struct lse_msg *msg, uint64_t now_us)
{
	if (msg->version == p->row.set.version && p->row.prev_count &&
	    proc_equal(from, &newest_old(p)->owner))
		p->old_owner_us = now_us;
}
