#include "keymap.h"

#include <stdlib.h>
#include <string.h>

#include "keymap_int.h"
#include "txt.h"

/*
 * Each era has 2^32 fences, far more than moves of keys. Fences of up to 2^21
 * eras fit in 53 bits, which all users of JSON keep.
 */
#define ERA_FENCES_BITS 32

/* Creates a map of one range without an owner; NULL if memory is exhausted. */
struct keymap *keymap_create(void)
{
	struct keymap *map = calloc(1, sizeof(*map));

	if (!map)
		return NULL;
	map->next_fence = 1;
	map->era = KEYMAP_NO_ERA;
	map->count = 1;
	map->ranges[0].last = KEYMAP_KEYS - 1;
	map->ranges[0].owner = KEYMAP_NO_INCARNATION;
	map->ranges[0].former = KEYMAP_NO_INCARNATION;
	return map;
}

void keymap_destroy(struct keymap *map)
{
	free(map);
}

/* Returns a copy, NULL if memory is exhausted. */
struct keymap *keymap_copy(const struct keymap *map)
{
	struct keymap *copy = malloc(sizeof(*copy));

	if (copy)
		*copy = *map;
	return copy;
}

/* Returns the number of incarnations; their indices are below it. */
uint16_t keymap_incarnation_count(const struct keymap *map)
{
	return map->incarnation_count;
}

size_t keymap_range_count(const struct keymap *map)
{
	return map->count;
}

/* Returns a range by its index in ascending key order. */
const struct keymap_range *keymap_range_at(const struct keymap *map, size_t i)
{
	return &map->ranges[i];
}

/* Returns the index of the range that contains a key, by binary search. */
static size_t find_index(const struct keymap *map, uint32_t key)
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

/* Returns the range that contains a key below KEYMAP_KEYS. */
const struct keymap_range *keymap_find(const struct keymap *map, uint32_t key)
{
	return &map->ranges[find_index(map, key)];
}

bool keymap_has_unassigned_in(const struct keymap *map, uint32_t first,
			      uint32_t last)
{
	for (size_t i = find_index(map, first);
	     i < map->count && map->ranges[i].first <= last; i++) {
		if (keymap_is_unassigned(&map->ranges[i]))
			return true;
	}
	return false;
}

bool keymap_has_unassigned(const struct keymap *map)
{
	return keymap_has_unassigned_in(map, 0, KEYMAP_KEYS - 1);
}

/* The first owner gives a range its first fence, which it never loses. */
bool keymap_is_unassigned(const struct keymap_range *range)
{
	return range->fence == 0;
}

bool keymap_has_owner(const struct keymap *map)
{
	for (size_t i = 0; i < map->count; i++) {
		if (map->ranges[i].owner != KEYMAP_NO_INCARNATION)
			return true;
	}
	return false;
}

/* Returns the incarnation at an index, NULL if there is none. */
const struct incarnation *keymap_incarnation(const struct keymap *map,
					     uint16_t index)
{
	return index < map->incarnation_count ? &map->incarnations[index] :
						NULL;
}

/*
 * Returns the index of an incarnation, KEYMAP_NO_INCARNATION if it is not in
 * the map.
 */
static uint16_t find_incarnation_index(const struct keymap *map,
				       const struct incarnation *incarnation)
{
	for (uint16_t i = 0; i < map->incarnation_count; i++) {
		if (incarnation_equal(&map->incarnations[i], incarnation))
			return i;
	}
	return KEYMAP_NO_INCARNATION;
}

/*
 * Adds an incarnation unless it is in the map already. Returns its index, or
 * KEYMAP_NO_INCARNATION if the map is full.
 */
static uint16_t add_incarnation(struct keymap *map,
				const struct incarnation *incarnation)
{
	uint16_t i = find_incarnation_index(map, incarnation);

	if (i != KEYMAP_NO_INCARNATION ||
	    map->incarnation_count == KEYMAP_INCARNATIONS_MAX)
		return i;
	map->incarnations[map->incarnation_count] = *incarnation;
	return map->incarnation_count++;
}

/*
 * True if the incarnation owns the range and no other incarnation can hold it.
 */
bool keymap_may_grant(const struct keymap *map,
		      const struct keymap_range *range,
		      const struct incarnation *incarnation)
{
	const struct incarnation *owner = keymap_incarnation(map, range->owner);

	return owner && range->former == KEYMAP_NO_INCARNATION &&
	       incarnation_equal(owner, incarnation);
}

/* True if the incarnation may still hold the range under an older fence. */
bool keymap_must_release(const struct keymap *map,
			 const struct keymap_range *range,
			 const struct incarnation *incarnation)
{
	const struct incarnation *former =
		keymap_incarnation(map, range->former);

	return former && incarnation_equal(former, incarnation);
}

/*
 * Splits a range so that one begins at the key. Returns the index of that
 * range, or of the unchanged range that contains the key if the map is full.
 */
static size_t split_at(struct keymap *map, uint32_t key)
{
	size_t i = find_index(map, key);

	if (map->ranges[i].first == key || map->count == KEYMAP_RANGES_MAX)
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
static bool split_range(struct keymap *map, uint32_t first, uint32_t last,
			size_t *begin_index, size_t *end_index)
{
	*begin_index = split_at(map, first);
	*end_index =
		last + 1 < KEYMAP_KEYS ? split_at(map, last + 1) : map->count;
	return map->ranges[*begin_index].first == first &&
	       (last + 1 >= KEYMAP_KEYS ||
		map->ranges[*end_index].first == last + 1);
}

/*
 * Changes the owner. An owner that could be granted the range may hold it, so
 * it becomes the former holder. An owner that was still waiting for a former
 * holder never held the range, so the former holder stays.
 */
uint32_t keymap_assign(struct keymap *map, uint32_t first, uint32_t last,
		       const struct incarnation *incarnation)
{
	uint16_t owner = incarnation ? add_incarnation(map, incarnation) :
				       KEYMAP_NO_INCARNATION;
	uint32_t moved = 0;
	size_t begin_index, end_index;

	if (incarnation && owner == KEYMAP_NO_INCARNATION)
		return 0;
	if (!split_range(map, first, last, &begin_index, &end_index))
		return 0;
	for (size_t i = begin_index; i < end_index; i++) {
		struct keymap_range *range = &map->ranges[i];

		if (range->owner == owner)
			continue;
		if (range->former == KEYMAP_NO_INCARNATION &&
		    range->owner != KEYMAP_NO_INCARNATION) {
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
bool keymap_release(struct keymap *map, const struct incarnation *incarnation,
		    uint32_t first, uint32_t last, uint64_t fence,
		    const char *handover)
{
	uint16_t former = find_incarnation_index(map, incarnation);
	bool changed = false;

	if (former == KEYMAP_NO_INCARNATION)
		return false;
	for (size_t i = 0; i < map->count; i++) {
		struct keymap_range *range = &map->ranges[i];

		if (range->former != former || range->first < first ||
		    range->last > last ||
		    (fence != KEYMAP_ANY_FENCE && range->fence != fence))
			continue;
		range->former = KEYMAP_NO_INCARNATION;
		if (strlen(handover) < sizeof(range->handover))
			txt_copy(range->handover, sizeof(range->handover),
				 handover);
		changed = true;
	}
	return changed;
}

/* Removes an incarnation as owner and as former holder of all ranges. */
bool keymap_end_incarnation(struct keymap *map,
			    const struct incarnation *incarnation)
{
	uint16_t index = find_incarnation_index(map, incarnation);
	bool changed = false;

	if (index == KEYMAP_NO_INCARNATION)
		return false;
	for (size_t i = 0; i < map->count; i++) {
		struct keymap_range *range = &map->ranges[i];

		if (range->former == index || range->owner == index)
			changed = true;
		if (range->former == index)
			range->former = KEYMAP_NO_INCARNATION;
		if (range->owner == index) {
			range->owner = KEYMAP_NO_INCARNATION;
			range->handover[0] = '\0';
		}
	}
	return changed;
}

/* True if two adjacent ranges can be merged. */
static bool can_merge(const struct keymap_range *left,
		      const struct keymap_range *right, bool ignore_fence)
{
	return left->owner == right->owner &&
	       keymap_is_unassigned(left) == keymap_is_unassigned(right) &&
	       left->former == KEYMAP_NO_INCARNATION &&
	       right->former == KEYMAP_NO_INCARNATION &&
	       strcmp(left->handover, right->handover) == 0 &&
	       (ignore_fence || left->fence == right->fence);
}

/*
 * Merges adjacent ranges. The merged range gets the higher of the two fences,
 * which only its owner has used, so that fences still rise with each move.
 */
void keymap_merge(struct keymap *map, size_t ranges_max, uint64_t settled_fence)
{
	size_t kept = 0;
	bool ignore_fence = map->count > ranges_max;

	for (size_t i = 0; i < map->count; i++) {
		if (map->ranges[i].fence < settled_fence &&
		    map->ranges[i].former == KEYMAP_NO_INCARNATION)
			map->ranges[i].handover[0] = '\0';
	}
	for (size_t i = 1; i < map->count; i++) {
		struct keymap_range *last = &map->ranges[kept];
		const struct keymap_range *range = &map->ranges[i];

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

/* Returns the era in which the map was written. */
uint64_t keymap_era(const struct keymap *map)
{
	return map->era;
}

/* Sets the era, and fences that no earlier era has given out. */
void keymap_set_era(struct keymap *map, uint64_t era, bool renew)
{
	bool later = map->era == KEYMAP_NO_ERA || map->era < era;

	map->era = era;
	if (!later)
		return;
	if (map->next_fence < era << ERA_FENCES_BITS)
		map->next_fence = era << ERA_FENCES_BITS;
	for (size_t i = 0; renew && i < map->count; i++) {
		if (!keymap_is_unassigned(&map->ranges[i]))
			map->ranges[i].fence = map->next_fence++;
	}
}

/* Returns the fence of the next move; all fences in use are lower. */
uint64_t keymap_next_fence(const struct keymap *map)
{
	return map->next_fence;
}
