#ifndef UPS_INT_H
#define UPS_INT_H

/* Internal interface of the upstream client's source files. */

#include "slotmap.h"
#include "ups.h"

#define UPS_VALUES_MAX 4096 /* bytes of response headers passed on */
#define UPS_HEADERS_MAX 16

/* Queued part of a request body. */
struct ups_body_part {
	struct ups_body_part *next;
	size_t len;
	unsigned char bytes[]; /* LWS_PRE reserved bytes, then the data */
};

/*
 * Pooled connection. Each has its own vhost, as libwebsockets reuses a
 * persistent connection only within a vhost; requests are then never queued
 * behind others.
 */
struct ups_pool_conn {
	struct ups_pool_conn *next;
	struct lws_vhost *vhost;
	bool bad; /* to be closed by the next purge */
	struct ups_call *call; /* NULL if idle */
	uint64_t used_us;
};

struct ups_lws;

struct ups_call {
	struct ups_lws *pool;
	struct ups_pool_conn *pool_conn;
	struct lws *wsi;
	const struct ups_events *events;
	void *arg;
	uint32_t handle;
	uint32_t timer; /* timeout of the call */
	uint32_t report_timer; /* deferred failure, or poll of probe_fd */
	int probe_fd;
	unsigned int probe_polls_left; /* remaining polls of probe_fd */
	char *method;
	char *headers; /* name, colon, NUL, value, NUL, ...; ends with NUL */
	struct ups_body_part *first;
	struct ups_body_part *last;
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
	enum ups_failure why;
	long long response_length;
	long long bytes_received;
};

struct ups_lws {
	struct ups base;
	struct lop *loop;
	char *address;
	uint16_t port;
	unsigned int max;
	unsigned int conn_count;
	struct ups_pool_conn *conns;
	struct slotmap *calls;
	uint32_t purge_timer;
};

struct ups_pool_conn *ups_pool_acquire(struct ups_lws *u);

void ups_pool_release(struct ups_lws *u, struct ups_pool_conn *s, bool good);
void ups_pool_free(struct ups_lws *u);

extern const struct lws_protocols ups_protocols[];

void ups_probe(struct ups_call *c);

void ups_call_end(struct ups_call *c);
void ups_call_fail(struct ups_call *c, enum ups_failure why);

void ups_call_shutdown(struct ups_call *c);

void ups_call_drop(struct ups_call *c);

bool ups_call_queue(struct ups_call *c, const void *data, size_t len, bool end);

#endif
