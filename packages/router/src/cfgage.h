#ifndef CFGAGE_H
#define CFGAGE_H

/*
 * Age of the configuration: the time since the version in effect is known to
 * have been the newest one. The table service confirms it by its answers, the
 * leader by its responses to reports. A long poll alone does not, as it cannot
 * be told from one that will never be answered.
 */

#include <stdbool.h>
#include <stdint.h>

struct cfgage {
	uint64_t confirmed_us; /* the version in effect was the newest one */
	uint64_t leader_us; /* last confirmation of the leader */
};

/* Records that the version in effect was the newest one at as_of_us. */
void cfgage_confirm(struct cfgage *a, uint64_t as_of_us);

/*
 * Records a response of the leader, received at now_us: newest was the newest
 * version at as_of_us. It confirms nothing if a newer version is in effect at
 * the leader.
 */
void cfgage_confirm_by_leader(struct cfgage *a, uint64_t version,
			      uint64_t newest, uint64_t as_of_us,
			      uint64_t now_us);

/* Returns the time at which the table service has to be asked. */
uint64_t cfgage_due_us(const struct cfgage *a);

/* Returns how long the next poll may wait for a change, in milliseconds. */
uint32_t cfgage_poll_ms(const struct cfgage *a, bool is_leader,
			uint64_t now_us);

#endif
