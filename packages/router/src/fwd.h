#ifndef FWD_H
#define FWD_H

/*
 * Forwards the requests of callers: finds an upstream for each request, sends
 * it there, and returns the whole response or a rejection. A rejection with a
 * retry delay states that the request has not run.
 */

#include <stdbool.h>
#include <stdint.h>

#include "exr.h"
#include "hsv.h"
#include "rse.h"
#include "vew.h"

struct fwr; /* the forwarder */

struct fwr_parts {
	struct evl *loop;
	const struct plat *platform;
	const struct rse *settings;
	const struct rcf *config; /* active configuration, updated in place */
	struct vew *view;
	struct exr *runner; /* of the local upstream */
	struct att *upstream;
};

struct fwr *fwr_create(const struct fwr_parts *parts);
void fwr_destroy(struct fwr *w);

void *fwr_request(struct fwr *w, struct hsc *c, const struct hmg *m,
		  const struct buf *body);
void fwr_gone(void *request);
void fwr_drained(void *request);
void fwr_stop_at(struct fwr *w, uint64_t end_us);
void fwr_plan_changed(struct fwr *w);

const struct hst *fwr_response_times(const struct fwr *w);
const struct hst *fwr_refusal_times(const struct fwr *w);

#endif
