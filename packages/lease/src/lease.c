#include "lease_int.h"

#include "clk.h"

#include <stdlib.h>
#include <string.h>

const struct lease_params lease_default_params = {
	.renew_interval_us = 600 * US_PER_MS,
	.promise_us = 1500 * US_PER_MS,
	/*
	 * Shorter than the promise by 60 ms for 2% drift of either clock, and
	 * by 40 ms of margin.
	 */
	.owner_term_us = 1400 * US_PER_MS,
	.claim_interval_us = 200 * US_PER_MS,
	.reassign_after_us = 5 * US_PER_S,
};

/* Creates a lease manager without partitions. */
struct lease_mgr *lease_create(const struct lease_params *params,
			       const struct statechart *chart,
			       const struct proc *self,
			       const struct lease_callbacks *ops, void *arg)
{
	struct lease_mgr *mgr = calloc(1, sizeof(*mgr));

	if (!mgr)
		return NULL;
	mgr->params = *params;
	mgr->chart = chart;
	mgr->self = *self;
	mgr->ops = *ops;
	mgr->arg = arg;
	return mgr;
}

/* Frees the manager and its partitions. */
void lease_destroy(struct lease_mgr *mgr)
{
	struct partition *p;
	struct ended_proc *e;

	if (!mgr)
		return;
	p = mgr->parts;
	e = mgr->ended;
	HASH_CLEAR(hh, mgr->parts);
	HASH_CLEAR(hh, mgr->ended);
	while (p) {
		struct partition *next = p->hh.next;

		free(p);
		p = next;
	}
	while (e) {
		struct ended_proc *next = e->hh.next;

		free(e);
		e = next;
	}
	free(mgr);
}

static struct partition *find_part(const struct lease_mgr *mgr, uint64_t part)
{
	struct partition *p;

	HASH_FIND(hh, mgr->parts, &part, sizeof(part), p);
	return p;
}

/* True if the current set or an older set of the row names this process. */
static bool is_named(const struct lease_mgr *mgr, const struct row *row)
{
	if (row_set_has(&row->set, &mgr->self))
		return true;
	for (uint32_t i = 0; i < row->prev_count; i++) {
		if (row_set_has(&row->prev[i], &mgr->self))
			return true;
	}
	return false;
}

static struct partition *add_part(struct lease_mgr *mgr, uint64_t part)
{
	struct partition *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->part = part;
	p->phase = statechart_initial_state(mgr->chart);
	HASH_ADD(hh, mgr->parts, part, sizeof(p->part), p);
	return p;
}

/*
 * Stores a newer version and changes to the role that it gives this process.
 * The partition is kept even if a version no longer names this process, because
 * its seals are binding for the lifetime of the process.
 */
bool lease_update_row(struct lease_mgr *mgr, const struct row *row,
		      uint64_t takeover_extra_us, uint64_t now_us)
{
	struct partition *p = find_part(mgr, row->part);

	if (!p && !is_named(mgr, row))
		return true;
	if (!p)
		p = add_part(mgr, row->part);
	if (!p)
		return false;
	p->takeover_extra_us = takeover_extra_us;
	if (row->set.version <= p->row.set.version)
		return true;
	lease_check_expiry(mgr, p, now_us);
	p->row = *row;
	for (size_t i = 0; i < SET_MEMBERS; i++)
		p->last_heard_us[i] = now_us;
	p->next_row_request_us = now_us;
	lease_fire_role(mgr, p, now_us);
	lease_collect_seals(mgr, p, now_us);
	lease_send_due(mgr, p, now_us);
	return true;
}

static void update_last_heard(struct partition *p, const struct proc *from,
			      uint64_t now_us)
{
	for (size_t i = 0; i < SET_MEMBERS; i++) {
		if (proc_equal(from, lease_member(&p->row.set, i)))
			p->last_heard_us[i] = now_us;
	}
}

static void dispatch(struct lease_mgr *mgr, struct partition *p,
		     const struct proc *from, const struct lease_msg *msg,
		     uint64_t now_us)
{
	switch (msg->type) {
	case LEASE_RENEW:
		lease_on_renew(mgr, p, from, msg, now_us);
		break;
	case LEASE_GRANT:
		lease_on_grant(mgr, p, from, msg, now_us);
		break;
	case LEASE_CLAIM:
		lease_on_claim(mgr, p, from, msg, now_us);
		break;
	case LEASE_CLAIM_GRANT:
		lease_on_claim_grant(mgr, p, from, msg, now_us);
		break;
	case LEASE_SEAL:
		lease_on_seal(mgr, p, from, msg, now_us);
		break;
	case LEASE_SEALED:
		lease_on_sealed(mgr, p, from, msg, now_us);
		break;
	case LEASE_SEAL_WAIT:
		lease_on_seal_wait(p, from, msg, now_us);
		break;
	case LEASE_REFUSE:
	case LEASE_CLAIM_REFUSE:
		break;
	}
}

/* Handles expiry first, so that a message never meets an expired term. */
void lease_receive(struct lease_mgr *mgr, const struct proc *from,
		   const struct lease_msg *msg, uint64_t now_us)
{
	struct partition *p = find_part(mgr, msg->part);

	if (!p)
		return;
	lease_check_expiry(mgr, p, now_us);
	update_last_heard(p, from, now_us);
	dispatch(mgr, p, from, msg, now_us);
	lease_check_owner_promise(mgr, p, now_us);
	lease_send_due(mgr, p, now_us);
}

static void tick_part(struct lease_mgr *mgr, struct partition *p,
		      uint64_t now_us)
{
	lease_check_expiry(mgr, p, now_us);
	lease_collect_seals(mgr, p, now_us);
	lease_check_owner_promise(mgr, p, now_us);
	lease_send_due(mgr, p, now_us);
	lease_request_rows(mgr, p, now_us);
}

/* Runs the periodic work of each partition. */
void lease_tick(struct lease_mgr *mgr, uint64_t now_us)
{
	struct partition *p;
	struct partition *next;

	HASH_ITER(hh, mgr->parts, p, next)
		tick_part(mgr, p, now_us);
}

/*
 * Returns an entry for a new proof: a new one, or the oldest one if the table
 * is full.
 */
static struct ended_proc *alloc_ended(struct lease_mgr *mgr)
{
	struct ended_proc *e = mgr->ended;

	if (HASH_COUNT(mgr->ended) < ENDED_MAX)
		return calloc(1, sizeof(*e));
	HASH_DEL(mgr->ended, e);
	return e;
}

/*
 * Stores the proof. When the table is full the oldest proof is replaced, which
 * can only delay a takeover.
 */
void lease_process_ended(struct lease_mgr *mgr, const struct proc *ended,
			 uint64_t now_us)
{
	struct ended_proc *e;

	if (lease_find_ended(mgr, ended) || lease_is_self(mgr, ended))
		return;
	e = alloc_ended(mgr);
	if (!e)
		return;
	e->proc.instance = ended->instance;
	e->proc.incarnation = ended->incarnation;
	e->at_us = now_us;
	HASH_ADD(hh, mgr->ended, proc, sizeof(e->proc), e);
	lease_tick(mgr, now_us);
}

/*
 * Seals the drained version and sends SEALED to the new owner at once.
 * Otherwise no process would serve the partition until the new owner repeats
 * its request.
 */
void lease_drain_done(struct lease_mgr *mgr, uint64_t part, uint64_t now_us)
{
	struct partition *p = find_part(mgr, part);
	struct lease_msg request = { .type = LEASE_SEAL, .part = part };

	if (!p || p->phase != PHASE_DRAINING)
		return;
	p->drained = true;
	lease_seal_below(mgr, p, p->row.set.version, now_us);
	request.version = p->row.set.version;
	lease_on_seal(mgr, p, &p->row.set.owner, &request, now_us);
}

/*
 * Stops permanently and notifies the witnesses. The owner of the newest version
 * releases that version, even while it still acts in an older one.
 */
void lease_release(struct lease_mgr *mgr, uint64_t part, uint64_t now_us)
{
	struct partition *p = find_part(mgr, part);
	uint64_t version;

	if (!p || (!p->holds && p->phase != PHASE_SEALING))
		return;
	version = p->holds ? p->held.version : 0;
	if (lease_is_self(mgr, &p->row.set.owner))
		version = p->row.set.version;
	p->drained = true;
	if (p->claimed < version)
		p->claimed = version;
	if (p->released < version)
		p->released = version;
	p->next_request_us = now_us;
	lease_fire(mgr, p, EVENT_GIVE_UP, now_us);
	lease_send_due(mgr, p, now_us);
}

/* The time is compared on each call; callers must not cache the result. */
bool lease_may_act(const struct lease_mgr *mgr, uint64_t part, uint64_t now_us,
		   struct lease_term *term)
{
	const struct partition *p = find_part(mgr, part);

	if (!p || !p->holds || !p->acting || now_us >= p->until_us)
		return false;
	term->fence = p->as_successor ? row_successor_fence(&p->held) :
					row_fence(&p->held);
	term->version = p->held.version;
	term->until_us = p->until_us;
	term->draining = p->phase == PHASE_DRAINING;
	return true;
}

/* True if the older sets of the newest known version are sealed. */
bool lease_is_active(const struct lease_mgr *mgr, uint64_t part)
{
	const struct partition *p = find_part(mgr, part);

	return p && p->active >= p->row.set.version;
}

/* Returns this process if it acts, else the holder of its open promise. */
struct proc lease_acting_process(const struct lease_mgr *mgr, uint64_t part,
				 uint64_t now_us)
{
	const struct partition *p = find_part(mgr, part);
	struct proc none = { 0 };

	if (!p)
		return none;
	if (p->acting && now_us < p->until_us)
		return mgr->self;
	if (now_us < p->promise.until_us &&
	    !lease_find_ended(mgr, &p->promise.to))
		return p->promise.to;
	return none;
}

/* Takes effect at the next lease_check_owner_promise() of each partition. */
void lease_set_upstream_available(struct lease_mgr *mgr, bool able)
{
	mgr->no_upstream = !able;
}

/* Returns the end of the term that a newer version interrupted. */
uint64_t lease_grace_end_us(const struct lease_mgr *mgr, uint64_t part)
{
	const struct partition *p = find_part(mgr, part);

	return p && p->phase == PHASE_RENEWING ? p->grace_end_us : 0;
}

/* Iterates in the order in which the partitions were added. */
bool lease_next_part(const struct lease_mgr *mgr, size_t *pos, uint64_t *part)
{
	const struct partition *p = mgr->parts;

	for (size_t i = 0; p && i < *pos; i++)
		p = p->hh.next;
	if (!p)
		return false;
	(*pos)++;
	*part = p->part;
	return true;
}
