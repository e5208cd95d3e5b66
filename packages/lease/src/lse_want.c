#include "lse_part.h"

/*
 * True if a member of the newest version has ended, or nothing was received
 * from it for reassign_after_us.
 */
static bool is_unreachable(const struct lse *mgr, const struct partition *p,
			   size_t member, uint64_t now_us)
{
	const struct proc *proc = lse_member(&p->row.set, member);

	if (lse_is_self(mgr, proc))
		return false;
	return !proc->incarnation || lse_find_ended(mgr, proc) ||
	       now_us >=
		       p->last_heard_us[member] + mgr->params.reassign_after_us;
}

/* Returns true and sets *want if this process should request a new version. */
static bool find_reason(const struct lse *mgr, const struct partition *p,
			uint64_t now_us, enum lse_want *want)
{
	const struct row_set *set = &p->row.set;

	if (p->phase == PHASE_LEADING) {
		*want = LSE_WANT_REARM;
		return true;
	}
	if (p->phase == PHASE_ACTING) {
		*want = LSE_WANT_WITNESS;
		return is_unreachable(mgr, p, 1, now_us) ||
		       is_unreachable(mgr, p, 2, now_us);
	}
	/* Without a witness no process can renew the expired term. */
	if (p->phase == PHASE_RENEWING) {
		*want = LSE_WANT_WITNESS;
		return is_unreachable(mgr, p, 1, now_us) &&
		       is_unreachable(mgr, p, 2, now_us);
	}
	if (p->phase == PHASE_GIVEN_UP && p->released == set->version) {
		*want = LSE_WANT_REARM;
		return !mgr->no_upstream;
	}
	*want = LSE_WANT_REASSIGN;
	if (lse_is_self(mgr, &set->witness[ROW_SUCCESSOR]))
		return is_unreachable(mgr, p, 0, now_us) &&
		       is_unreachable(mgr, p, 2, now_us);
	return lse_is_self(mgr, &set->witness[1]) &&
	       is_unreachable(mgr, p, 0, now_us) &&
	       is_unreachable(mgr, p, 1, now_us);
}

/*
 * Requests a new version while there is a reason. A row with no room for
 * another older set has to become active first.
 */
void lse_request_rows(struct lse *mgr, struct partition *p, uint64_t now_us)
{
	enum lse_want want;

	if (now_us < p->next_row_request_us)
		return;
	if (p->row.prev_count == ROW_PREV_MAX && p->active < p->row.set.version)
		return;
	if (!find_reason(mgr, p, now_us, &want))
		return;
	p->next_row_request_us = now_us + mgr->params.renew_interval_us;
	mgr->ops.want_row(mgr->arg, p->part, want);
}
