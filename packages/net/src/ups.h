#ifndef UPS_H
#define UPS_H

/*
 * HTTP/1.1 client with a pool of persistent connections to one address. Used
 * for upstreams, the platform and the operator ports of daemons. The interface
 * is a table of functions, so that tests can replace the implementation.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "htp.h"
#include "lop.h"

enum ups_failure {
	UPS_NOT_SENT, /* no byte of the request was sent */
	UPS_REFUSED, /* connection refused: no listener; not sent */
	UPS_LOST, /* connection lost; the request may have run */
	UPS_TIMEOUT, /* timed out; the request may have run */
	UPS_BROKEN /* response head received, but the body was truncated */
};

struct ups_request {
	const char *method;
	const char *target; /* path and query */
	const struct htp_header *headers;
	size_t header_count;
	long long content_length; /* HTP_LENGTH_UNKNOWN sends it chunked */
	const void *first; /* start of the body, copied */
	size_t first_len;
	bool end; /* the body is complete */
	uint64_t timeout_us; /* for the whole call, from now */
};

struct ups_response {
	int status;
	long long content_length; /* HTP_LENGTH_UNKNOWN if not given */
	const struct htp_header *headers; /* those in ups_response_headers */
	size_t header_count;
};

/* Names of the response headers that are passed to head(); NULL-terminated. */
extern const char *const ups_response_headers[];

struct ups_events {
	void (*head)(void *arg, const struct ups_response *response);
	void (*body)(void *arg, const void *data, size_t len);
	/* The whole response was received. Last callback of the request. */
	void (*end)(void *arg);
	/* The request failed. Last callback of the request. */
	void (*failed)(void *arg, enum ups_failure why);
	/* More of the request body may be written; may be NULL. */
	void (*writable)(void *arg);
};

struct ups;

struct ups_ops {
	/* Returns a handle, or 0 if no connection is available. */
	uint32_t (*start)(struct ups *u, const struct ups_request *req,
			  const struct ups_events *events, void *arg);
	/* Queues body data; after false, wait for writable(). */
	bool (*write)(struct ups *u, uint32_t call, const void *data,
		      size_t len, bool end);
	/* Pauses or resumes calls of body(). */
	void (*pause)(struct ups *u, uint32_t call, bool paused);
	/* Closes the connection of the request; no callback follows. */
	void (*cancel)(struct ups *u, uint32_t call);
	void (*destroy)(struct ups *u);
};

/* First member of each implementation. */
struct ups {
	const struct ups_ops *ops;
};

struct ups *ups_lws_create(struct lop *l, const char *address, uint16_t port,
			   unsigned int max_connections, struct err *err);

/* Wrappers of the functions in struct ups_ops. */
uint32_t ups_start(struct ups *u, const struct ups_request *req,
		   const struct ups_events *events, void *arg);
bool ups_write(struct ups *u, uint32_t call, const void *data, size_t len,
	       bool end);
void ups_pause(struct ups *u, uint32_t call, bool paused);
void ups_cancel(struct ups *u, uint32_t call);
void ups_destroy(struct ups *u);

#endif
