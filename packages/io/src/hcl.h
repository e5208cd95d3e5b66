#ifndef HCL_H
#define HCL_H

/*
 * HTTP/1.1 client: a pool of connections to one address and exchanges of one
 * request and its response. One exchange at a time uses a connection.
 */

#include <stdbool.h>
#include <stdint.h>
#include <netinet/in.h>

#include "evl.h"
#include "hmg.h"

struct hcl; /* pool for one address */
struct hxc; /* exchange */

enum hxc_failure {
	HXC_REFUSED, /* no process listens; nothing was sent */
	HXC_NOT_SENT, /* no connection; nothing was sent */
	HXC_NO_RESPONSE, /* sent, at least in part; no response came */
	HXC_CUT /* the response ended early */
};

enum hxc_match {
	HXC_OURS,
	HXC_FOREIGN, /* belongs to another request: it is skipped */
	HXC_INVALID /* not usable: the exchange fails as NO_RESPONSE */
};

struct hxc_ops {
	/* Tells whether a response belongs to the request; may be NULL. */
	enum hxc_match (*match)(void *arg, const struct hmg *m);
	void (*on_head)(void *arg, const struct hmg *m);
	void (*on_body)(void *arg, const char *bytes, size_t len);
	/* The exchange is over in these two and must not be used any more. */
	void (*on_done)(void *arg);
	void (*on_failed)(void *arg, enum hxc_failure failure);
};

struct hxc_request {
	const struct buf *head; /* start line and fields with the empty line */
	const void *body;
	size_t body_len;
	bool expect_no_body; /* the request is HEAD */
	uint64_t reuse_us; /* longest idle time of a connection; 0: a new one */
};

/* idle_us: a connection that is idle for longer is closed. */
struct hcl *hcl_create(struct evl *l, const struct sockaddr_in *address,
		       uint64_t idle_us);

/* Closes all connections; running exchanges end without a report. */
void hcl_destroy(struct hcl *p);

/* Starts an exchange; NULL if there is no descriptor or no memory. */
struct hxc *hxc_start(struct hcl *p, const struct hxc_request *r,
		      const struct hxc_ops *ops, void *arg);

/* Ends an exchange without a report and closes its connection. */
void hxc_cancel(struct hxc *x);

/* Stops and resumes reading of the response. */
void hxc_hold(struct hxc *x, bool held);

/* True if any byte of the request has been handed to the system. */
bool hxc_has_sent(const struct hxc *x);

/* Connections opened so far and open now. */
uint64_t hcl_opened(const struct hcl *p);
uint32_t hcl_open(const struct hcl *p);

#endif
