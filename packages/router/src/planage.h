#ifndef PLANAGE_H
#define PLANAGE_H

/*
 * Decides when the plan has to be polled from the table. While the leader
 * confirms that it knows the same plan, it need not be.
 */

#include <stdbool.h>
#include <stdint.h>

struct planage {
	uint64_t confirmed_us; /* the leader knew the same plan, 0 if never */
	uint64_t different_us; /* since then it has not, 0 if it does */
};

enum planage_poll {
	PLANAGE_NONE,
	PLANAGE_CHANGES, /* ask for the changes since the last answer */
	PLANAGE_SNAPSHOT /* read the whole plan */
};

/* Records a response of the leader: same is true if it knows the same plan. */
void planage_record(struct planage *a, bool same, uint64_t now_us);

/* Returns how to poll now; the table has answered last at answered_us. */
enum planage_poll planage_due(const struct planage *a, uint64_t answered_us,
			      uint64_t now_us);

#endif
