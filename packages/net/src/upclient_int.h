#ifndef UPCLIENT_INT_H
#define UPCLIENT_INT_H

/* Internal interface of the upstream client's source files. */

#include "buf.h"
#include "fdwatch.h"
#include "httpend.h"
#include "httpmsg.h"
#include "netaddr.h"
#include "slotmap.h"
#include "upclient.h"

/* Pooled connection; carries one call at a time. */
struct upclient_conn {
	struct upclient_conn *next;
	struct upclient_pool *pool;
	struct upclient_call *call; /* NULL if idle or closed */
	struct httpparse *parser;
	struct buf out; /* unsent bytes of the request */
	int fd; /* -1 once closed; the next purge then frees the connection */
	int connect_error; /* errno of a connect() that failed immediately */
	int send_error; /* errno of a send that failed, or 0 */
	bool connecting;
	bool readable; /* the socket may have more bytes, or its end */
	uint32_t turn_timer; /* continues reading */
	uint64_t used_us;
};

struct upclient_call {
	struct upclient_pool *pool;
	struct upclient_conn *conn;
	const struct upclient_events *events;
	void *arg;
	uint32_t handle;
	uint32_t timer; /* timeout of the call */
	long long request_length;
	uint64_t received; /* bytes of the response body */
	bool body_end; /* the whole request body is queued */
	bool blocked; /* write() has returned false */
	bool paused; /* body() is not to be called */
	bool sent; /* bytes of the request may have been sent */
	bool established; /* the response head was received */
};

struct upclient_pool {
	struct upclient base;
	struct lwsloop *loop;
	struct fdwatch *watch;
	struct netaddr address;
	char *host; /* as given */
	unsigned int max;
	unsigned int conn_count; /* open ones */
	struct upclient_conn *conns; /* those that wait for a purge, too */
	struct slotmap *calls;
	uint32_t purge_timer;
	uint32_t idle_timer;
};

/*
 * Returns an idle connection or a new one, NULL if the limit is reached or
 * memory or a descriptor is missing.
 */
struct upclient_conn *upclient_conn_acquire(struct upclient_pool *u);

/* Makes the connection idle, or closes it unless it is good. */
void upclient_conn_release(struct upclient_conn *c, bool good);

/* Closes the connection, by a reset if the server is to stop its work. */
void upclient_conn_close(struct upclient_conn *c, bool reset);

/* Sends what is queued, as far as the kernel takes it. */
void upclient_conn_flush(struct upclient_conn *c);

/* Reads in the next iteration of the event loop, if there may be input. */
void upclient_conn_schedule(struct upclient_conn *c);

/* Event of a socket, see fdwatch_fn. */
void upclient_conn_on_event(void *entry, uint32_t events);

/* Closes connections that have been idle for long. */
void upclient_conns_sweep(struct upclient_pool *u, uint64_t now_us);

/* Closes and frees all connections. */
void upclient_conns_free(struct upclient_pool *u);

/* Parser callbacks for a connection. */
extern const struct httpparse_ops upclient_parser_ops;

/* Queues head and start of the body; returns false when out of memory. */
bool upclient_call_begin(struct upclient_call *c,
			 const struct upclient_request *req);

/*
 * Queues request body data, with chunk framing if the length is unknown.
 * Returns false when out of memory.
 */
bool upclient_call_queue(struct upclient_call *c, const void *data, size_t len,
			 bool end);

/* Ends a call whose response is complete; excess: bytes follow behind it. */
void upclient_call_complete(struct upclient_call *c, bool excess);

/* Ends a call whose connection has ended or carries no valid response. */
void upclient_call_lose(struct upclient_call *c, enum httpend how);

/* Reports a failure and frees the call. Not to be called by start(). */
void upclient_call_fail(struct upclient_call *c, enum upclient_failure why);

/* Cancels the work of the server and frees the call without a callback. */
void upclient_call_drop(struct upclient_call *c);

#endif
