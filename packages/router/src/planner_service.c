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

/* Updates the map. Returns its JSON form if it differs from the known one. */
static char *update_map(struct planner_service *s,
			const struct planner_input *in,
			const struct planner_map *known, struct keymap *map)
{
	char *before = known->map ? keymap_encode(known->map) : NULL;
	struct planner_result result;
	char *text;

	keymap_set_era(map, in->era, known->unconfirmed);
	result = planner_plan_keys(in, s->name, map, known->map != NULL,
				   planner_update_settled(s, map, in->now_us));
	set_incomplete(s, result.incomplete);
	text = keymap_encode(map);
	if (before ? strcmp(before, text) != 0 : keymap_has_owner(map)) {
		log_map(s, in, map, known->version, &result);
	} else {
		free(text);
		text = NULL;
	}
	free(before);
	return text;
}

void planner_collect_holds(struct planner_service *s,
			   const struct planner_input *in)
{
	if (s->reported && keymap_era(s->reported) != in->era) {
		keymap_destroy(s->reported);
		s->reported = NULL;
	}
	if (!s->reported) {
		s->reported = keymap_create();
		if (!s->reported)
			return;
		keymap_set_era(s->reported, in->era, false);
	}
	planner_adopt_holds(in, s->reported, s->name);
}

/*
 * Keys that were reported once in this era cannot have been granted to others
 * since, even if they are not held any more.
 */
struct keymap *planner_choose_map(struct planner_service *s,
				  const struct planner_input *in,
				  const struct keymap *map)
{
	if (!planner_has_silent_daemon(in, s->name))
		return keymap_copy(map);
	if (!s->reported || !keymap_has_owner(s->reported))
		return NULL;
	return keymap_copy(s->reported);
}

/* Returns the map to update, which the caller destroys; NULL to wait. */
static struct keymap *begin_map(struct planner_service *s,
				struct planner_era *e,
				const struct planner_input *in,
				const struct planner_map *known)
{
	struct keymap *map;
	size_t targets;

	if (known->map) {
		if (planner_era_must_wait(e, s->name, known->version,
					  in->now_us))
			return NULL;
		return known->copied ? planner_choose_map(s, in, known->map) :
				       keymap_copy(known->map);
	}
	map = keymap_create();
	targets = planner_count_targets(in, s->name);
	if (!map || planner_is_first_plan_due(s, targets, in->now_us) ||
	    planner_has_reported_holds(in, map, s->name))
		return map;
	keymap_destroy(map);
	return NULL;
}

/*
 * A service without a known map waits until its upstreams have announced
 * themselves, but not once one of them has reported keys that it holds.
 */
char *planner_plan_service(struct planner_service *s, struct planner_era *e,
			   const struct planner_input *in,
			   const struct planner_map *known)
{
	struct keymap *map;
	char *text;

	if (known->copied)
		planner_collect_holds(s, in);
	map = begin_map(s, e, in, known);
	if (!map)
		return NULL;
	text = update_map(s, in, known, map);
	keymap_destroy(map);
	return text;
}
