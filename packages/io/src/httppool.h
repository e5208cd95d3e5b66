#ifndef HTTPPOOL_H
#define HTTPPOOL_H

/*
 * HTTP/1.1 client: a connection pool for one address, and calls of one request
 * and its response. A connection carries one call at a time.
 */

#include <stdbool.h>
#include <stdint.h>
#include <netinet/in.h>

#include "ctr.h"
#include "evloop.h"
#include "httpmsg.h"

struct httppool; /* connection pool for one address */
struct httpcall; /* call: a request and its response */

enum httpcall_failure {
	HTTPCALL_REFUSED, /* connection refused; nothing was sent */
	HTTPCALL_NOT_SENT, /* not connected; nothing was sent */
	HTTPCALL_NO_RESPONSE, /* sent at least in part; no valid response */
	HTTPCALL_TRUNCATED /* the response was truncated */
};

enum httpcall_match {
	HTTPCALL_MATCH, /* answers this request */
	HTTPCALL_MISMATCH, /* answers another request; is skipped */
	HTTPCALL_INVALID /* unusable: fails with HTTPCALL_NO_RESPONSE */
};

struct httpcall_ops {
	/* Decides whether a response answers the request. May be NULL. */
	enum httpcall_match (*match)(void *arg, const struct httpmsg *m);
	void (*on_head)(void *arg, const struct httpmsg *m);
	void (*on_body)(void *arg, const char *bytes, size_t len);
	/* These two end the call, which must not be used any more. */
	void (*on_done)(void *arg);
	void (*on_failed)(void *arg, enum httpcall_failure failure);
};

/*
 * Counters for the bytes of a call on its connection, separators included. All
 * bytes of a response that the user marks as a refusal count as such.
 */
struct httpcall_counters {
	enum ctr request_heads, request_bodies;
	enum ctr response_heads, response_bodies;
	enum ctr refusals;
};

struct httpcall_request {
	const struct buf *head; /* request line, fields and empty line */
	const void *body;
	size_t body_len;
	bool body_stays; /* valid until the call has ended: not copied */
	bool expect_no_body; /* the request is HEAD */
	/*
	 * The head has Expect: 100-continue, and the body is sent once the
	 * server asks for it. After a response without that it is never sent.
	 * The body must then stay valid until the call ends.
	 */
	bool await_continue;
	/* True if nobody waits for the response any more. May be NULL. */
	bool (*is_abandoned)(void *arg);
	/*
	 * The body is a short text: compress it with the head, if heads are
	 * compressed on the connection.
	 */
	bool pack_body;
	uint64_t reuse_us; /* reuse a connection idle for less; 0: never */
	const struct httpcall_counters *counters; /* static, or NULL */
};

/* Closes connections after idle_us of idle time. NULL if out of memory. */
struct httppool *httppool_create(struct evloop *l,
				 const struct sockaddr_in *address,
				 uint64_t idle_us);

/*
 * Offers compressed heads on each connection (see headcodec.h), for a pool of
 * connections to another daemon.
 */
void httppool_set_compact(struct httppool *p);

/* Closes all connections. Pending calls end without a callback. */
void httppool_destroy(struct httppool *p);

/* Starts a call. Returns NULL without a file descriptor or memory. */
struct httpcall *httpcall_start(struct httppool *p,
				const struct httpcall_request *r,
				const struct httpcall_ops *ops, void *arg);

/* Cancels a call without a callback and closes its connection. */
void httpcall_cancel(struct httpcall *x);

/* Pauses or resumes reading of the response. */
void httpcall_pause(struct httpcall *x, bool paused);

/*
 * Marks the response as a refusal of the request, for the counters. To be
 * called from on_head.
 */
void httpcall_mark_refusal(struct httpcall *x);

/* True if the connection has carried another call before. */
bool httpcall_is_reused(const struct httpcall *x);

/* True if any byte of the request may have been sent. */
bool httpcall_has_sent(const struct httpcall *x);

/*
 * True if the server may run the request: bytes of it may have been sent, and
 * its body has not been held back.
 */
bool httpcall_may_have_run(const struct httpcall *x);

/* Connections opened since creation, and open now. */
uint64_t httppool_opened_count(const struct httppool *p);
uint32_t httppool_open_count(const struct httppool *p);

#endif
