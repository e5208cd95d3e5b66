#ifndef PLC_H
#define PLC_H

/*
 * Placement decisions: who owns a partition that nobody owns, which witnesses
 * a row names, and which partition an owner moves away. Pure functions of
 * members, rows and the policy of the service.
 */

#include "clk.h"
#include "mir.h"
#include "row.h"

enum plc_weigh {
	PLC_UNAVAILABLE_TIME,
	PLC_CHURN
};

struct plc_policy {
	enum plc_weigh weigh;
	uint32_t imbalance_tolerance_pct; /* 0 to 1000 */
	uint32_t moves_per_minute; /* 0 to 10000, for each owner */
};

/* What is known of one member of the service. */
struct plc_member {
	const struct member *member;
	double load; /* busy time per time over slots; 0 is idle, 1 is full */
	uint32_t owned; /* partitions that it owns */
	uint32_t succeeds; /* rows in which it is the successor */
	uint32_t witnesses; /* rows in which it is the second witness */
};

/*
 * All members and the counts above, made from a mirror for one service. The
 * members are in ascending order of their instances.
 */
struct plc_view {
	struct plc_member *members;
	size_t count;
};

/* load_of may be NULL; it returns the load of an instance. */
typedef double (*plc_load_fn)(void *arg, uint32_t instance);

/*
 * Makes the view of a service: members of all services are in it, as second
 * witnesses may be any of them. Returns false when memory is exhausted.
 */
bool plc_view_make(const struct mir *mir, uint16_t service, plc_load_fn load_of,
		   void *arg, struct plc_view *view);

/* As plc_view_make(), with all counts of rows 0. */
bool plc_view_members(const struct mir *mir, plc_load_fn load_of, void *arg,
		      struct plc_view *view);
void plc_view_free(struct plc_view *view);

/*
 * The counts of all services, kept as rows change. Processes that are not
 * members are counted as well, since a row may be learned before its members.
 */
struct plc_counts;

struct plc_counts *plc_counts_create(void);
void plc_counts_destroy(struct plc_counts *c);

/* Counts a row that has changed; before is NULL for a new row. */
void plc_counts_row(struct plc_counts *c, uint64_t part,
		    const struct row_set *before, const struct row_set *after);

/*
 * Makes the same view as plc_view_make() in a time that follows from the
 * members alone, when all rows of the mirror have been counted.
 */
bool plc_counts_view(const struct plc_counts *c, const struct mir *mir,
		     uint16_t service, plc_load_fn load_of, void *arg,
		     struct plc_view *view);

/*
 * Counts a decision in the view, so that several decisions from one view spread
 * the load. before is NULL for a new row. load is the load of the partition at
 * its owner in before (in after for a new row).
 */
void plc_view_apply(struct plc_view *view, const struct row_set *before,
		    const struct row_set *after, double load);

/* True if self is the member that should create the row of the partition. */
bool plc_is_creator(const struct plc_view *view, uint64_t part,
		    const struct proc *self);

/* As plc_is_creator(), from the members of a mirror without a view. */
bool plc_is_creator_in(const struct mir *mir, uint64_t part,
		       const struct proc *self);

/*
 * Fills *set with an owner for a partition without one and with witnesses.
 * Returns false when no member of the service is up.
 */
bool plc_choose(const struct plc_view *view, uint64_t part, uint64_t version,
		const struct plc_policy *policy, struct row_set *set);

/*
 * True if owner and witnesses are up with the incarnations that the set names.
 * A set that is not armed is written anew by its owner or successor.
 */
bool plc_is_armed(const struct plc_view *view, const struct row_set *set);

/*
 * Fills *set for the same or a new owner with witnesses in other data centres:
 * those of old that are still up are kept. The version is one more than that of
 * old, or 1 when old is NULL. A successor in the owner's data centre is named
 * only when no other data centre has one. An owner that is not a member gets no
 * witnesses. Returns false when there is no
 * process for a second witness or for the successor; such a set is not written
 * unless the members cannot do better, in which case the missing process has
 * incarnation 0.
 */
bool plc_arm(const struct plc_view *view, uint64_t part,
	     const struct row_set *old, const struct proc *owner,
	     const struct plc_policy *policy, struct row_set *set);

/* A partition of self and the load that it causes. */
struct plc_load {
	uint64_t part;
	double load;
};

/*
 * Chooses at most one move away from self: the partition in *part and its new
 * owner in *target. Returns false when nothing should move. The caller limits
 * the rate to moves_per_minute of the policy.
 */
bool plc_next_move(const struct plc_view *view, const struct proc *self,
		   const struct plc_load *loads, size_t count,
		   const struct plc_policy *policy, uint64_t *part,
		   struct proc *target);

/*
 * Chooses the least loaded member as the new owner of a partition of self,
 * which drains. Returns false when no other member of the service is up.
 */
bool plc_drain_target(const struct plc_view *view, const struct proc *self,
		      uint64_t part, struct proc *target);

/*
 * As plc_drain_target(), for a row that is known: a policy that weighs churn
 * takes the successor, unless its load is over the mean.
 */
bool plc_drain_row(const struct plc_view *view, const struct proc *self,
		   uint64_t part, const struct row_set *set,
		   const struct plc_policy *policy, struct proc *target);

/* Maximum over mean of a list of loads; 1 for an empty list. */
double plc_imbalance(const double *loads, size_t count);

/* Placements without state, for comparison: the index of the owner. */
size_t plc_modulo(uint64_t part, size_t count);
size_t plc_rendezvous(uint64_t part, const uint32_t *instances, size_t count);

/* The partition of a key: xxh3 of its bytes modulo the count of partitions. */
uint32_t plc_partition(const void *key, size_t len, uint32_t partitions);

#endif
