#ifndef DUP_H
#define DUP_H

/*
 * Duplicate window: remembers the requests of non-idempotent kinds that ran
 * here, by partition and request id, so that a resend does not run again. It
 * is handed over on a planned move. No I/O; time is Unix time in milliseconds.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"

#define DUP_ID_MAX 128 /* bytes of a request id, with the closing NUL */
#define DUP_BODY_MAX 4096 /* bytes of a stored body */
#define DUP_WINDOW_MS 60000 /* how long a request is remembered */
#define DUP_SKEW_MS 1000 /* largest error of a caller's clock */

enum dup_verdict {
	DUP_NEW, /* not seen: run it */
	DUP_RUNNING, /* the same request is running */
	DUP_DONE, /* it ran; the stored response is valid */
	DUP_UNKNOWN, /* it ran and how it ended is not known */
	DUP_UNSEEN, /* older than what this process can have seen */
	DUP_INVALID, /* malformed, or first sent in the future */
	DUP_FULL /* no room to remember it: it may not run */
};

struct dup_response {
	int status;
	char content_type[64];
	uint32_t body_len; /* 0 to DUP_BODY_MAX */
	bool body_cut; /* the body was longer and is not stored */
	const void *body;
};

struct dup;

/* max_entries bounds the memory over all partitions. */
struct dup *dup_create(size_t max_entries);
void dup_destroy(struct dup *d);

/* Begins a window that remembers nothing from before now. */
void dup_open(struct dup *d, uint64_t part, uint64_t now_ms);

/* Forgets a partition that this process no longer owns. */
void dup_close(struct dup *d, uint64_t part);

/*
 * Looks a request up and, if it is new, remembers it as running and sets
 * *handle (not 0). id has the form <unix ms of first send>-<unique text>. For
 * DUP_DONE *response is valid until the next call.
 */
enum dup_verdict dup_begin(struct dup *d, uint64_t part, const char *id,
			   uint64_t now_ms, uint32_t *handle,
			   struct dup_response *response);

/* The request ran and its response is known. */
void dup_finish(struct dup *d, uint32_t handle,
		const struct dup_response *response);

/* The request may have run; a resend gets DUP_UNKNOWN. */
void dup_lose(struct dup *d, uint32_t handle);

/* The request is proved not to have run; a resend is new. */
void dup_forget(struct dup *d, uint32_t handle);

/* Drops what is older than the window; call about once a second. */
void dup_tick(struct dup *d, uint64_t now_ms);

/*
 * Writes the window of a partition as JSON for the next owner; freed by the
 * caller, NULL when memory is exhausted.
 */
char *dup_export(const struct dup *d, uint64_t part);

/*
 * Replaces the window of a partition by one of a former owner; requests that
 * are remembered here already stay. Errors: layer lease, code 1; the start of
 * the window that was there stays.
 */
bool dup_import(struct dup *d, uint64_t part, const char *text,
		struct err *err);

#endif
