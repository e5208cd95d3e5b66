#include "bal_int.h"

#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "log.h"
#include "own.h"
#include "pub.h"
#include "syn.h"
#include "wrt.h"

/* Longer than the time between two requests of the lease module. */
#define WANT_AGE_US (1 * US_PER_S)
#define REARM_RATE 100 /* rows a second of the whole system */

/* The policy of a service, from the manifest. */
bool bal_get_policy(const struct bal *b, uint16_t service,
		    struct placement_policy *policy)
{
	const struct manifest *man = pub_manifest(b->n->pub);
	const struct manifest_service *s =
		man ? manifest_service_by_id(man, service) : NULL;

	if (!s)
		return false;
	policy->weigh = s->weigh == MANIFEST_CHURN ? PLACEMENT_COST_CHURN :
						     PLACEMENT_COST_UNAVAILABLE;
	policy->imbalance_tolerance_pct = s->imbalance_tolerance_pct;
	policy->moves_per_minute = s->moves_per_minute;
	return true;
}

/* Makes a view of the members and rows of a service. */
bool bal_make_view(const struct bal *b, uint16_t service,
		   struct placement_view *view)
{
	return placement_view_from_counts(b->counts, b->n->replica, service,
					  syn_load_of, b->n->syn, view);
}

static bool same_processes(const struct row_set *x, const struct row_set *y)
{
	return proc_equal(&x->owner, &y->owner) &&
	       proc_equal(&x->witness[0], &y->witness[0]) &&
	       proc_equal(&x->witness[1], &y->witness[1]);
}

static void count_write(uint64_t part, const char *why,
			const struct row_set *set)
{
	ctr_add(CTR_ROWS_WRITTEN, 1);
	log_emit(LOG_ROW_CHANGE,
		 "service=%u partition=%u why=%s owner=%u witnesses=%u,%u",
		 part_service(part), part_index(part), why, set->owner.instance,
		 set->witness[0].instance, set->witness[1].instance);
}

/*
 * Writes a row for an owner that keeps or takes the partition. A row with the
 * same processes is written only if that is forced: an owner that has released
 * a version needs a newer one.
 */
bool bal_write_armed(struct bal *b, const struct placement_view *view,
		     uint64_t part, const struct proc *owner, bool forced,
		     const char *why)
{
	const struct row *row = replica_row(b->n->replica, part);
	struct placement_policy policy;
	struct row_set set = { 0 };
	struct lease_term term;
	bool active;

	if (!row || !bal_get_policy(b, part_service(part), &policy))
		return false;
	if (!placement_assign_witnesses(view, part, &row->set, owner, &policy,
					&set) &&
	    !set.owner.incarnation)
		return false;
	if (!forced && same_processes(&set, &row->set))
		return false;
	active = own_may_act(b->n->own, part, &term) &&
		 term.version == row->set.version;
	if (!wrt_row(b->n->writer, part, &set, active))
		return false;
	count_write(part, why, &set);
	return true;
}

/* A member row with a later incarnation proves that a process has ended. */
static bool has_ended(const void *arg, const struct proc *p)
{
	const struct bal *b = arg;
	const struct member *m = replica_member(b->n->replica, p->instance);

	return !p->incarnation || (m && m->proc.incarnation != p->incarnation);
}

/*
 * True if a row has no room for one more earlier set, and needs none: nobody
 * can act in any of its sets, and what their upstreams still ran is over. The
 * new owner waits for the last set as for any other.
 */
static bool may_forget_sets(const struct bal *b, const struct row *row)
{
	const struct manifest *man = pub_manifest(b->n->pub);
	const struct manifest_service *s =
		row && man ?
			manifest_service_by_id(man, part_service(row->part)) :
			NULL;
	uint64_t wait_us = 0;

	if (!s || row->prev_count < ROW_PREV_MAX)
		return false;
	if (!s->checks_fences)
		wait_us = manifest_max_nonidempotent_ms(s) * US_PER_MS;
	return nod_now_us(b->n) >= b->processes_since_us + wait_us &&
	       row_is_inactive(row, has_ended, b);
}

/* Gives a partition without a usable set a new owner. */
bool bal_write_chosen(struct bal *b, const struct placement_view *view,
		      uint64_t part, const char *why, struct row_set *set)
{
	const struct row *row = replica_row(b->n->replica, part);
	struct placement_policy policy;

	memset(set, 0, sizeof(*set));
	if (!bal_get_policy(b, part_service(part), &policy) ||
	    !placement_choose_owner(view, part, row ? row->set.version + 1 : 1,
				    &policy, set) ||
	    !wrt_row(b->n->writer, part, set, may_forget_sets(b, row)))
		return false;
	count_write(part, why, set);
	return true;
}

/* Rewrites a row as the lease module asked for. */
static void rewrite(struct bal *b, uint64_t part, enum lease_row_reason want)
{
	struct placement_view view;
	struct row_set set;

	if (!bal_make_view(b, part_service(part), &view))
		return;
	if (want == LEASE_ROW_REASSIGN)
		bal_write_chosen(b, &view, part, "reassign", &set);
	else
		bal_write_armed(
			b, &view, part, &b->n->self, want == LEASE_ROW_PROMOTE,
			want == LEASE_ROW_PROMOTE ? "takeover" : "witness");
	placement_view_free(&view);
}

static struct pending *find_pending(const struct bal *b, uint64_t part)
{
	struct pending *p = b->pending;

	while (p && p->part != part)
		p = p->next;
	return p;
}

static struct pending *add_pending(struct bal *b, uint64_t part)
{
	uint64_t window =
		replica_member_count(b->n->replica) * US_PER_S / REARM_RATE;
	struct pending *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->part = part;
	p->due_us = nod_now_us(b->n) + clk_random_below(b->n->clk, window + 1);
	p->next = b->pending;
	b->pending = p;
	return p;
}

static uint64_t row_version(const struct bal *b, uint64_t part)
{
	const struct row *row = replica_row(b->n->replica, part);

	return row ? row->set.version : 0;
}

/*
 * Requests repeat while their reason lasts. Each rewrite draws a time in a
 * window sized by the members, so that the loss of a data centre does not
 * bring more writes a second than the table takes.
 */
void bal_want(struct bal *b, uint64_t part, enum lease_row_reason want)
{
	struct pending *p;

	if (!syn_platform_up(b->n->syn) || wrt_is_busy(b->n->writer, part))
		return;
	p = find_pending(b, part);
	if (!p)
		p = add_pending(b, part);
	if (!p)
		return;
	p->version = row_version(b, part);
	p->wanted_us = nod_now_us(b->n);
	p->want = want;
}

/* True if the reason of a rewrite has gone. */
static bool is_stale(const struct bal *b, const struct pending *p,
		     uint64_t now_us)
{
	return now_us - p->wanted_us > WANT_AGE_US ||
	       p->version != row_version(b, p->part);
}

/*
 * Carries out the rewrites that are due. One that finds no room among the
 * writes in flight keeps its place: the term of its owner may end before the
 * lease module asks again.
 */
void bal_rewrite_due(void *arg, uint64_t now_us)
{
	struct bal *b = arg;
	struct pending **at = &b->pending;

	while (*at) {
		struct pending *p = *at;
		bool stale = is_stale(b, p, now_us);

		if (!stale && (now_us < p->due_us || !wrt_room(b->n->writer) ||
			       !syn_platform_up(b->n->syn))) {
			at = &p->next;
			continue;
		}
		*at = p->next;
		if (!stale)
			rewrite(b, p->part, p->want);
		free(p);
	}
}

/* Forgets what waits. */
void bal_free_pending(struct bal *b)
{
	while (b->pending) {
		struct pending *p = b->pending;

		b->pending = p->next;
		free(p);
	}
}
