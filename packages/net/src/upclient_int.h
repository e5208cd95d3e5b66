#ifndef UPCLIENT_INT_H
#define UPCLIENT_INT_H

/* Internal interface of the upstream client's source files. */

#include "slotmap.h"
#include "upclient.h"

#define UPCLIENT_HEADER_BYTES_MAX 4096 /* bytes of response headers passed on */
#define UPCLIENT_HEADERS_MAX 16

/* Queued part of a request body. */
struct upclient_body_part {
	struct upclient_body_part *next;
	size_t len;
	unsigned char bytes[]; /* LWS_PRE reserved bytes, then the data */
};

/*
 * Pooled connection. Each has its own vhost, as libwebsockets reuses a
 * persistent connection only within a vhost; requests are then never queued
 * behind others.
 */
struct upclient_conn {
	struct upclient_conn *next;
	struct lws_vhost *vhost;
	bool bad; /* to be closed by the next purge */
	struct upclient_call *call; /* NULL if idle */
	uint64_t used_us;
};

struct upclient_lws;

struct upclient_call {
	struct upclient_lws *pool;
	struct upclient_conn *pool_conn;
	struct lws *wsi;
	const struct upclient_events *events;
	void *arg;
	uint32_t handle;
	uint32_t timer; /* timeout of the call */
	uint32_t report_timer; /* deferred failure, or poll of probe_fd */
	int probe_fd;
	unsigned int probe_polls_left; /* remaining polls of probe_fd */
	char *method;
	char *headers; /* name, colon, NUL, value, NUL, ...; ends with NUL */
	struct upclient_body_part *first;
	struct upclient_body_part *last;
	size_t queued_bytes;
	long long request_length;
	bool body_end; /* the whole request body is queued */
	bool blocked; /* write() has returned false */
	bool sent; /* bytes of the request may have been sent */
	bool established; /* the response head was received */
	bool no_body;
	bool response_chunked;
	bool received_body; /* body data was received in this event */
	bool starting; /* start() has not returned yet */
	bool closing; /* the server closes the connection after the response */
	bool completed; /* libwebsockets reports the response as complete */
	enum upclient_failure why;
	long long response_length;
	long long bytes_received;
};

struct upclient_lws {
	struct upclient base;
	struct lwsloop *loop;
	char *address;
	uint16_t port;
	unsigned int max;
	unsigned int conn_count;
	struct upclient_conn *conns;
	struct slotmap *calls;
	uint32_t purge_timer;
};

struct upclient_conn *upclient_acquire(struct upclient_lws *u);

void upclient_release(struct upclient_lws *u, struct upclient_conn *s,
		      bool good);
void upclient_conns_free(struct upclient_lws *u);

extern const struct lws_protocols upclient_protocols[];

void upclient_probe(struct upclient_call *c);

void upclient_call_end(struct upclient_call *c);
void upclient_call_fail(struct upclient_call *c, enum upclient_failure why);

void upclient_call_shutdown(struct upclient_call *c);

void upclient_call_drop(struct upclient_call *c);

bool upclient_call_queue(struct upclient_call *c, const void *data, size_t len,
			 bool end);

#endif
