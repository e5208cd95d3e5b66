#include "placement.h"

#include <stdlib.h>
#include <string.h>

#include "placement_rank.h"

/* How suitable a member is as a witness; a lower tier is better. */
enum tier {
	TIER_OWN_REGION, /* in another data centre of the owner's region */
	TIER_OTHER_REGION, /* in another data centre */
	TIER_SHARED, /* second witness: shares the successor's data centre */
	TIER_OWN_CENTRE, /* in the owner's data centre */
	TIER_NONE
};

static int compare_members(const void *a, const void *b)
{
	uint32_t left =
		((const struct placement_member *)a)->member->proc.instance;
	uint32_t right =
		((const struct placement_member *)b)->member->proc.instance;

	return (left > right) - (left < right);
}

/* Returns the member with this instance and incarnation, in any state. */
static struct placement_member *find_proc(const struct placement_view *view,
					  const struct proc *p)
{
	struct placement_member *m;

	if (!p->incarnation)
		return NULL;
	m = rank_find_member(view, p->instance);
	return m && proc_equal(&m->member->proc, p) ? m : NULL;
}

/* Adds step (1 or -1) to the counts of the members in the set. */
static void adjust_counts(const struct placement_view *view,
			  const struct row_set *set, int step)
{
	struct placement_member *owner = find_proc(view, &set->owner);
	struct placement_member *successor =
		find_proc(view, &set->witness[ROW_SUCCESSOR]);
	struct placement_member *second = find_proc(view, &set->witness[1]);

	if (owner)
		owner->owned += (uint32_t)step;
	if (successor)
		successor->succeeds += (uint32_t)step;
	if (second)
		second->witnesses += (uint32_t)step;
}

static int compare_procs(const void *a, const void *b)
{
	const struct proc *left = a;
	const struct proc *right = b;

	return (left->instance > right->instance) -
	       (left->instance < right->instance);
}

/* Returns the index of a process in the view, or count if it is not in it. */
static size_t find_index(const struct proc *procs, size_t count,
			 const struct proc *p)
{
	const struct proc *found = NULL;

	if (p->incarnation && count)
		found = bsearch(p, procs, count, sizeof(*procs), compare_procs);
	return found && proc_equal(found, p) ? (size_t)(found - procs) : count;
}

/* The extra entry at the end is for processes that are not members. */
static void count_row(struct placement_view *view, const struct proc *procs,
		      const struct row_set *set)
{
	const struct proc *successor = &set->witness[ROW_SUCCESSOR];
	size_t count = view->count;

	view->members[find_index(procs, count, &set->owner)].owned++;
	view->members[find_index(procs, count, successor)].succeeds++;
	view->members[find_index(procs, count, &set->witness[1])].witnesses++;
}

/*
 * Searches a separate array of processes, which fits the CPU cache; the members
 * of a view with 65,536 rows do not.
 */
static bool count_rows(const struct table_replica *table_replica,
		       uint16_t service, struct placement_view *view)
{
	struct proc *procs = calloc(view->count + 1, sizeof(*procs));
	const struct row *row;
	size_t pos = 0;

	if (!procs)
		return false;
	for (size_t i = 0; i < view->count; i++)
		procs[i] = view->members[i].member->proc;
	while ((row = replica_next_row(table_replica, &pos))) {
		if (part_service(row->part) == service)
			count_row(view, procs, &row->set);
	}
	free(procs);
	return true;
}

bool placement_view_create_uncounted(const struct table_replica *table_replica,
				     placement_load_fn load_of, void *arg,
				     struct placement_view *view)
{
	const struct member *m;
	size_t pos = 0;

	view->count = 0;
	view->members = calloc(replica_member_count(table_replica) + 1,
			       sizeof(*view->members));
	if (!view->members)
		return false;
	while ((m = replica_next_member(table_replica, &pos))) {
		struct placement_member *entry = &view->members[view->count++];

		entry->member = m;
		if (load_of)
			entry->load = load_of(arg, m->proc.instance);
	}
	qsort(view->members, view->count, sizeof(*view->members),
	      compare_members);
	return true;
}

bool placement_view_create(const struct table_replica *table_replica,
			   uint16_t service, placement_load_fn load_of,
			   void *arg, struct placement_view *view)
{
	if (!placement_view_create_uncounted(table_replica, load_of, arg, view))
		return false;
	if (count_rows(table_replica, service, view))
		return true;
	placement_view_free(view);
	return false;
}

/* The view can be created again afterwards. */
void placement_view_free(struct placement_view *view)
{
	free(view->members);
	view->members = NULL;
	view->count = 0;
}

/* Updates the counts and, if the owner changes, both loads. */
void placement_view_apply(struct placement_view *view,
			  const struct row_set *before,
			  const struct row_set *after, double load)
{
	struct placement_member *to = find_proc(view, &after->owner);
	struct placement_member *from = NULL;

	if (before) {
		adjust_counts(view, before, -1);
		from = find_proc(view, &before->owner);
	}
	adjust_counts(view, after, 1);
	if (from == to)
		return;
	if (from) {
		from->load -= load;
		load *= rank_slots(from);
	} else if (to) {
		load *= rank_slots(to);
	}
	if (to)
		to->load += load / rank_slots(to);
}

/*
 * If views differ and two daemons create the row, one conditional write fails.
 */
bool placement_is_creator(const struct placement_view *view, uint64_t part,
			  const struct proc *self)
{
	const struct placement_member *me = rank_find_up_member(view, self);
	uint64_t mine = rank_score(part, self->instance);

	if (!me || !rank_may_own(me, part_service(part)))
		return false;
	for (size_t i = 0; i < view->count; i++) {
		const struct placement_member *m = &view->members[i];

		if (rank_may_own(m, part_service(part)) &&
		    rank_score(part, m->member->proc.instance) > mine)
			return false;
	}
	return true;
}

static bool is_candidate(const struct member *m, uint64_t part)
{
	return m->state == MEMBER_UP && m->service == part_service(part);
}

/* Stops at the first member with a higher score, usually after a few. */
bool placement_is_creator_in_replica(const struct table_replica *table_replica,
				     uint64_t part, const struct proc *self)
{
	const struct member *m = replica_member(table_replica, self->instance);
	uint64_t mine = rank_score(part, self->instance);
	size_t pos = 0;

	if (!m || !proc_equal(&m->proc, self) || !is_candidate(m, part))
		return false;
	while ((m = replica_next_member(table_replica, &pos))) {
		if (is_candidate(m, part) &&
		    rank_score(part, m->proc.instance) > mine)
			return false;
	}
	return true;
}

/* Chooses the least loaded of RANK_CANDIDATES_MAX candidates. */
bool placement_choose_owner(const struct placement_view *view, uint64_t part,
			    uint64_t version,
			    const struct placement_policy *policy,
			    struct row_set *set)
{
	struct rank rank = { .count = 0 };
	const struct placement_member *owner;

	for (size_t i = 0; i < view->count; i++) {
		if (rank_may_own(&view->members[i], part_service(part)))
			rank_add_candidate(&rank, part, &view->members[i]);
	}
	owner = rank_cheapest(&rank, rank_load_cost);
	if (!owner)
		return false;
	placement_assign_witnesses(view, part, NULL, &owner->member->proc,
				   policy, set);
	set->version = version;
	return true;
}

/* A missing witness has incarnation 0. */
bool placement_is_complete(const struct placement_view *view,
			   const struct row_set *set)
{
	if (!rank_find_up_member(view, &set->owner))
		return false;
	for (size_t i = 0; i < ROW_WITNESSES; i++) {
		if (!set->witness[i].incarnation ||
		    !rank_find_up_member(view, &set->witness[i]))
			return false;
	}
	return true;
}

/* The parameters of a search for a witness. */
struct witness_search {
	const struct placement_view *view;
	uint64_t part;
	const struct placement_member *owner;
	const struct placement_member *successor; /* NULL until it is chosen */
	enum tier keep_up_to; /* worst tier in which an old witness is kept */
	rank_cost_fn cost;
};

static bool same_centre(const struct placement_member *a,
			const struct placement_member *b)
{
	return !strcmp(a->member->data_centre, b->member->data_centre);
}

static enum tier successor_tier(const struct witness_search *s,
				const struct placement_member *m)
{
	if (m == s->owner || !rank_may_own(m, part_service(s->part)))
		return TIER_NONE;
	if (same_centre(m, s->owner))
		return TIER_OWN_CENTRE;
	if (strcmp(m->member->region, s->owner->member->region) != 0)
		return TIER_OTHER_REGION;
	return TIER_OWN_REGION;
}

/*
 * Prefers the owner's region: with all three processes in one region, a
 * takeover is possible while that region is disconnected from the others.
 */
static enum tier second_witness_tier(const struct witness_search *s,
				     const struct placement_member *m)
{
	if (m == s->owner || m == s->successor || m->member->state != MEMBER_UP)
		return TIER_NONE;
	if (same_centre(m, s->owner))
		return TIER_OWN_CENTRE;
	if (s->successor && same_centre(m, s->successor))
		return TIER_SHARED;
	if (strcmp(m->member->region, s->owner->member->region) != 0)
		return TIER_OTHER_REGION;
	return TIER_OWN_REGION;
}

/* Ranks the members of the best tier that has any, and stores it in *best. */
static void
find_best_tier(const struct witness_search *s,
	       enum tier (*tier_of)(const struct witness_search *,
				    const struct placement_member *),
	       struct rank *rank, enum tier *best)
{
	rank->count = 0;
	*best = TIER_NONE;
	for (size_t i = 0; i < s->view->count; i++) {
		const struct placement_member *m = &s->view->members[i];
		enum tier tier = tier_of(s, m);

		if (tier == TIER_NONE || tier > *best)
			continue;
		if (tier < *best)
			rank->count = 0;
		*best = tier;
		rank_add_candidate(rank, s->part, m);
	}
}

/* Keeps the old witness if it is suitable, else chooses a new one. */
static const struct placement_member *
find_witness(const struct witness_search *s,
	     enum tier (*tier_of)(const struct witness_search *,
				  const struct placement_member *),
	     const struct placement_member *old)
{
	struct rank rank;
	enum tier best;
	enum tier tier = old ? tier_of(s, old) : TIER_NONE;

	find_best_tier(s, tier_of, &rank, &best);
	if (tier != TIER_NONE && (tier <= s->keep_up_to || tier == best))
		return old;
	return rank_cheapest(&rank, s->cost);
}

static double cost_successor(const struct placement_member *m)
{
	return m->succeeds;
}

static double cost_second_witness(const struct placement_member *m)
{
	return (double)m->succeeds + m->witnesses;
}

/* True if the member succeeds in at least one row more than the average. */
static bool is_over_share(const struct placement_view *view, uint16_t service,
			  const struct placement_member *m)
{
	uint64_t total = 0;
	uint64_t members = 0;

	for (size_t i = 0; i < view->count; i++) {
		if (!rank_may_own(&view->members[i], service))
			continue;
		total += view->members[i].succeeds;
		members++;
	}
	return members && (uint64_t)m->succeeds * members >= total + members;
}

/* Replaces a successor only by one with at least two rows fewer. */
static const struct placement_member *
find_successor(const struct witness_search *s,
	       const struct placement_member *old,
	       const struct placement_policy *policy)
{
	const struct placement_member *kept =
		find_witness(s, successor_tier, old);
	const struct placement_member *other;

	if (!kept || kept != old ||
	    policy->weigh != PLACEMENT_COST_UNAVAILABLE ||
	    !is_over_share(s->view, part_service(s->part), old))
		return kept;
	other = find_witness(s, successor_tier, NULL);
	return other->succeeds + 1 < old->succeeds ? other : old;
}

static const struct placement_member *
old_witness(const struct placement_view *view, const struct row_set *old,
	    size_t i)
{
	if (!old || !old->witness[i].incarnation)
		return NULL;
	return rank_find_up_member(view, &old->witness[i]);
}

/* Chooses the successor first, as it has fewer candidates. */
bool placement_assign_witnesses(const struct placement_view *view,
				uint64_t part, const struct row_set *old,
				const struct proc *owner,
				const struct placement_policy *policy,
				struct row_set *set)
{
	struct witness_search s = { .view = view, .part = part };
	struct row_set result = { .version = old ? old->version + 1 : 1,
				  .owner = *owner };
	const struct placement_member *second = NULL;

	s.owner = find_proc(view, owner);
	if (s.owner) {
		s.keep_up_to = TIER_OWN_REGION;
		s.cost = cost_successor;
		s.successor = find_successor(
			&s, old_witness(view, old, ROW_SUCCESSOR), policy);
		s.keep_up_to = TIER_OTHER_REGION;
		s.cost = cost_second_witness;
		second = find_witness(&s, second_witness_tier,
				      old_witness(view, old, 1));
	}
	if (s.successor)
		result.witness[ROW_SUCCESSOR] = s.successor->member->proc;
	if (second)
		result.witness[1] = second->member->proc;
	*set = result;
	return s.successor && second;
}
