#ifndef SYN_H
#define SYN_H

/*
 * Spreads rows of the platform's table: polls the table at random intervals,
 * exchanges digests with random peers, and asks whoever is ahead for what is
 * missing.
 */

#include "nod.h"

struct syn *syn_create(struct nod *n);
void syn_destroy(struct syn *s);

/* True once the rows were read from the table or from a peer. */
bool syn_is_ready(const struct syn *s);

/* True while the last poll of the table got an answer. */
bool syn_platform_up(const struct syn *s);

/* A digest has arrived. */
void syn_digest(struct syn *s, const struct peer_digest *m);

/* Answers a SYNC call. */
void syn_answer(struct syn *s, struct peerrpc_question *q,
		const struct peer_sync *args);

/* Applies a row that this daemon has written or read itself. */
void syn_apply(struct syn *s, const struct replica_entry *row);

/* Reads the table soon, because this daemon knows of a newer row. */
void syn_poll_soon(struct syn *s);

/* Load of a member as it last told, 0 if it has told nothing. */
double syn_load_of(void *syn, uint32_t instance);

/* The member that last sent rows, 0 if none has. */
uint32_t syn_last_source(const struct syn *s);

/* A member that is not this one and not gone, NULL if none is known. */
const struct member *syn_random_member(struct syn *s);

#endif
