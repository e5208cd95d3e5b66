#ifndef PACER_H
#define PACER_H

/* Paces long responses to the bandwidth of the link; see linksched.h. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "evloop.h"
#include "linksched.h"
#include "tcpsock.h"

struct pacer;

/* A response that is being sent; embedded in its connection. */
struct pacer_response {
	/*
	 * Must be the first member: a stream pointer is cast to its response.
	 */
	struct linksched_stream stream;
	struct pacer *owner; /* NULL if no response is being sent */
	struct tcpsock *socket;
	struct buf queue; /* not yet passed to the socket */
	bool ended; /* the whole response has been queued */
	void (*on_sent)(void *arg); /* called when the queue becomes empty */
	void *arg;
};

/* bytes_per_s: link bandwidth, above 0. Returns NULL if out of memory. */
struct pacer *pacer_create(struct evloop *l, uint64_t bytes_per_s);
void pacer_destroy(struct pacer *p);

/* True if a response of length bytes is long enough to be paced. */
bool pacer_is_long(const struct pacer *p, int64_t length);

/*
 * Starts a response. length: bytes of the body, -1 if unknown. urgent: see
 * struct linksched_stream. on_sent runs each time the queue has become empty.
 */
void pacer_begin(struct pacer *p, struct pacer_response *r, struct tcpsock *s,
		 int64_t length, bool urgent, void (*on_sent)(void *arg),
		 void *arg);

/* Queue data, or mark the end. pacer_add() may send and call on_sent. */
void pacer_add(struct pacer_response *r, const void *bytes, size_t len);
void pacer_end(struct pacer_response *r);

/* The socket is writable again: continues sending. */
void pacer_resume(struct pacer_response *r);

/* Drops a response and its queued bytes. */
void pacer_cancel(struct pacer_response *r);

/* Charges bytes that were sent outside any paced response. */
void pacer_charge(struct pacer *p, size_t bytes);

/*
 * Estimated time in microseconds until a new response of this many bytes would
 * be sent completely.
 */
uint64_t pacer_send_time_us(const struct pacer *p, uint64_t bytes);

/* Estimated time in microseconds to send all responses and more bytes. */
uint64_t pacer_total_time_us(const struct pacer *p, uint64_t more);

#endif
