#include "krm.h"

#include <stdlib.h>
#include <string.h>

#include "krm_int.h"
#include "txt.h"

/* Creates a map of one range without an owner; NULL if memory is exhausted. */
struct krm *krm_create(void)
{
	struct krm *map = calloc(1, sizeof(*map));

	if (!map)
		return NULL;
	map->next_fence = 1;
	map->count = 1;
	map->ranges[0].last = KRM_KEYS - 1;
	map->ranges[0].owner = KRM_NONE;
	map->ranges[0].former = KRM_NONE;
	return map;
}

void krm_destroy(struct krm *map)
{
	free(map);
}

/* Returns a copy, NULL if memory is exhausted. */
struct krm *krm_copy(const struct krm *map)
{
	struct krm *copy = malloc(sizeof(*copy));

	if (copy)
		*copy = *map;
	return copy;
}

/* Returns the number of sessions; their indices are below it. */
uint16_t krm_life_count(const struct krm *map)
{
	return map->session_count;
}

size_t krm_count(const struct krm *map)
{
	return map->count;
}

/* Returns a range by its index in ascending key order. */
const struct krm_range *krm_at(const struct krm *map, size_t i)
{
	return &map->ranges[i];
}

/* Returns the index of the range that contains a key, by binary search. */
static size_t find_index(const struct krm *map, uint32_t key)
{
	size_t low = 0;
	size_t high = map->count - 1;

	while (low < high) {
		size_t middle = (low + high + 1) / 2;

		if (map->ranges[middle].first <= key)
			low = middle;
		else
			high = middle - 1;
	}
	return low;
}

/* Returns the range that contains a key below KRM_KEYS. */
const struct krm_range *krm_find(const struct krm *map, uint32_t key)
{
	return &map->ranges[find_index(map, key)];
}

/* Returns the session at an index, NULL if there is none. */
const struct life *krm_life(const struct krm *map, uint16_t index)
{
	return index < map->session_count ? &map->sessions[index] : NULL;
}

/* Returns the index of a session, KRM_NONE if it is not in the map. */
static uint16_t find_session_index(const struct krm *map,
				   const struct life *life)
{
	for (uint16_t i = 0; i < map->session_count; i++) {
		if (life_is_same(&map->sessions[i], life))
			return i;
	}
	return KRM_NONE;
}

/*
 * Adds a session unless it is in the map already. Returns its index, or
 * KRM_NONE if the map is full.
 */
static uint16_t add_session(struct krm *map, const struct life *life)
{
	uint16_t i = find_session_index(map, life);

	if (i != KRM_NONE || map->session_count == KRM_LIVES_MAX)
		return i;
	map->sessions[map->session_count] = *life;
	return map->session_count++;
}

/* True if the session owns the range and no other session can hold it. */
bool krm_may_grant(const struct krm *map, const struct krm_range *range,
		   const struct life *life)
{
	const struct life *owner = krm_life(map, range->owner);

	return owner && range->former == KRM_NONE && life_is_same(owner, life);
}

/* True if the session may still hold the range under an older fence. */
bool krm_must_release(const struct krm *map, const struct krm_range *range,
		      const struct life *life)
{
	const struct life *former = krm_life(map, range->former);

	return former && life_is_same(former, life);
}

/*
 * Splits a range so that one begins at the key. Returns the index of that
 * range, or of the unchanged range that contains the key if the map is full.
 */
static size_t split_at(struct krm *map, uint32_t key)
{
	size_t i = find_index(map, key);

	if (map->ranges[i].first == key || map->count == KRM_RANGES_MAX)
		return i;
	memmove(&map->ranges[i + 1], &map->ranges[i],
		(map->count - i) * sizeof(map->ranges[0]));
	map->count++;
	map->ranges[i].last = key - 1;
	map->ranges[i + 1].first = key;
	return i + 1;
}

/*
 * Splits ranges so that one begins at first and one ends at last. Sets the
 * indices of the first range and of the one after the last. False if the map is
 * full.
 */
static bool split_range(struct krm *map, uint32_t first, uint32_t last,
			size_t *begin_index, size_t *end_index)
{
	*begin_index = split_at(map, first);
	*end_index = last + 1 < KRM_KEYS ? split_at(map, last + 1) : map->count;
	return map->ranges[*begin_index].first == first &&
	       (last + 1 >= KRM_KEYS ||
		map->ranges[*end_index].first == last + 1);
}

/*
 * Changes the owner. An owner that could be granted the range may hold it, so
 * it becomes the former holder. An owner that was still waiting for a former
 * holder never held the range, so the former holder stays.
 */
uint32_t krm_assign(struct krm *map, uint32_t first, uint32_t last,
		    const struct life *life)
{
	uint16_t owner = life ? add_session(map, life) : KRM_NONE;
	uint32_t moved = 0;
	size_t begin_index, end_index;

	if (life && owner == KRM_NONE)
		return 0;
	if (!split_range(map, first, last, &begin_index, &end_index))
		return 0;
	for (size_t i = begin_index; i < end_index; i++) {
		struct krm_range *range = &map->ranges[i];

		if (range->owner == owner)
			continue;
		if (range->former == KRM_NONE && range->owner != KRM_NONE) {
			range->former = range->owner;
			range->handover[0] = '\0';
		}
		range->owner = owner;
		range->fence = map->next_fence++;
		moved += range->last - range->first + 1;
	}
	return moved;
}

/* Clears the former holder of the ranges that it has released. */
bool krm_release(struct krm *map, const struct life *life, uint32_t first,
		 uint32_t last, uint64_t fence, const char *handover)
{
	uint16_t former = find_session_index(map, life);
	bool changed = false;

	if (former == KRM_NONE)
		return false;
	for (size_t i = 0; i < map->count; i++) {
		struct krm_range *range = &map->ranges[i];

		if (range->former != former || range->first < first ||
		    range->last > last ||
		    (fence != KRM_ANY_FENCE && range->fence != fence))
			continue;
		range->former = KRM_NONE;
		if (strlen(handover) < sizeof(range->handover))
			txt_copy(range->handover, sizeof(range->handover),
				 handover);
		changed = true;
	}
	return changed;
}

/* Removes a session as owner and as former holder of all ranges. */
bool krm_end_life(struct krm *map, const struct life *life)
{
	uint16_t index = find_session_index(map, life);
	bool changed = false;

	if (index == KRM_NONE)
		return false;
	for (size_t i = 0; i < map->count; i++) {
		struct krm_range *range = &map->ranges[i];

		if (range->former == index || range->owner == index)
			changed = true;
		if (range->former == index)
			range->former = KRM_NONE;
		if (range->owner == index) {
			range->owner = KRM_NONE;
			range->handover[0] = '\0';
		}
	}
	return changed;
}

/* True if two adjacent ranges can be merged. */
static bool can_merge(const struct krm_range *left,
		      const struct krm_range *right, bool ignore_fence)
{
	return left->owner == right->owner && left->former == KRM_NONE &&
	       right->former == KRM_NONE &&
	       strcmp(left->handover, right->handover) == 0 &&
	       (ignore_fence || left->fence == right->fence);
}

/*
 * Merges adjacent ranges. The merged range gets the higher of the two fences,
 * which only its owner has used, so that fences still rise with each move.
 */
void krm_merge(struct krm *map, size_t ranges_max, uint64_t settled_fence)
{
	size_t kept = 0;
	bool ignore_fence = map->count > ranges_max;

	for (size_t i = 0; i < map->count; i++) {
		if (map->ranges[i].fence < settled_fence &&
		    map->ranges[i].former == KRM_NONE)
			map->ranges[i].handover[0] = '\0';
	}
	for (size_t i = 1; i < map->count; i++) {
		struct krm_range *last = &map->ranges[kept];
		const struct krm_range *range = &map->ranges[i];

		if (can_merge(last, range, ignore_fence)) {
			last->last = range->last;
			if (range->fence > last->fence)
				last->fence = range->fence;
		} else {
			map->ranges[++kept] = *range;
		}
	}
	map->count = kept + 1;
}

/* Returns the fence of the next move; all fences in use are lower. */
uint64_t krm_next_fence(const struct krm *map)
{
	return map->next_fence;
}
