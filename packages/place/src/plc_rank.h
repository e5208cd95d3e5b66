#ifndef PLC_RANK_H
#define PLC_RANK_H

/* Ranking of members, shared by the files of plc_. */

#include "plc.h"

/*
 * A choice is made among this many members that rank first by rendezvous hash.
 * Owners decide at the same time from the same view; without the limit all of
 * them would choose the same member. Services with fewer members are searched
 * whole.
 */
#define RANK_CHOICES 16

/* The members that rank first, in descending order of their scores. */
struct rank {
	const struct plc_member *members[RANK_CHOICES];
	uint64_t scores[RANK_CHOICES];
	size_t count;
};

/* Returns the cost of choosing a member; lower is better. */
typedef double (*rank_cost_fn)(const struct plc_member *m);

double rank_by_load(const struct plc_member *m);

/* Rendezvous hash of a key and an instance. */
uint64_t rank_score(uint64_t key, uint32_t instance);

void rank_add(struct rank *r, uint64_t key, const struct plc_member *m);

/* Returns the member of lowest cost, ties by score; NULL when r is empty. */
const struct plc_member *rank_best(const struct rank *r, rank_cost_fn cost);

/* Returns the member of an instance, NULL if there is none. */
struct plc_member *rank_find(const struct plc_view *view, uint32_t instance);

/* Returns the member that is this process, NULL if it is not up. */
const struct plc_member *rank_find_up(const struct plc_view *view,
				      const struct proc *p);

/* True for a member of the service that may own partitions. */
bool rank_serves(const struct plc_member *m, uint16_t service);

/* Mean load of the members of a service that are up, weighed by slots. */
double rank_mean(const struct plc_view *view, uint16_t service);

/* Slots of a member, at least 1. */
double rank_slots(const struct plc_member *m);

#endif
