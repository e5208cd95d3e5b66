#ifndef PLACEMENT_RANK_H
#define PLACEMENT_RANK_H

/* Ranking of members by rendezvous hash, private to placement. */

#include "placement.h"

/*
 * Number of candidates of a choice: the members with the highest scores. Owners
 * that decide at the same time from the same view would all choose the same
 * member if every member were a candidate. In services with fewer members, all
 * are candidates.
 */
#define RANK_CANDIDATES_MAX 16

/* The candidates, in descending order of their scores. */
struct rank {
	const struct placement_member *members[RANK_CANDIDATES_MAX];
	uint64_t scores[RANK_CANDIDATES_MAX];
	size_t count;
};

/* Returns the cost of choosing a member; lower is better. */
typedef double (*rank_cost_fn)(const struct placement_member *m);

double rank_load_cost(const struct placement_member *m);

/* Returns the rendezvous hash of a key and an instance. */
uint64_t rank_score(uint64_t key, uint32_t instance);

/* Adds a member if its score is among the RANK_CANDIDATES_MAX highest. */
void rank_add_candidate(struct rank *r, uint64_t key,
			const struct placement_member *m);

/* Returns the candidate of lowest cost, the first of equals; NULL if none. */
const struct placement_member *rank_cheapest(const struct rank *r,
					     rank_cost_fn cost);

/* Returns the member of an instance, or NULL. */
struct placement_member *rank_find_member(const struct placement_view *view,
					  uint32_t instance);

/* Returns the member of a process, or NULL if the process is not up. */
const struct placement_member *
rank_find_up_member(const struct placement_view *view, const struct proc *p);

/* True if the member may become an owner of partitions of the service. */
bool rank_may_own(const struct placement_member *m, uint16_t service);

/* Returns the mean load of the members that are up, weighted by slots. */
double rank_mean_load(const struct placement_view *view, uint16_t service);

/* Returns the slots of a member, at least 1. */
double rank_slots(const struct placement_member *m);

#endif
