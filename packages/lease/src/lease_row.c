#include "lease_int.h"

/*
 * True if a member of the newest version has ended, or nothing was received
 * from it for reassign_after_us.
 */
static bool is_unreachable(const struct lease_mgr *mgr,
			   const struct partition *p, size_t member,
			   uint64_t now_us)
{
	const struct proc *proc = lease_member(&p->row.set, member);

	if (lease_is_self(mgr, proc))
		return false;
	return !proc->incarnation || lease_find_ended(mgr, proc) ||
	       now_us >=
		       p->last_heard_us[member] + mgr->params.reassign_after_us;
}

/* Returns true and sets *want if this process should request a new version. */
static bool find_reason(const struct lease_mgr *mgr, const struct partition *p,
			uint64_t now_us, enum lease_row_reason *want)
{
	const struct row_set *set = &p->row.set;

	if (p->phase == PHASE_LEADING) {
		*want = LEASE_ROW_PROMOTE;
		return true;
	}
	if (p->phase == PHASE_ACTING) {
		*want = LEASE_ROW_NEW_WITNESS;
		return is_unreachable(mgr, p, 1, now_us) ||
		       is_unreachable(mgr, p, 2, now_us);
	}
	/* Without a witness no process can renew the expired term. */
	if (p->phase == PHASE_RENEWING) {
		*want = LEASE_ROW_NEW_WITNESS;
		return is_unreachable(mgr, p, 1, now_us) &&
		       is_unreachable(mgr, p, 2, now_us);
	}
	if (p->phase == PHASE_GIVEN_UP && p->released == set->version) {
		*want = LEASE_ROW_PROMOTE;
		return !mgr->no_upstream;
	}
	*want = LEASE_ROW_REASSIGN;
	if (lease_is_self(mgr, &set->witness[ROW_SUCCESSOR]))
		return is_unreachable(mgr, p, 0, now_us) &&
		       is_unreachable(mgr, p, 2, now_us);
	return lease_is_self(mgr, &set->witness[1]) &&
	       is_unreachable(mgr, p, 0, now_us) &&
	       is_unreachable(mgr, p, 1, now_us);
}

/*
 * Requests a new version while there is a reason. A row with no room for
 * another older set has to become active first.
 */
void lease_request_rows(struct lease_mgr *mgr, struct partition *p,
			uint64_t now_us)
{
	enum lease_row_reason want;

	if (now_us < p->next_row_request_us)
		return;
	if (p->row.prev_count == ROW_PREV_MAX && p->active < p->row.set.version)
		return;
	if (!find_reason(mgr, p, now_us, &want))
		return;
	p->next_row_request_us = now_us + mgr->params.renew_interval_us;
	mgr->ops.request_row(mgr->arg, p->part, want);
}
