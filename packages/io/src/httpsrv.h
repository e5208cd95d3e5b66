#ifndef HTTPSRV_H
#define HTTPSRV_H

/*
 * HTTP/1.1 server. A request is delivered with its complete body; the response
 * body can be written in parts. A client may send requests without waiting for
 * responses: those that may overlap run side by side, and the responses go out
 * in the order of the requests (see pipeline.h).
 */

#include <stdbool.h>
#include <stdint.h>

#include "evloop.h"
#include "httpmsg.h"
#include "pacer.h"

struct httpsrv; /* a server on one listening address */
struct httpconn; /* a request on a client's connection and its response */

struct httpsrv_ops {
	/*
	 * A complete request has arrived. The user responds now and returns
	 * NULL, or returns a context for the other callbacks and responds
	 * later. m and body are valid until the response has ended.
	 */
	void *(*on_request)(void *arg, struct httpconn *c,
			    const struct httpmsg *m, const struct buf *body);
	/* The client disconnected before the response was complete. */
	void (*on_disconnect)(void *request);
	/* The part of the response written so far has been sent. */
	void (*on_drained)(void *request);
};

struct httpsrv_limits {
	uint32_t head_bytes; /* target and header fields of one request */
	uint32_t body_bytes; /* body of one request */
	uint32_t buffered_bytes; /* bodies of all requests in memory */
	uint32_t header_us; /* from the first to the last byte of a request */
	uint32_t idle_us; /* between requests */
};

/* Listens on "ADDRESS:PORT". Returns NULL and sets err on failure. */
struct httpsrv *httpsrv_create(struct evloop *l, const char *address,
			       const struct httpsrv_ops *ops, void *arg,
			       struct err *err);

/* Closes all connections; calls on_disconnect for pending requests. */
void httpsrv_destroy(struct httpsrv *s);
void httpsrv_set_limits(struct httpsrv *s, const struct httpsrv_limits *limits);

/* From now on long responses are paced by link; NULL disables pacing. */
void httpsrv_set_pacer(struct httpsrv *s, struct pacer *link);

/*
 * Without a function, the bodies of all requests are needed. A body that is not
 * needed is read, within the limit of its size, but not kept.
 */
typedef bool (*httpsrv_body_fn)(void *arg, const struct httpmsg *m);
void httpsrv_set_body_filter(struct httpsrv *s, httpsrv_body_fn is_needed);

/*
 * Writes the fields of the response (503) to a request that is refused because
 * of the memory that it would take; it has not run.
 */
typedef void (*httpsrv_refusal_fn)(void *arg, struct buf *fields);
void httpsrv_set_refusal(struct httpsrv *s, httpsrv_refusal_fn fn);

/*
 * True if a request is repeatable and may run before earlier ones on its
 * connection have been answered.
 */
typedef bool (*httpsrv_overlap_fn)(void *arg, const struct httpmsg *m);

/*
 * Lets requests for which fn returns true overlap. held_bytes is the memory for
 * responses that wait for earlier ones, of all connections together.
 */
void httpsrv_set_overlap(struct httpsrv *s, httpsrv_overlap_fn fn,
			 size_t held_bytes);

/*
 * Decides on the head of a request whose client holds the body back (Expect:
 * 100-continue) whether to receive it: returns 0, or the status of the response
 * that refuses the request, and appends its fields.
 */
typedef uint16_t (*httpsrv_expect_fn)(void *arg, const struct httpmsg *m,
				      struct buf *fields);

/*
 * Asks fn before a body is received. After a refusal the connection is kept and
 * no body follows: fn must accept requests of clients that may send it anyway.
 */
void httpsrv_set_expect(struct httpsrv *s, httpsrv_expect_fn fn);

/*
 * Accepts the offer of a client to compress the heads of requests and responses
 * on its connection (see headcodec.h), for a server that only daemons use.
 */
void httpsrv_set_compact(struct httpsrv *s);

/* From now on each connection is closed after the requests it has read. */
void httpsrv_drain(struct httpsrv *s);

/*
 * Number of connections that are receiving or answering a request, or have
 * output that the client has not acknowledged. Connections that are closing
 * after their output are counted by tcpsock_closing_count().
 */
uint32_t httpsrv_busy_count(const struct httpsrv *s);

/* Number of connections with output that the client has not acknowledged. */
uint32_t httpsrv_sending_count(const struct httpsrv *s);

/* Names the request in log lines of the server. */
void httpconn_set_id(struct httpconn *c, const char *id);

/*
 * The loss of the response does no harm: once it has been passed to the kernel,
 * the connection is not busy.
 */
void httpconn_set_expendable(struct httpconn *c);

/* Sends a long response to this request before other long ones. */
void httpconn_set_urgent(struct httpconn *c);

/*
 * Starts a response. fields holds lines "Name: value\r\n". length is the size
 * of the body in bytes, or -1 if unknown; the body is then sent chunked.
 */
void httpconn_begin(struct httpconn *c, uint16_t status, const char *fields,
		    size_t fields_len, int64_t length);

/* Sends a part of the body. */
void httpconn_write(struct httpconn *c, const void *bytes, size_t len);

/* Completes the response. */
void httpconn_end(struct httpconn *c);

/*
 * Aborts a response so that the client detects that it is incomplete. One of
 * which nothing has been sent yet is replaced by 502 (Bad Gateway).
 */
void httpconn_abort(struct httpconn *c);

/* Sends a complete response; fields may be "". */
void httpconn_reply(struct httpconn *c, uint16_t status, const char *fields,
		    const char *body, size_t len);

/*
 * Bytes of the response not yet passed to the kernel; SIZE_MAX if it waits for
 * its turn and the memory for such responses is used up.
 */
size_t httpconn_unsent_bytes(struct httpconn *c);

/*
 * True if the client has closed the connection, even if on_disconnect has not
 * been called yet: work for a request should not start any more.
 */
bool httpconn_client_has_left(const struct httpconn *c);

/* True if the body was not kept, as the filter said. */
bool httpconn_body_is_discarded(const struct httpconn *c);

/* Arrival of the first byte of the request, monotonic time. */
uint64_t httpconn_start_us(const struct httpconn *c);

/* Unanswered requests before this one on its connection. */
uint32_t httpconn_earlier_count(const struct httpconn *c);

#endif
