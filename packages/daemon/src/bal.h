#ifndef BAL_H
#define BAL_H

/*
 * Creation of rows that are missing, moves for balance, moves of a member that
 * leaves, and new witnesses.
 */

#include "lease.h"
#include "nod.h"

struct bal *bal_create(struct nod *n);
void bal_destroy(struct bal *b);

/* The lease module wants a row to be rewritten. */
void bal_want(struct bal *b, uint64_t part, enum lease_row_reason want);

/* Counts work on a partition, as busy time in microseconds. */
void bal_work(struct bal *b, uint64_t part, uint64_t busy_us);

#endif
