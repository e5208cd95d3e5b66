#ifndef PAC_H
#define PAC_H

/* Sends long responses at the rate of the link, see lnk.h. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "evl.h"
#include "lnk.h"
#include "skt.h"

struct pac;

/* A response on its way; in the memory of its connection. */
struct pac_response {
	struct lnk_stream stream; /* first, so that a stream is its response */
	struct pac *owner; /* NULL while there is no response */
	struct skt *socket;
	struct buf queue; /* not handed to the socket yet */
	bool ended; /* all of it is in the queue */
	void (*on_sent)(void *arg); /* the queue has become empty */
	void *arg;
};

/* bytes_per_s: of the link, over 0. NULL when memory is exhausted. */
struct pac *pac_create(struct evl *l, uint64_t bytes_per_s);
void pac_destroy(struct pac *p);

bool pac_is_long(const struct pac *p, int64_t length);

/* Begins a response; length is -1 if it is not known. See struct lnk_stream. */
void pac_begin(struct pac *p, struct pac_response *r, struct skt *s,
	       int64_t length, bool hurries, void (*on_sent)(void *arg),
	       void *arg);

/* Bytes may be sent, and on_sent be called, before these return. */
void pac_add(struct pac_response *r, const void *bytes, size_t len);
void pac_end(struct pac_response *r);

/* The socket takes bytes again. */
void pac_resume(struct pac_response *r);

/* Forgets a response and what waits of it. */
void pac_stop(struct pac_response *r);

/* Bytes have been sent that belong to no response here. */
void pac_spend(struct pac *p, size_t bytes);

/* Time in which a response of this length that comes now would be sent. */
uint64_t pac_time_us(const struct pac *p, uint64_t bytes);

/* Time in which all responses and this many bytes more would be sent. */
uint64_t pac_all_us(const struct pac *p, uint64_t more);

#endif
