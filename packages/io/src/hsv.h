#ifndef HSV_H
#define HSV_H

/*
 * HTTP/1.1 server. A request is handed over with its whole body; the response
 * is written in pieces. One request at a time runs on a connection.
 */

#include <stdbool.h>
#include <stdint.h>

#include "evl.h"
#include "hmg.h"
#include "pac.h"

struct hsv; /* a listening address */
struct hsc; /* a connection of a client */

struct hsv_ops {
	/*
	 * A whole request has come. The user answers now or later; what it
	 * returns is given to the other functions, NULL if it has answered.
	 */
	void *(*on_request)(void *arg, struct hsc *c, const struct hmg *m,
			    const struct buf *body);
	/* The client left before the response was complete. */
	void (*on_gone)(void *request);
	/* The output of a response in pieces has been sent. */
	void (*on_drained)(void *request);
};

struct hsv_limits {
	uint32_t body_bytes; /* of one request */
	uint32_t buffered_bytes; /* of all requests being read */
	uint32_t header_us; /* from the first byte to the end of a request */
	uint32_t idle_us; /* between requests */
};

struct hsv *hsv_create(struct evl *l, const char *address,
		       const struct hsv_ops *ops, void *arg, struct err *err);

/* Closes all connections; on_gone is called for the requests that run. */
void hsv_destroy(struct hsv *s);
void hsv_set_limits(struct hsv *s, const struct hsv_limits *limits);

/* Long responses are sent at the rate of the link from now on. */
void hsv_set_link(struct hsv *s, struct pac *link);

/* From now on connections are closed behind the response that runs. */
void hsv_drain(struct hsv *s);

/*
 * Connections with a request that is being read or answered, or with output that
 * the system has not taken yet; see skt_closing() for those that are closed.
 */
uint32_t hsv_busy(const struct hsv *s);

/* A long response to the running request goes before others. */
void hsc_hurry(struct hsc *c);

/*
 * Begins a response. fields are lines "Name: value\r\n". length is that of the
 * body, -1 if it is not known; the body is then sent in chunks.
 */
void hsc_begin(struct hsc *c, uint16_t status, const char *fields,
	       size_t fields_len, int64_t length);
void hsc_body(struct hsc *c, const void *bytes, size_t len);

/* The response is complete. */
void hsc_end(struct hsc *c);

/* Breaks a response off, so that the client sees that it is not whole. */
void hsc_abort(struct hsc *c);

/* A whole response with a short body; fields may be "". */
void hsc_reply(struct hsc *c, uint16_t status, const char *fields,
	       const char *body, size_t len);

/* Bytes of the response that wait to be sent. */
size_t hsc_backlog(struct hsc *c);

/* When the first byte of the running request came, monotonic. */
uint64_t hsc_began_us(const struct hsc *c);

#endif
