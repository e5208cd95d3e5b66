#ifndef FWD_H
#define FWD_H

/*
 * Requests of callers: finds the upstream that is to run each one, sends it
 * there, and brings the whole response back or an honest refusal.
 */

#include <stdbool.h>
#include <stdint.h>

#include "exr.h"
#include "hsv.h"
#include "rse.h"
#include "vew.h"

struct fwr; /* the part that forwards */

struct fwr_parts {
	struct evl *loop;
	const struct plat *platform;
	const struct rse *settings;
	const struct rcf *config; /* in force, changes in place */
	struct vew *view;
	struct exr *runner; /* of the upstream beside this daemon */
	struct att *upstream;
};

struct fwr *fwr_create(const struct fwr_parts *parts);
void fwr_destroy(struct fwr *w);

/* Takes a request; returns what the two below get, or NULL if answered. */
void *fwr_request(struct fwr *w, struct hsc *c, const struct hmg *m,
		  const struct buf *body);
void fwr_gone(void *request);
void fwr_drained(void *request);

/* The process ends then: requests that come from now on end before it. */
void fwr_stop_at(struct fwr *w, uint64_t end_us);

/* Owners or members have changed: requests that wait for that go on. */
void fwr_plan_changed(struct fwr *w);

/* Latencies of responses and of refusals, in microseconds. */
const struct hst *fwr_response_times(const struct fwr *w);
const struct hst *fwr_refusal_times(const struct fwr *w);

#endif
