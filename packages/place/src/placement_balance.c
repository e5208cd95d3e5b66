#include "placement.h"

#include <xxhash.h>

#include "placement_rank.h"

#define PERCENT 100.0

/*
 * Under PLACEMENT_COST_CHURN a partition moves only if the load in excess of
 * the tolerance is at least this fraction of its load. Otherwise the move would
 * mostly shift load that is within the tolerance.
 */
#define CHURN_MIN_EXCESS_RATIO 0.5

static double load_limit(double mean, const struct placement_policy *policy)
{
	return mean * (1 + policy->imbalance_tolerance_pct / PERCENT);
}

/* Ranks by self, so that concurrent owners choose different targets. */
static const struct placement_member *
find_target(const struct placement_view *view,
	    const struct placement_member *self, double mean)
{
	struct rank rank = { .count = 0 };

	for (size_t i = 0; i < view->count; i++) {
		const struct placement_member *m = &view->members[i];

		if (m != self && rank_may_own(m, self->member->service) &&
		    m->load < mean)
			rank_add_candidate(&rank, self->member->proc.instance,
					   m);
	}
	return rank_cheapest(&rank, rank_load_cost);
}

static size_t find_hottest(const struct placement_load *loads, size_t count)
{
	size_t hottest = 0;

	for (size_t i = 1; i < count; i++) {
		if (loads[i].load > loads[hottest].load)
			hottest = i;
	}
	return hottest;
}

/* The parameters of a move. */
struct move {
	const struct placement_member *self;
	const struct placement_member *target;
	double max_load; /* largest load of a partition that may be moved */
};

/* Returns the higher load of both members after a move of this load. */
static double max_load_after(const struct move *b, double load)
{
	double from = b->self->load - load;
	double to = b->target->load +
		    load * rank_slots(b->self) / rank_slots(b->target);

	return from > to ? from : to;
}

static bool may_move(const struct move *b, double load)
{
	return load > 0 && load <= b->max_load &&
	       max_load_after(b, load) < b->self->load;
}

/* Returns the index whose move leaves the lowest load, or count if none may. */
static size_t find_best_partition(const struct move *b,
				  const struct placement_load *loads,
				  size_t count, size_t skip)
{
	size_t best = count;

	for (size_t i = 0; i < count; i++) {
		if (i == skip || !may_move(b, loads[i].load))
			continue;
		if (best == count ||
		    max_load_after(b, loads[i].load) <
			    max_load_after(b, loads[best].load))
			best = i;
	}
	return best;
}

/*
 * Moves the hottest partition only if no other can be moved: if its load is due
 * to one hot key, moving it would only overload the target instead.
 */
bool placement_next_move(const struct placement_view *view,
			 const struct proc *self,
			 const struct placement_load *loads, size_t count,
			 const struct placement_policy *policy, uint64_t *part,
			 struct proc *target)
{
	struct move b = { .self = rank_find_up_member(view, self) };
	double mean;
	double excess;
	size_t hottest;
	size_t chosen;

	if (!b.self || !count || !policy->moves_per_minute)
		return false;
	mean = rank_mean_load(view, b.self->member->service);
	excess = b.self->load - load_limit(mean, policy);
	if (excess <= 0)
		return false;
	b.target = find_target(view, b.self, mean);
	if (!b.target)
		return false;
	b.max_load = policy->weigh == PLACEMENT_COST_CHURN ?
			     excess / CHURN_MIN_EXCESS_RATIO :
			     b.self->load;
	hottest = find_hottest(loads, count);
	chosen = find_best_partition(&b, loads, count, hottest);
	if (chosen == count && may_move(&b, loads[hottest].load))
		chosen = hottest;
	if (chosen == count)
		return false;
	*part = loads[chosen].part;
	*target = b.target->member->proc;
	return true;
}

/* Without the row the choice depends on the load of the members only. */
bool placement_drain_target(const struct placement_view *view,
			    const struct proc *self, uint64_t part,
			    struct proc *target)
{
	struct rank rank = { .count = 0 };
	const struct placement_member *best;

	for (size_t i = 0; i < view->count; i++) {
		const struct placement_member *m = &view->members[i];

		if (m->member->proc.instance != self->instance &&
		    rank_may_own(m, part_service(part)))
			rank_add_candidate(&rank, part, m);
	}
	best = rank_cheapest(&rank, rank_load_cost);
	if (!best)
		return false;
	*target = best->member->proc;
	return true;
}

/*
 * A successor above the mean load is not used, as for any other move: it would
 * soon move the partition on, which is one more move.
 */
bool placement_drain_target_of_row(const struct placement_view *view,
				   const struct proc *self, uint64_t part,
				   const struct row_set *set,
				   const struct placement_policy *policy,
				   struct proc *target)
{
	uint16_t service = part_service(part);
	const struct placement_member *successor =
		rank_find_up_member(view, &set->witness[ROW_SUCCESSOR]);

	if (policy->weigh == PLACEMENT_COST_CHURN && successor &&
	    successor->member->proc.instance != self->instance &&
	    rank_may_own(successor, service) &&
	    successor->load <= rank_mean_load(view, service)) {
		*target = successor->member->proc;
		return true;
	}
	return placement_drain_target(view, self, part, target);
}

/* Idle members count as balanced. */
double placement_imbalance(const double *loads, size_t count)
{
	double max = 0;
	double sum = 0;

	for (size_t i = 0; i < count; i++) {
		sum += loads[i];
		if (loads[i] > max)
			max = loads[i];
	}
	return sum > 0 ? max * (double)count / sum : 1;
}

/* A change of the number of members moves nearly all partitions. */
size_t placement_owner_modulo(uint64_t part, size_t count)
{
	return count ? part_index(part) % count : 0;
}

/* A change of one member moves only the partitions of that member. */
size_t placement_owner_rendezvous(uint64_t part, const uint32_t *instances,
				  size_t count)
{
	size_t best = 0;

	for (size_t i = 1; i < count; i++) {
		if (rank_score(part, instances[i]) >
		    rank_score(part, instances[best]))
			best = i;
	}
	return best;
}

/* Callers and daemons compute this hash, so it must not change. */
uint32_t placement_partition_of_key(const void *key, size_t len,
				    uint32_t partitions)
{
	return partitions ? (uint32_t)(XXH3_64bits(key, len) % partitions) : 0;
}
