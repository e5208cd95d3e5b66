#ifndef MAN_H
#define MAN_H

/*
 * The manifest describes the services: their kinds of request, where the key
 * of a request is found, which callers may send it, and the placement policy.
 * A deployment pipeline generates it. A manifest with any error is rejected as
 * a whole. See docs/manifest.md.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"

#define MAN_FORMAT 1
#define MAN_BYTES_MAX 1048576
#define MAN_NAME_MAX 32
#define MAN_PATTERN_MAX 128
#define MAN_SEGMENTS_MAX 16
#define MAN_SERVICES_MAX 64
#define MAN_KINDS_MAX 64 /* per service */
#define MAN_GROUPS_MAX 32
#define MAN_NETWORKS_MAX 32 /* per caller group */

enum man_error {
	MAN_UNREADABLE = 1,
	MAN_TOO_LARGE, /* larger than MAN_BYTES_MAX */
	MAN_SYNTAX,
	MAN_UNKNOWN_FIELD,
	MAN_MISSING_FIELD,
	MAN_BAD_VALUE,
	MAN_DUPLICATE, /* repeated id or name, or overlapping patterns */
	MAN_UNKNOWN_GROUP
};

/* What placement weighs most for a service. */
enum man_weigh {
	MAN_UNAVAILABLE_TIME,
	MAN_CHURN
};

/* The part of a request that holds its key. */
enum man_key_source {
	MAN_KEY_PATH,
	MAN_KEY_QUERY,
	MAN_KEY_HEADER
};

struct man_kind {
	char name[MAN_NAME_MAX];
	char method[8];
	char path[MAN_PATTERN_MAX]; /* {key} and {any} match one segment */
	enum man_key_source key_source;
	char key_name[MAN_NAME_MAX]; /* name of the query field or header */
	bool idempotent;
	uint32_t deadline_ms; /* 1 to 600000 */
	uint32_t share_pct; /* of the upstream's slots, 0 to 100 */
	uint32_t queue; /* longest queue, 0 to 1024 requests */
	uint32_t groups; /* bit set of caller groups; 0 admits all */
};

struct man_service {
	uint16_t id; /* 1 to 65535, never reused */
	char name[MAN_NAME_MAX];
	uint32_t partitions; /* 1 to 1048576; never changes for an id */
	bool checks_fences;
	enum man_weigh weigh;
	uint32_t imbalance_tolerance_pct; /* 0 to 1000 */
	uint32_t moves_per_minute; /* 0 to 10000 */
	uint32_t kind_count;
	struct man_kind *kinds;
};

struct man; /* a validated manifest; immutable */

/*
 * Parses and validates a manifest; name is the file name for messages. Returns
 * NULL on error, with layer ERR_MANIFEST, a code of enum man_error and the
 * text "FILE:LINE: FIELD: reason (allowed: RANGE)".
 */
struct man *man_parse(const char *name, const char *text, size_t len,
		      struct err *err);

/* Same as man_parse() for a file. */
struct man *man_load(const char *path, struct err *err);
void man_destroy(struct man *m);

/* Returns the version that the pipeline assigned, at least 1. */
uint64_t man_version(const struct man *m);

size_t man_service_count(const struct man *m);
const struct man_service *man_service_at(const struct man *m, size_t i);
const struct man_service *man_service_by_id(const struct man *m, uint16_t id);
const struct man_service *man_service_by_name(const struct man *m,
					      const char *name);

/*
 * Checks that the new manifest may replace the old one: its version is higher
 * and no service changes its number of partitions. Returns false with code
 * MAN_BAD_VALUE otherwise.
 */
bool man_follows(const struct man *old, const struct man *new, struct err *err);

/* The parts of a request that man_match() reads. */
struct man_request {
	const char *method;
	const char *path; /* without the query */
	const char *query; /* without '?', may be NULL */
	/* Returns the value of a header, NULL if absent; may be NULL. */
	const char *(*header)(void *arg, const char *name);
	void *arg;
};

#define MAN_KEY_MAX 256

struct man_match {
	const struct man_service *service;
	uint32_t kind; /* index into service->kinds */
	char key[MAN_KEY_MAX]; /* percent-decoded and NUL-terminated */
	size_t key_len;
};

enum man_verdict {
	MAN_MATCH,
	MAN_NO_KIND, /* no pattern matches the path */
	MAN_NO_METHOD, /* a pattern matches the path, but not the method */
	MAN_NO_KEY /* the key is missing, empty, too long or malformed */
};

/*
 * Finds the service and the kind of a request and extracts its key. Allocates
 * no memory. *out is valid only after MAN_MATCH.
 */
enum man_verdict man_match(const struct man *m, const struct man_request *req,
			   struct man_match *out);

/*
 * Returns true if a caller with this IP address may send requests of this kind.
 * An address that cannot be parsed belongs to no group.
 */
bool man_may_call(const struct man *m, const struct man_kind *kind,
		  const char *address);

/*
 * Returns the longest deadline among the non-idempotent kinds of a service, in
 * milliseconds, or 0 if it has no such kind.
 */
uint32_t man_longest_unrepeatable_ms(const struct man_service *s);

/*
 * The longest deadline at which a service whose upstreams do not check fences
 * is available again within 3 s of a failure.
 */
#define MAN_UNFENCED_DEADLINE_MAX_MS 1000

typedef void (*man_warn_fn)(void *arg, const char *text);

/*
 * Calls fn with a warning for each non-idempotent kind that exceeds
 * MAN_UNFENCED_DEADLINE_MAX_MS while its upstreams do not check fences.
 */
void man_warn(const struct man *m, man_warn_fn fn, void *arg);

#endif
