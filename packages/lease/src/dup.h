#ifndef DUP_H
#define DUP_H

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

#define DUP_ID_MAX 128 /* bytes of a request id, including the NUL */
#define DUP_BODY_MAX 4096 /* bytes of a stored body */
#define DUP_WINDOW_MS 60000 /* how long a request stays in the table */
#define DUP_SKEW_MS 1000 /* largest error of a caller's clock */

enum dup_verdict {
	DUP_NEW, /* not in the table: run it */
	DUP_RUNNING, /* the same request is running */
	DUP_DONE, /* it has run; the stored response is valid */
	DUP_UNKNOWN, /* it may have run; its result is not known */
	DUP_UNSEEN, /* outside the window: may have run already */
	DUP_INVALID, /* malformed, or first sent in the future */
	DUP_FULL /* no room to record it: it must not run */
};

struct dup_response {
	int status;
	char content_type[64];
	uint32_t body_len; /* 0 to DUP_BODY_MAX */
	bool body_cut; /* the body was longer and is not stored */
	const void *body;
};

struct dup;

/*
 * max_entries bounds the number of entries over all partitions. Returns NULL
 * when memory is exhausted.
 */
struct dup *dup_create(size_t max_entries);
void dup_destroy(struct dup *d);

/* Opens an empty window that is complete from now_ms on. */
void dup_open(struct dup *d, uint64_t part, uint64_t now_ms);

/* Removes the window of a partition that this process no longer owns. */
void dup_close(struct dup *d, uint64_t part);

/*
 * Looks a request up. If it is new, records it as running and sets *handle,
 * which is never 0. id has the form <unix ms of first send>-<unique text>. For
 * DUP_DONE sets *response, which is valid until the next call.
 */
enum dup_verdict dup_begin(struct dup *d, uint64_t part, const char *id,
			   uint64_t now_ms, uint32_t *handle,
			   struct dup_response *response);

/* Records the response of a request that has run. */
void dup_finish(struct dup *d, uint32_t handle,
		const struct dup_response *response);

/* Records that the request may have run; a resend gets DUP_UNKNOWN. */
void dup_lose(struct dup *d, uint32_t handle);

/* Removes a request that is known not to have run; a resend gets DUP_NEW. */
void dup_forget(struct dup *d, uint32_t handle);

/* Removes entries older than DUP_WINDOW_MS; call it about once a second. */
void dup_tick(struct dup *d, uint64_t now_ms);

/*
 * Returns the window of a partition as JSON for the next owner, to be freed by
 * the caller. Returns NULL if the window is not open or memory is exhausted.
 */
char *dup_export(const struct dup *d, uint64_t part);

/*
 * Merges the exported window of a former owner into the window of a partition.
 * Entries that are in the table already are kept, and the start becomes that of
 * the former owner. Errors: layer lease, code 1 for invalid JSON, a window that
 * does not fit, or no memory; the previous start is then kept.
 */
bool dup_import(struct dup *d, uint64_t part, const char *text,
		struct err *err);

#endif
