#ifndef LSE_MODEL_H
#define LSE_MODEL_H

/*
 * Functions for the state-space search of packages/lease/tests: copies of a
 * module, a text of its state, and faults that the search has to find.
 */

#include <stddef.h>
#include <stdint.h>

struct lse;
struct proc;

enum lse_fault {
	LSE_FAULT_NONE,
	/* A witness grants a claim while its promise to the owner is open. */
	LSE_FAULT_EARLY_CLAIM,
	/* A new set acts without the seals of the older sets. */
	LSE_FAULT_NO_SEALS,
	/* A successor uses a late grant although it has renewed the owner. */
	LSE_FAULT_LATE_GRANT,
	/* A new set does not wait for the promises of those that sealed. */
	LSE_FAULT_NO_WAIT
};

/* Only for tests: switches a fault on. */
void lse_set_fault(struct lse *l, enum lse_fault fault);

/*
 * Returns a copy that calls its functions with arg, NULL when memory is
 * exhausted. The chart is shared.
 */
struct lse *lse_clone(const struct lse *l, void *arg);

/*
 * Returns an empty module for another incarnation, with the same parameters,
 * chart, functions and fault; NULL when memory is exhausted.
 */
struct lse *lse_recreate(const struct lse *l, const struct proc *self);

/*
 * Writes the state with all times relative to now, so that two states that
 * behave alike from now on, calls to want_row() aside, have the same text.
 * Returns the length; at most
 * size bytes are written.
 */
size_t lse_encode(const struct lse *l, uint64_t now_us, uint8_t *out,
		  size_t size);

#endif
