#ifndef PEER_SERVER_H
#define PEER_SERVER_H

/* Server for requests that other daemons forward to the local upstream. */

#include "request_runner.h"
#include "httpsrv.h"
#include "tblclock.h"

struct peersrv;

struct peersrv *peersrv_create(struct evloop *l, const struct plat *platform,
			       struct reqrun *runner,
			       const struct tblclock *clock);
void peersrv_destroy(struct peersrv *s);

/*
 * Decides on the head of a request whose sender holds the body back: returns 0
 * to receive it, or the status of the refusal and appends its fields. refusing
 * is true if this daemon takes no more requests.
 */
uint16_t peersrv_expect(struct peersrv *s, const struct httpmsg *m,
			bool refusing, struct buf *fields);
void *peersrv_accept(struct peersrv *s, struct httpconn *c,
		     const struct httpmsg *m, const struct buf *body);
void peersrv_reject(struct peersrv *s, struct httpconn *c);
void peersrv_peer_closed(void *request);
void peersrv_peer_drained(void *request);

#endif
