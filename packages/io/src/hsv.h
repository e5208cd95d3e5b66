#ifndef HSV_H
#define HSV_H

/*
 * HTTP/1.1 server. A request is delivered with its complete body; the response
 * body can be written in parts. A connection handles one request at a time.
 */

#include <stdbool.h>
#include <stdint.h>

#include "evl.h"
#include "hmg.h"
#include "pac.h"

struct hsv; /* a server on one listening address */
struct hsc; /* a connection of a client */

struct hsv_ops {
	/*
	 * A complete request has arrived. The user responds now and returns
	 * NULL, or returns a context for the other callbacks and responds
	 * later.
	 */
	void *(*on_request)(void *arg, struct hsc *c, const struct hmg *m,
			    const struct buf *body);
	/* The client disconnected before the response was complete. */
	void (*on_disconnect)(void *request);
	/* The part of the response written so far has been sent. */
	void (*on_drained)(void *request);
};

struct hsv_limits {
	uint32_t body_bytes; /* body of one request */
	uint32_t buffered_bytes; /* bodies of all requests in memory */
	uint32_t header_us; /* from the first to the last byte of a request */
	uint32_t idle_us; /* between requests */
};

/* Listens on "ADDRESS:PORT". Returns NULL and sets err on failure. */
struct hsv *hsv_create(struct evl *l, const char *address,
		       const struct hsv_ops *ops, void *arg, struct err *err);

/* Closes all connections; calls on_disconnect for pending requests. */
void hsv_destroy(struct hsv *s);
void hsv_set_limits(struct hsv *s, const struct hsv_limits *limits);

/* From now on long responses are paced by link; NULL disables pacing. */
void hsv_set_link(struct hsv *s, struct pac *link);

/* From now on each connection is closed after its current response. */
void hsv_drain(struct hsv *s);

/*
 * Number of connections that are receiving or answering a request, or have
 * output not yet passed to the kernel. Connections that are closing after their
 * output are counted by skt_closing().
 */
uint32_t hsv_busy(const struct hsv *s);

/* Sends a long response to the current request before other long ones. */
void hsc_hurry(struct hsc *c);

/*
 * Starts a response. fields holds lines "Name: value\r\n". length is the size of
 * the body in bytes, or -1 if unknown; the body is then sent chunked.
 */
void hsc_begin(struct hsc *c, uint16_t status, const char *fields,
	       size_t fields_len, int64_t length);

/* Sends a part of the body. */
void hsc_body(struct hsc *c, const void *bytes, size_t len);

/* Completes the response. */
void hsc_end(struct hsc *c);

/* Aborts a response so that the client detects that it is incomplete. */
void hsc_abort(struct hsc *c);

/* Sends a complete response; fields may be "". */
void hsc_reply(struct hsc *c, uint16_t status, const char *fields,
	       const char *body, size_t len);

/* Bytes of output not yet passed to the kernel. */
size_t hsc_backlog(struct hsc *c);

/* Arrival of the first byte of the current request, monotonic time. */
uint64_t hsc_began_us(const struct hsc *c);

#endif
