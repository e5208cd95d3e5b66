#ifndef UPS_INT_H
#define UPS_INT_H

/* What the files of the HTTP client share. */

#include "tab.h"
#include "ups.h"

#define UPS_HEADERS_MAX 16 /* response headers that are passed on */
#define UPS_READ_BYTES 65536

/* Bytes of a request body that may wait before write() returns false. */
#define UPS_BUFFER_MAX 131072

/*
 * A place for one connection. It has a vhost of its own, as libwebsockets
 * queues a request behind a slow one on the same vhost.
 */
struct slot {
	struct pool *pool;
	struct lws_vhost *vhost;
	struct call *call; /* the request in progress, NULL if there is none */
	struct lws *dying; /* a connection that is being closed */
	bool kept; /* an idle connection may be open */
};

struct call {
	struct pool *pool;
	struct slot *slot;
	struct lws *wsi;
	uint32_t handle;
	uint32_t timer;
	const struct ups_events *events;
	void *arg;
	char *head; /* method, target and headers, one after the other */
	const char *method;
	const char *target;
	size_t header_count;
	long long request_length;
	unsigned char *body; /* LWS_PRE bytes of room, then what waits */
	size_t body_len;
	size_t body_capacity;
	bool body_end; /* nothing more will be written */
	bool body_sent; /* the end of the body has left */
	bool wants_room; /* write() returned false */
	bool sent; /* a byte may have left */
	bool head_seen;
	bool paused;
	bool is_head; /* method HEAD: no body follows */
	bool over; /* the last event was delivered or is due */
	bool refused; /* the connection was refused */
	enum ups_failure failure;
	int status;
	bool chunked;
	long long content_length;
	long long received;
};

struct pool {
	struct ups base;
	struct lop *loop;
	char address[46];
	uint16_t port;
	struct tab *calls;
	struct slot *slots;
	size_t slot_count;
	size_t vhost_count; /* that libwebsockets has not destroyed yet */
	bool closed;
	unsigned char read_buf[LWS_PRE + UPS_READ_BYTES];
};

/* ups_call.c: what happens on the connection of a request. */
int ups_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
		 void *in, size_t len);

/* A vhost of the pool is gone; a closed pool is freed with the last one. */
void ups_vhost_gone(struct pool *p);

/* Ends a call: takes it off its slot and frees it. */
void ups_call_destroy(struct call *c);

/* Delivers a failure at the end of the step of the loop. */
void ups_call_fail(struct call *c, enum ups_failure why);

/* Closes the connection of a call without further events of it. */
void ups_call_detach(struct call *c);

#endif
