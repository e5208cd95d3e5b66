#ifndef MANIFEST_H
#define MANIFEST_H

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

#define MANIFEST_FORMAT 1
#define MANIFEST_BYTES_MAX 1048576
#define MANIFEST_NAME_MAX 32
#define MANIFEST_PATTERN_MAX 128
#define MANIFEST_SEGMENTS_MAX 16
#define MANIFEST_SERVICES_MAX 64
#define MANIFEST_KINDS_MAX 64 /* per service */
#define MANIFEST_GROUPS_MAX 32
#define MANIFEST_NETWORKS_MAX 32 /* per caller group */

enum manifest_error {
	MANIFEST_UNREADABLE = 1,
	MANIFEST_TOO_LARGE, /* larger than MANIFEST_BYTES_MAX */
	MANIFEST_SYNTAX,
	MANIFEST_UNKNOWN_FIELD,
	MANIFEST_MISSING_FIELD,
	MANIFEST_BAD_VALUE,
	MANIFEST_DUPLICATE, /* repeated id or name, or overlapping patterns */
	MANIFEST_UNKNOWN_GROUP
};

/* What placement weighs most for a service. */
enum manifest_objective {
	MANIFEST_UNAVAILABLE_TIME,
	MANIFEST_CHURN
};

/* The part of a request that holds its key. */
enum manifest_key_source {
	MANIFEST_KEY_PATH,
	MANIFEST_KEY_QUERY,
	MANIFEST_KEY_HEADER
};

struct manifest_kind {
	char name[MANIFEST_NAME_MAX];
	char method[8];
	char path[MANIFEST_PATTERN_MAX]; /* {key} and {any} match one segment */
	enum manifest_key_source key_source;
	/* Name of the query field or header. */
	char key_name[MANIFEST_NAME_MAX];
	bool idempotent;
	uint32_t deadline_ms; /* 1 to 600000 */
	uint32_t share_pct; /* of the upstream's slots, 0 to 100 */
	uint32_t queue; /* longest queue, 0 to 1024 requests */
	uint32_t groups; /* bit set of caller groups; 0 admits all */
};

struct manifest_service {
	uint16_t id; /* 1 to 65535, never reused */
	char name[MANIFEST_NAME_MAX];
	uint32_t partitions; /* 1 to 1048576; never changes for an id */
	bool checks_fences;
	enum manifest_objective weigh;
	uint32_t imbalance_tolerance_pct; /* 0 to 1000 */
	uint32_t moves_per_minute; /* 0 to 10000 */
	uint32_t kind_count;
	struct manifest_kind *kinds;
};

struct manifest; /* a validated manifest; immutable */

/*
 * Parses and validates a manifest; name is the file name for messages. Returns
 * NULL on error, with layer ERR_MANIFEST, a code of enum manifest_error and the
 * text "FILE:LINE: FIELD: reason (allowed: RANGE)".
 */
struct manifest *manifest_parse(const char *name, const char *text, size_t len,
				struct err *err);

/* Same as manifest_parse() for a file. */
struct manifest *manifest_load(const char *path, struct err *err);
void manifest_destroy(struct manifest *m);

/* Returns the version that the pipeline assigned, at least 1. */
uint64_t manifest_version(const struct manifest *m);

size_t manifest_service_count(const struct manifest *m);
const struct manifest_service *manifest_service_at(const struct manifest *m,
						   size_t i);
const struct manifest_service *manifest_service_by_id(const struct manifest *m,
						      uint16_t id);
const struct manifest_service *
manifest_service_by_name(const struct manifest *m, const char *name);

/*
 * Checks that the new manifest may replace the old one: its version is higher
 * and no service changes its number of partitions. Returns false with code
 * MANIFEST_BAD_VALUE otherwise.
 */
bool manifest_may_replace(const struct manifest *old,
			  const struct manifest *new, struct err *err);

/* The parts of a request that manifest_match() reads. */
struct manifest_request {
	const char *method;
	const char *path; /* without the query */
	const char *query; /* without '?', may be NULL */
	/* Returns the value of a header, NULL if absent; may be NULL. */
	const char *(*header)(void *arg, const char *name);
	void *arg;
};

#define MANIFEST_KEY_MAX 256

struct manifest_match {
	const struct manifest_service *service;
	uint32_t kind; /* index into service->kinds */
	char key[MANIFEST_KEY_MAX]; /* percent-decoded and NUL-terminated */
	size_t key_len;
};

enum manifest_result {
	MANIFEST_MATCH,
	MANIFEST_NO_KIND, /* no pattern matches the path */
	MANIFEST_NO_METHOD, /* a pattern matches the path, but not the method */
	MANIFEST_NO_KEY /* the key is missing, empty, too long or malformed */
};

/*
 * Finds the service and the kind of a request and extracts its key. Allocates
 * no memory. *out is valid only after MANIFEST_MATCH.
 */
enum manifest_result manifest_match(const struct manifest *m,
				    const struct manifest_request *req,
				    struct manifest_match *out);

/*
 * Returns true if a caller with this IP address may send requests of this kind.
 * An address that cannot be parsed belongs to no group.
 */
bool manifest_allows_caller(const struct manifest *m,
			    const struct manifest_kind *kind,
			    const char *address);

/*
 * Returns the longest deadline among the non-idempotent kinds of a service, in
 * milliseconds, or 0 if it has no such kind.
 */
uint32_t manifest_max_nonidempotent_ms(const struct manifest_service *s);

/*
 * The longest deadline at which a service whose upstreams do not check fences
 * is available again within 3 s of a failure.
 */
#define MANIFEST_UNFENCED_DEADLINE_MAX_MS 1000

typedef void (*manifest_warn_fn)(void *arg, const char *text);

/*
 * Calls fn with a warning for each non-idempotent kind that exceeds
 * MANIFEST_UNFENCED_DEADLINE_MAX_MS while its upstreams do not check fences.
 */
void manifest_check_deadlines(const struct manifest *m, manifest_warn_fn fn,
			      void *arg);

#endif
