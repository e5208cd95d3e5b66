#include "lease_int.h"

#include "ctr.h"

static bool is_witness(const struct lease_mgr *mgr, const struct row_set *set)
{
	return lease_is_self(mgr, &set->witness[0]) ||
	       lease_is_self(mgr, &set->witness[1]);
}

/*
 * Records that the owner has released a version. A release is permanent, so a
 * late or duplicate message has no further effect.
 */
static void record_release(struct partition *p, const struct proc *from,
			   uint64_t version)
{
	if (p->claimed < version)
		p->claimed = version;
	if (p->released < version)
		p->released = version;
	if (p->promise.version == version && proc_equal(&p->promise.to, from))
		p->promise.until_us = 0;
}

/*
 * Grants a promise to the owner or refuses. An owner whose older sets are not
 * sealed yet is refused, but the message counts as a sign of life; such an
 * owner has no term that needs a promise.
 */
void lease_on_renew(struct lease_mgr *mgr, struct partition *p,
		    const struct proc *from, const struct lease_msg *msg,
		    uint64_t now_us)
{
	const struct row_set *set = lease_find_set(p, msg->version);
	struct lease_msg reply = { .type = LEASE_REFUSE };

	if (msg->version > p->row.set.version)
		return;
	if (set && proc_equal(from, &set->owner) && is_witness(mgr, set)) {
		if (msg->claimed) {
			record_release(p, from, msg->version);
			return;
		}
		if (msg->active && p->active < msg->version)
			p->active = msg->version;
		if (msg->active && msg->version >= p->sealed_below &&
		    msg->version > p->claimed) {
			lease_seal_below(mgr, p, msg->version, now_us);
			p->promise.to = *from;
			p->promise.version = msg->version;
			p->promise.until_us = now_us + mgr->params.promise_us;
			reply.type = LEASE_GRANT;
		}
	}
	if (reply.type == LEASE_REFUSE)
		ctr_add(CTR_LEASE_REFUSALS, 1);
	lease_reply(mgr, p, from, msg, &reply);
}

/* True if this member of the set may grant the claim of its successor. */
static bool may_grant_claim(const struct lease_mgr *mgr,
			    const struct partition *p,
			    const struct row_set *set, uint64_t now_us)
{
	if (set->version < p->sealed_below || set->version < p->claimed)
		return false;
	if (lease_is_self(mgr, &set->owner))
		return !(p->holds && p->held.version == set->version &&
			 p->acting && now_us < p->until_us);
	if (!is_witness(mgr, set))
		return false;
	return mgr->fault == LEASE_FAULT_EARLY_CLAIM ||
	       !lease_promise_is_open(mgr, p, &set->owner, set->version,
				      now_us);
}

/*
 * Gives a version up as its owner, even before it has acted in it: seals that
 * arrive later would otherwise let it act at the same time as the successor.
 */
static void give_up(struct lease_mgr *mgr, struct partition *p,
		    uint64_t version, uint64_t now_us)
{
	bool begins =
		p->phase == PHASE_SEALING && p->row.set.version == version;

	if (begins || (p->holds && p->held.version == version))
		lease_fire(mgr, p, EVENT_GIVE_UP, now_us);
}

/*
 * Grants a claim, which passes the version to its successor permanently, or
 * refuses it.
 */
void lease_on_claim(struct lease_mgr *mgr, struct partition *p,
		    const struct proc *from, const struct lease_msg *msg,
		    uint64_t now_us)
{
	const struct row_set *set = lease_find_set(p, msg->version);
	struct lease_msg reply = { .type = LEASE_CLAIM_REFUSE };

	if (msg->version > p->row.set.version)
		return;
	if (set && proc_equal(from, &set->witness[ROW_SUCCESSOR]) &&
	    may_grant_claim(mgr, p, set, now_us)) {
		if (p->active < msg->version)
			p->active = msg->version;
		lease_seal_below(mgr, p, msg->version, now_us);
		p->claimed = msg->version;
		p->promise.to = *from;
		p->promise.version = msg->version;
		p->promise.until_us = now_us + mgr->params.promise_us;
		give_up(mgr, p, msg->version, now_us);
		reply.type = LEASE_CLAIM_GRANT;
	}
	lease_reply(mgr, p, from, msg, &reply);
}

/*
 * Seals, unless this process acts or requests of its last term may still run.
 * Then it replies SEAL_WAIT and the sender repeats SEAL.
 */
void lease_on_seal(struct lease_mgr *mgr, struct partition *p,
		   const struct proc *from, const struct lease_msg *msg,
		   uint64_t now_us)
{
	struct lease_msg reply = { .type = LEASE_SEAL_WAIT };
	bool acts = p->acting && now_us < p->until_us;

	if (p->sealed_below < msg->version && !acts &&
	    now_us >= p->requests_end_us)
		lease_seal_below(mgr, p, msg->version, now_us);
	if (p->sealed_below >= msg->version) {
		reply.type = LEASE_SEALED;
		if (p->promise.version < msg->version &&
		    now_us < p->promise.until_us) {
			reply.promised_to = p->promise.to;
			reply.promise_left_us = p->promise.until_us - now_us;
		}
	}
	lease_reply(mgr, p, from, msg, &reply);
}
