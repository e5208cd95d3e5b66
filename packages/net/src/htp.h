#ifndef HTP_H
#define HTP_H

/*
 * HTTP/1.1 server for callers, run on the event loop. Request and response
 * bodies are streamed, with back pressure in both directions.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lop.h"

#define HTP_PATH_MAX 4096
#define HTP_LENGTH_UNKNOWN (-1LL)

struct htp; /* a listening server */
struct htp_req; /* a request in progress */

struct htp_header {
	const char *name; /* lower case, without the colon */
	const char *value;
};

/* Callbacks of the request handler; all run on the thread of the event loop. */
struct htp_ops {
	/* The request line and the headers have been received. */
	void (*head)(void *arg, struct htp_req *r);
	/* Body data; end is true on the last call, which may have no data. */
	void (*body)(void *arg, struct htp_req *r, const void *data, size_t len,
		     bool end);
	/* The output queue is empty after htp_write() returned false. */
	void (*writable)(void *arg, struct htp_req *r);
	/*
	 * The request has ended and r is freed after this call. complete is
	 * true if the whole response was sent, false if the caller disconnected
	 * or the response was aborted. Called exactly once after head().
	 */
	void (*closed)(void *arg, struct htp_req *r, bool complete);
};

struct htp_params {
	const char *address;
	uint16_t port; /* 0 lets the kernel choose, see htp_port() */
	unsigned int max_connections;
	unsigned int idle_timeout_ms;
	unsigned int header_timeout_ms;
};

struct htp *htp_create(struct lop *l, const struct htp_params *params,
		       const struct htp_ops *ops, void *arg, struct err *err);
void htp_destroy(struct htp *h);

void htp_stop_listening(struct htp *h);

uint16_t htp_port(const struct htp *h);

size_t htp_connections(const struct htp *h);

size_t htp_in_progress(const struct htp *h);

const char *htp_method(const struct htp_req *r);

const char *htp_path(const struct htp_req *r);
const char *htp_query(const struct htp_req *r);

const char *htp_header(const struct htp_req *r, const char *name);

const char *htp_peer(const struct htp_req *r);

long long htp_content_length(const struct htp_req *r);

/* Opaque pointer of the request handler. */
void htp_set_user(struct htp_req *r, void *user);
void *htp_user(const struct htp_req *r);

void htp_pause(struct htp_req *r, bool paused);

bool htp_respond(struct htp_req *r, int status,
		 const struct htp_header *headers, size_t count,
		 long long content_length);

/* Queued bytes above which htp_write() returns false. */
#define HTP_BUFFER_MAX 131072
bool htp_write(struct htp_req *r, const void *data, size_t len, bool end);

void htp_reply(struct htp_req *r, int status, const struct htp_header *headers,
	       size_t count, const void *body, size_t len);

void htp_abort(struct htp_req *r);

#endif
