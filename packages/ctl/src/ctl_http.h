#ifndef CTL_HTTP_H
#define CTL_HTTP_H

/* One HTTP request at a time to the operators' port of a daemon. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "lop.h"

/* Largest answer in bytes; a longer one is an error. */
#define CTL_ANSWER_MAX (64 * 1024 * 1024)

enum ctl_error {
	CTL_BAD_ADDRESS = 1, /* not ADDRESS:PORT */
	CTL_NO_ANSWER, /* nothing was sent, or nobody listens */
	CTL_LOST /* sent, and the answer was lost */
};

struct ctl_endpoint {
	char address[46];
	uint16_t port;
};

struct ctl_answer {
	int status; /* of HTTP */
	char *body; /* ended by NUL; freed by ctl_answer_free() */
	size_t len;
};

/* Reads ADDRESS:PORT. Errors: layer ctl. */
bool ctl_parse_endpoint(const char *text, struct ctl_endpoint *out,
			struct err *err);

/*
 * Sends a request and waits for the whole answer, at most timeout_ms. Errors:
 * layer ctl, a code of enum ctl_error.
 */
bool ctl_request(struct lop *loop, const struct ctl_endpoint *to,
		 const char *method, const char *target, const void *body,
		 size_t len, unsigned int timeout_ms, struct ctl_answer *out,
		 struct err *err);

void ctl_answer_free(struct ctl_answer *a);

#endif
