#ifndef SRV_H
#define SRV_H

/* Requests that other daemons forward to the upstream beside this one. */

#include "exr.h"
#include "hsv.h"

struct srv;

struct srv *srv_create(struct evl *l, const struct plat *platform,
		       struct exr *runner);
void srv_destroy(struct srv *s);

/* Runs a forwarded request; returns what the two below get, or NULL. */
void *srv_request(struct srv *s, struct hsc *c, const struct hmg *m,
		  const struct buf *body);

/* Says that the upstream beside this daemon takes no more requests. */
void srv_refuse(struct srv *s, struct hsc *c);
void srv_gone(void *request);
void srv_drained(void *request);

#endif
