#ifndef ROUTE_H
#define ROUTE_H

/* Routing: which process to forward a request for a partition to. */

#include "replica.h"
#include "row.h"

#define ROUTE_FORWARDS_MAX 3 /* of a request */

/* Processes considered for one request, skipped ones included. */
#define ROUTE_TRIED_MAX 8

/* State of a request while the process that serves it is searched for. */
struct route_search {
	uint64_t part;
	struct proc tried[ROUTE_TRIED_MAX];
	uint32_t count;
	uint32_t skipped; /* entries of tried that nothing was sent to */
	struct proc hint; /* from a MOVED answer; incarnation 0 if none */
	uint64_t hint_version;
};

struct route_cache;

/*
 * Caches for each partition the process that was last seen to serve it, if it
 * is not the owner in the replica.
 */
struct route_cache *
route_cache_create(const struct table_replica *table_replica);
void route_cache_destroy(struct route_cache *r);

/* Records that a process served the partition under this row version. */
void route_set_serving(struct route_cache *r, uint64_t part, uint64_t version,
		       const struct proc *p);

/* Records that a process did not answer or does not serve the partition. */
void route_invalidate(struct route_cache *r, uint64_t part,
		      const struct proc *p);

/*
 * Stores the next process to try in *out: the hint, the process last seen to
 * serve the partition, the owner, the successor. Returns false when all have
 * been tried or ROUTE_FORWARDS_MAX is reached.
 */
bool route_next(struct route_cache *r, struct route_search *t,
		struct proc *out);

/*
 * Records that nothing was sent to the process of the last route_next(), as it
 * has ended or is unreachable: it does not count as a forward.
 */
void route_skip(struct route_search *t);

#endif
