#ifndef HCL_H
#define HCL_H

/*
 * HTTP/1.1 client: a connection pool for one address, and calls of one request
 * and its response. A connection carries one call at a time.
 */

#include <stdbool.h>
#include <stdint.h>
#include <netinet/in.h>

#include "evl.h"
#include "hmg.h"

struct hcl; /* connection pool for one address */
struct hxc; /* call: a request and its response */

enum hxc_failure {
	HXC_REFUSED, /* connection refused; nothing was sent */
	HXC_NOT_SENT, /* not connected; nothing was sent */
	HXC_NO_RESPONSE, /* sent at least in part; no valid response */
	HXC_CUT /* the response was truncated */
};

enum hxc_match {
	HXC_OURS, /* answers this request */
	HXC_FOREIGN, /* answers another request; is skipped */
	HXC_INVALID /* unusable: fails with HXC_NO_RESPONSE */
};

struct hxc_ops {
	/* Decides whether a response answers the request. May be NULL. */
	enum hxc_match (*match)(void *arg, const struct hmg *m);
	void (*on_head)(void *arg, const struct hmg *m);
	void (*on_body)(void *arg, const char *bytes, size_t len);
	/* These two end the call, which must not be used any more. */
	void (*on_done)(void *arg);
	void (*on_failed)(void *arg, enum hxc_failure failure);
};

struct hxc_request {
	const struct buf *head; /* request line, fields and empty line */
	const void *body;
	size_t body_len;
	bool expect_no_body; /* the request is HEAD */
	uint64_t reuse_us; /* reuse a connection idle for less; 0: never */
};

/* Closes connections after idle_us of idle time. NULL if out of memory. */
struct hcl *hcl_create(struct evl *l, const struct sockaddr_in *address,
		       uint64_t idle_us);

/* Closes all connections. Pending calls end without a callback. */
void hcl_destroy(struct hcl *p);

/* Starts a call. Returns NULL without a file descriptor or memory. */
struct hxc *hxc_start(struct hcl *p, const struct hxc_request *r,
		      const struct hxc_ops *ops, void *arg);

/* Cancels a call without a callback and closes its connection. */
void hxc_cancel(struct hxc *x);

/* Pauses or resumes reading of the response. */
void hxc_hold(struct hxc *x, bool paused);

/* True if any byte of the request may have been sent. */
bool hxc_has_sent(const struct hxc *x);

/* Connections opened since creation, and open now. */
uint64_t hcl_opened(const struct hcl *p);
uint32_t hcl_open(const struct hcl *p);

#endif
