#include "lse_part.h"

/* True if a member of the newest version has ended or is silent for long. */
static bool is_lost(const struct lse *l, const struct part *p, size_t member,
		    uint64_t now_us)
{
	const struct proc *proc = lse_member(&p->row.set, member);

	if (lse_is_self(l, proc))
		return false;
	return !proc->incarnation || lse_find_ended(l, proc) ||
	       now_us >= p->heard_us[member] + l->params.reassign_after_us;
}

/* Finds out whether this process should write a new version, and why. */
static bool find_reason(const struct lse *l, const struct part *p,
			uint64_t now_us, enum lse_want *want)
{
	const struct row_set *set = &p->row.set;

	if (p->phase == PHASE_LEADING) {
		*want = LSE_WANT_REARM;
		return true;
	}
	if (p->phase == PHASE_ACTING) {
		*want = LSE_WANT_WITNESS;
		return is_lost(l, p, 1, now_us) || is_lost(l, p, 2, now_us);
	}
	/* Without a witness nobody can renew the term that has run out. */
	if (p->phase == PHASE_RENEWING) {
		*want = LSE_WANT_WITNESS;
		return is_lost(l, p, 1, now_us) && is_lost(l, p, 2, now_us);
	}
	if (p->phase == PHASE_GIVEN_UP && p->released == set->version) {
		*want = LSE_WANT_REARM;
		return !l->unable;
	}
	*want = LSE_WANT_REASSIGN;
	if (lse_is_self(l, &set->witness[ROW_SUCCESSOR]))
		return is_lost(l, p, 0, now_us) && is_lost(l, p, 2, now_us);
	return lse_is_self(l, &set->witness[1]) && is_lost(l, p, 0, now_us) &&
	       is_lost(l, p, 1, now_us);
}

/*
 * Asks for a new version while there is a reason. A row with no room for one
 * more older set has to become active first.
 */
void lse_want_rows(struct lse *l, struct part *p, uint64_t now_us)
{
	enum lse_want want;

	if (now_us < p->next_want_us)
		return;
	if (p->row.prev_count == ROW_PREV_MAX && p->active < p->row.set.version)
		return;
	if (!find_reason(l, p, now_us, &want))
		return;
	p->next_want_us = now_us + l->params.renew_interval_us;
	l->ops.want_row(l->arg, p->part, want);
}
