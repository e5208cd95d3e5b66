#ifndef RTE_H
#define RTE_H

/* Routing: which process to forward a request for a partition to. */

#include "mir.h"
#include "row.h"

#define RTE_FORWARDS_MAX 3 /* of a request */

/* Processes considered for one request, skipped ones included. */
#define RTE_TRIED_MAX 8

/* State of a request while the process that serves it is searched for. */
struct rte_try {
	uint64_t part;
	struct proc tried[RTE_TRIED_MAX];
	uint32_t count;
	uint32_t skipped; /* entries of tried that nothing was sent to */
	struct proc hint; /* from a MOVED answer; incarnation 0 if none */
	uint64_t hint_version;
};

struct rte;

/*
 * Caches for each partition the process that was last seen to serve it, if it is
 * not the owner in the mirror.
 */
struct rte *rte_create(const struct mir *mir);
void rte_destroy(struct rte *r);

/* Records that a process served the partition under this row version. */
void rte_seen(struct rte *r, uint64_t part, uint64_t version,
	      const struct proc *p);

/* Records that a process did not answer or does not serve the partition. */
void rte_failed(struct rte *r, uint64_t part, const struct proc *p);

/*
 * Stores the next process to try in *out: the hint, the process last seen to
 * serve the partition, the owner, the successor. Returns false when all have
 * been tried or RTE_FORWARDS_MAX is reached.
 */
bool rte_next(struct rte *r, struct rte_try *t, struct proc *out);

/*
 * Records that nothing was sent to the process of the last rte_next(), as it has
 * ended or is unreachable: it does not count as a forward.
 */
void rte_skip(struct rte_try *t);

#endif
