#include "plc.h"

#include <xxhash.h>

#include "plc_rank.h"

#define PERCENT 100.0

/*
 * Under a policy that weighs churn, a partition moves only when the excess over
 * the tolerance is at least this part of its load. Otherwise the move would
 * take away mostly load that is within the tolerance.
 */
#define CHURN_EXCESS_PART 0.5

static double load_limit(double mean, const struct plc_policy *policy)
{
	return mean * (1 + policy->imbalance_tolerance_pct / PERCENT);
}

/* The key is self, so that owners that decide at once choose other targets. */
static const struct plc_member *find_target(const struct plc_view *view,
					    const struct plc_member *self,
					    double mean)
{
	struct rank rank = { .count = 0 };

	for (size_t i = 0; i < view->count; i++) {
		const struct plc_member *m = &view->members[i];

		if (m != self && rank_serves(m, self->member->service) &&
		    m->load < mean)
			rank_add(&rank, self->member->proc.instance, m);
	}
	return rank_best(&rank, rank_by_load);
}

static size_t find_hottest(const struct plc_load *loads, size_t count)
{
	size_t hottest = 0;

	for (size_t i = 1; i < count; i++) {
		if (loads[i].load > loads[hottest].load)
			hottest = i;
	}
	return hottest;
}

/* What a move is judged by. */
struct balance {
	const struct plc_member *self;
	const struct plc_member *target;
	double max_part; /* largest load of a partition that may move */
};

/* Returns the higher load of the two members after the move. */
static double load_after(const struct balance *b, double load)
{
	double from = b->self->load - load;
	double to = b->target->load +
		    load * rank_slots(b->self) / rank_slots(b->target);

	return from > to ? from : to;
}

static bool may_move(const struct balance *b, double load)
{
	return load > 0 && load <= b->max_part &&
	       load_after(b, load) < b->self->load;
}

/* Returns the partition that leaves the lowest load, count if there is none. */
static size_t find_part(const struct balance *b, const struct plc_load *loads,
			size_t count, size_t skip)
{
	size_t best = count;

	for (size_t i = 0; i < count; i++) {
		if (i == skip || !may_move(b, loads[i].load))
			continue;
		if (best == count || load_after(b, loads[i].load) <
					     load_after(b, loads[best].load))
			best = i;
	}
	return best;
}

/*
 * The hottest partition stays where others can go: a hot key has one owner, so
 * moving it moves the overload along with it.
 */
bool plc_next_move(const struct plc_view *view, const struct proc *self,
		   const struct plc_load *loads, size_t count,
		   const struct plc_policy *policy, uint64_t *part,
		   struct proc *target)
{
	struct balance b = { .self = rank_find_up(view, self) };
	double mean;
	double excess;
	size_t hottest;
	size_t chosen;

	if (!b.self || !count || !policy->moves_per_minute)
		return false;
	mean = rank_mean(view, b.self->member->service);
	excess = b.self->load - load_limit(mean, policy);
	if (excess <= 0)
		return false;
	b.target = find_target(view, b.self, mean);
	if (!b.target)
		return false;
	b.max_part = policy->weigh == PLC_CHURN ? excess / CHURN_EXCESS_PART :
						  b.self->load;
	hottest = find_hottest(loads, count);
	chosen = find_part(&b, loads, count, hottest);
	if (chosen == count && may_move(&b, loads[hottest].load))
		chosen = hottest;
	if (chosen == count)
		return false;
	*part = loads[chosen].part;
	*target = b.target->member->proc;
	return true;
}

/* Without the row only the load of the members is known. */
bool plc_drain_target(const struct plc_view *view, const struct proc *self,
		      uint64_t part, struct proc *target)
{
	struct rank rank = { .count = 0 };
	const struct plc_member *best;

	for (size_t i = 0; i < view->count; i++) {
		const struct plc_member *m = &view->members[i];

		if (m->member->proc.instance != self->instance &&
		    rank_serves(m, part_service(part)))
			rank_add(&rank, part, m);
	}
	best = rank_best(&rank, rank_by_load);
	if (!best)
		return false;
	*target = best->member->proc;
	return true;
}

/*
 * A successor over the mean is no target, as for any other move: the partition
 * would soon be moved on, and the policy would pay for two moves.
 */
bool plc_drain_row(const struct plc_view *view, const struct proc *self,
		   uint64_t part, const struct row_set *set,
		   const struct plc_policy *policy, struct proc *target)
{
	uint16_t service = part_service(part);
	const struct plc_member *successor =
		rank_find_up(view, &set->witness[ROW_SUCCESSOR]);

	if (policy->weigh == PLC_CHURN && successor &&
	    successor->member->proc.instance != self->instance &&
	    rank_serves(successor, service) &&
	    successor->load <= rank_mean(view, service)) {
		*target = successor->member->proc;
		return true;
	}
	return plc_drain_target(view, self, part, target);
}

/* Idle members are balanced. */
double plc_imbalance(const double *loads, size_t count)
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

/* Static placement: a change of the count moves nearly all partitions. */
size_t plc_modulo(uint64_t part, size_t count)
{
	return count ? part_index(part) % count : 0;
}

/* Placement by highest score: a change moves the share of one member. */
size_t plc_rendezvous(uint64_t part, const uint32_t *instances, size_t count)
{
	size_t best = 0;

	for (size_t i = 1; i < count; i++) {
		if (rank_score(part, instances[i]) >
		    rank_score(part, instances[best]))
			best = i;
	}
	return best;
}

/* Callers and daemons agree on this hash; it must not change. */
uint32_t plc_partition(const void *key, size_t len, uint32_t partitions)
{
	return partitions ? (uint32_t)(XXH3_64bits(key, len) % partitions) : 0;
}
