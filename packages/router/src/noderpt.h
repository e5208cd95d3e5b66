#ifndef NODERPT_H
#define NODERPT_H

/* Periodic report of a daemon to the leader about its local upstream. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "keyplan.h"
#include "routing_config.h"

#define NODERPT_PIECES_MAX 16
#define NODERPT_HOLDS_MAX 32

/* Keys that an upstream holds, by a map that is not known any more. */
struct noderpt_hold {
	uint32_t first, last; /* inclusive */
	uint64_t fence;
};

struct noderpt {
	struct incarnation incarnation; /* id "" if there is none */
	char service[NAME_SIZE];
	uint32_t slots;
	uint32_t running, waiting;
	uint64_t mean_us; /* mean work of the upstream for a request */
	uint32_t slow_left_ms; /* rest of its slow start */
	uint64_t config_version; /* in effect at the daemon */
	/* Not scaled by its speed. */
	struct keyplan_load pieces[NODERPT_PIECES_MAX];
	size_t piece_count;
	/*
	 * True if the daemon knows no map that assigns all keys of the service,
	 * and its upstream has announced what it holds. More holds than fit
	 * follow once these are assigned.
	 */
	bool states_holds;
	struct noderpt_hold holds[NODERPT_HOLDS_MAX];
	size_t hold_count;
};

/* Returns the report as JSON, which the caller frees. */
char *noderpt_format(const struct noderpt *r);

/* Parses a report; false if it is invalid. */
bool noderpt_parse(const char *json, size_t len, struct noderpt *r);

#endif
