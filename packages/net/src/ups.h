#ifndef UPS_H
#define UPS_H

/*
 * HTTP/1.1 client with a pool of kept connections to one address. Used towards
 * upstreams, the platform and daemons' operator ports. Behind a table of
 * functions, so that a test bench replaces it.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "htp.h"
#include "lop.h"

enum ups_failure {
	UPS_NOT_SENT, /* proof that no byte of the request left */
	UPS_REFUSED, /* no connection: nothing listens there; not sent */
	UPS_LOST, /* the connection broke; the request may have run */
	UPS_TIMEOUT, /* the time was over; the request may have run */
	UPS_BROKEN /* the head came, and the body was cut short */
};

struct ups_request {
	const char *method;
	const char *target; /* path and query */
	const struct htp_header *headers;
	size_t header_count;
	long long content_length; /* HTP_LENGTH_UNKNOWN sends it chunked */
	const void *first; /* first bytes of the body, copied */
	size_t first_len;
	bool end; /* the body is complete with them */
	uint64_t timeout_us; /* over all, from now */
};

struct ups_response {
	int status;
	long long content_length; /* HTP_LENGTH_UNKNOWN if not given */
	const struct htp_header *headers; /* those in ups_response_headers */
	size_t header_count;
};

/* Names of the response headers that are passed on, ended by NULL. */
extern const char *const ups_response_headers[];

struct ups_events {
	void (*head)(void *arg, const struct ups_response *response);
	void (*body)(void *arg, const void *data, size_t len);
	/* The whole response has arrived. Last call for the request. */
	void (*end)(void *arg);
	/* It failed. Last call for the request. */
	void (*failed)(void *arg, enum ups_failure why);
	/* More of the request body may be written; may be NULL. */
	void (*writable)(void *arg);
};

struct ups;

struct ups_ops {
	/* Returns a handle, 0 when no connection is free or can be opened. */
	uint32_t (*start)(struct ups *u, const struct ups_request *req,
			  const struct ups_events *events, void *arg);
	/* Queues more of the body; false: stop until writable(). */
	bool (*write)(struct ups *u, uint32_t call, const void *data,
		      size_t len, bool end);
	/* Stops and resumes body() calls. */
	void (*pause)(struct ups *u, uint32_t call, bool paused);
	/* Ends the request by closing its connection; no event follows. */
	void (*cancel)(struct ups *u, uint32_t call);
	void (*destroy)(struct ups *u);
};

/* First member of each implementation. */
struct ups {
	const struct ups_ops *ops;
};

/*
 * The implementation over libwebsockets. No event is called from inside
 * start(). Errors: layer upstream, a code of enum net_error.
 */
struct ups *ups_lws_create(struct lop *l, const char *address, uint16_t port,
			   unsigned int max_connections, struct err *err);

/* Short forms of the calls through the table. */
uint32_t ups_start(struct ups *u, const struct ups_request *req,
		   const struct ups_events *events, void *arg);
bool ups_write(struct ups *u, uint32_t call, const void *data, size_t len,
	       bool end);
void ups_pause(struct ups *u, uint32_t call, bool paused);
void ups_cancel(struct ups *u, uint32_t call);
void ups_destroy(struct ups *u);

#endif
