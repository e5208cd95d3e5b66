#ifndef WEBSRV_H
#define WEBSRV_H

/*
 * HTTP/1.1 server for callers, run on the event loop. Request and response
 * bodies are streamed, with back pressure in both directions.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lwsloop.h"

#define WEBSRV_PATH_MAX 4096
#define WEBSRV_LENGTH_UNKNOWN (-1LL)

struct websrv; /* a listening server */
struct websrv_req; /* a request in progress */

struct websrv_header {
	const char *name; /* lower case, without the colon */
	const char *value;
};

/* Callbacks of the request handler; all run on the thread of the event loop. */
struct websrv_ops {
	/* The request line and the headers have been received. */
	void (*head)(void *arg, struct websrv_req *r);
	/* Body data; end is true on the last call, which may have no data. */
	void (*body)(void *arg, struct websrv_req *r, const void *data,
		     size_t len, bool end);
	/* The output queue is empty after websrv_write() returned false. */
	void (*writable)(void *arg, struct websrv_req *r);
	/*
	 * The request has ended and r is freed after this call. complete is
	 * true if the whole response was sent, false if the caller disconnected
	 * or the response was aborted. Called exactly once after head().
	 */
	void (*closed)(void *arg, struct websrv_req *r, bool complete);
};

struct websrv_params {
	const char *address;
	uint16_t port; /* 0 lets the kernel choose, see websrv_port() */
	unsigned int max_connections;
	unsigned int idle_timeout_ms;
	unsigned int header_timeout_ms;
};

struct websrv *websrv_create(struct lwsloop *l,
			     const struct websrv_params *params,
			     const struct websrv_ops *ops, void *arg,
			     struct err *err);
void websrv_destroy(struct websrv *h);

void websrv_stop_listening(struct websrv *h);

uint16_t websrv_port(const struct websrv *h);

size_t websrv_connections(const struct websrv *h);

/* The end of the process could lose the responses of these connections. */
size_t websrv_unacked(const struct websrv *h);

size_t websrv_in_progress(const struct websrv *h);

const char *websrv_method(const struct websrv_req *r);

const char *websrv_path(const struct websrv_req *r);
const char *websrv_query(const struct websrv_req *r);

const char *websrv_header(const struct websrv_req *r, const char *name);

const char *websrv_peer(const struct websrv_req *r);

long long websrv_content_length(const struct websrv_req *r);

/* Opaque pointer of the request handler. */
void websrv_set_user(struct websrv_req *r, void *user);
void *websrv_user(const struct websrv_req *r);

void websrv_pause(struct websrv_req *r, bool paused);

bool websrv_respond(struct websrv_req *r, int status,
		    const struct websrv_header *headers, size_t count,
		    long long content_length);

/* Queued bytes above which websrv_write() returns false. */
#define WEBSRV_BUFFER_MAX 131072
bool websrv_write(struct websrv_req *r, const void *data, size_t len, bool end);

void websrv_reply(struct websrv_req *r, int status,
		  const struct websrv_header *headers, size_t count,
		  const void *body, size_t len);

void websrv_abort(struct websrv_req *r);

#endif
