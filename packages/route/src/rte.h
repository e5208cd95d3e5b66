#ifndef RTE_H
#define RTE_H

/* Route decisions: which process to try next for a partition. */

#include "mir.h"
#include "row.h"

#define RTE_FORWARDS_MAX 3

/* Processes that one request looks at, with those that are skipped. */
#define RTE_TRIED_MAX 8

/* State of one request while its owner is being found. */
struct rte_try {
	uint64_t part;
	struct proc tried[RTE_TRIED_MAX];
	uint32_t count;
	uint32_t skipped; /* of them, those that nothing was sent to */
	struct proc hint; /* from a MOVED answer; incarnation 0 if none */
	uint64_t hint_version;
};

struct rte;

/* Remembers who was last seen to act, over the rows of the mirror. */
struct rte *rte_create(const struct mir *mir);
void rte_destroy(struct rte *r);

/* A process answered for the partition, so it acts in this version. */
void rte_seen(struct rte *r, uint64_t part, uint64_t version,
	      const struct proc *p);

/* The process did not answer or did not act; it is no longer preferred. */
void rte_failed(struct rte *r, uint64_t part, const struct proc *p);

/*
 * Gives the next process to try: the hint, the one last seen to act, the
 * owner, the successor. Returns false when all are tried or the number of
 * forwards is used up.
 */
bool rte_next(struct rte *r, struct rte_try *t, struct proc *out);

/*
 * The process given last is known to have ended or cannot be reached, and
 * nothing was sent to it: it does not count as a forward.
 */
void rte_skip(struct rte_try *t);

#endif
