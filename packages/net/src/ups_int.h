#ifndef UPS_INT_H
#define UPS_INT_H

/* What the source files of the upstream client share. */

#include "slotmap.h"
#include "ups.h"

#define UPS_VALUES_MAX 4096 /* bytes of response headers passed on */
#define UPS_HEADERS_MAX 16

/* Bytes of a request body that wait to be sent. */
struct ups_piece {
	struct ups_piece *next;
	size_t len;
	unsigned char bytes[]; /* LWS_PRE bytes of room, then the data */
};

/*
 * A pooled connection. Each has a vhost of its own: libwebsockets reuses a kept
 * connection of the same vhost only, so that no request waits for another.
 */
struct ups_slot {
	struct ups_slot *next;
	struct lws_vhost *vhost;
	bool bad; /* to be closed at the next purge */
	struct ups_call *call; /* NULL while it is free */
	uint64_t used_us;
};

struct ups_lws;

struct ups_call {
	struct ups_lws *pool;
	struct ups_slot *slot;
	struct lws *wsi;
	const struct ups_events *events;
	void *arg;
	uint32_t handle;
	uint32_t timer; /* the time limit */
	uint32_t report; /* a failure found inside start() */
	int probe_fd;
	unsigned int probe_left; /* looks at it that are left */
	char *method;
	char *headers; /* name, colon, NUL, value, NUL, ...; ends with NUL */
	struct ups_piece *first;
	struct ups_piece *last;
	size_t queued;
	long long length_out;
	bool body_end; /* the whole request body is queued */
	bool blocked; /* write() has returned false */
	bool sent; /* bytes of the request may have left */
	bool established; /* the head of the response has arrived */
	bool no_body;
	bool chunked_in;
	bool read_any; /* bytes came in this event */
	bool starting; /* start() has not returned yet */
	bool closing; /* the server closes the connection after the response */
	bool completed; /* libwebsockets takes the response for complete */
	enum ups_failure why;
	long long length_in;
	long long got;
};

struct ups_lws {
	struct ups base;
	struct lop *loop;
	char *address;
	uint16_t port;
	unsigned int max;
	unsigned int slot_count;
	struct ups_slot *slots;
	struct slotmap *calls;
	uint32_t purge; /* timer */
};

/* Finds a free pooled connection or opens a place for one. */
struct ups_slot *ups_slot_take(struct ups_lws *u);

/* Gives a place back; a bad one is closed after the current callback. */
void ups_slot_give(struct ups_lws *u, struct ups_slot *s, bool good);
void ups_slots_free(struct ups_lws *u);

extern const struct lws_protocols ups_protocols[];

/* Finds out why no connection could be opened and then reports the failure. */
void ups_probe(struct ups_call *c);

/* End a call: the last event is reported and the call freed. */
void ups_call_end(struct ups_call *c);
void ups_call_fail(struct ups_call *c, enum ups_failure why);

/* Ends the connection of a call that is still open on our side. */
void ups_call_hang_up(struct ups_call *c);

/* Closes the connection of a call without any event and frees the call. */
void ups_call_drop(struct ups_call *c);

bool ups_call_queue(struct ups_call *c, const void *data, size_t len, bool end);

#endif
