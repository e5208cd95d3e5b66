#ifndef PLACEMENT_H
#define PLACEMENT_H

/*
 * Placement of partitions on members: chooses the owner of a new partition, the
 * witnesses in a row, and the partition that an overloaded owner moves away.
 * Pure functions of members, rows and the policy of the service.
 */

#include "clk.h"
#include "replica.h"
#include "row.h"

enum placement_cost {
	PLACEMENT_COST_UNAVAILABLE,
	PLACEMENT_COST_CHURN
};

struct placement_policy {
	enum placement_cost weigh;
	uint32_t imbalance_tolerance_pct; /* 0 to 1000 */
	uint32_t moves_per_minute; /* 0 to 10000, for each owner */
};

/* A member with its load and the number of rows that name it. */
struct placement_member {
	const struct member *member;
	double load; /* busy fraction of its slots; 0 is idle, 1 is full */
	uint32_t owned; /* rows in which it is the owner */
	uint32_t succeeds; /* rows in which it is the successor */
	uint32_t witnesses; /* rows in which it is the second witness */
};

/*
 * All members of a replica, in ascending order of their instances, with their
 * counts in the rows of one service.
 */
struct placement_view {
	struct placement_member *members;
	size_t count;
};

/* Returns the load of an instance. Without one, loads are 0. */
typedef double (*placement_load_fn)(void *arg, uint32_t instance);

/*
 * Creates the view of a service. It includes the members of all services, as
 * any of them may be a second witness. Returns false when memory is exhausted.
 */
bool placement_view_create(const struct table_replica *table_replica,
			   uint16_t service, placement_load_fn load_of,
			   void *arg, struct placement_view *view);

/* As placement_view_create(), but does not count rows. */
bool placement_view_create_uncounted(const struct table_replica *table_replica,
				     placement_load_fn load_of, void *arg,
				     struct placement_view *view);
void placement_view_free(struct placement_view *view);

/*
 * The counts of all services, updated as rows change. Includes processes that
 * are not members, since a row may arrive before the members that it names.
 */
struct placement_counts;

struct placement_counts *placement_counts_create(void);
void placement_counts_destroy(struct placement_counts *c);

/* Updates the counts for a changed row; before is NULL for a new row. */
void placement_counts_update(struct placement_counts *c, uint64_t part,
			     const struct row_set *before,
			     const struct row_set *after);

/*
 * Creates the same view as placement_view_create(), provided that all rows of
 * the replica have been counted. Its time depends on the number of members
 * only. Returns false when memory is exhausted.
 */
bool placement_view_from_counts(const struct placement_counts *c,
				const struct table_replica *table_replica,
				uint16_t service, placement_load_fn load_of,
				void *arg, struct placement_view *view);

/*
 * Applies a decision to the view, so that further decisions from the same view
 * take it into account. before is NULL for a new row. load is the load of the
 * partition on its owner in before (in after for a new row).
 */
void placement_view_apply(struct placement_view *view,
			  const struct row_set *before,
			  const struct row_set *after, double load);

/* Returns true if self should create the row of the partition. */
bool placement_is_creator(const struct placement_view *view, uint64_t part,
			  const struct proc *self);

/* As placement_is_creator(), without creating a view of the replica. */
bool placement_is_creator_in_replica(const struct table_replica *table_replica,
				     uint64_t part, const struct proc *self);

/*
 * Chooses the owner and the witnesses of a new partition. Returns false when no
 * member of the service is up.
 */
bool placement_choose_owner(const struct placement_view *view, uint64_t part,
			    uint64_t version,
			    const struct placement_policy *policy,
			    struct row_set *set);

/*
 * Returns true if the owner and all witnesses in the set are up with the same
 * incarnations. Otherwise the owner or the successor has to write a new set.
 */
bool placement_is_complete(const struct placement_view *view,
			   const struct row_set *set);

/*
 * Stores in *set the owner with witnesses, preferably in other data centres.
 * Witnesses of old that are still up and suitable are kept. The version is one
 * more than that of old, or 1 when old is NULL. The successor is in the owner's
 * data centre only if no other data centre has a candidate. An owner that is
 * not a member gets no witnesses. Returns false when there is no candidate for
 * the successor or the second witness; the missing process has incarnation 0,
 * and such a set is written only if no member can produce a better one.
 */
bool placement_assign_witnesses(const struct placement_view *view,
				uint64_t part, const struct row_set *old,
				const struct proc *owner,
				const struct placement_policy *policy,
				struct row_set *set);

/* The load of one partition, in units of the load of its owner. */
struct placement_load {
	uint64_t part;
	double load;
};

/*
 * Chooses a partition of self to move: stores it in *part and its new owner in
 * *target. Returns false when no partition should move. The caller limits the
 * rate to moves_per_minute of the policy.
 */
bool placement_next_move(const struct placement_view *view,
			 const struct proc *self,
			 const struct placement_load *loads, size_t count,
			 const struct placement_policy *policy, uint64_t *part,
			 struct proc *target);

/*
 * Chooses a new owner by load for a partition of self, which is draining.
 * Returns false when no other member of the service is up.
 */
bool placement_drain_target(const struct placement_view *view,
			    const struct proc *self, uint64_t part,
			    struct proc *target);

/*
 * As placement_drain_target(), for a partition whose row is known:
 * PLACEMENT_COST_CHURN prefers the successor, unless its load is above the
 * mean.
 */
bool placement_drain_target_of_row(const struct placement_view *view,
				   const struct proc *self, uint64_t part,
				   const struct row_set *set,
				   const struct placement_policy *policy,
				   struct proc *target);

/* Returns the maximum divided by the mean of the loads; 1 if all are 0. */
double placement_imbalance(const double *loads, size_t count);

/* Stateless placements, for comparison; return the index of the owner. */
size_t placement_owner_modulo(uint64_t part, size_t count);
size_t placement_owner_rendezvous(uint64_t part, const uint32_t *instances,
				  size_t count);

/*
 * Returns the partition of a key: its XXH3 modulo partitions; 0 if that is 0.
 */
uint32_t placement_partition_of_key(const void *key, size_t len,
				    uint32_t partitions);

#endif
