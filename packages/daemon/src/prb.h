#ifndef PRB_H
#define PRB_H

/*
 * Proofs that a process has ended: its own instance refuses a connection to
 * the peer port, answers with another incarnation, or has announced another
 * one in the table, or an operator has said so.
 */

#include "nod.h"

struct prb *prb_create(struct nod *n, struct err *err);
void prb_destroy(struct prb *p);

/* Asks the process now; used when a forward has failed. */
void prb_ask(struct prb *p, const struct proc *proc);

/* True if the process has not answered the last question. */
bool prb_is_silent(const struct prb *p, const struct proc *proc);

/* True if the process is known to have ended. */
bool prb_has_ended(const struct prb *p, const struct proc *proc);

#endif
