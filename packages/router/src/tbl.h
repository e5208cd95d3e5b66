#ifndef TBL_H
#define TBL_H

/*
 * Interface to the table service: rows in named tables, conditional atomic
 * writes of several rows, and a watch for changes.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum tbl_status {
	TBL_OK,
	TBL_CONFLICT, /* a condition failed; rows may have the current rows */
	TBL_REFUSED, /* the call had no effect */
	TBL_UNKNOWN, /* no answer: a write may have an effect, also later */
	TBL_COMPACTED /* changes were compacted; a snapshot is needed */
};

struct tbl_row {
	const char *table;
	const char *key;
	const char *value; /* NUL-terminated; len excludes the NUL */
	size_t len;
	uint64_t version;
	bool removed;
};

struct tbl_result {
	enum tbl_status status;
	const struct tbl_row *rows;
	size_t count;
	uint64_t
		version; /* newest version of the table service, 0 if unknown */
	uint64_t now_ms; /* monotonic clock of the table service */
	uint64_t sent_us; /* when the call was sent, by the loop's clock */
	const char *reason; /* of a failure, for the log */
};

/*
 * A table service that comes back from an older copy loses rows that it has
 * acknowledged, and gives out versions again. It then begins a new era, which
 * is a part of all versions, so that versions of a later era are greater.
 */
#define TBL_ERA_SHIFT 40
#define TBL_ERA_MAX ((1U << 23) - 1)

/* A table service of this era, or a lower one, has never lost a row. */
#define TBL_FIRST_ERA 1

static inline uint64_t tbl_version(uint64_t era, uint64_t number)
{
	return era << TBL_ERA_SHIFT | number;
}

static inline uint64_t tbl_era(uint64_t version)
{
	return version >> TBL_ERA_SHIFT;
}

static inline uint64_t tbl_number(uint64_t version)
{
	return version & ((UINT64_C(1) << TBL_ERA_SHIFT) - 1);
}

/* The result is valid only during the call. */
typedef void (*tbl_fn)(void *arg, const struct tbl_result *r);

#define TBL_VERSION_ANY UINT64_MAX /* no condition on the version */

/*
 * Most entries of a write. A change with a value or a removal is one, and its
 * condition another.
 */
#define TBL_ENTRIES_MAX 100
/* So many changes fit into a write in any case. */
#define TBL_CHANGES_MAX (TBL_ENTRIES_MAX / 2)

struct tbl_change {
	const char *table;
	const char *key;
	uint64_t expected; /* version; 0: no row may exist; TBL_VERSION_ANY */
	const char *value; /* NULL for a removal or a mere condition */
	bool remove;
};

/*
 * A condition on a version of an earlier era fails with TBL_CONFLICT and no
 * rows, a watch after one with TBL_COMPACTED.
 *
 * Each call that is not cancelled leads to exactly one call of fn, after it has
 * returned.
 */
struct tbl_ops {
	void (*read)(void *self, const char *table, tbl_fn fn, void *arg);
	void (*write)(void *self, const struct tbl_change *changes,
		      size_t count, tbl_fn fn, void *arg);
	/*
	 * Reads the changes after a version; waits up to wait_ms for one, or
	 * answers at once if it is 0.
	 */
	void (*watch)(void *self, const char *table, uint64_t after,
		      uint32_t wait_ms, tbl_fn fn, void *arg);
	/* True if the answer to the call with this arg is arriving. */
	bool (*is_arriving)(void *self, const void *arg);
	/* Ends the call with this arg without a result; not for writes. */
	void (*cancel)(void *self, const void *arg);
};

struct tbl {
	const struct tbl_ops *ops;
	void *self;
};

#endif
