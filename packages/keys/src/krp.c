#include "krp.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

/*
 * Share of the capacity that is counted as work of cold keys, spread evenly
 * over them, so that they are dealt out in proportion to capacity.
 */
#define COLD_SHARE 0.10
/* Pieces into which all keys are cut, for each target, when dealt out. */
#define PIECES_PER_TARGET 4
/* Below this use of the busiest target nothing is moved. */
#define BUSY_USE 0.65
/*
 * A target that is used more has no room for more: when all are overloaded, a
 * move serves nobody, and the keys have no owner meanwhile.
 */
#define ROOM_USE 0.90
/* Difference of use between busiest and idlest that is left as it is. */
#define USE_TOLERANCE 0.30
/*
 * A measured load scatters around the true one. The extremes of some hundred
 * targets lie this many standard errors from the mean.
 */
#define SCATTER_ERRORS 2.5
/* Variance of the work of one request over the square of its mean, plus one. */
#define REQUEST_SCATTER 1.6
/* A target used less than this part of the mean has just joined. */
#define NEWCOMER_SHARE 0.4
/* Pieces moved for balance in one plan: some, more with many targets. */
#define MOVES_MIN 8
#define TARGETS_PER_MOVE 2
/* Ranges a target above which neighbours of one owner get a common fence. */
#define RANGES_PER_TARGET 3

struct plan {
	struct krm *map;
	struct krp_target *targets;
	size_t target_count;
	const struct krp_load *loads;
	size_t load_count;
	double cold_per_key;
};

/* Work of the keys from first to last. */
static double work_between(const struct plan *p, uint32_t first, uint32_t last)
{
	double work = p->cold_per_key * (double)(last - first + 1);

	for (size_t i = 0; i < p->load_count; i++) {
		const struct krp_load *s = &p->loads[i];
		uint32_t from = s->first > first ? s->first : first;
		uint32_t to = s->last < last ? s->last : last;

		if (from <= to)
			work += s->work * (double)(to - from + 1) /
				(double)(s->last - s->first + 1);
	}
	return work;
}

/* Returns the target that is this life, NULL if it is none. */
static struct krp_target *find_target(const struct plan *p,
				      const struct life *l)
{
	for (size_t i = 0; l && i < p->target_count; i++) {
		if (life_is_same(&p->targets[i].life, l))
			return &p->targets[i];
	}
	return NULL;
}

/* Returns how much of its capacity a target uses. */
static double use_of(const struct krp_target *t)
{
	return t->load / t->capacity;
}

/* Returns the target that would be used least with this much more work. */
static struct krp_target *find_idlest(const struct plan *p, double work)
{
	struct krp_target *best = NULL;
	double best_use = 0;

	for (size_t i = 0; i < p->target_count; i++) {
		struct krp_target *t = &p->targets[i];
		double use = (t->load + work) / t->capacity;

		if (!best || use < best_use) {
			best = t;
			best_use = use;
		}
	}
	return best;
}

/* Returns the busiest target that has anything to move, NULL if none has. */
static struct krp_target *find_busiest(const struct plan *p)
{
	struct krp_target *best = NULL;

	for (size_t i = 0; i < p->target_count; i++) {
		struct krp_target *t = &p->targets[i];

		if (!t->fixed && (!best || use_of(t) > use_of(best)))
			best = t;
	}
	return best;
}

/* Sums the work of each target from the ranges that it owns. */
static double sum_loads(struct plan *p)
{
	double total = 0;

	for (size_t i = 0; i < p->target_count; i++)
		p->targets[i].load = 0;
	for (size_t i = 0; i < krm_count(p->map); i++) {
		const struct krm_range *r = krm_at(p->map, i);
		struct krp_target *t =
			find_target(p, krm_life(p->map, r->owner));
		double work = work_between(p, r->first, r->last);

		total += work;
		if (t)
			t->load += work;
	}
	return total;
}

/*
 * Returns where the piece that begins at first ends: at the end of a measured
 * load or of an even piece, whichever comes first.
 */
static uint32_t end_of_piece(const struct plan *p, uint32_t first,
			     uint32_t last)
{
	uint32_t even =
		KRM_KEYS / (uint32_t)(PIECES_PER_TARGET * p->target_count);
	uint32_t end = last;

	if (even > 0 && last - first >= even)
		end = first + even - 1;
	for (size_t i = 0; i < p->load_count; i++) {
		const struct krp_load *s = &p->loads[i];

		if (s->last >= first && s->last < end)
			return s->last;
	}
	return end;
}

/*
 * Deals out the keys from first to last. A target gets neighbouring pieces
 * until it is used more than the average, so that ranges stay few.
 */
static uint32_t deal_out(struct plan *p, uint32_t first, uint32_t last,
			 double mean_use)
{
	struct krp_target *t = NULL;
	uint32_t assigned = 0;

	while (first <= last) {
		uint32_t end = end_of_piece(p, first, last);
		double work = work_between(p, first, end);

		if (!t || (t->load + work / 2) / t->capacity > mean_use)
			t = find_idlest(p, work);
		assigned += krm_assign(p->map, first, end, &t->life);
		t->load += work;
		first = end + 1;
	}
	return assigned;
}

/* Gives every range without an able owner to a target. */
static uint32_t assign_orphans(struct plan *p, double mean_use)
{
	uint32_t assigned = 0;
	uint32_t key = 0;

	while (key < KRM_KEYS) {
		struct krm_range r = *krm_find(p->map, key);

		if (!find_target(p, krm_life(p->map, r.owner)))
			assigned += deal_out(p, r.first, r.last, mean_use);
		key = r.last + 1;
	}
	return assigned;
}

/* A part of a range that can be moved. */
struct piece {
	uint32_t first, last;
	double work;
};

/* Finds the largest piece of a target with at most this much work. */
static bool find_piece(const struct plan *p, const struct krp_target *from,
		       double work_max, struct piece *best)
{
	uint32_t key = 0;

	best->work = 0;
	while (key < KRM_KEYS) {
		const struct krm_range *r = krm_find(p->map, key);
		uint32_t end = end_of_piece(p, key, r->last);
		double work;

		if (r->former != KRM_NONE ||
		    find_target(p, krm_life(p->map, r->owner)) != from) {
			key = r->last + 1;
			continue;
		}
		work = work_between(p, key, end);
		if (work <= work_max && work > best->work) {
			best->first = key;
			best->last = end;
			best->work = work;
		}
		key = end + 1;
	}
	return best->work > 0;
}

/* Standard error of the measured use of a target. */
static double use_error(const struct krp_target *t)
{
	return sqrt(t->load * t->request_work * REQUEST_SCATTER) / t->capacity;
}

/* Difference of use that is not worth a move or may be scatter. */
static double tolerance(const struct krp_target *from,
			const struct krp_target *to)
{
	double scatter = SCATTER_ERRORS * (use_error(from) + use_error(to));

	return scatter > USE_TOLERANCE ? scatter : USE_TOLERANCE;
}

/*
 * True if work should move: the busiest target is short of room, or the other
 * has just joined and owns next to nothing.
 */
static bool is_uneven(const struct krp_target *from,
		      const struct krp_target *to, double mean_use)
{
	if (from == to)
		return false;
	if (use_of(to) < mean_use * NEWCOMER_SHARE &&
	    use_of(from) > mean_use * NEWCOMER_SHARE)
		return true;
	if (use_of(to) >= ROOM_USE)
		return false;
	return use_of(from) >= BUSY_USE &&
	       use_of(from) - use_of(to) >= tolerance(from, to);
}

/* Moves pieces from the busiest to the idlest while that evens them out. */
static uint32_t balance(struct plan *p, double mean_use)
{
	size_t most = p->target_count / TARGETS_PER_MOVE;
	uint32_t moved = 0;

	if (most < MOVES_MIN)
		most = MOVES_MIN;
	for (size_t i = 0; i < p->target_count; i++)
		p->targets[i].fixed = false;
	for (size_t i = 0; i < most;) {
		struct krp_target *from = find_busiest(p);
		struct krp_target *to = find_idlest(p, 0);
		struct piece piece = { 0, 0, 0 };
		double even;

		if (!from || !is_uneven(from, to, mean_use))
			break;
		/* Work after whose move both are used alike. */
		even = (use_of(from) - use_of(to)) /
		       (1 / from->capacity + 1 / to->capacity);
		/* A single hot key cannot be divided; the others can. */
		if (!find_piece(p, from, even, &piece)) {
			from->fixed = true;
			continue;
		}
		i++;
		moved += krm_assign(p->map, piece.first, piece.last, &to->life);
		from->load -= piece.work;
		to->load += piece.work;
	}
	return moved;
}

/* Plans the owners of all ranges. */
struct krp_result krp_plan(struct krm *k, struct krp_target *targets,
			   size_t target_count, const struct krp_load *loads,
			   size_t load_count, uint64_t settled)
{
	struct plan p = { k, targets, target_count, loads, load_count, 0 };
	struct krp_result result = { 0, 0 };
	double capacity = 0;
	double total;

	if (target_count == 0)
		return result;
	for (size_t i = 0; i < target_count; i++)
		capacity += targets[i].capacity;
	p.cold_per_key = COLD_SHARE * capacity / KRM_KEYS;
	total = sum_loads(&p);
	result.keys_assigned = assign_orphans(&p, total / capacity);
	result.keys_moved = balance(&p, total / capacity);
	krm_merge(k, RANGES_PER_TARGET * target_count, settled);
	return result;
}
