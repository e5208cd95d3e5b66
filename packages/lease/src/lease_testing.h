#ifndef LEASE_TESTING_H
#define LEASE_TESTING_H

/*
 * Hooks for the model checker in packages/lease/tests: copies of a lease
 * manager, an encoding of its state, and injected faults that the checker has
 * to detect.
 */

#include <stddef.h>
#include <stdint.h>

struct lease_mgr;
struct proc;

enum lease_fault {
	LEASE_FAULT_NONE,
	/* A witness grants a claim while its promise to the owner is open. */
	LEASE_FAULT_EARLY_CLAIM,
	/* A new set acts without seals of the older sets. */
	LEASE_FAULT_NO_SEALS,
	/*
	 * A successor uses a delayed grant although it has renewed its promise
	 * to the owner.
	 */
	LEASE_FAULT_LATE_GRANT,
	/*
	 * A new set does not wait for promises that sealed members had given.
	 */
	LEASE_FAULT_NO_WAIT
};

/* Enables a fault; for tests only. */
void lease_inject_fault(struct lease_mgr *mgr, enum lease_fault fault);

/*
 * Returns a copy that passes arg to its callbacks, NULL when memory is
 * exhausted. The chart is shared.
 */
struct lease_mgr *lease_clone(const struct lease_mgr *mgr, void *arg);

/*
 * Returns a manager without partitions for another incarnation, with the same
 * parameters, chart, callbacks and fault; NULL when memory is exhausted.
 */
struct lease_mgr *lease_recreate(const struct lease_mgr *mgr,
				 const struct proc *self);

/*
 * Encodes the state with all times relative to now_us. Two states that behave
 * alike from now on, apart from calls to request_row(), have the same encoding.
 * Returns the length in bytes of the whole encoding; at most size bytes are
 * written.
 */
size_t lease_encode(const struct lease_mgr *mgr, uint64_t now_us, uint8_t *out,
		    size_t size);

#endif
