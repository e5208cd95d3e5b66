#include "bal_int.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "log.h"
#include "mem.h"
#include "own.h"
#include "pub.h"
#include "syn.h"
#include "upd.h"
#include "wrt.h"

#define CREATE_INTERVAL_US (250 * US_PER_MS)
#define STABLE_US (1500 * US_PER_MS) /* members unchanged before creation */
#define BALANCE_INTERVAL_US US_PER_S
#define DRAIN_INTERVAL_US (100 * US_PER_MS)
#define REWRITE_INTERVAL_US (50 * US_PER_MS)
#define SCAN_MAX 2048 /* partitions that one step looks at */
#define SECONDS_PER_MINUTE 60
#define PERCENT 100.0
#define LOAD_DECAY 0.9 /* of the load of a partition, each second */

/* True if the members table shows that a process is not running. */
static bool is_dead(const struct bal *b, const struct proc *p)
{
	const struct member *m = replica_member(b->n->replica, p->instance);

	return !p->incarnation || !m || m->state == MEMBER_GONE ||
	       m->proc.incarnation != p->incarnation;
}

/* True if a process runs and has an upstream of the service beside it. */
static bool can_serve(const struct bal *b, const struct proc *p,
		      uint16_t service)
{
	const struct member *m = replica_member(b->n->replica, p->instance);

	return !is_dead(b, p) && m->service == service;
}

/*
 * True if neither the owner nor the successor can serve the partition: then
 * nobody renews or claims, and a new owner has to be chosen.
 */
static bool is_orphan(const struct bal *b, const struct row *row)
{
	const struct row_set *set;
	uint16_t service;

	if (!row)
		return true;
	set = &row->set;
	service = part_service(row->part);
	return !can_serve(b, &set->owner, service) &&
	       !can_serve(b, &set->witness[ROW_SUCCESSOR], service);
}

/* Searches on for an orphan row; false if there is none in this step. */
static bool find_orphan(struct bal *b, const struct manifest_service *s,
			uint32_t *steps, uint64_t *part)
{
	while (*steps) {
		if (b->scanned >= s->partitions)
			b->scanned = 0;
		*part = part_id(s->id, b->scanned);
		++b->scanned;
		--*steps;
		if (!wrt_is_busy(b->n->writer, *part) &&
		    is_orphan(b, replica_row(b->n->replica, *part)))
			return true;
	}
	return false;
}

/* Makes a view only when a row is to be written. */
static void create_rows(struct bal *b, const struct manifest_service *s)
{
	uint32_t steps = s->partitions < SCAN_MAX ? s->partitions : SCAN_MAX;
	struct placement_view view;
	struct row_set set;
	uint64_t part;

	if (!placement_is_creator_in_replica(b->n->replica, part_id(s->id, 0),
					     &b->n->self) ||
	    !wrt_room(b->n->writer) || !find_orphan(b, s, &steps, &part) ||
	    !bal_make_view(b, s->id, &view))
		return;
	do {
		if (bal_write_chosen(b, &view, part, "create", &set))
			placement_view_apply(&view, NULL, &set, 0);
	} while (wrt_room(b->n->writer) && find_orphan(b, s, &steps, &part));
	placement_view_free(&view);
}

/* Notes since when no member has been replaced by another process. */
static void watch_processes(struct bal *b, uint64_t now_us)
{
	const struct member *m;
	uint64_t digest = 0;
	size_t pos = 0;

	while ((m = replica_next_member(b->n->replica, &pos)))
		digest += m->proc.incarnation;
	if (digest == b->processes)
		return;
	b->processes = digest;
	b->processes_since_us = now_us;
}

/* Creates missing rows once the members have been the same for a while. */
static void create_due(void *arg, uint64_t now_us)
{
	struct bal *b = arg;
	const struct manifest *man = pub_manifest(b->n->pub);
	const struct manifest_service *s;
	size_t count = replica_member_count(b->n->replica);

	watch_processes(b, now_us);
	if (count != b->member_count) {
		b->member_count = count;
		b->members_since_us = now_us;
	}
	if (!man || !syn_is_ready(b->n->syn) || !syn_platform_up(b->n->syn) ||
	    !upd_is_serving(b->n->upstream) ||
	    now_us - b->members_since_us < STABLE_US)
		return;
	s = manifest_service_by_id(man, mem_service(b->n->member));
	if (s)
		create_rows(b, s);
}

/* Brings the loads of the partitions that were held here up to date. */
static void decay_loads(struct bal *b)
{
	struct work *w;
	struct work *next;

	HASH_ITER(hh, b->work, w, next) {
		double now = (double)w->busy_us / (double)US_PER_S;

		w->load = w->load * LOAD_DECAY + now * (1 - LOAD_DECAY);
		w->busy_us = 0;
	}
}

static double load_of(const struct bal *b, uint64_t part)
{
	struct work *w;

	HASH_FIND(hh, b->work, &part, sizeof(part), w);
	return w ? w->load : 0;
}

/* Lists the partitions for which this process acts. */
static size_t list_held(const struct bal *b, struct placement_load *out,
			size_t max)
{
	struct lease_term term;
	uint64_t part;
	size_t pos = 0;
	size_t count = 0;

	while (count < max && own_next_part(b->n->own, &pos, &part)) {
		if (!own_may_act(b->n->own, part, &term) || term.draining)
			continue;
		out[count].part = part;
		out[count].load = load_of(b, part);
		count++;
	}
	return count;
}

/* A view is made only for a member that is over the limit of the policy. */
static bool is_over_mean(const struct bal *b,
			 const struct placement_policy *policy)
{
	uint16_t service = mem_service(b->n->member);
	double mine = syn_load_of(b->n->syn, b->n->self.instance);
	const struct member *m;
	double busy = 0;
	double slots = 0;
	size_t pos = 0;

	if (mine <= 0)
		return false;
	while ((m = replica_next_member(b->n->replica, &pos))) {
		double weight = m->slots ? m->slots : 1;

		if (m->state != MEMBER_UP || m->service != service)
			continue;
		busy += syn_load_of(b->n->syn, m->proc.instance) * weight;
		slots += weight;
	}
	return slots > 0 &&
	       mine > busy / slots *
			       (1 + policy->imbalance_tolerance_pct / PERCENT);
}

/* Moves at most one partition, if the policy allows one now. */
static void move_one(struct bal *b, const struct placement_policy *policy)
{
	size_t max = own_acting_count(b->n->own);
	struct placement_load *held = calloc(max + 1, sizeof(*held));
	struct placement_view view;
	struct proc target;
	uint64_t part;

	if (!held)
		return;
	max = list_held(b, held, max);
	if (bal_make_view(b, mem_service(b->n->member), &view)) {
		if (placement_next_move(&view, &b->n->self, held, max, policy,
					&part, &target) &&
		    bal_write_armed(b, &view, part, &target, false,
				    "balance")) {
			b->move_tokens -= 1;
			ctr_add(CTR_MOVES, 1);
		}
		placement_view_free(&view);
	}
	free(held);
}

static void balance_due(void *arg, uint64_t now_us)
{
	struct bal *b = arg;
	struct placement_policy policy;

	(void)now_us;
	decay_loads(b);
	if (!syn_platform_up(b->n->syn) ||
	    mem_state(b->n->member) != MEMBER_UP ||
	    !bal_get_policy(b, mem_service(b->n->member), &policy))
		return;
	b->move_tokens += (double)policy.moves_per_minute / SECONDS_PER_MINUTE;
	b->move_tokens = fmin(b->move_tokens, 1);
	if (b->move_tokens >= 1 && is_over_mean(b, &policy))
		move_one(b, &policy);
}

/* Moves everything away from a member that leaves. */
static void drain_due(void *arg, uint64_t now_us)
{
	struct bal *b = arg;
	size_t max = own_acting_count(b->n->own);
	struct placement_policy policy;
	struct placement_load *held;
	struct placement_view view;
	struct proc target;

	(void)now_us;
	if (mem_state(b->n->member) != MEMBER_DRAINING || !max ||
	    !syn_platform_up(b->n->syn) ||
	    !bal_get_policy(b, mem_service(b->n->member), &policy))
		return;
	held = calloc(max, sizeof(*held));
	if (!held)
		return;
	max = list_held(b, held, max);
	if (bal_make_view(b, mem_service(b->n->member), &view)) {
		for (size_t i = 0; i < max; i++) {
			const struct row *row =
				replica_row(b->n->replica, held[i].part);

			if (row && placement_drain_target_of_row(
					   &view, &b->n->self, held[i].part,
					   &row->set, &policy, &target))
				bal_write_armed(b, &view, held[i].part, &target,
						false, "drain");
		}
		placement_view_free(&view);
	}
	free(held);
}

static void row_changed(void *arg, const struct replica_entry *entry)
{
	struct bal *b = arg;
	const struct row_set *before;
	const struct row *row = replica_changed_row(b->n->replica, &before);

	(void)entry;
	if (row)
		placement_counts_update(b->counts, row->part, before,
					&row->set);
}

/* Counts rows from an empty replica on and starts the timers. */
struct bal *bal_create(struct nod *n)
{
	struct bal *b = calloc(1, sizeof(*b));
	uint64_t now = nod_now_us(n);

	if (!b)
		return NULL;
	b->n = n;
	b->counts = placement_counts_create();
	if (!b->counts || !replica_subscribe(n->replica, row_changed, b)) {
		bal_destroy(b);
		return NULL;
	}
	b->members_since_us = now;
	b->processes_since_us = now;
	tmr_every(n->timers, now + CREATE_INTERVAL_US, CREATE_INTERVAL_US,
		  create_due, b);
	tmr_every(n->timers, now + REWRITE_INTERVAL_US, REWRITE_INTERVAL_US,
		  bal_rewrite_due, b);
	tmr_every(n->timers, now + BALANCE_INTERVAL_US, BALANCE_INTERVAL_US,
		  balance_due, b);
	tmr_every(n->timers, now + DRAIN_INTERVAL_US, DRAIN_INTERVAL_US,
		  drain_due, b);
	return b;
}

/* Frees the module. */
void bal_destroy(struct bal *b)
{
	struct work *w;
	struct work *next_work;

	if (!b)
		return;
	bal_free_pending(b);
	w = b->work;
	HASH_CLEAR(hh, b->work);
	for (; w; w = next_work) {
		next_work = w->hh.next;
		free(w);
	}
	placement_counts_destroy(b->counts);
	free(b);
}

/* Adds busy time to a partition. */
void bal_work(struct bal *b, uint64_t part, uint64_t busy_us)
{
	struct work *w;

	HASH_FIND(hh, b->work, &part, sizeof(part), w);
	if (!w) {
		w = calloc(1, sizeof(*w));
		if (!w)
			return;
		w->part = part;
		HASH_ADD(hh, b->work, part, sizeof(w->part), w);
	}
	w->busy_us += busy_us;
}
