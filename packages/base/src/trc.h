#ifndef TRC_H
#define TRC_H

/*
 * Traces: a span for each hop, with the W3C traceparent taken from the caller
 * and passed on. Finished spans are written as lines of OTLP JSON, the file
 * format of OpenTelemetry, which collectors read.
 */

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "err.h"

#define TRC_TRACE_ID_BYTES 16
#define TRC_SPAN_ID_BYTES 8

/* Length of a traceparent value with the closing NUL. */
#define TRC_PARENT_MAX 56

struct trc_span {
	uint8_t trace_id[TRC_TRACE_ID_BYTES];
	uint8_t span_id[TRC_SPAN_ID_BYTES];
	uint8_t parent_id[TRC_SPAN_ID_BYTES]; /* all zero for a root span */
	bool sampled;
	uint64_t start_us; /* Unix time in microseconds */
};

struct trc;

/*
 * Writes to the file at path, which is appended to; NULL writes nothing.
 * sample_per_million is the share of requests without a traceparent that is
 * sampled. Errors: layer system.
 */
struct trc *trc_create(const char *path, const char *service,
		       uint32_t sample_per_million, const struct clk *clk,
		       struct err *err);
void trc_destroy(struct trc *t);

/* Starts a span; traceparent may be NULL or malformed, then a trace begins. */
void trc_start(struct trc *t, const char *traceparent, struct trc_span *span);

/* Writes the traceparent that names this span as the parent of the next. */
void trc_parent(const struct trc_span *span, char out[TRC_PARENT_MAX]);

/* Ends a span and writes it when it is sampled. */
void trc_end(struct trc *t, const struct trc_span *span, const char *name,
	     const char *outcome, int status);

#endif
