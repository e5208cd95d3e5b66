#ifndef UPCLIENT_H
#define UPCLIENT_H

/*
 * HTTP/1.1 client with a pool of persistent connections to one address. Used
 * for upstreams, the platform and the operator ports of daemons. The interface
 * is a table of functions, so that tests can replace the implementation.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "websrv.h"
#include "lwsloop.h"

enum upclient_failure {
	UPCLIENT_NOT_SENT, /* no byte of the request was sent */
	UPCLIENT_REFUSED, /* connection refused: no listener; not sent */
	UPCLIENT_LOST, /* connection lost; the request may have run */
	UPCLIENT_TIMEOUT, /* timed out; the request may have run */
	UPCLIENT_BROKEN /* response head received, but the body was truncated */
};

struct upclient_request {
	const char *method;
	const char *target; /* path and query */
	const struct websrv_header *headers;
	size_t header_count;
	long long content_length; /* WEBSRV_LENGTH_UNKNOWN sends it chunked */
	const void *first; /* start of the body, copied */
	size_t first_len;
	bool end; /* the body is complete */
	uint64_t timeout_us; /* for the whole call, from now */
};

struct upclient_response {
	int status;
	long long content_length; /* WEBSRV_LENGTH_UNKNOWN if not given */
	/* Those in upclient_response_headers. */
	const struct websrv_header *headers;
	size_t header_count;
};

/* Names of the response headers that are passed to head(); NULL-terminated. */
extern const char *const upclient_response_headers[];

struct upclient_events {
	void (*head)(void *arg, const struct upclient_response *response);
	void (*body)(void *arg, const void *data, size_t len);
	/* The whole response was received. Last callback of the request. */
	void (*end)(void *arg);
	/* The request failed. Last callback of the request. */
	void (*failed)(void *arg, enum upclient_failure why);
	/* More of the request body may be written; may be NULL. */
	void (*writable)(void *arg);
};

struct upclient;

struct upclient_ops {
	/* Returns a handle, or 0 if no connection is available. */
	uint32_t (*start)(struct upclient *u,
			  const struct upclient_request *req,
			  const struct upclient_events *events, void *arg);
	/* Queues body data; after false, wait for writable(). */
	bool (*write)(struct upclient *u, uint32_t call, const void *data,
		      size_t len, bool end);
	/* Pauses or resumes calls of body(). */
	void (*pause)(struct upclient *u, uint32_t call, bool paused);
	/* Closes the connection of the request; no callback follows. */
	void (*cancel)(struct upclient *u, uint32_t call);
	void (*destroy)(struct upclient *u);
};

/* First member of each implementation. */
struct upclient {
	const struct upclient_ops *ops;
};

struct upclient *upclient_pool_create(struct lwsloop *l, const char *address,
				      uint16_t port,
				      unsigned int max_connections,
				      struct err *err);

/* Wrappers of the functions in struct upclient_ops. */
uint32_t upclient_start(struct upclient *u, const struct upclient_request *req,
			const struct upclient_events *events, void *arg);
bool upclient_write(struct upclient *u, uint32_t call, const void *data,
		    size_t len, bool end);
void upclient_pause(struct upclient *u, uint32_t call, bool paused);
void upclient_cancel(struct upclient *u, uint32_t call);
void upclient_destroy(struct upclient *u);

#endif
