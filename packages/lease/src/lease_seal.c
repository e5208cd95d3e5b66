#include "lease_int.h"

#include <string.h>

/* Starts to collect the seals of the older sets of the newest version. */
void lease_begin_seal(struct partition *p, uint64_t now_us)
{
	memset(p->seals, 0, sizeof(p->seals));
	p->next_seal_us = now_us;
	p->next_request_us = now_us;
	p->prev_owner_reply_us = now_us;
}

/* Returns the newest of the older sets of the row. */
static const struct row_set *newest_prev_set(const struct partition *p)
{
	const struct row_set *set = &p->row.prev[0];

	for (uint32_t i = 1; i < p->row.prev_count; i++) {
		if (p->row.prev[i].version > set->version)
			set = &p->row.prev[i];
	}
	return set;
}

/* True if a process has answered SEAL. */
static bool has_sealed(const struct partition *p, const struct proc *proc)
{
	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		for (size_t j = 0; j < SET_MEMBERS; j++) {
			if (p->seals[i][j].sealed &&
			    proc_equal(lease_member(&p->row.prev[i], j), proc))
				return true;
		}
	}
	return false;
}

/* True if a process can no longer act in an older version. */
static bool is_stopped(const struct lease_mgr *mgr, const struct partition *p,
		       const struct proc *proc)
{
	return lease_is_self(mgr, proc) || lease_find_ended(mgr, proc) ||
	       has_sealed(p, proc);
}

static uint64_t max_time(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/*
 * Returns true if one member of an older set counts as sealed. Then raises
 * *until_us to the end of the promise that it may have given and *at_us to the
 * time of its reply.
 */
static bool is_member_sealed(const struct lease_mgr *mgr,
			     const struct partition *p, uint32_t i, size_t j,
			     uint64_t *until_us, uint64_t *at_us)
{
	const struct row_set *set = &p->row.prev[i];
	const struct proc *member = lease_member(set, j);
	const struct ended_proc *ended = lease_find_ended(mgr, member);
	struct seal s = p->seals[i][j];

	if (lease_is_self(mgr, member)) {
		s.to = p->promise.to;
		s.until_us = p->promise.until_us;
	} else if (!s.sealed && !ended) {
		return false;
	} else if (!s.sealed) {
		*at_us = max_time(*at_us, ended->at_us);
		if (!is_stopped(mgr, p, &set->owner) ||
		    !is_stopped(mgr, p, &set->witness[ROW_SUCCESSOR]))
			*until_us =
				max_time(*until_us,
					 ended->at_us + mgr->params.promise_us);
		return true;
	}
	*at_us = max_time(*at_us, s.at_us);
	if (s.to.incarnation && !is_stopped(mgr, p, &s.to))
		*until_us = max_time(*until_us, s.until_us);
	return true;
}

/*
 * True if requests of a process that could act in the set may still run: its
 * process ended or fell silent without draining.
 */
static bool may_have_requests(const struct lease_mgr *mgr,
			      const struct partition *p,
			      const struct proc *proc)
{
	return !lease_is_self(mgr, proc) && !has_sealed(p, proc);
}

/*
 * True if this process itself acts in the set. Then no other process has acted
 * in it since, and no request of another owner can still run.
 */
static bool is_acting_in(const struct partition *p, const struct row_set *set,
			 uint64_t now_us)
{
	return p->holds && p->acting && p->held.version == set->version &&
	       now_us < p->until_us;
}

/* True if no process acts in an older set now or can act in it later. */
static bool is_set_sealed(const struct lease_mgr *mgr,
			  const struct partition *p, uint32_t i,
			  uint64_t now_us)
{
	const struct row_set *set = &p->row.prev[i];
	uint64_t until = 0;
	uint64_t at = 0;
	int count = 0;

	for (size_t j = 0; j < SET_MEMBERS; j++)
		count += is_member_sealed(mgr, p, i, j, &until, &at);
	if (mgr->fault == LEASE_FAULT_NO_WAIT)
		until = 0;
	if (!is_acting_in(p, set, now_us) &&
	    (may_have_requests(mgr, p, &set->owner) ||
	     may_have_requests(mgr, p, &set->witness[ROW_SUCCESSOR])))
		until = max_time(until, at) + p->takeover_extra_us;
	return count >= SEAL_QUORUM && now_us >= until;
}

static bool are_all_sealed(const struct lease_mgr *mgr,
			   const struct partition *p, uint64_t now_us)
{
	if (mgr->fault == LEASE_FAULT_NO_SEALS)
		return true;
	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		if (!is_set_sealed(mgr, p, i, now_us))
			return false;
	}
	return true;
}

/*
 * True if SEAL may be sent to the witnesses. Before that it goes to the former
 * owner only, so that the owner keeps its term while it drains.
 */
static bool may_ask_witnesses(const struct lease_mgr *mgr,
			      const struct partition *p, uint64_t now_us)
{
	const struct proc *owner = &newest_prev_set(p)->owner;

	return is_stopped(mgr, p, owner) ||
	       now_us >= p->prev_owner_reply_us + mgr->params.promise_us;
}

static void send_seal_requests(struct lease_mgr *mgr, struct partition *p,
			       bool all)
{
	struct lease_msg msg = { .type = LEASE_SEAL,
				 .version = p->row.set.version,
				 .seq = p->next_seal_us };
	const struct proc *owner = &newest_prev_set(p)->owner;

	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		for (size_t j = 0; j < SET_MEMBERS; j++) {
			const struct proc *m = lease_member(&p->row.prev[i], j);

			if (p->seals[i][j].sealed ||
			    (!all && !proc_equal(m, owner)))
				continue;
			lease_send(mgr, p, m, &msg);
		}
	}
}

/* True if this process itself has to collect the seals of the older sets. */
static bool needs_seals(const struct lease_mgr *mgr, const struct partition *p,
			uint64_t now_us)
{
	const struct row_set *set = &p->row.set;

	if (p->sealed_below > set->version)
		return false;
	if (p->phase == PHASE_SEALING || p->phase == PHASE_MOVING)
		return p->claimed < set->version;
	return p->phase == PHASE_WATCHING && p->active < set->version &&
	       (p->released >= set->version ||
		lease_find_ended(mgr, &set->owner) ||
		now_us >= p->last_heard_us[0] + mgr->params.promise_us);
}

/*
 * Requests the missing seals and makes the newest version active when all have
 * arrived. A successor does so only if the owner is silent or has released the
 * version before its first renewal.
 */
void lease_collect_seals(struct lease_mgr *mgr, struct partition *p,
			 uint64_t now_us)
{
	bool all;

	if (!needs_seals(mgr, p, now_us))
		return;
	all = p->row.prev_count == 0 || may_ask_witnesses(mgr, p, now_us);
	if (all && p->phase != PHASE_MOVING)
		lease_seal_below(mgr, p, p->row.set.version, now_us);
	if (all && are_all_sealed(mgr, p, now_us)) {
		p->active = p->row.set.version;
		lease_fire(mgr, p, EVENT_ACTIVE, now_us);
		lease_seal_below(mgr, p, p->row.set.version, now_us);
		return;
	}
	if (now_us < p->next_seal_us)
		return;
	p->next_seal_us = now_us;
	send_seal_requests(mgr, p, all);
	p->next_seal_us = now_us + mgr->params.claim_interval_us;
}

/* Records the seal of a process in each older set that names it. */
void lease_on_sealed(struct lease_mgr *mgr, struct partition *p,
		     const struct proc *from, const struct lease_msg *msg,
		     uint64_t now_us)
{
	if (msg->version != p->row.set.version ||
	    msg->sealed_below < msg->version)
		return;
	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		for (size_t j = 0; j < SET_MEMBERS; j++) {
			struct seal *s = &p->seals[i][j];

			if (s->sealed ||
			    !proc_equal(from, lease_member(&p->row.prev[i], j)))
				continue;
			s->sealed = true;
			s->at_us = now_us;
			s->to = msg->promised_to;
			s->until_us = now_us + msg->promise_left_us;
		}
	}
	/* SEAL may be sent to the witnesses now; do so at once. */
	if (p->row.prev_count && proc_equal(from, &newest_prev_set(p)->owner))
		p->next_seal_us = now_us;
	lease_collect_seals(mgr, p, now_us);
}

/* Handles SEAL_WAIT: the former owner is running and still drains. */
void lease_on_seal_wait(struct partition *p, const struct proc *from,
			const struct lease_msg *msg, uint64_t now_us)
{
	if (msg->version == p->row.set.version && p->row.prev_count &&
	    proc_equal(from, &newest_prev_set(p)->owner))
		p->prev_owner_reply_us = now_us;
}
