#ifndef ROUTE_STATS_H
#define ROUTE_STATS_H

/*
 * Statistics by route: the outcomes of the requests, and their times by phase.
 * Log lines of single requests are rate-limited; these counts are complete.
 */

#include <stddef.h>
#include <stdint.h>

#include "evloop.h"

enum rstats_outcome {
	RSTATS_ON_TIME, /* whole response within the objective */
	RSTATS_LATE,
	RSTATS_UPSTREAM_FAILURE, /* the upstream answered with a failure */
	/* Rejected, or failed if an earlier attempt may have run. */
	RSTATS_BUSY, /* the upstream could not finish it in time */
	RSTATS_NO_OWNER, /* no upstream owns the key */
	RSTATS_NO_UPSTREAM, /* no upstream accepts requests */
	RSTATS_SHED, /* rejected by the upstream */
	RSTATS_CRASHES, /* it has crashed each upstream that ran it */
	RSTATS_NOT_SENT, /* the time limit passed before it was sent */
	/* Failed; the request may have run. */
	RSTATS_LOST, /* the connection ended without a response */
	RSTATS_TRUNCATED, /* the response was truncated */
	RSTATS_NO_RESPONSE, /* the time limit passed without a response */
	RSTATS_CALLER_CLOSED, /* the caller closed the connection */
	RSTATS_OUTCOME_COUNT
};

enum rstats_phase {
	RSTATS_QUEUE, /* queued, until the request was sent to the upstream */
	RSTATS_RUN, /* at the upstream, until the response head */
	RSTATS_TRANSIT, /* between the daemons, both ways, until the head */
	RSTATS_BODY, /* from the response head to the end of the response */
	RSTATS_PHASE_COUNT
};

struct rstats;

struct rstats *rstats_create(struct evloop *l);
void rstats_destroy(struct rstats *s);

uint32_t rstats_find_route(struct rstats *s, const char *name);

void rstats_count_outcome(struct rstats *s, uint32_t route,
			  enum rstats_outcome outcome);
void rstats_add_duration(struct rstats *s, uint32_t route,
			 enum rstats_phase time, uint64_t us);

const char *rstats_outcome_text(enum rstats_outcome outcome);

uint32_t rstats_count(const struct rstats *s, uint32_t route,
		      enum rstats_outcome outcome);

#endif
