#ifndef DEDUP_H
#define DEDUP_H

/*
 * Deduplication of requests of non-idempotent kinds: stores, by partition and
 * request id, which requests ran here, so that a resend does not run again. A
 * planned move of a partition hands its window to the next owner. Does no I/O.
 * Times are Unix time in milliseconds.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"

#define DEDUP_ID_MAX 128 /* bytes of a request id, including the NUL */
#define DEDUP_BODY_MAX 4096 /* bytes of a stored body */
#define DEDUP_WINDOW_MS 60000 /* how long a request stays in the table */
#define DEDUP_SKEW_MS 1000 /* largest error of a caller's clock */

enum dedup_result {
	DEDUP_NEW, /* not in the table: run it */
	DEDUP_RUNNING, /* the same request is running */
	DEDUP_DONE, /* it has run; the stored response is valid */
	DEDUP_UNKNOWN, /* it may have run; its result is not known */
	DEDUP_OUTSIDE_WINDOW, /* outside the window: may have run already */
	DEDUP_INVALID, /* malformed, or first sent in the future */
	DEDUP_FULL /* no room to record it: it must not run */
};

struct dedup_response {
	int status;
	char content_type[64];
	uint32_t body_len; /* 0 to DEDUP_BODY_MAX */
	bool body_cut; /* the body was longer and is not stored */
	const void *body;
};

struct dedup;

/*
 * max_entries bounds the number of entries over all partitions. Returns NULL
 * when memory is exhausted.
 */
struct dedup *dedup_create(size_t max_entries);
void dedup_destroy(struct dedup *d);

/* Opens an empty window that is complete from now_ms on. */
void dedup_open(struct dedup *d, uint64_t part, uint64_t now_ms);

/* Removes the window of a partition that this process no longer owns. */
void dedup_close(struct dedup *d, uint64_t part);

/*
 * Looks a request up. If it is new, records it as running and sets *handle,
 * which is never 0. id has the form <unix ms of first send>-<unique text>. For
 * DEDUP_DONE sets *response, which is valid until the next call.
 */
enum dedup_result dedup_begin(struct dedup *d, uint64_t part, const char *id,
			      uint64_t now_ms, uint32_t *handle,
			      struct dedup_response *response);

/* Records the response of a request that has run. */
void dedup_finish(struct dedup *d, uint32_t handle,
		  const struct dedup_response *response);

/* Records that the request may have run; a resend gets DEDUP_UNKNOWN. */
void dedup_mark_unknown(struct dedup *d, uint32_t handle);

/* Removes a request that is known not to have run; a resend gets DEDUP_NEW. */
void dedup_remove(struct dedup *d, uint32_t handle);

/* Removes entries older than DEDUP_WINDOW_MS; call it about once a second. */
void dedup_expire(struct dedup *d, uint64_t now_ms);

/*
 * Returns the window of a partition as JSON for the next owner, to be freed by
 * the caller. Returns NULL if the window is not open or memory is exhausted.
 */
char *dedup_export(const struct dedup *d, uint64_t part);

/*
 * Merges the exported window of a former owner into the window of a partition.
 * Entries that are in the table already are kept, and the start becomes that of
 * the former owner. Errors: layer lease, code 1 for invalid JSON, a window that
 * does not fit, or no memory; the previous start is then kept.
 */
bool dedup_import(struct dedup *d, uint64_t part, const char *text,
		  struct err *err);

#endif
