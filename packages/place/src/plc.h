#ifndef PLC_H
#define PLC_H

/*
 * Placement of partitions on members: chooses the owner of a new partition, the
 * witnesses in a row, and the partition that an overloaded owner moves away.
 * Pure functions of members, rows and the policy of the service.
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

/* A member with its load and the number of rows that name it. */
struct plc_member {
	const struct member *member;
	double load; /* busy fraction of its slots; 0 is idle, 1 is full */
	uint32_t owned; /* rows in which it is the owner */
	uint32_t succeeds; /* rows in which it is the successor */
	uint32_t witnesses; /* rows in which it is the second witness */
};

/*
 * All members of a mirror, in ascending order of their instances, with their
 * counts in the rows of one service.
 */
struct plc_view {
	struct plc_member *members;
	size_t count;
};

/* Returns the load of an instance. Without one, loads are 0. */
typedef double (*plc_load_fn)(void *arg, uint32_t instance);

/*
 * Creates the view of a service. It includes the members of all services, as any
 * of them may be a second witness. Returns false when memory is exhausted.
 */
bool plc_view_make(const struct mir *mir, uint16_t service, plc_load_fn load_of,
		   void *arg, struct plc_view *view);

/* As plc_view_make(), but does not count rows. */
bool plc_view_members(const struct mir *mir, plc_load_fn load_of, void *arg,
		      struct plc_view *view);
void plc_view_free(struct plc_view *view);

/*
 * The counts of all services, updated as rows change. Includes processes that
 * are not members, since a row may arrive before the members that it names.
 */
struct plc_counts;

struct plc_counts *plc_counts_create(void);
void plc_counts_destroy(struct plc_counts *c);

/* Updates the counts for a changed row; before is NULL for a new row. */
void plc_counts_row(struct plc_counts *c, uint64_t part,
		    const struct row_set *before, const struct row_set *after);

/*
 * Creates the same view as plc_view_make(), provided that all rows of the mirror
 * have been counted. Its time depends on the number of members only. Returns
 * false when memory is exhausted.
 */
bool plc_counts_view(const struct plc_counts *c, const struct mir *mir,
		     uint16_t service, plc_load_fn load_of, void *arg,
		     struct plc_view *view);

/*
 * Applies a decision to the view, so that further decisions from the same view
 * take it into account. before is NULL for a new row. load is the load of the
 * partition on its owner in before (in after for a new row).
 */
void plc_view_apply(struct plc_view *view, const struct row_set *before,
		    const struct row_set *after, double load);

/* Returns true if self should create the row of the partition. */
bool plc_is_creator(const struct plc_view *view, uint64_t part,
		    const struct proc *self);

/* As plc_is_creator(), without creating a view of the mirror. */
bool plc_is_creator_in(const struct mir *mir, uint64_t part,
		       const struct proc *self);

/*
 * Chooses the owner and the witnesses of a new partition. Returns false when no
 * member of the service is up.
 */
bool plc_choose(const struct plc_view *view, uint64_t part, uint64_t version,
		const struct plc_policy *policy, struct row_set *set);

/*
 * Returns true if the owner and all witnesses in the set are up with the same
 * incarnations. Otherwise the owner or the successor has to write a new set.
 */
bool plc_is_armed(const struct plc_view *view, const struct row_set *set);

/*
 * Stores in *set the owner with witnesses, preferably in other data centres.
 * Witnesses of old that are still up and suitable are kept. The version is one
 * more than that of old, or 1 when old is NULL. The successor is in the owner's
 * data centre only if no other data centre has a candidate. An owner that is not
 * a member gets no witnesses. Returns false when there is no candidate for the
 * successor or the second witness; the missing process has incarnation 0, and
 * such a set is written only if no member can produce a better one.
 */
bool plc_arm(const struct plc_view *view, uint64_t part,
	     const struct row_set *old, const struct proc *owner,
	     const struct plc_policy *policy, struct row_set *set);

/* The load of one partition, in units of the load of its owner. */
struct plc_load {
	uint64_t part;
	double load;
};

/*
 * Chooses a partition of self to move: stores it in *part and its new owner in
 * *target. Returns false when no partition should move. The caller limits the
 * rate to moves_per_minute of the policy.
 */
bool plc_next_move(const struct plc_view *view, const struct proc *self,
		   const struct plc_load *loads, size_t count,
		   const struct plc_policy *policy, uint64_t *part,
		   struct proc *target);

/*
 * Chooses a new owner by load for a partition of self, which is draining.
 * Returns false when no other member of the service is up.
 */
bool plc_drain_target(const struct plc_view *view, const struct proc *self,
		      uint64_t part, struct proc *target);

/*
 * As plc_drain_target(), for a partition whose row is known: PLC_CHURN prefers
 * the successor, unless its load is above the mean.
 */
bool plc_drain_row(const struct plc_view *view, const struct proc *self,
		   uint64_t part, const struct row_set *set,
		   const struct plc_policy *policy, struct proc *target);

/* Returns the maximum divided by the mean of the loads; 1 if all are 0. */
double plc_imbalance(const double *loads, size_t count);

/* Stateless placements, for comparison; return the index of the owner. */
size_t plc_modulo(uint64_t part, size_t count);
size_t plc_rendezvous(uint64_t part, const uint32_t *instances, size_t count);

/* Returns the partition of a key: its XXH3 modulo partitions; 0 if that is 0. */
uint32_t plc_partition(const void *key, size_t len, uint32_t partitions);

#endif
