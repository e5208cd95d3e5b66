#ifndef CRASHES_H
#define CRASHES_H

/*
 * Requests under which upstreams have ended. Each entry lists the incarnations
 * that ended while they ran it; from CRASHES_LIMIT of them on the request is
 * refused. A request that an upstream has completed is removed, as it only ran
 * beside the cause. Does no I/O; the leader keeps the list in the plan.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "incarnation.h"

/* Upstreams that a request may crash. */
#define CRASHES_LIMIT 3
#define CRASHES_MAX 64
/* Entries are removed this long after the last end of an upstream. */
#define CRASHES_TTL_MS 600000

struct crashes_entry {
	uint64_t fingerprint; /* of the request; less than 2^63 */
	uint64_t ended[CRASHES_LIMIT]; /* incarnations, by their hashes */
	uint32_t count; /* of them */
	uint64_t last_ms; /* last end, by the clock of the table service */
};

struct crashes {
	struct crashes_entry entries[CRASHES_MAX];
	size_t count;
};

/*
 * Returns a hash of what a request asks for, without its id. Numbers fit in the
 * integers of JSON.
 */
uint64_t crashes_fingerprint(const char *method, const char *host,
			     size_t host_len, const char *target,
			     size_t target_len, const char *body,
			     size_t body_len);

/* Returns a hash of an incarnation, as it is used in the entries. */
uint64_t crashes_hash_incarnation(const struct incarnation *i);

void crashes_add(struct crashes *c, uint64_t fingerprint, uint64_t ended,
		 uint64_t now_ms);
void crashes_merge(struct crashes *c, const struct crashes *from);
bool crashes_remove(struct crashes *c, uint64_t fingerprint);
void crashes_expire(struct crashes *c, uint64_t now_ms);
const struct crashes_entry *crashes_find(const struct crashes *c,
					 uint64_t fingerprint);
bool crashes_refuses(const struct crashes *c, uint64_t fingerprint);

char *crashes_format(const struct crashes *c);
bool crashes_parse(const char *text, size_t len, struct crashes *c);

#endif
