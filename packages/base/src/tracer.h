#ifndef TRACER_H
#define TRACER_H

/*
 * Distributed tracing: one span per hop, with W3C Trace Context propagated from
 * the caller to the next hop. Finished spans are written as lines of OTLP JSON,
 * the file format that OpenTelemetry collectors read.
 */

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "err.h"

#define TRACER_TRACE_ID_BYTES 16
#define TRACER_SPAN_ID_BYTES 8

/* Size of a traceparent value in bytes, including the closing NUL. */
#define TRACER_TRACEPARENT_SIZE 56

struct tracer_span {
	uint8_t trace_id[TRACER_TRACE_ID_BYTES];
	uint8_t span_id[TRACER_SPAN_ID_BYTES];
	uint8_t parent_id[TRACER_SPAN_ID_BYTES]; /* all zero for a root span */
	bool sampled;
	uint64_t start_us; /* Unix time in microseconds */
};

struct tracer;

/*
 * Creates a tracer that appends to the file at path, or writes nothing if path
 * is NULL. sample_per_million is the sampling rate of requests without a
 * traceparent. Returns NULL with an error of layer ERR_SYSTEM whose code is an
 * errno value.
 */
struct tracer *tracer_create(const char *path, const char *service,
			     uint32_t sample_per_million, const struct clk *clk,
			     struct err *err);
void tracer_destroy(struct tracer *t);

/* Starts a span; a NULL or malformed traceparent starts a new trace. */
void tracer_start_span(struct tracer *t, const char *traceparent,
		       struct tracer_span *span);

/* Formats the traceparent that makes this span the parent of the next hop's. */
void tracer_format_traceparent(const struct tracer_span *span,
			       char out[TRACER_TRACEPARENT_SIZE]);

/*
 * Ends a span and queues it for writing if it is sampled. outcome "done" sets
 * the span status to OK, any other to error; status is the HTTP status code.
 */
void tracer_end_span(struct tracer *t, const struct tracer_span *span,
		     const char *name, const char *outcome, int status);

#endif
