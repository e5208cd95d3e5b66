#ifndef LDR_H
#define LDR_H

/*
 * Planner: the leader reads the rows of all daemons and writes the plan. Safety
 * does not depend on there being a single leader: every write is conditional on
 * the versions of the rows it is based on and of the leader's row.
 */

#include <stdbool.h>
#include <stdint.h>

#include "rcf.h"
#include "rpt.h"
#include "rse.h"
#include "vew.h"

struct ldr;

struct ldr_parts {
	struct evl *loop;
	struct tbl tbl;
	struct vew *view;
	const struct rse *settings;
	const struct rcf *config; /* in effect; the owner updates it in place */
	vew_rows_fn on_rows; /* called with the rows that were written */
	void *arg;
};

struct ldr *ldr_create(const struct ldr_parts *parts);
void ldr_destroy(struct ldr *l);

/* Tries to replace the known leader by this daemon. */
void ldr_claim(struct ldr *l, const char *reason);

/* True while this daemon is the leader, by the plan that it knows. */
bool ldr_leads(const struct ldr *l);

/*
 * True if this daemon is the leader, but has lost contact to the table service
 * for too long: a daemon that reaches the service should replace it.
 */
bool ldr_is_stuck(const struct ldr *l);

/* Stores the report of a daemon. */
void ldr_report(struct ldr *l, const struct rpt *r);

/* Must be called after a change: reads the rows of the daemons soon. */
void ldr_wake(struct ldr *l);

#endif
