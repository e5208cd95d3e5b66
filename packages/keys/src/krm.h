#ifndef KRM_H
#define KRM_H

/*
 * Key range map of one service: the owner and the fence of each range of keys.
 * An owner is a session of an upstream (see life.h). The map covers all keys
 * without gaps. It is stored in one row of the table, which is changed by
 * conditional writes.
 *
 * The owner's daemon grants a range only when no former session can still hold
 * it. `former` is that session until it has released the range, has been proved
 * to have ended, or its lease has expired.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "life.h"

#define KRM_KEYS 65536 /* number of keys */
#define KRM_HANDOVER_MAX 48 /* bytes of a handover token with the NUL */
#define KRM_NONE UINT16_MAX /* index that stands for no session */
#define KRM_LIVES_MAX 1024
#define KRM_RANGES_MAX 2048

struct krm_range {
	uint32_t first, last; /* keys, inclusive */
	uint64_t fence; /* rises each time that the range changes its owner */
	uint16_t owner; /* index of a session, or KRM_NONE */
	uint16_t
		former; /* session that may still hold the range, or KRM_NONE */
	char handover[KRM_HANDOVER_MAX]; /* token of the former holder, or "" */
};

struct krm;

enum krm_error {
	KRM_SYNTAX = 1, /* not JSON */
	KRM_BAD_VALUE, /* a field is missing or out of range */
	KRM_GAP /* the ranges do not cover all keys */
};

/* Returns a map of one range without an owner, NULL if memory is exhausted. */
struct krm *krm_create(void);
void krm_destroy(struct krm *map);

/* Returns a copy, NULL if memory is exhausted. */
struct krm *krm_copy(const struct krm *map);

/*
 * Parses the JSON form, which has len bytes. Returns NULL on errors, with layer
 * rows and a code of enum krm_error in err.
 */
struct krm *krm_parse(const char *json, size_t len, struct err *err);

/* Returns the JSON form, which the caller frees. */
char *krm_write(const struct krm *map);

/* Returns the number of ranges, at least 1. */
size_t krm_count(const struct krm *map);

/* Returns the range at an index below krm_count(), in key order. */
const struct krm_range *krm_at(const struct krm *map, size_t i);

/* Returns the range that contains a key from 0 to KRM_KEYS-1. */
const struct krm_range *krm_find(const struct krm *map, uint32_t key);

/* Returns the session at an index, NULL for KRM_NONE. */
const struct life *krm_life(const struct krm *map, uint16_t index);

/* Returns the number of sessions in the map; their indices are below it. */
uint16_t krm_life_count(const struct krm *map);

/* True if the session owns the range and no other session can hold it. */
bool krm_may_grant(const struct krm *map, const struct krm_range *range,
		   const struct life *life);

/* True if the session may hold the range and has to release it. */
bool krm_must_release(const struct krm *map, const struct krm_range *range,
		      const struct life *life);

/*
 * Makes a session the owner of all keys from first to last; NULL removes the
 * owner. Each range that changes its owner gets a new fence. Returns the number
 * of keys that have changed their owner, 0 also when the map is full.
 */
uint32_t krm_assign(struct krm *map, uint32_t first, uint32_t last,
		    const struct life *life);

#define KRM_ANY_FENCE UINT64_MAX

/*
 * Clears the former holder of the ranges within first to last that the session
 * has released, and stores its handover token with them. Only ranges with the
 * given fence change, as a range that has been moved again since has another
 * fence; KRM_ANY_FENCE matches all. Returns true if a range has changed.
 */
bool krm_release(struct krm *map, const struct life *life, uint32_t first,
		 uint32_t last, uint64_t fence, const char *handover);

/*
 * Removes a session that holds no keys any more, because it has ended or its
 * lease has expired. Returns true if a range has changed.
 */
bool krm_end_life(struct krm *map, const struct life *life);

/*
 * Merges adjacent ranges of one owner that have the same fence and handover
 * token; fences may differ if there are more than ranges_max ranges. Discards
 * the handover tokens of ranges without a former holder and with a fence below
 * settled_fence: their owners took them over long ago and need no token.
 */
void krm_merge(struct krm *map, size_t ranges_max, uint64_t settled_fence);

/* Returns the fence of the next move; all fences in use are lower. */
uint64_t krm_next_fence(const struct krm *map);

#endif
