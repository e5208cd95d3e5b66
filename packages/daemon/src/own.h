#ifndef OWN_H
#define OWN_H

/*
 * Drives the ownership decisions: messages of the lease module, the rows of
 * the replica, the clock, and what follows from its answers.
 */

#include "lease.h"
#include "nod.h"

struct own *own_create(struct nod *n, struct err *err);
void own_destroy(struct own *o);

/* Lease messages have arrived. */
void own_lease(struct own *o, const struct peer_lease *m);

/* Answers a HANDOVER call with the duplicate window of a former owner. */
void own_handover(struct own *o, struct peerrpc_question *q,
		  const struct peer_handover *args);

/* True if this process may act for the partition now. */
bool own_may_act(const struct own *o, uint64_t part, struct lease_term *term);

/* True if this process is the owner in the newest row known to it. */
bool own_is_named(const struct own *o, uint64_t part);

/* The process that is believed to act. */
struct proc own_actor(const struct own *o, uint64_t part);

/* A process is proved to have ended. */
void own_ended(struct own *o, const struct proc *p);

/* When a process was last heard, monotonic; 0 if never. */
uint64_t own_last_heard(const struct own *o, const struct proc *p);

/* The upstream can or cannot serve: without it nothing is held or claimed. */
void own_set_able(struct own *o, bool able);

/* Gives all partitions up through the peers, when no row can be written. */
void own_release_all(struct own *o);

/* Number of partitions for which this process may act. */
size_t own_acting_count(const struct own *o);

/* Partitions that the lease module knows; start with *pos 0. */
bool own_next_part(const struct own *o, size_t *pos, uint64_t *part);

#endif
