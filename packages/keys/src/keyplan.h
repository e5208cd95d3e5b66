#ifndef KEYPLAN_H
#define KEYPLAN_H

/*
 * Planner of key ranges: assigns ranges without an available owner, and moves
 * ranges from the upstream with the highest use to that with the lowest. Use is
 * load divided by capacity. The planner is run often enough to follow hot keys
 * that change within seconds, upstreams of different speed, and upstreams that
 * start and stop. It does no I/O.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "keymap.h"

/* An upstream that can own keys. */
struct keyplan_target {
	struct incarnation incarnation;
	double capacity; /* seconds of standard work a second; over 0 */
	/*
	 * Mean work of one request in the unit of the load, for the sampling
	 * error of the load; 0 if loads are exact.
	 */
	double request_work;
	/* Set by the planner. */
	double load; /* in the unit of capacity */
	bool fixed; /* owns no piece that can be moved */
};

/* Measured work of the keys from first to last. */
struct keyplan_load {
	uint32_t first, last;
	double work; /* seconds of standard work a second */
};

struct keyplan_result {
	uint32_t keys_assigned; /* keys that had no available owner */
	uint32_t keys_moved; /* keys moved for balance */
};

/*
 * Assigns all ranges of the map to targets and balances their use. Incarnations
 * that are not targets lose their ranges, but those that they may still hold
 * are not granted to others before keymap_release() or
 * keymap_end_incarnation(). Without targets or memory the map stays unchanged.
 * settled_fence is passed to keymap_merge().
 */
struct keyplan_result keyplan_run(struct keymap *map,
				  struct keyplan_target *targets,
				  size_t target_count,
				  const struct keyplan_load *loads,
				  size_t load_count, uint64_t settled_fence);

/*
 * Same for a map with unassigned ranges that upstreams may hold by a map that
 * is not known any more: these stay unassigned, and nothing moves for balance.
 */
struct keyplan_result
keyplan_run_incomplete(struct keymap *map, struct keyplan_target *targets,
		       size_t target_count, const struct keyplan_load *loads,
		       size_t load_count, uint64_t settled_fence);

#endif
