#ifndef KEYMAP_H
#define KEYMAP_H

/*
 * Key range map of one service: the owner and the fence of each range of keys.
 * An owner is an incarnation of an upstream (see incarnation.h). The map covers
 * all keys without gaps. It is stored in one row of the table, which is changed
 * by conditional writes.
 *
 * The owner's daemon grants a range only when no former incarnation can still
 * hold it. `former` is that incarnation until it has released the range, has
 * been proved to have ended, or its lease has expired.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "incarnation.h"

#define KEYMAP_KEYS 65536 /* number of keys */
#define KEYMAP_HANDOVER_MAX 48 /* bytes of a handover token with the NUL */
#define KEYMAP_NO_INCARNATION \
	UINT16_MAX /* index that stands for no incarnation */
#define KEYMAP_INCARNATIONS_MAX 1024
#define KEYMAP_RANGES_MAX 2048

struct keymap_range {
	uint32_t first, last; /* keys, inclusive */
	uint64_t fence; /* rises each time that the range changes its owner */
	uint16_t owner; /* index of an incarnation, or KEYMAP_NO_INCARNATION */
	uint16_t
		former; /* incarnation that may still hold the range, or KEYMAP_NO_INCARNATION */
	/* Token of the former holder, or "". */
	char handover[KEYMAP_HANDOVER_MAX];
};

struct keymap;

enum keymap_error {
	KEYMAP_SYNTAX = 1, /* not JSON */
	KEYMAP_BAD_VALUE, /* a field is missing or out of range */
	KEYMAP_GAP /* the ranges do not cover all keys */
};

/* Returns a map of one range without an owner, NULL if memory is exhausted. */
struct keymap *keymap_create(void);
void keymap_destroy(struct keymap *map);

/* Returns a copy, NULL if memory is exhausted. */
struct keymap *keymap_copy(const struct keymap *map);

/*
 * Parses the JSON form, which has len bytes. Returns NULL on errors, with layer
 * rows and a code of enum keymap_error in err.
 */
struct keymap *keymap_parse(const char *json, size_t len, struct err *err);

/* Returns the JSON form, which the caller frees. */
char *keymap_encode(const struct keymap *map);

/* Returns the number of ranges, at least 1. */
size_t keymap_range_count(const struct keymap *map);

/* Returns the range at an index below keymap_range_count(), in key order. */
const struct keymap_range *keymap_range_at(const struct keymap *map, size_t i);

/* Returns the range that contains a key from 0 to KEYMAP_KEYS-1. */
const struct keymap_range *keymap_find(const struct keymap *map, uint32_t key);

/* True if the range has never had an owner in this map or an earlier one. */
bool keymap_is_unassigned(const struct keymap_range *range);

/* True if the map has such a range, or one that contains keys of first to last. */
bool keymap_has_unassigned(const struct keymap *map);
bool keymap_has_unassigned_in(const struct keymap *map, uint32_t first,
			      uint32_t last);

/* True if any range has an owner. */
bool keymap_has_owner(const struct keymap *map);

/* Returns the incarnation at an index, NULL for KEYMAP_NO_INCARNATION. */
const struct incarnation *keymap_incarnation(const struct keymap *map,
					     uint16_t index);

/* Returns the number of incarnations in the map; their indices are below it. */
uint16_t keymap_incarnation_count(const struct keymap *map);

/*
 * True if the incarnation owns the range and no other incarnation can hold it.
 */
bool keymap_may_grant(const struct keymap *map,
		      const struct keymap_range *range,
		      const struct incarnation *incarnation);

/* True if the incarnation may hold the range and has to release it. */
bool keymap_must_release(const struct keymap *map,
			 const struct keymap_range *range,
			 const struct incarnation *incarnation);

/*
 * Makes an incarnation the owner of all keys from first to last; NULL removes
 * the owner. Each range that changes its owner gets a new fence. Returns the
 * number of keys that have changed their owner, 0 also when the map is full.
 */
uint32_t keymap_assign(struct keymap *map, uint32_t first, uint32_t last,
		       const struct incarnation *incarnation);

/*
 * The era of the table in which the map was written; see tbl.h. Maps of earlier
 * versions of the daemon have none.
 */
#define KEYMAP_NO_ERA UINT64_MAX
uint64_t keymap_era(const struct keymap *map);

/*
 * Sets the era. If the map is of an earlier one, this raises the next fence
 * above all that can have been given out in earlier eras, as the table may have
 * lost some; renew gives all assigned ranges such a fence.
 */
void keymap_set_era(struct keymap *map, uint64_t era, bool renew);

#define KEYMAP_ANY_FENCE UINT64_MAX

/*
 * Clears the former holder of the ranges within first to last that the
 * incarnation has released, and stores its handover token with them. Only
 * ranges with the given fence change, as a range that has been moved again
 * since has another fence; KEYMAP_ANY_FENCE matches all. Returns true if a
 * range has changed.
 */
bool keymap_release(struct keymap *map, const struct incarnation *incarnation,
		    uint32_t first, uint32_t last, uint64_t fence,
		    const char *handover);

/*
 * Removes an incarnation that holds no keys any more, because it has ended or
 * its lease has expired. Returns true if a range has changed.
 */
bool keymap_end_incarnation(struct keymap *map,
			    const struct incarnation *incarnation);

/*
 * Merges adjacent ranges of one owner that have the same fence and handover
 * token; fences may differ if there are more than ranges_max ranges. Discards
 * the handover tokens of ranges without a former holder and with a fence below
 * settled_fence: their owners took them over long ago and need no token.
 */
void keymap_merge(struct keymap *map, size_t ranges_max,
		  uint64_t settled_fence);

/* Returns the fence of the next move; all fences in use are lower. */
uint64_t keymap_next_fence(const struct keymap *map);

#endif
