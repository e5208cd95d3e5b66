#include "lease_int.h"

#include "ctr.h"

/* Ends an expired term. Called before anything else is handled. */
void lease_check_expiry(struct lease_mgr *mgr, struct partition *p,
			uint64_t now_us)
{
	if (!p->acting || now_us < p->until_us)
		return;
	ctr_add(CTR_LEASE_LAPSES, 1);
	lease_fire(mgr, p, EVENT_EXPIRED, now_us);
}

/*
 * Returns the end of the term that a reply grants, counted from the send of its
 * request; 0 if it has passed.
 */
static uint64_t term_end(const struct lease_mgr *mgr,
			 const struct lease_msg *msg, uint64_t now_us)
{
	uint64_t until = msg->seq + mgr->params.owner_term_us;

	return msg->seq <= now_us && now_us < until ? until : 0;
}

/*
 * Extends the term and schedules the next renewal one interval after the
 * request that was granted.
 */
static void extend(struct lease_mgr *mgr, struct partition *p,
		   const struct lease_msg *msg, uint64_t until, uint64_t now_us)
{
	uint64_t next = msg->seq + mgr->params.renew_interval_us;

	if (p->until_us < until)
		p->until_us = until;
	if (p->next_request_us < next)
		p->next_request_us = next;
	lease_fire(mgr, p, EVENT_GRANTED, now_us);
}

/* Handles the grant of a renewal by a witness. */
void lease_on_grant(struct lease_mgr *mgr, struct partition *p,
		    const struct proc *from, const struct lease_msg *msg,
		    uint64_t now_us)
{
	uint64_t until = term_end(mgr, msg, now_us);

	if (!p->holds || p->as_successor || p->held.version != msg->version ||
	    !until || !row_set_has(&p->held, from))
		return;
	extend(mgr, p, msg, until, now_us);
}

/*
 * True if the successor may use the grant of a claim now. The grant may have
 * been delayed, and the owner renewed in the meantime.
 */
static bool may_use_claim_grant(const struct lease_mgr *mgr,
				const struct partition *p, uint64_t now_us)
{
	const struct row_set *set = &p->row.set;

	if (p->sealed_below > set->version || p->claimed > set->version)
		return false;
	return mgr->fault == LEASE_FAULT_LATE_GRANT ||
	       !lease_promise_is_open(mgr, p, &set->owner, set->version,
				      now_us);
}

/*
 * Handles the first grant of a claim, which passes the version to the
 * successor. It acts at once if the owner released the version, else after
 * takeover_extra_us.
 */
static void accept_claim_grant(struct lease_mgr *mgr, struct partition *p,
			       uint64_t until, uint64_t now_us)
{
	const uint64_t version = p->row.set.version;

	if (!p->takeover_us)
		p->takeover_us = p->released == version ?
					 now_us :
					 now_us + p->takeover_extra_us;
	p->claimed = version;
	if (now_us < p->takeover_us)
		return;
	p->until_us = until;
	lease_fire(mgr, p, EVENT_GRANTED, now_us);
}

/* Handles the grant of a claim by the other witness or the former owner. */
void lease_on_claim_grant(struct lease_mgr *mgr, struct partition *p,
			  const struct proc *from, const struct lease_msg *msg,
			  uint64_t now_us)
{
	uint64_t until = term_end(mgr, msg, now_us);

	if (!until)
		return;
	if (p->holds) {
		if (!p->as_successor || p->held.version != msg->version ||
		    !row_set_has(&p->held, from))
			return;
		extend(mgr, p, msg, until, now_us);
	} else if (p->row.set.version == msg->version &&
		   row_set_has(&p->row.set, from) &&
		   p->phase == PHASE_CLAIMING &&
		   may_use_claim_grant(mgr, p, now_us)) {
		accept_claim_grant(mgr, p, until, now_us);
	}
}

/*
 * Switches the successor from watching to claiming when its promise to the
 * owner expires, and back when the owner renews.
 */
void lease_check_owner_promise(struct lease_mgr *mgr, struct partition *p,
			       uint64_t now_us)
{
	const struct row_set *set = &p->row.set;
	bool promised = lease_promise_is_open(mgr, p, &set->owner, set->version,
					      now_us);
	bool sealed = p->sealed_below > set->version;

	if (p->phase == PHASE_WATCHING && !promised && !sealed &&
	    !mgr->no_upstream && p->active >= set->version)
		lease_fire(mgr, p, EVENT_OVERDUE, now_us);
	else if (p->phase == PHASE_CLAIMING &&
		 (promised || sealed || mgr->no_upstream) &&
		 mgr->fault != LEASE_FAULT_LATE_GRANT)
		lease_fire(mgr, p, EVENT_RENEWED, now_us);
}

/* Sends a request to all other members of a set. */
static void send_to_members(struct lease_mgr *mgr, const struct partition *p,
			    const struct row_set *set,
			    const struct lease_msg *msg)
{
	for (size_t i = 0; i < SET_MEMBERS; i++)
		lease_send(mgr, p, lease_member(set, i), msg);
}

/*
 * Sends RENEW or CLAIM when it is due. Its send time identifies the request, so
 * that the end of the granted term follows from the reply. A request that is
 * not granted is repeated after the claim interval, because a term covers only
 * two renewal intervals.
 */
void lease_send_due(struct lease_mgr *mgr, struct partition *p, uint64_t now_us)
{
	const struct row_set *set = p->holds ? &p->held : &p->row.set;
	struct lease_msg msg = { .type = LEASE_RENEW, .seq = now_us };
	uint64_t interval = mgr->params.claim_interval_us;

	if (now_us < p->next_request_us)
		return;
	msg.version = set->version;
	if (p->phase == PHASE_CLAIMING) {
		msg.type = LEASE_CLAIM;
	} else if (p->holds) {
		msg.type = p->as_successor ? LEASE_CLAIM : LEASE_RENEW;
		msg.active = true;
	} else if (p->phase == PHASE_SEALING) {
		interval = mgr->params.renew_interval_us;
	} else if (p->phase == PHASE_GIVEN_UP && p->released == set->version &&
		   lease_is_self(mgr, &set->owner)) {
		msg.claimed = true;
		interval = mgr->params.renew_interval_us;
	} else {
		return;
	}
	p->next_request_us = now_us + interval;
	send_to_members(mgr, p, set, &msg);
}
