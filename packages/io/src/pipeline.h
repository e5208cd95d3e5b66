#ifndef PIPELINE_H
#define PIPELINE_H

/*
 * Order of the requests that a client has sent on one connection without
 * waiting for responses. Decides which of them may run side by side, whose
 * response goes out and when to read no further. Does no I/O.
 *
 * A request that may overlap others runs as soon as it is read, if all earlier
 * unanswered ones may overlap, too (RFC 9112, 9.3.2). Any other waits until it
 * is first: a response that closes the connection makes the client send the
 * later requests again, so these must not have run unless they are repeatable.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Unanswered requests of one connection; the rest is not read. */
#define PIPELINE_REQUESTS_MAX 32
/* Memory set aside for the response of each request that is not first. */
#define PIPELINE_RESPONSE_BYTES 65536
/* Returned instead of a handle if there is no such request. */
#define PIPELINE_NONE 0

/* Memory for requests that are not first, shared by several connections. */
struct pipeline_budget {
	size_t limit; /* bytes */
	size_t used;
};

struct pipeline;

struct pipeline_request {
	bool overlaps; /* repeatable and without a body */
	bool last; /* its response closes the connection */
	size_t bytes; /* memory of the request itself */
};

/* The budget must outlive the pipeline. NULL if out of memory. */
struct pipeline *pipeline_create(struct pipeline_budget *budget);
void pipeline_destroy(struct pipeline *p);

/* True if another request may be read. */
bool pipeline_may_read(const struct pipeline *p);

/* Adds a request that was read; pipeline_may_read() must be true. */
uint32_t pipeline_add(struct pipeline *p, const struct pipeline_request *r);

/* Nothing behind this request is read or run any more. */
void pipeline_set_last(struct pipeline *p, uint32_t handle);

/* Next request to run, PIPELINE_NONE if all others have to wait. */
uint32_t pipeline_next_start(const struct pipeline *p);
void pipeline_start(struct pipeline *p, uint32_t handle);

/* True if the response of this request is the next to be sent. */
bool pipeline_is_first(const struct pipeline *p, uint32_t handle);

/* Counts bytes of a response that waits for its turn. */
void pipeline_hold(struct pipeline *p, uint32_t handle, size_t bytes);

/* True if no more bytes should be produced for responses that wait. */
bool pipeline_is_over_budget(const struct pipeline *p);

/* Removes the first request, whose response has been sent. */
void pipeline_remove_first(struct pipeline *p);

/* Unanswered requests before this one. */
uint32_t pipeline_earlier_count(const struct pipeline *p, uint32_t handle);

#endif
