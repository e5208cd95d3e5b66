#ifndef LEA_H
#define LEA_H

/*
 * Arithmetic of leases and holds. A daemon keeps a lease in its row of the
 * table; the hold that it grants to its upstream ends before that lease. Whoever
 * sees the lease expired in the time of the table may give the keys away.
 */

#include <stdbool.h>
#include <stdint.h>

/* Longest time that a lease lasts beyond its renewal. */
#define LEA_TERM_MS 10000

/* The upstream's clock that measures a hold may run this much too slow. */
#define LEA_DRIFT_PCT 2

/* Between the end of a hold and that of the lease, for rounding and drift. */
#define LEA_MARGIN_MS 100

/*
 * Time of the table: what it last told, and the loop's clock when the call was
 * sent and when its answer came.
 */
struct lea_clock {
	uint64_t told_ms;
	uint64_t sent_us;
	uint64_t received_us;
	bool known;
};

/*
 * Latest time of the table at which now_us can lie. The table read its clock
 * between sent_us and received_us.
 */
uint64_t lea_table_latest_ms(const struct lea_clock *c, uint64_t now_us);

/* Earliest time of the table at which now_us can lie. */
uint64_t lea_table_earliest_ms(const struct lea_clock *c, uint64_t now_us);

/*
 * Milliseconds that an upstream may hold its keys, counted from the moment at
 * which it sent the announcement that came at received_us. 0 if the lease, which
 * ends at lease_end_us, leaves no time.
 */
uint32_t lea_hold_ms(uint64_t lease_end_us, uint64_t received_us,
		     uint32_t hold_max_ms);

#endif
