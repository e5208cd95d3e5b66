#ifndef KEYLEASE_H
#define KEYLEASE_H

/*
 * Time calculations for leases of keys. A daemon renews a lease in its row of
 * the table and grants its upstream a hold of the keys, which ends before the
 * lease. The keys can be assigned to others once the lease has expired by the
 * clock of the table.
 */

#include <stdbool.h>
#include <stdint.h>

/* A lease ends at most this long after its last renewal. */
#define KEYLEASE_TERM_MS 10000

/* The clock of an upstream may run slow by at most this many percent. */
#define KEYLEASE_DRIFT_PCT 2

/* A hold ends this long before its lease, to allow for rounding and drift. */
#define KEYLEASE_MARGIN_MS 100

/*
 * Sample of the clock of the table: the time that it returned last, in ms, and
 * the local monotonic times of the call and of its reply, in us.
 */
struct keylease_clock {
	uint64_t table_ms;
	uint64_t sent_us;
	uint64_t received_us;
	bool known; /* false before the first sample */
};

/*
 * Returns the latest possible time of the table's clock at the local time
 * now_us, in ms. The table read its clock between sent_us and received_us.
 */
uint64_t keylease_latest_ms(const struct keylease_clock *clock,
			    uint64_t now_us);

/*
 * Returns the earliest possible time of the table's clock at the local time
 * now_us, in ms.
 */
uint64_t keylease_earliest_ms(const struct keylease_clock *clock,
			      uint64_t now_us);

/*
 * Returns for how many milliseconds an upstream may hold its keys, counted from
 * its sending of the announcement that arrived at received_us. 0 if too little
 * time is left before lease_end_us. The result is at most hold_max_ms.
 */
uint32_t keylease_hold_ms(uint64_t lease_end_us, uint64_t received_us,
			  uint32_t hold_max_ms);

#endif
