#ifndef PLANNER_H
#define PLANNER_H

/*
 * Planner: the leader reads the rows of all daemons and writes the plan. Safety
 * does not depend on there being a single leader: every write is conditional on
 * the versions of the rows it is based on and of the leader's row.
 */

#include <stdbool.h>
#include <stdint.h>

#include "routing_config.h"
#include "noderpt.h"
#include "router_settings.h"
#include "planview.h"

struct planner;

struct planner_parts {
	struct evloop *loop;
	struct tbl tbl;
	struct planview *view;
	const struct rsettings *settings;
	uint64_t process; /* random number of this process */
	/* In effect; the owner updates it in place. */
	const struct rconfig *config;
	planview_rows_fn on_rows; /* called with the rows that were written */
	void *arg;
};

struct planner *planner_create(const struct planner_parts *parts);
void planner_destroy(struct planner *l);

/* Tries to replace the known leader by this daemon. */
void planner_claim_leadership(struct planner *l, const char *reason);

/* True while this process is the leader, by the plan that it knows. */
bool planner_is_leader(const struct planner *l);

/*
 * True if the plan names an earlier process of this daemon as the leader. This
 * process knows nothing of what has been sent to that one.
 */
bool planner_was_leader(const struct planner *l);

/*
 * True if this daemon is the leader, but has lost contact to the table service
 * for too long: a daemon that reaches the service should replace it.
 */
bool planner_is_stuck(const struct planner *l);

/* Stores the report of a daemon. */
void planner_add_report(struct planner *l, const struct noderpt *r);

/*
 * Adds to the plan that an incarnation ended under a request, or, if ended is
 * 0, that a run of it was completed. The plan shows when it was written.
 */
void planner_add_crash(struct planner *l, uint64_t fingerprint, uint64_t ended);

/* Must be called after a change: reads the rows of the daemons soon. */
void planner_request_read(struct planner *l);

#endif
