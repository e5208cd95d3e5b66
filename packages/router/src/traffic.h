#ifndef TRAFFIC_H
#define TRAFFIC_H

/*
 * Counters of the bytes between daemons, by the kind of message and by whether
 * the other daemon is in the own data centre, and of those to and from the
 * store. The daemon that sends a message counts it and its response.
 */

#include <stdbool.h>
#include <stdint.h>

#include "httppool.h"

enum traffic_kind {
	TRAFFIC_REQUEST, /* forwarded requests */
	TRAFFIC_PLAN, /* rows of the plan */
	TRAFFIC_REPORT, /* reports to the leader */
	TRAFFIC_MESSAGE, /* all other messages */
	TRAFFIC_KINDS
};

/* The counters from the first to the last one of traffic in counters.def. */
#define TRAFFIC_FIRST CTR_OWN_DC_REQUEST_HEADS
#define TRAFFIC_COUNTERS (CTR_STORE_RECEIVED - TRAFFIC_FIRST + 1)

/*
 * Returns the counters for messages of one kind to a daemon in the data centre
 * `other`; one that is not known is not the own one.
 */
const struct httpcall_counters *
traffic_counters(enum traffic_kind kind, const char *own, const char *other);

/*
 * Appends the bytes counted since the values in last, which it updates, as
 * fields of a log line. False if there were none.
 */
bool traffic_write(uint64_t last[TRAFFIC_COUNTERS], struct buf *line);

#endif
