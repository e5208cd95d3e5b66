#ifndef HTP_H
#define HTP_H

/*
 * HTTP/1.1 server on the loop. Requests and responses stream: bodies arrive
 * and leave in pieces, with back pressure both ways.
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

/* What the user of the server does; all run in the loop. */
struct htp_ops {
	/* The head has arrived. */
	void (*head)(void *arg, struct htp_req *r);
	/* A piece of the body; end is true with the last, maybe empty, one. */
	void (*body)(void *arg, struct htp_req *r, const void *data, size_t len,
		     bool end);
	/* All that was written has left; more may be written. */
	void (*writable)(void *arg, struct htp_req *r);
	/*
	 * The request is over and r is freed after this call. complete tells
	 * whether the whole response went out; false means that the caller has
	 * gone or the response was aborted. Called exactly once after head().
	 */
	void (*closed)(void *arg, struct htp_req *r, bool complete);
};

struct htp_params {
	const char *address;
	uint16_t port; /* 0 lets the system choose, see htp_port() */
	unsigned int max_connections;
	unsigned int idle_timeout_ms;
	unsigned int header_timeout_ms;
};

/* Errors: layer http, a code of enum net_error. */
struct htp *htp_create(struct lop *l, const struct htp_params *params,
		       const struct htp_ops *ops, void *arg, struct err *err);
void htp_destroy(struct htp *h);

/* Accepts no further connections; requests in progress go on. */
void htp_stop_listening(struct htp *h);

uint16_t htp_port(const struct htp *h);

/* Number of open connections, with those that are idle. */
size_t htp_connections(const struct htp *h);

/* Number of requests between head() and closed(). */
size_t htp_in_progress(const struct htp *h);

const char *htp_method(const struct htp_req *r);

/* Path and query, octet for octet; the query is "" if there is none. */
const char *htp_path(const struct htp_req *r);
const char *htp_query(const struct htp_req *r);

/* Value of a request header, NULL if absent; valid until closed(). */
const char *htp_header(const struct htp_req *r, const char *name);

/* IP address of the caller. */
const char *htp_peer(const struct htp_req *r);

/* Content-Length, 0 if there is no body, HTP_LENGTH_UNKNOWN when chunked. */
long long htp_content_length(const struct htp_req *r);

/* A pointer for the user of the server. */
void htp_set_user(struct htp_req *r, void *user);
void *htp_user(const struct htp_req *r);

/* Stops and resumes the arrival of body pieces. */
void htp_pause(struct htp_req *r, bool paused);

/*
 * Sends the head of the response. With HTP_LENGTH_UNKNOWN the body is sent
 * chunked. Once for each request.
 */
bool htp_respond(struct htp_req *r, int status,
		 const struct htp_header *headers, size_t count,
		 long long content_length);

/*
 * Queues a piece of the body, which is copied; end closes the body. Returns
 * false when more than HTP_BUFFER_MAX bytes wait: stop until writable().
 */
#define HTP_BUFFER_MAX 131072
bool htp_write(struct htp_req *r, const void *data, size_t len, bool end);

/* Head and whole body in one call. */
void htp_reply(struct htp_req *r, int status, const struct htp_header *headers,
	       size_t count, const void *body, size_t len);

/* Closes the connection now; a response that has begun is a broken one. */
void htp_abort(struct htp_req *r);

#endif
