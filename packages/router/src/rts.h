#ifndef RTS_H
#define RTS_H

/*
 * Statistics of each route: what became of its requests, and where their time
 * went. Lines of single requests are limited in rate; these counts are whole.
 */

#include <stddef.h>
#include <stdint.h>

#include "evl.h"

enum rts_outcome {
	RTS_ON_TIME, /* whole response within the objective */
	RTS_LATE,
	RTS_UPSTREAM_FAILURE, /* the upstream answered with a failure */
	/* Refused, or failed if an earlier attempt may have run. */
	RTS_BUSY, /* the upstream could not end it in time */
	RTS_NO_OWNER, /* no upstream owns the key */
	RTS_NO_UPSTREAM, /* no upstream takes work */
	RTS_SHED, /* refused by the upstream */
	RTS_NOT_SENT, /* time was over before it was sent */
	/* It may have run. */
	RTS_LOST, /* the connection ended without a response */
	RTS_CUT, /* the response ended early */
	RTS_NO_RESPONSE, /* time was over */
	RTS_CALLER_GONE,
	RTS_OUTCOMES
};

enum rts_time {
	RTS_QUEUE, /* before the upstream, until the request was sent to it */
	RTS_RUN, /* at the upstream, until the head of the response */
	RTS_TRANSIT, /* between the daemons, both ways, until the head */
	RTS_BODY, /* from the head to the end of the response */
	RTS_TIMES
};

struct rts;

struct rts *rts_create(struct evl *l);
void rts_destroy(struct rts *s);

/* Returns the handle of a route; routes beyond a limit share the last one. */
uint32_t rts_route(struct rts *s, const char *name);

void rts_end(struct rts *s, uint32_t route, enum rts_outcome outcome);
void rts_add_time(struct rts *s, uint32_t route, enum rts_time time,
		  uint64_t us);

/* Returns the text of an outcome, for logs. */
const char *rts_text(enum rts_outcome outcome);

/* Number of requests of a route with an outcome, since the last line. */
uint32_t rts_count(const struct rts *s, uint32_t route,
		   enum rts_outcome outcome);

#endif
