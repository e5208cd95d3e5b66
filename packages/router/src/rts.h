#ifndef RTS_H
#define RTS_H

/*
 * Statistics by route: the outcomes of the requests, and their times by phase.
 * Log lines of single requests are rate-limited; these counts are complete.
 */

#include <stddef.h>
#include <stdint.h>

#include "evl.h"

enum rts_outcome {
	RTS_ON_TIME, /* whole response within the objective */
	RTS_LATE,
	RTS_UPSTREAM_FAILURE, /* the upstream answered with a failure */
	/* Rejected, or failed if an earlier attempt may have run. */
	RTS_BUSY, /* the upstream could not finish it in time */
	RTS_NO_OWNER, /* no upstream owns the key */
	RTS_NO_UPSTREAM, /* no upstream accepts requests */
	RTS_SHED, /* rejected by the upstream */
	RTS_NOT_SENT, /* the time limit passed before it was sent */
	/* Failed; the request may have run. */
	RTS_LOST, /* the connection ended without a response */
	RTS_CUT, /* the response was truncated */
	RTS_NO_RESPONSE, /* the time limit passed without a response */
	RTS_CALLER_GONE, /* the caller closed the connection */
	RTS_OUTCOMES
};

enum rts_time {
	RTS_QUEUE, /* queued, until the request was sent to the upstream */
	RTS_RUN, /* at the upstream, until the response head */
	RTS_TRANSIT, /* between the daemons, both ways, until the head */
	RTS_BODY, /* from the response head to the end of the response */
	RTS_TIMES
};

struct rts;

struct rts *rts_create(struct evl *l);
void rts_destroy(struct rts *s);

uint32_t rts_route(struct rts *s, const char *name);

void rts_end(struct rts *s, uint32_t route, enum rts_outcome outcome);
void rts_add_time(struct rts *s, uint32_t route, enum rts_time time,
		  uint64_t us);

const char *rts_text(enum rts_outcome outcome);

uint32_t rts_count(const struct rts *s, uint32_t route,
		   enum rts_outcome outcome);

#endif
