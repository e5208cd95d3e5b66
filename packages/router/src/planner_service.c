#include <stdlib.h>
#include <string.h>

#include "log.h"
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

/* Logs when unassigned keys begin to wait, and when they no longer do. */
static void set_incomplete(struct planner_service *s, bool incomplete)
{
	if (incomplete != s->incomplete)
		log_emit(LOG_UNASSIGNED_KEYS_WAIT, "service=%s waits=%d",
			 s->name, incomplete);
	s->incomplete = incomplete;
}

static void log_map(const struct planner_service *s,
		    const struct planner_input *in, const struct keymap *map,
		    uint64_t version, const struct planner_result *result)
{
	log_emit(LOG_KEYS_PLANNED,
		 "service=%s based_on=%llu assigned=%u moved=%u adopted=%u "
		 "ranges=%zu reports=%zu",
		 s->name, (unsigned long long)version,
		 result->keys.keys_assigned, result->keys.keys_moved,
		 result->adopted, keymap_range_count(map), in->report_count);
}

/* A map that is not known yet is written once it has an owner. */
char *planner_update_map(struct planner_service *s,
			 const struct planner_input *in, struct keymap *map,
			 uint64_t version, bool renew)
{
	char *before = version > 0 ? keymap_encode(map) : NULL;
	struct planner_result result;
	char *text;

	keymap_set_era(map, in->era, renew);
	result = planner_plan_keys(in, s->name, map, version > 0,
				   planner_update_settled(s, map, in->now_us));
	set_incomplete(s, result.incomplete);
	text = keymap_encode(map);
	if (before ? strcmp(before, text) != 0 : keymap_has_owner(map)) {
		log_map(s, in, map, version, &result);
	} else {
		free(text);
		text = NULL;
	}
	free(before);
	return text;
}
