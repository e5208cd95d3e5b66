#include "planner_int.h"

/*
 * The first plan of a service is made when no upstream has joined or left for
 * this long.
 */
#define FIRST_PLAN_DELAY_US (1200 * US_PER_MS)
/* Time after which a new owner has taken over a released range. */
#define SETTLE_US (3 * US_PER_S)

/*
 * True if the keys of a new service may be assigned. Its upstreams announce
 * themselves one by one, and keys that are assigned too early have to move.
 */
bool planner_is_first_plan_due(struct planner_service *s, size_t targets,
			       uint64_t now_us)
{
	if (targets != s->targets) {
		s->targets = targets;
		s->changed_us = now_us;
	}
	return targets > 0 &&
	       clk_elapsed(now_us, s->changed_us) >= FIRST_PLAN_DELAY_US;
}

/*
 * Records the next fence every SETTLE_US. Returns the fence below which ranges
 * were released long enough ago to have been taken over.
 */
uint64_t planner_update_settled(struct planner_service *s,
				const struct keymap *map, uint64_t now_us)
{
	if (clk_elapsed(now_us, s->marked_us) >= SETTLE_US) {
		s->settled = s->fence;
		s->fence = keymap_next_fence(map);
		s->marked_us = now_us;
	}
	return s->settled;
}
