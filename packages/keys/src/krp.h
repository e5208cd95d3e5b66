#ifndef KRP_H
#define KRP_H

/*
 * Planner of key ranges: gives ranges without an able owner to the upstream
 * with the most room, and moves load from the busiest to the idlest. It answers
 * hot keys that move within seconds, upstreams of different speed, and lives
 * that come and go. No I/O.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "krm.h"

/* An upstream that may own keys. */
struct krp_target {
	struct life life;
	double capacity; /* seconds of standard work a second; over 0 */
	/* Mean work of one request as it counts in a load; 0 if loads are exact. */
	double request_work;
	/* Filled by the planner. */
	double load;
	bool fixed; /* nothing that it owns can be moved */
};

/* Measured work of the keys from first to last. */
struct krp_load {
	uint32_t first, last;
	double work; /* seconds of standard work a second */
};

struct krp_result {
	uint32_t keys_assigned; /* that had no able owner */
	uint32_t keys_moved; /* for balance */
};

/*
 * Changes the map. Lives that are not targets lose what they own; what they may
 * still hold is not granted to others before krm_release() or krm_end_life().
 * loads must be sorted by their first key. settled: see krm_merge().
 */
struct krp_result krp_plan(struct krm *k, struct krp_target *targets,
			   size_t target_count, const struct krp_load *loads,
			   size_t load_count, uint64_t settled);

#endif
