#include "plc.h"

#include <stdlib.h>
#include <string.h>

#include "plc_rank.h"

/* How well a member suits as a witness; a lower tier is better. */
enum tier {
	TIER_OWN_REGION, /* in another data centre of the owner's region */
	TIER_OTHER_REGION, /* in another data centre */
	TIER_SHARED, /* second witness: shares the successor's data centre */
	TIER_OWN_CENTRE, /* in the owner's data centre */
	TIER_NONE
};

static int compare_members(const void *a, const void *b)
{
	uint32_t left = ((const struct plc_member *)a)->member->proc.instance;
	uint32_t right = ((const struct plc_member *)b)->member->proc.instance;

	return (left > right) - (left < right);
}

/* Returns the member that is this process, in any state. */
static struct plc_member *find_proc(const struct plc_view *view,
				    const struct proc *p)
{
	struct plc_member *m;

	if (!p->incarnation)
		return NULL;
	m = rank_find(view, p->instance);
	return m && proc_equal(&m->member->proc, p) ? m : NULL;
}

/* Adds step (1 or -1) to the counts of the members that the set names. */
static void count_set(const struct plc_view *view, const struct row_set *set,
		      int step)
{
	struct plc_member *owner = find_proc(view, &set->owner);
	struct plc_member *successor =
		find_proc(view, &set->witness[ROW_SUCCESSOR]);
	struct plc_member *second = find_proc(view, &set->witness[1]);

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

/* Returns the place of a process in the view, count if it is not there. */
static size_t find_place(const struct proc *procs, size_t count,
			 const struct proc *p)
{
	const struct proc *found = NULL;

	if (p->incarnation && count)
		found = bsearch(p, procs, count, sizeof(*procs), compare_procs);
	return found && proc_equal(found, p) ? (size_t)(found - procs) : count;
}

/* The extra entry at the end counts for processes that are not members. */
static void count_row(struct plc_view *view, const struct proc *procs,
		      const struct row_set *set)
{
	const struct proc *successor = &set->witness[ROW_SUCCESSOR];
	size_t count = view->count;

	view->members[find_place(procs, count, &set->owner)].owned++;
	view->members[find_place(procs, count, successor)].succeeds++;
	view->members[find_place(procs, count, &set->witness[1])].witnesses++;
}

/*
 * Searches a list of the processes alone, which is small enough for the cache;
 * with 65,536 rows the members themselves are not.
 */
static bool count_rows(const struct mir *mir, uint16_t service,
		       struct plc_view *view)
{
	struct proc *procs = calloc(view->count + 1, sizeof(*procs));
	const struct row *row;
	size_t pos = 0;

	if (!procs)
		return false;
	for (size_t i = 0; i < view->count; i++)
		procs[i] = view->members[i].member->proc;
	while ((row = mir_next_row(mir, &pos))) {
		if (part_service(row->part) == service)
			count_row(view, procs, &row->set);
	}
	free(procs);
	return true;
}

/* Reads all members and sorts them by instance. */
bool plc_view_members(const struct mir *mir, plc_load_fn load_of, void *arg,
		      struct plc_view *view)
{
	const struct member *m;
	size_t pos = 0;

	view->count = 0;
	view->members =
		calloc(mir_member_count(mir) + 1, sizeof(*view->members));
	if (!view->members)
		return false;
	while ((m = mir_next_member(mir, &pos))) {
		struct plc_member *entry = &view->members[view->count++];

		entry->member = m;
		if (load_of)
			entry->load = load_of(arg, m->proc.instance);
	}
	qsort(view->members, view->count, sizeof(*view->members),
	      compare_members);
	return true;
}

/* Reads all members and counts the rows of the service. */
bool plc_view_make(const struct mir *mir, uint16_t service, plc_load_fn load_of,
		   void *arg, struct plc_view *view)
{
	if (!plc_view_members(mir, load_of, arg, view))
		return false;
	if (count_rows(mir, service, view))
		return true;
	plc_view_free(view);
	return false;
}

/* Frees the list of members; the view can be made again. */
void plc_view_free(struct plc_view *view)
{
	free(view->members);
	view->members = NULL;
	view->count = 0;
}

/* Moves the counts and, when the owner changes, the load. */
void plc_view_apply(struct plc_view *view, const struct row_set *before,
		    const struct row_set *after, double load)
{
	struct plc_member *to = find_proc(view, &after->owner);
	struct plc_member *from = NULL;

	if (before) {
		count_set(view, before, -1);
		from = find_proc(view, &before->owner);
	}
	count_set(view, after, 1);
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

/* The conditional write resolves a race of two daemons that both say yes. */
bool plc_is_creator(const struct plc_view *view, uint64_t part,
		    const struct proc *self)
{
	const struct plc_member *me = rank_find_up(view, self);
	uint64_t mine = rank_score(part, self->instance);

	if (!me || !rank_serves(me, part_service(part)))
		return false;
	for (size_t i = 0; i < view->count; i++) {
		const struct plc_member *m = &view->members[i];

		if (rank_serves(m, part_service(part)) &&
		    rank_score(part, m->member->proc.instance) > mine)
			return false;
	}
	return true;
}

static bool may_create(const struct member *m, uint64_t part)
{
	return m->state == MEMBER_UP && m->service == part_service(part);
}

/* Ends at the first member that ranks higher, mostly after a few. */
bool plc_is_creator_in(const struct mir *mir, uint64_t part,
		       const struct proc *self)
{
	const struct member *m = mir_member(mir, self->instance);
	uint64_t mine = rank_score(part, self->instance);
	size_t pos = 0;

	if (!m || !proc_equal(&m->proc, self) || !may_create(m, part))
		return false;
	while ((m = mir_next_member(mir, &pos))) {
		if (may_create(m, part) &&
		    rank_score(part, m->proc.instance) > mine)
			return false;
	}
	return true;
}

/* Chooses the owner by load and arms the set. */
bool plc_choose(const struct plc_view *view, uint64_t part, uint64_t version,
		const struct plc_policy *policy, struct row_set *set)
{
	struct rank rank = { .count = 0 };
	const struct plc_member *owner;

	for (size_t i = 0; i < view->count; i++) {
		if (rank_serves(&view->members[i], part_service(part)))
			rank_add(&rank, part, &view->members[i]);
	}
	owner = rank_best(&rank, rank_by_load);
	if (!owner)
		return false;
	plc_arm(view, part, NULL, &owner->member->proc, policy, set);
	set->version = version;
	return true;
}

/* A missing witness is not up. */
bool plc_is_armed(const struct plc_view *view, const struct row_set *set)
{
	if (!rank_find_up(view, &set->owner))
		return false;
	for (size_t i = 0; i < ROW_WITNESSES; i++) {
		if (!set->witness[i].incarnation ||
		    !rank_find_up(view, &set->witness[i]))
			return false;
	}
	return true;
}

/* One search for a witness. */
struct search {
	const struct plc_view *view;
	uint64_t part;
	const struct plc_member *owner;
	const struct plc_member *successor; /* NULL while it is searched for */
	enum tier keep; /* a witness of the old set is kept up to this tier */
	rank_cost_fn cost;
};

static bool same_centre(const struct plc_member *a, const struct plc_member *b)
{
	return !strcmp(a->member->data_centre, b->member->data_centre);
}

static enum tier successor_tier(const struct search *s,
				const struct plc_member *m)
{
	if (m == s->owner || !rank_serves(m, part_service(s->part)))
		return TIER_NONE;
	if (same_centre(m, s->owner))
		return TIER_OWN_CENTRE;
	if (strcmp(m->member->region, s->owner->member->region) != 0)
		return TIER_OTHER_REGION;
	return TIER_OWN_REGION;
}

/*
 * With all three in one region a takeover works while the region has lost
 * contact with the others.
 */
static enum tier second_tier(const struct search *s, const struct plc_member *m)
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

/* Finds the members of the best tier; *best tells which that is. */
static void find_best_tier(const struct search *s,
			   enum tier (*tier_of)(const struct search *,
						const struct plc_member *),
			   struct rank *rank, enum tier *best)
{
	rank->count = 0;
	*best = TIER_NONE;
	for (size_t i = 0; i < s->view->count; i++) {
		const struct plc_member *m = &s->view->members[i];
		enum tier tier = tier_of(s, m);

		if (tier == TIER_NONE || tier > *best)
			continue;
		if (tier < *best)
			rank->count = 0;
		*best = tier;
		rank_add(rank, s->part, m);
	}
}

/* Returns the witness: the old one where it still suits, else a new one. */
static const struct plc_member *find_witness(
	const struct search *s,
	enum tier (*tier_of)(const struct search *, const struct plc_member *),
	const struct plc_member *old)
{
	struct rank rank;
	enum tier best;
	enum tier tier = old ? tier_of(s, old) : TIER_NONE;

	find_best_tier(s, tier_of, &rank, &best);
	if (tier != TIER_NONE && (tier <= s->keep || tier == best))
		return old;
	return rank_best(&rank, s->cost);
}

static double cost_successor(const struct plc_member *m)
{
	return m->succeeds;
}

static double cost_second(const struct plc_member *m)
{
	return (double)m->succeeds + m->witnesses;
}

/* True if the member is the successor of more rows than its share. */
static bool is_over_share(const struct plc_view *view, uint16_t service,
			  const struct plc_member *m)
{
	uint64_t total = 0;
	uint64_t members = 0;

	for (size_t i = 0; i < view->count; i++) {
		if (!rank_serves(&view->members[i], service))
			continue;
		total += view->members[i].succeeds;
		members++;
	}
	return members && (uint64_t)m->succeeds * members >= total + members;
}

/* Only a member with at least two rows less makes the spread more even. */
static const struct plc_member *find_successor(const struct search *s,
					       const struct plc_member *old,
					       const struct plc_policy *policy)
{
	const struct plc_member *kept = find_witness(s, successor_tier, old);
	const struct plc_member *other;

	if (!kept || kept != old || policy->weigh != PLC_UNAVAILABLE_TIME ||
	    !is_over_share(s->view, part_service(s->part), old))
		return kept;
	other = find_witness(s, successor_tier, NULL);
	return other->succeeds + 1 < old->succeeds ? other : old;
}

static const struct plc_member *old_witness(const struct plc_view *view,
					    const struct row_set *old, size_t i)
{
	if (!old || !old->witness[i].incarnation)
		return NULL;
	return rank_find_up(view, &old->witness[i]);
}

/* Searches for the successor first, as it has fewer candidates. */
bool plc_arm(const struct plc_view *view, uint64_t part,
	     const struct row_set *old, const struct proc *owner,
	     const struct plc_policy *policy, struct row_set *set)
{
	struct search s = { .view = view, .part = part };
	struct row_set armed = { .version = old ? old->version + 1 : 1,
				 .owner = *owner };
	const struct plc_member *second = NULL;

	s.owner = find_proc(view, owner);
	if (s.owner) {
		s.keep = TIER_OWN_REGION;
		s.cost = cost_successor;
		s.successor = find_successor(
			&s, old_witness(view, old, ROW_SUCCESSOR), policy);
		s.keep = TIER_OTHER_REGION;
		s.cost = cost_second;
		second = find_witness(&s, second_tier,
				      old_witness(view, old, 1));
	}
	if (s.successor)
		armed.witness[ROW_SUCCESSOR] = s.successor->member->proc;
	if (second)
		armed.witness[1] = second->member->proc;
	*set = armed;
	return s.successor && second;
}
