#ifndef RPT_H
#define RPT_H

/* What a daemon reports to the leader about the upstream beside it. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "krp.h"
#include "routing_config.h"

#define RPT_PIECES_MAX 16

struct rpt {
	struct life life; /* id "" if there is none */
	char service[RCONFIG_NAME_MAX];
	uint32_t slots;
	uint32_t running, waiting;
	uint64_t mean_us; /* of the upstream's work on a request */
	uint32_t slow_left_ms;
	uint64_t config_version; /* in force there */
	struct krp_load pieces[RPT_PIECES_MAX]; /* work in its own time */
	size_t piece_count;
};

/* Returns the JSON form, which the caller frees. */
char *rpt_write(const struct rpt *r);
bool rpt_parse(const char *json, size_t len, struct rpt *r);

#endif
