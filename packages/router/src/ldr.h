#ifndef LDR_H
#define LDR_H

/*
 * Leader: one daemon at a time reads the rows of all daemons and writes the
 * plan. Safety does not rest on there being one leader: every write is
 * conditional on the rows that it was decided from and on the leader's row.
 */

#include <stdbool.h>
#include <stdint.h>

#include "routing_config.h"
#include "rpt.h"
#include "router_settings.h"
#include "vew.h"

struct ldr;

struct ldr_parts {
	struct evl *loop;
	struct tbl tbl;
	struct vew *view;
	const struct rsettings *settings;
	const struct rconfig *config; /* in force, changes in place */
	vew_rows_fn on_rows; /* rows of the plan have been written */
	void *arg;
};

struct ldr *ldr_create(const struct ldr_parts *parts);
void ldr_destroy(struct ldr *l);

/* Tries to become the leader in place of the known one. */
void ldr_claim(struct ldr *l, const char *reason);

/* True while this daemon is the leader, as far as it knows. */
bool ldr_leads(const struct ldr *l);

/*
 * True if this daemon leads and has not reached the table service for a while:
 * another one that reaches it should lead.
 */
bool ldr_is_stuck(const struct ldr *l);

/* Takes the report of a daemon. */
void ldr_report(struct ldr *l, const struct rpt *r);

/* Something has changed: the rows are read soon. */
void ldr_wake(struct ldr *l);

#endif
