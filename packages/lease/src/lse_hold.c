#include "lse_part.h"

#include "ctr.h"

/* Notices that the term has run out before anything else is handled. */
void lse_notice_expiry(struct lse *l, struct part *p, uint64_t now_us)
{
	if (!p->acting || now_us < p->until_us)
		return;
	ctr_add(CTR_LEASE_LAPSES, 1);
	lse_fire(l, p, EVENT_EXPIRED, now_us);
}

/* Returns the end of the term that an answer gives; 0 if it has passed. */
static uint64_t term_end(const struct lse *l, const struct lse_msg *msg,
			 uint64_t now_us)
{
	uint64_t until = msg->seq + l->params.owner_term_us;

	return msg->seq <= now_us && now_us < until ? until : 0;
}

/* A grant extends the term; the next renewal is due an interval after it. */
static void extend(struct lse *l, struct part *p, const struct lse_msg *msg,
		   uint64_t until, uint64_t now_us)
{
	uint64_t next = msg->seq + l->params.renew_interval_us;

	if (p->until_us < until)
		p->until_us = until;
	if (p->next_ask_us < next)
		p->next_ask_us = next;
	lse_fire(l, p, EVENT_GRANTED, now_us);
}

/* A witness has renewed the owner's term. */
void lse_on_grant(struct lse *l, struct part *p, const struct proc *from,
		  const struct lse_msg *msg, uint64_t now_us)
{
	uint64_t until = term_end(l, msg, now_us);

	if (!p->holds || p->as_successor || p->held.version != msg->version ||
	    !until || !row_set_has(&p->held, from))
		return;
	extend(l, p, msg, until, now_us);
}

/*
 * True if the successor may use the grant of a claim of the newest version now.
 * The grant may be late, and the owner renewed in between.
 */
static bool may_lead(const struct lse *l, const struct part *p, uint64_t now_us)
{
	const struct row_set *set = &p->row.set;

	if (p->sealed_below > set->version || p->claimed > set->version)
		return false;
	return l->fault == LSE_FAULT_LATE_GRANT ||
	       !lse_owes(l, p, &set->owner, set->version, now_us);
}

/* The first grant of a claim: the version is the successor's from now on. */
static void lead(struct lse *l, struct part *p, uint64_t until, uint64_t now_us)
{
	const uint64_t version = p->row.set.version;

	if (!p->lead_us)
		p->lead_us =
			p->released == version ? now_us : now_us + p->extra_us;
	p->claimed = version;
	if (now_us < p->lead_us)
		return;
	p->until_us = until;
	lse_fire(l, p, EVENT_GRANTED, now_us);
}

/* The second witness or the former owner has granted a claim. */
void lse_on_claim_grant(struct lse *l, struct part *p, const struct proc *from,
			const struct lse_msg *msg, uint64_t now_us)
{
	uint64_t until = term_end(l, msg, now_us);

	if (!until)
		return;
	if (p->holds) {
		if (!p->as_successor || p->held.version != msg->version ||
		    !row_set_has(&p->held, from))
			return;
		extend(l, p, msg, until, now_us);
	} else if (p->row.set.version == msg->version &&
		   row_set_has(&p->row.set, from) &&
		   p->phase == PHASE_CLAIMING && may_lead(l, p, now_us)) {
		lead(l, p, until, now_us);
	}
}

/* Moves the successor between watching and claiming. */
void lse_watch_owner(struct lse *l, struct part *p, uint64_t now_us)
{
	const struct row_set *set = &p->row.set;
	bool owes = lse_owes(l, p, &set->owner, set->version, now_us);
	bool sealed = p->sealed_below > set->version;

	if (p->phase == PHASE_WATCHING && !owes && !sealed && !l->unable &&
	    p->active >= set->version)
		lse_fire(l, p, EVENT_OVERDUE, now_us);
	else if (p->phase == PHASE_CLAIMING && (owes || sealed || l->unable) &&
		 l->fault != LSE_FAULT_LATE_GRANT)
		lse_fire(l, p, EVENT_RENEWED, now_us);
}

/* Sends a question to all other members of a set. */
static void ask_members(struct lse *l, const struct part *p,
			const struct row_set *set, const struct lse_msg *msg)
{
	for (size_t i = 0; i < MEMBERS; i++)
		lse_send(l, p, lse_member(set, i), msg);
}

/*
 * Sends RENEW or CLAIM when it is due. The time of sending is the number of the
 * question, so that an answer tells its own term. A question that nobody grants
 * is repeated early: a term has room for only two renewal intervals.
 */
void lse_ask(struct lse *l, struct part *p, uint64_t now_us)
{
	const struct row_set *set = p->holds ? &p->held : &p->row.set;
	struct lse_msg msg = { .type = LSE_RENEW, .seq = now_us };
	uint64_t interval = l->params.claim_interval_us;

	if (now_us < p->next_ask_us)
		return;
	msg.version = set->version;
	if (p->phase == PHASE_CLAIMING) {
		msg.type = LSE_CLAIM;
	} else if (p->holds) {
		msg.type = p->as_successor ? LSE_CLAIM : LSE_RENEW;
		msg.active = true;
	} else if (p->phase == PHASE_SEALING) {
		interval = l->params.renew_interval_us;
	} else if (p->phase == PHASE_GIVEN_UP && p->released == set->version &&
		   lse_is_self(l, &set->owner)) {
		msg.claimed = true;
		interval = l->params.renew_interval_us;
	} else {
		return;
	}
	p->next_ask_us = now_us + interval;
	ask_members(l, p, set, &msg);
}
