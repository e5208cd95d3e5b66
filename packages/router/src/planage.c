#include "planage.h"

#include "clk.h"

/*
 * Interval of polls without confirmations, of the leader too. Daemons send
 * changes to each other; a poll brings those that were missed.
 */
#define UNCONFIRMED_US (4 * US_PER_S)
/*
 * After a longer pause a snapshot is read. The changes of 15 s were a megabyte
 * with 295 daemons, as each version of a row counts.
 */
#define SNAPSHOT_AFTER_US (8 * US_PER_S)
/* Reports are sent every 500 ms; several responses of the leader may be lost. */
#define CONFIRMED_US (2 * US_PER_S)
/* A change that is on its way arrives within this time. */
#define DIFFERENT_US (1 * US_PER_S)

void planage_record(struct planage *a, bool same, uint64_t now_us)
{
	if (same) {
		a->confirmed_us = now_us;
		a->different_us = 0;
	} else if (a->different_us == 0) {
		a->different_us = now_us;
	}
}

/* A difference that an answer has not removed is polled for less often. */
enum planage_poll planage_due(const struct planage *a, uint64_t answered_us,
			      uint64_t now_us)
{
	uint64_t age_us = clk_elapsed(now_us, answered_us);
	bool confirmed = a->confirmed_us > 0 &&
			 clk_elapsed(now_us, a->confirmed_us) < CONFIRMED_US;
	bool different = a->different_us > 0 &&
			 clk_elapsed(now_us, a->different_us) >= DIFFERENT_US;
	bool due = age_us >= UNCONFIRMED_US ?
			   !confirmed || different :
			   different && answered_us < a->different_us;

	if (!due)
		return PLANAGE_NONE;
	return age_us >= SNAPSHOT_AFTER_US ? PLANAGE_SNAPSHOT : PLANAGE_CHANGES;
}
