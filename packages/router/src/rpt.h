#ifndef RPT_H
#define RPT_H

/* Periodic report of a daemon to the leader about its local upstream. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "krp.h"
#include "rcf.h"

#define RPT_PIECES_MAX 16

struct rpt {
	struct life life; /* id "" if there is none */
	char service[RCF_NAME_MAX];
	uint32_t slots;
	uint32_t running, waiting;
	uint64_t mean_us; /* mean work of the upstream for a request */
	uint32_t slow_left_ms; /* rest of its slow start */
	uint64_t config_version; /* in effect at the daemon */
	struct krp_load pieces[RPT_PIECES_MAX]; /* not scaled by its speed */
	size_t piece_count;
};

/* Returns the report as JSON, which the caller frees. */
char *rpt_write(const struct rpt *r);

/* Parses a report; false if it is invalid. */
bool rpt_parse(const char *json, size_t len, struct rpt *r);

#endif
