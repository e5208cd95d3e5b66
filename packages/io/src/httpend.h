#ifndef HTTPEND_H
#define HTTPEND_H

/* How a response ended: counters and log lines for all HTTP clients. */

#include <stdint.h>
#include <sys/socket.h>

enum httpend {
	HTTPEND_LENGTH, /* complete by its length, or it has no body */
	HTTPEND_LAST_CHUNK, /* complete by its last chunk */
	HTTPEND_CLOSE, /* complete by an orderly close */
	HTTPEND_CUT, /* orderly close before its end */
	HTTPEND_RESET, /* the connection failed before its end */
	HTTPEND_WRITE_ERROR, /* sending failed before its end */
	HTTPEND_INVALID /* not valid HTTP, or not acceptable */
};

struct httpend_details {
	const struct sockaddr *server;
	socklen_t server_len;
	uint16_t status; /* 0 without a head */
	uint64_t received; /* bytes of the body */
	uint64_t unsent; /* bytes of the request */
	int send_error; /* errno of a failed send, or 0 */
};

/* Counts an end; logs one by a close and one that is not complete. */
void httpend_record(enum httpend how, const struct httpend_details *d);

#endif
