#ifndef SRV_H
#define SRV_H

/* Server for requests that other daemons forward to the local upstream. */

#include "exr.h"
#include "hsv.h"

struct srv;

struct srv *srv_create(struct evl *l, const struct plat *platform,
		       struct exr *runner);
void srv_destroy(struct srv *s);

void *srv_request(struct srv *s, struct hsc *c, const struct hmg *m,
		  const struct buf *body);
void srv_refuse(struct srv *s, struct hsc *c);
void srv_gone(void *request);
void srv_drained(void *request);

#endif
