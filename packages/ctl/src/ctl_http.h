#ifndef CTL_HTTP_H
#define CTL_HTTP_H

/* Blocking HTTP client for the admin port of a daemon. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "lwsloop.h"

/* Limit on a response body in bytes; data that exceeds it is discarded. */
#define CTL_RESPONSE_MAX_BYTES (64 * 1024 * 1024)

enum ctl_error {
	CTL_BAD_ADDRESS = 1, /* not ADDRESS:PORT */
	CTL_UNREACHABLE, /* the request was not sent or was refused */
	CTL_RESPONSE_LOST /* sent, but no complete response arrived */
};

struct ctl_endpoint {
	char address[46];
	uint16_t port;
};

struct ctl_response {
	int status; /* HTTP status */
	char *body; /* NUL-terminated, or NULL if empty */
	size_t len;
};

/*
 * Parses ADDRESS:PORT, where ADDRESS is an IP address. Returns false with layer
 * ERR_CTL and code CTL_BAD_ADDRESS on error.
 */
bool ctl_parse_endpoint(const char *text, struct ctl_endpoint *out,
			struct err *err);

/*
 * Sends a request and waits at most timeout_ms for the complete response, which
 * the caller frees with ctl_response_free(). Returns false with layer ERR_CTL
 * and CTL_UNREACHABLE or CTL_RESPONSE_LOST on error.
 */
bool ctl_request(struct lwsloop *loop, const struct ctl_endpoint *to,
		 const char *method, const char *target, const void *body,
		 size_t len, unsigned int timeout_ms, struct ctl_response *out,
		 struct err *err);

void ctl_response_free(struct ctl_response *response);

#endif
