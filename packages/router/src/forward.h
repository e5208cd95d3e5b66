#ifndef FORWARD_H
#define FORWARD_H

/*
 * Forwards the requests of callers: finds an upstream for each request, sends
 * it there, and returns the whole response or a rejection. A rejection with a
 * retry delay states that the request has not run.
 */

#include <stdbool.h>
#include <stdint.h>

#include "request_runner.h"
#include "httpsrv.h"
#include "router_settings.h"
#include "planview.h"
#include "tblclock.h"

struct fwd; /* the forwarder */

struct fwd_parts {
	struct evloop *loop;
	const struct plat *platform;
	const struct rsettings *settings;
	/* Active configuration, updated in place. */
	const struct rconfig *config;
	struct planview *view;
	struct reqrun *runner; /* of the local upstream */
	struct upstr *upstream;
	const struct crashwatch *crashes; /* NULL if there is none */
	const struct tblclock *clock;
};

struct fwd *fwd_create(const struct fwd_parts *parts);
void fwd_destroy(struct fwd *w);

/* True if the request has a route. */
bool fwd_has_route(const struct fwd *w, const struct httpmsg *m);
bool fwd_may_overlap(const struct fwd *w, const struct httpmsg *m);
void *fwd_accept(struct fwd *w, struct httpconn *c, const struct httpmsg *m,
		 const struct buf *body);
void fwd_caller_closed(void *request);
void fwd_caller_drained(void *request);
void fwd_set_end(struct fwd *w, uint64_t end_us);
void fwd_plan_changed(struct fwd *w);

const struct histogram *fwd_response_times(const struct fwd *w);
const struct histogram *fwd_rejection_times(const struct fwd *w);

#endif
