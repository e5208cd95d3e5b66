#ifndef PAC_H
#define PAC_H

/* Paces long responses to the bandwidth of the link; see linksched.h. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "evl.h"
#include "linksched.h"
#include "skt.h"

struct pac;

/* A response that is being sent; embedded in its connection. */
struct pac_response {
	/* Must be the first member: a stream pointer is cast to its response. */
	struct linksched_stream stream;
	struct pac *owner; /* NULL if no response is being sent */
	struct skt *socket;
	struct buf queue; /* not yet passed to the socket */
	bool ended; /* the whole response has been queued */
	void (*on_sent)(void *arg); /* called when the queue becomes empty */
	void *arg;
};

/* bytes_per_s: link bandwidth, above 0. Returns NULL if out of memory. */
struct pac *pac_create(struct evl *l, uint64_t bytes_per_s);
void pac_destroy(struct pac *p);

/* True if a response of length bytes is long enough to be paced. */
bool pac_is_long(const struct pac *p, int64_t length);

/*
 * Starts a response. length: bytes of the body, -1 if unknown. urgent: see
 * struct linksched_stream. on_sent runs each time the queue has become empty.
 */
void pac_begin(struct pac *p, struct pac_response *r, struct skt *s,
	       int64_t length, bool urgent, void (*on_sent)(void *arg),
	       void *arg);

/* Queue data, or mark the end. pac_add() may send and call on_sent. */
void pac_add(struct pac_response *r, const void *bytes, size_t len);
void pac_end(struct pac_response *r);

/* The socket is writable again: continues sending. */
void pac_resume(struct pac_response *r);

/* Drops a response and its queued bytes. */
void pac_stop(struct pac_response *r);

/* Charges bytes that were sent outside any paced response. */
void pac_spend(struct pac *p, size_t bytes);

/*
 * Estimated time in microseconds until a new response of this many bytes would
 * be sent completely.
 */
uint64_t pac_time_us(const struct pac *p, uint64_t bytes);

/* Estimated time in microseconds to send all responses and more bytes. */
uint64_t pac_all_us(const struct pac *p, uint64_t more);

#endif
