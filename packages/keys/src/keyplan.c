#include "keyplan.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

#include "keywork.h"

/*
 * Fraction of the total capacity that is added to the load, spread evenly over
 * all keys. Without it, keys without measured load would have no weight and
 * wouldn't be distributed in proportion to capacity.
 */
#define COLD_LOAD_FRACTION 0.10
/* Number of pieces per target into which the keys are divided. */
#define PIECES_PER_TARGET 4
/* Least use of a target from which keys move, except to a new target. */
#define REBALANCE_MIN_USE 0.65
/*
 * A target with at least this use gets no more keys. When all targets are
 * overloaded a move helps none, and the keys have no owner during the move.
 */
#define RECEIVER_MAX_USE 0.90
/* Least difference of use for a move, except to a new target. */
#define MIN_USE_DIFFERENCE 0.30
/*
 * A measured load has a sampling error. Among about a hundred targets the
 * highest and the lowest lie this many standard errors from the mean.
 */
#define NOISE_STD_ERRORS 2.5
/*
 * Second moment of the work of a request, relative to the square of its mean:
 * variance / mean^2 + 1.
 */
#define REQUEST_SECOND_MOMENT 1.6
/* A target with less than this fraction of the mean use counts as new. */
#define NEW_TARGET_USE_FRACTION 0.4
/* Limit of moves for balance in one plan: one per 2 targets, at least 8. */
#define TARGETS_PER_MOVE 2
#define MOVES_PER_PLAN_MIN 8
/* Ranges per target above which ranges of different fences are merged. */
#define RANGES_PER_TARGET 3

struct plan {
	struct keymap *map;
	struct keyplan_target *targets;
	size_t target_count;
	const struct keywork *work;
	bool incomplete; /* unassigned ranges may be held */
	/* Targets by the index of their incarnation in the map, or NULL. */
	struct keyplan_target *owners[KEYMAP_INCARNATIONS_MAX];
};

/* Returns the target with this incarnation, NULL if there is none. */
static struct keyplan_target *find_target(const struct plan *plan,
					  const struct incarnation *incarnation)
{
	for (size_t i = 0; i < plan->target_count; i++) {
		if (incarnation_equal(&plan->targets[i].incarnation,
				      incarnation))
			return &plan->targets[i];
	}
	return NULL;
}

/* Finds the targets of the incarnations in the map. */
static void find_owners(struct plan *plan)
{
	for (uint16_t i = 0; i < keymap_incarnation_count(plan->map); i++)
		plan->owners[i] =
			find_target(plan, keymap_incarnation(plan->map, i));
}

/* Returns the target that owns a range, NULL if it has no such owner. */
static struct keyplan_target *owner_of(const struct plan *plan,
				       const struct keymap_range *range)
{
	return range->owner == KEYMAP_NO_INCARNATION ?
		       NULL :
		       plan->owners[range->owner];
}

/* Assigns keys to a target, whose incarnation may be new to the map. */
static uint32_t assign_keys(struct plan *plan, uint32_t first, uint32_t last,
			    struct keyplan_target *target)
{
	uint16_t known = keymap_incarnation_count(plan->map);
	uint32_t changed =
		keymap_assign(plan->map, first, last, &target->incarnation);

	if (keymap_incarnation_count(plan->map) > known)
		plan->owners[known] = target;
	return changed;
}

/* Returns the load of a target as a fraction of its capacity. */
static double target_use(const struct keyplan_target *target)
{
	return target->load / target->capacity;
}

/* Returns the target with the lowest use after work has been added to it. */
static struct keyplan_target *find_least_used(const struct plan *plan,
					      double work)
{
	struct keyplan_target *best = NULL;
	double best_use = 0;

	for (size_t i = 0; i < plan->target_count; i++) {
		struct keyplan_target *target = &plan->targets[i];
		double use = (target->load + work) / target->capacity;

		if (!best || use < best_use) {
			best = target;
			best_use = use;
		}
	}
	return best;
}

/* Returns the target with the highest use that can move keys, or NULL. */
static struct keyplan_target *find_most_used(const struct plan *plan)
{
	struct keyplan_target *best = NULL;

	for (size_t i = 0; i < plan->target_count; i++) {
		struct keyplan_target *target = &plan->targets[i];

		if (!target->fixed &&
		    (!best || target_use(target) > target_use(best)))
			best = target;
	}
	return best;
}

/*
 * Sets the load of each target from the ranges that it owns. Returns the work
 * of all keys.
 */
static double sum_loads(struct plan *plan)
{
	double total = 0;

	for (size_t i = 0; i < plan->target_count; i++)
		plan->targets[i].load = 0;
	for (size_t i = 0; i < keymap_range_count(plan->map); i++) {
		const struct keymap_range *range =
			keymap_range_at(plan->map, i);
		struct keyplan_target *target = owner_of(plan, range);
		double work =
			keywork_sum(plan->work, range->first, range->last);

		total += work;
		if (target)
			target->load += work;
	}
	return total;
}

/*
 * Returns the last key of the piece that begins at first: a piece ends with a
 * measured load, after an equal share of the keys, or at last, whichever comes
 * first.
 */
static uint32_t find_piece_end(const struct plan *plan, uint32_t first,
			       uint32_t last)
{
	uint32_t share = KEYMAP_KEYS /
			 (uint32_t)(PIECES_PER_TARGET * plan->target_count);
	uint32_t load_end = keywork_load_end(plan->work, first);
	uint32_t end = last;

	if (share > 0 && last - first >= share)
		end = first + share - 1;
	return load_end < end ? load_end : end;
}

/*
 * Assigns the keys from first to last to targets. A target gets adjacent pieces
 * until its use exceeds the mean, which keeps the number of ranges low. Returns
 * the number of keys assigned.
 */
static uint32_t distribute_keys(struct plan *plan, uint32_t first,
				uint32_t last, double mean_use)
{
	struct keyplan_target *target = NULL;
	uint32_t assigned = 0;

	while (first <= last) {
		uint32_t end = find_piece_end(plan, first, last);
		double work = keywork_sum(plan->work, first, end);

		if (!target ||
		    (target->load + work / 2) / target->capacity > mean_use)
			target = find_least_used(plan, work);
		assigned += assign_keys(plan, first, end, target);
		target->load += work;
		first = end + 1;
	}
	return assigned;
}

/* True if a range needs an owner and may get one. */
static bool is_available(const struct plan *plan,
			 const struct keymap_range *range)
{
	return !owner_of(plan, range) &&
	       !(plan->incomplete && keymap_is_unassigned(range));
}

/* Assigns all ranges whose owner is not a target; returns their keys. */
static uint32_t assign_unowned(struct plan *plan, double mean_use)
{
	uint32_t assigned = 0;
	uint32_t key = 0;

	while (key < KEYMAP_KEYS) {
		struct keymap_range range = *keymap_find(plan->map, key);

		if (is_available(plan, &range))
			assigned += distribute_keys(plan, range.first,
						    range.last, mean_use);
		key = range.last + 1;
	}
	return assigned;
}

/* Part of a range that can be moved on its own. */
struct piece {
	uint32_t first, last;
	double work;
};

/*
 * Finds the piece of a target with the most work up to work_max. Skips ranges
 * that a former holder has not released. False if there is none.
 */
static bool find_piece_to_move(const struct plan *plan,
			       const struct keyplan_target *from,
			       double work_max, struct piece *best)
{
	best->work = 0;
	for (size_t i = 0; i < keymap_range_count(plan->map); i++) {
		const struct keymap_range *range =
			keymap_range_at(plan->map, i);
		uint32_t first = range->first;

		if (range->former != KEYMAP_NO_INCARNATION ||
		    owner_of(plan, range) != from)
			continue;
		while (first <= range->last) {
			uint32_t end = find_piece_end(plan, first, range->last);
			double work = keywork_sum(plan->work, first, end);

			if (work <= work_max && work > best->work)
				*best = (struct piece){ first, end, work };
			first = end + 1;
		}
	}
	return best->work > 0;
}

/* Returns the standard error of the measured use of a target. */
static double use_std_error(const struct keyplan_target *target)
{
	return sqrt(target->load * target->request_work *
		    REQUEST_SECOND_MOMENT) /
	       target->capacity;
}

/* Returns the difference of use that justifies a move and is not noise. */
static double min_use_difference(const struct keyplan_target *from,
				 const struct keyplan_target *to)
{
	double noise =
		NOISE_STD_ERRORS * (use_std_error(from) + use_std_error(to));

	return noise > MIN_USE_DIFFERENCE ? noise : MIN_USE_DIFFERENCE;
}

/*
 * True if work should move between two targets: the receiver has just joined,
 * or the sender has a high use and the receiver a clearly lower one.
 */
static bool should_move(const struct keyplan_target *from,
			const struct keyplan_target *to, double mean_use)
{
	if (from == to)
		return false;
	if (target_use(to) < mean_use * NEW_TARGET_USE_FRACTION &&
	    target_use(from) > mean_use * NEW_TARGET_USE_FRACTION)
		return true;
	if (target_use(to) >= RECEIVER_MAX_USE)
		return false;
	return target_use(from) >= REBALANCE_MIN_USE &&
	       target_use(from) - target_use(to) >=
		       min_use_difference(from, to);
}

/*
 * Moves pieces from the target with the highest use to that with the lowest.
 * Returns the number of keys moved.
 */
static uint32_t rebalance(struct plan *plan, double mean_use)
{
	size_t moves_max = plan->target_count / TARGETS_PER_MOVE;
	uint32_t moved = 0;

	if (moves_max < MOVES_PER_PLAN_MIN)
		moves_max = MOVES_PER_PLAN_MIN;
	for (size_t i = 0; i < plan->target_count; i++)
		plan->targets[i].fixed = false;
	for (size_t i = 0; i < moves_max;) {
		struct keyplan_target *from = find_most_used(plan);
		struct keyplan_target *to = find_least_used(plan, 0);
		struct piece piece = { 0, 0, 0 };
		double work_max;

		if (!from || !should_move(from, to, mean_use))
			break;
		/* Moving this much work makes the use of both equal. */
		work_max = (target_use(from) - target_use(to)) /
			   (1 / from->capacity + 1 / to->capacity);
		/* A single hot key can't be split; try the other targets. */
		if (!find_piece_to_move(plan, from, work_max, &piece)) {
			from->fixed = true;
			continue;
		}
		i++;
		moved += assign_keys(plan, piece.first, piece.last, to);
		from->load -= piece.work;
		to->load += piece.work;
	}
	return moved;
}

/* Assigns unowned ranges first, so that rebalancing sees the final loads. */
static struct keyplan_result run(struct plan *plan,
				 const struct keyplan_load *loads,
				 size_t load_count, uint64_t settled_fence)
{
	struct keyplan_result result = { 0, 0 };
	struct keywork *work;
	double capacity = 0;
	double total;

	if (plan->target_count == 0)
		return result;
	for (size_t i = 0; i < plan->target_count; i++)
		capacity += plan->targets[i].capacity;
	work = keywork_create(loads, load_count, COLD_LOAD_FRACTION * capacity);
	if (!work)
		return result;
	plan->work = work;
	find_owners(plan);
	total = sum_loads(plan);
	result.keys_assigned = assign_unowned(plan, total / capacity);
	if (!plan->incomplete)
		result.keys_moved = rebalance(plan, total / capacity);
	keymap_merge(plan->map, RANGES_PER_TARGET * plan->target_count,
		     settled_fence);
	keywork_destroy(work);
	return result;
}

struct keyplan_result keyplan_run(struct keymap *map,
				  struct keyplan_target *targets,
				  size_t target_count,
				  const struct keyplan_load *loads,
				  size_t load_count, uint64_t settled_fence)
{
	struct plan plan = { .map = map,
			     .targets = targets,
			     .target_count = target_count };

	return run(&plan, loads, load_count, settled_fence);
}

struct keyplan_result
keyplan_run_incomplete(struct keymap *map, struct keyplan_target *targets,
		       size_t target_count, const struct keyplan_load *loads,
		       size_t load_count, uint64_t settled_fence)
{
	struct plan plan = { .map = map,
			     .targets = targets,
			     .target_count = target_count,
			     .incomplete = true };

	return run(&plan, loads, load_count, settled_fence);
}
