#ifndef KRM_H
#define KRM_H

/*
 * Key range map of one service: which life owns which range of keys, with
 * which fence. It is one row of the table, changed by conditional writes, and
 * covers all keys without gaps.
 *
 * A range is granted by its owner's daemon only while no former life may still
 * hold it. `former` names that life until it has released the range, has been
 * proved to have ended, or its lease has run out.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "life.h"

#define KRM_KEYS 65536
#define KRM_HANDOVER_MAX 48
#define KRM_NONE UINT16_MAX /* no life */
#define KRM_LIVES_MAX 1024
#define KRM_RANGES_MAX 2048

struct krm_range {
	uint32_t first, last; /* keys, inclusive */
	uint64_t fence;
	uint16_t owner; /* index of a life, KRM_NONE */
	uint16_t former; /* may still hold the range, KRM_NONE */
	char handover[KRM_HANDOVER_MAX]; /* given by the former holder, or "" */
};

struct krm;

enum krm_error {
	KRM_SYNTAX = 1,
	KRM_BAD_VALUE, /* a field is missing or out of range */
	KRM_GAP /* the ranges do not cover all keys once */
};

/* All keys in one range without an owner; NULL when memory is exhausted. */
struct krm *krm_create(void);
void krm_destroy(struct krm *k);

/* Returns a copy; NULL when memory is exhausted. */
struct krm *krm_copy(const struct krm *k);

/* Reads the JSON form. Errors: layer rows, a code of enum krm_error. */
struct krm *krm_parse(const char *json, size_t len, struct err *err);

/* Returns the JSON form, which the caller frees. */
char *krm_write(const struct krm *k);

size_t krm_count(const struct krm *k);
const struct krm_range *krm_at(const struct krm *k, size_t i);

/* Returns the range of a key from 0 to KRM_KEYS-1. */
const struct krm_range *krm_find(const struct krm *k, uint32_t key);

/* Returns a life by its index, NULL for KRM_NONE. */
const struct life *krm_life(const struct krm *k, uint16_t index);

/* Number of lives that the map has named; indices are below it. */
uint16_t krm_life_count(const struct krm *k);

/* True if the range may be granted to this life now. */
bool krm_may_grant(const struct krm *k, const struct krm_range *r,
		   const struct life *l);

/* True if this life may hold the range and has to release it. */
bool krm_must_release(const struct krm *k, const struct krm_range *r,
		      const struct life *l);

/*
 * Makes a life the owner of all keys from first to last, each range with a
 * new fence. What it owns already stays as it is. Returns how many keys change
 * owner; l NULL takes the owner away.
 */
uint32_t krm_assign(struct krm *k, uint32_t first, uint32_t last,
		    const struct life *l);

/*
 * The former holder has let go of all keys from first to last, which is known of
 * the range that got this fence; KRM_ANY_FENCE for any. A range that has moved
 * on meanwhile has another fence and stays as it is.
 */
#define KRM_ANY_FENCE UINT64_MAX
bool krm_release(struct krm *k, const struct life *l, uint32_t first,
		 uint32_t last, uint64_t fence, const char *handover);

/* The life holds nothing any more: it has ended or its lease has run out. */
bool krm_end_life(struct krm *k, const struct life *l);

/*
 * Joins neighbours of one owner: always those with one fence and handover, and
 * others too when there are over `above` ranges. Ranges with a fence below
 * `settled` were taken long ago, so that their handover is not needed.
 */
void krm_merge(struct krm *k, size_t above, uint64_t settled);

/* The fence that the next move gets; all others are below it. */
uint64_t krm_next_fence(const struct krm *k);

#endif
