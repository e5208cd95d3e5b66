#ifndef TBL_H
#define TBL_H

/*
 * The table service as the router sees it: rows in named tables, conditional
 * writes of several rows at once, and a feed of changes.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum tbl_status {
	TBL_OK,
	TBL_CONFLICT, /* a row has another version; rows has the present ones */
	TBL_REFUSED, /* nothing was done */
	TBL_UNKNOWN, /* no answer: a write may be done, now or later */
	TBL_COMPACTED /* the feed no longer reaches back; read the table */
};

struct tbl_row {
	const char *table;
	const char *key;
	const char *value; /* ended by NUL, which len does not count */
	size_t len;
	uint64_t version;
	bool removed;
};

struct tbl_result {
	enum tbl_status status;
	const struct tbl_row *rows;
	size_t count;
	uint64_t version; /* newest version of the whole table service */
	uint64_t now_ms; /* its steady clock */
	uint64_t sent_us; /* when the call was sent, clock of the loop */
	const char *reason; /* why the call failed, for the log */
};

/* The result is valid only during the call. */
typedef void (*tbl_fn)(void *arg, const struct tbl_result *r);

#define TBL_VERSION_ANY UINT64_MAX /* no condition on the version */

struct tbl_change {
	const char *table;
	const char *key;
	uint64_t expected; /* version, 0 for no row, TBL_VERSION_ANY */
	const char *value; /* NULL: only the condition, or a removal */
	bool remove;
};

/* A call always ends with exactly one call of fn, never before it returns. */
struct tbl_ops {
	void (*read)(void *self, const char *table, tbl_fn fn, void *arg);
	void (*write)(void *self, const struct tbl_change *changes,
		      size_t count, tbl_fn fn, void *arg);
	/* Changes after a version; waits up to wait_ms for the first. */
	void (*watch)(void *self, const char *table, uint64_t after,
		      uint32_t wait_ms, tbl_fn fn, void *arg);
};

struct tbl {
	const struct tbl_ops *ops;
	void *self;
};

#endif
