#include "lse_part.h"

#include "ctr.h"

static bool is_witness(const struct lse *l, const struct row_set *set)
{
	return lse_is_self(l, &set->witness[0]) ||
	       lse_is_self(l, &set->witness[1]);
}

/*
 * The owner's word that it has released a version lasts for ever, so a copy
 * that arrives late is as good as the first.
 */
static void note_release(struct part *p, const struct proc *from,
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
 * Promises the owner, or refuses. An owner whose older sets are not sealed yet
 * is heard and refused: it has no term that could need a promise.
 */
void lse_on_renew(struct lse *l, struct part *p, const struct proc *from,
		  const struct lse_msg *msg, uint64_t now_us)
{
	const struct row_set *set = lse_find_set(p, msg->version);
	struct lse_msg answer = { .type = LSE_REFUSE };

	if (msg->version > p->row.set.version)
		return;
	if (set && proc_equal(from, &set->owner) && is_witness(l, set)) {
		if (msg->claimed) {
			note_release(p, from, msg->version);
			return;
		}
		if (msg->active && p->active < msg->version)
			p->active = msg->version;
		if (msg->active && msg->version >= p->sealed_below &&
		    msg->version > p->claimed) {
			lse_seal_to(l, p, msg->version, now_us);
			p->promise.to = *from;
			p->promise.version = msg->version;
			p->promise.until_us = now_us + l->params.promise_us;
			answer.type = LSE_GRANT;
		}
	}
	if (answer.type == LSE_REFUSE)
		ctr_add(CTR_LEASE_REFUSALS, 1);
	lse_answer(l, p, from, msg, &answer);
}

/* True if this member of the set may let its successor act. */
static bool may_pass_on(const struct lse *l, const struct part *p,
			const struct row_set *set, uint64_t now_us)
{
	if (set->version < p->sealed_below || set->version < p->claimed)
		return false;
	if (lse_is_self(l, &set->owner))
		return !(p->holds && p->held.version == set->version &&
			 p->acting && now_us < p->until_us);
	if (!is_witness(l, set))
		return false;
	return l->fault == LSE_FAULT_EARLY_CLAIM ||
	       !lse_owes(l, p, &set->owner, set->version, now_us);
}

/*
 * The owner gives the version up, also when it has not begun to act in it: the
 * seals that it still collects would make it act beside the successor.
 */
static void give_up(struct lse *l, struct part *p, uint64_t version,
		    uint64_t now_us)
{
	bool begins =
		p->phase == PHASE_SEALING && p->row.set.version == version;

	if (begins || (p->holds && p->held.version == version))
		lse_fire(l, p, EVENT_GIVE_UP, now_us);
}

/* Passes a version to its successor for good, or refuses. */
void lse_on_claim(struct lse *l, struct part *p, const struct proc *from,
		  const struct lse_msg *msg, uint64_t now_us)
{
	const struct row_set *set = lse_find_set(p, msg->version);
	struct lse_msg answer = { .type = LSE_CLAIM_REFUSE };

	if (msg->version > p->row.set.version)
		return;
	if (set && proc_equal(from, &set->witness[ROW_SUCCESSOR]) &&
	    may_pass_on(l, p, set, now_us)) {
		if (p->active < msg->version)
			p->active = msg->version;
		lse_seal_to(l, p, msg->version, now_us);
		p->claimed = msg->version;
		p->promise.to = *from;
		p->promise.version = msg->version;
		p->promise.until_us = now_us + l->params.promise_us;
		give_up(l, p, msg->version, now_us);
		answer.type = LSE_CLAIM_GRANT;
	}
	lse_answer(l, p, from, msg, &answer);
}

/*
 * Seals, unless this process acts or requests of its last term may still run;
 * then the asker repeats the question.
 */
void lse_on_seal(struct lse *l, struct part *p, const struct proc *from,
		 const struct lse_msg *msg, uint64_t now_us)
{
	struct lse_msg answer = { .type = LSE_SEAL_WAIT };
	bool acts = p->acting && now_us < p->until_us;

	if (p->sealed_below < msg->version && !acts && now_us >= p->quiet_us)
		lse_seal_to(l, p, msg->version, now_us);
	if (p->sealed_below >= msg->version) {
		answer.type = LSE_SEALED;
		if (p->promise.version < msg->version &&
		    now_us < p->promise.until_us) {
			answer.promised_to = p->promise.to;
			answer.promise_left_us = p->promise.until_us - now_us;
		}
	}
	lse_answer(l, p, from, msg, &answer);
}
