#include "tracer.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_BYTES 32768
#define FLUSH_INTERVAL_US US_PER_S
#define FILE_MODE 0644
#define PER_MILLION 1000000

#define VERSION_CHARS 2
#define TRACE_ID_CHARS (2 * TRACER_TRACE_ID_BYTES)
#define SPAN_ID_CHARS (2 * TRACER_SPAN_ID_BYTES)
#define TRACE_ID_OFFSET (VERSION_CHARS + 1)
#define SPAN_ID_OFFSET (TRACE_ID_OFFSET + TRACE_ID_CHARS + 1)
#define FLAGS_OFFSET (SPAN_ID_OFFSET + SPAN_ID_CHARS + 1)
#define TRACEPARENT_CHARS (FLAGS_OFFSET + 2)
#define FLAG_SAMPLED 1

/* OTLP enum values: SpanKind and StatusCode. */
#define KIND_SERVER 2
#define STATUS_OK 1
#define STATUS_ERROR 2
#define OUTCOME_DONE "done"

struct tracer {
	const struct clk *clk;
	int fd; /* -1 writes nothing */
	uint32_t sample_per_million;
	char *service;
	bool line_truncated; /* the last write ended in the middle of a line */
	uint64_t oldest_us; /* monotonic time of the oldest buffered line */
	uint64_t wall_offset_us; /* Unix time minus monotonic time */
	uint64_t offset_read_us; /* monotonic time when the offset was read */
	size_t used;
	char buffer[BUFFER_BYTES];
};

/*
 * Reads the offset between wall clock and monotonic clock. Spans are timed with
 * the monotonic clock: it has microseconds, while the wall clock has
 * milliseconds only, and it is never set back during a span.
 */
static void read_wall_offset(struct tracer *t, uint64_t mono_us)
{
	t->wall_offset_us = clk_wall_ms(t->clk) * US_PER_MS - mono_us;
	t->offset_read_us = mono_us;
}

/* Creates a tracer; path may be NULL. Returns NULL with an error on failure. */
struct tracer *tracer_create(const char *path, const char *service,
			     uint32_t sample_per_million, const struct clk *clk,
			     struct err *err)
{
	struct tracer *t = calloc(1, sizeof(*t));
	int fd = -1;

	if (t)
		t->service = strdup(service);
	if (!t || !t->service) {
		free(t);
		err_set(err, ERR_SYSTEM, ENOMEM, "traces: out of memory");
		return NULL;
	}
	if (path) {
		fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
			  FILE_MODE);
		if (fd < 0) {
			err_set(err, ERR_SYSTEM, errno,
				"%s: cannot be opened: %s", path,
				strerror(errno));
			free(t->service);
			free(t);
			return NULL;
		}
	}
	t->fd = fd;
	t->clk = clk;
	t->sample_per_million = sample_per_million;
	read_wall_offset(t, clk_mono_us(clk));
	return t;
}

/*
 * Writes the buffer with a single call. Data that cannot be written is dropped,
 * as tracing must not delay requests. After a partial write the next one starts
 * with a line feed, so that only the truncated line is unreadable.
 */
static void flush_buffer(struct tracer *t)
{
	ssize_t n;

	if (t->used == 0)
		return;
	n = write(t->fd, t->buffer, t->used);
	if (n > 0)
		t->line_truncated = t->buffer[n - 1] != '\n';
	t->used = 0;
}

/* Flushes the buffer and closes the file. */
void tracer_destroy(struct tracer *t)
{
	if (!t)
		return;
	if (t->fd >= 0) {
		flush_buffer(t);
		close(t->fd);
	}
	free(t->service);
	free(t);
}

static int hex_digit_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Parses hexadecimal digits; W3C Trace Context allows only lower case. */
static bool read_hex(const char *text, uint8_t *out, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++) {
		int high = hex_digit_value(text[2 * i]);
		int low = high < 0 ? -1 : hex_digit_value(text[2 * i + 1]);

		if (low < 0)
			return false;
		out[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static void write_hex(const uint8_t *bytes, size_t count, char *out)
{
	for (size_t i = 0; i < count; i++)
		snprintf(out + 2 * i, 3, "%02x", bytes[i]);
}

static bool is_zero(const uint8_t *bytes, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (bytes[i])
			return false;
	}
	return true;
}

/* Checks version, length and separators; later versions may append fields. */
static bool is_well_formed(const char *s)
{
	size_t len = strnlen(s, TRACEPARENT_CHARS + 1);
	uint8_t version;

	if (len < TRACEPARENT_CHARS || !read_hex(s, &version, 1) ||
	    version == 0xff)
		return false;
	if (s[TRACE_ID_OFFSET - 1] != '-' || s[SPAN_ID_OFFSET - 1] != '-' ||
	    s[FLAGS_OFFSET - 1] != '-')
		return false;
	return len == TRACEPARENT_CHARS ||
	       (version > 0 && s[TRACEPARENT_CHARS] == '-');
}

/* Parses trace id, parent id and flags; rejects ids that are all zero. */
static bool parse_traceparent(const char *s, struct tracer_span *span)
{
	uint8_t flags;

	if (!s || !is_well_formed(s) ||
	    !read_hex(s + TRACE_ID_OFFSET, span->trace_id,
		      TRACER_TRACE_ID_BYTES) ||
	    !read_hex(s + SPAN_ID_OFFSET, span->parent_id,
		      TRACER_SPAN_ID_BYTES) ||
	    !read_hex(s + FLAGS_OFFSET, &flags, 1))
		return false;
	span->sampled = flags & FLAG_SAMPLED;
	return !is_zero(span->trace_id, TRACER_TRACE_ID_BYTES) &&
	       !is_zero(span->parent_id, TRACER_SPAN_ID_BYTES);
}

/* Generates a random id; all zeros is not a valid id. */
static void generate_id(struct tracer *t, uint8_t *out, size_t bytes)
{
	for (size_t i = 0; i < bytes; i += sizeof(uint64_t)) {
		uint64_t v = clk_random(t->clk);

		memcpy(out + i, &v, sizeof(v));
	}
	if (is_zero(out, bytes))
		out[bytes - 1] = 1;
}

/*
 * Starts a span in the trace of the caller, or in a new trace if traceparent is
 * NULL or malformed.
 */
void tracer_start_span(struct tracer *t, const char *traceparent,
		       struct tracer_span *span)
{
	uint64_t now_us = clk_mono_us(t->clk);

	memset(span, 0, sizeof(*span));
	if (!parse_traceparent(traceparent, span)) {
		memset(span, 0, sizeof(*span));
		generate_id(t, span->trace_id, TRACER_TRACE_ID_BYTES);
		span->sampled = clk_random_below(t->clk, PER_MILLION) <
				t->sample_per_million;
	}
	generate_id(t, span->span_id, TRACER_SPAN_ID_BYTES);
	if (now_us - t->offset_read_us >= FLUSH_INTERVAL_US)
		read_wall_offset(t, now_us);
	span->start_us = now_us + t->wall_offset_us;
}

/* Formats a traceparent of version 00 for the next hop. */
void tracer_format_traceparent(const struct tracer_span *span,
			       char out[TRACER_TRACEPARENT_SIZE])
{
	char trace[TRACE_ID_CHARS + 1], id[SPAN_ID_CHARS + 1];

	write_hex(span->trace_id, TRACER_TRACE_ID_BYTES, trace);
	write_hex(span->span_id, TRACER_SPAN_ID_BYTES, id);
	snprintf(out, TRACER_TRACEPARENT_SIZE, "00-%s-%s-%02x", trace, id,
		 span->sampled ? FLAG_SAMPLED : 0);
}

/* Returns a span as JSON; OTLP encodes 64-bit integers as strings. */
static json_t *span_json(const struct tracer_span *span, uint64_t end_us,
			 const char *name, const char *outcome, int status)
{
	char trace[TRACE_ID_CHARS + 1], id[SPAN_ID_CHARS + 1];
	char parent[SPAN_ID_CHARS + 1] = "";
	char start[24], end[24], code[12];
	bool done = strcmp(outcome, OUTCOME_DONE) == 0;

	write_hex(span->trace_id, TRACER_TRACE_ID_BYTES, trace);
	write_hex(span->span_id, TRACER_SPAN_ID_BYTES, id);
	if (!is_zero(span->parent_id, TRACER_SPAN_ID_BYTES))
		write_hex(span->parent_id, TRACER_SPAN_ID_BYTES, parent);
	snprintf(start, sizeof(start), "%" PRIu64, span->start_us * 1000);
	snprintf(end, sizeof(end), "%" PRIu64, end_us * 1000);
	snprintf(code, sizeof(code), "%d", status);
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:s,"
			 " s:[{s:s, s:{s:s}}, {s:s, s:{s:s}}], s:{s:i}}",
			 "traceId", trace, "spanId", id, "parentSpanId", parent,
			 "name", name, "kind", KIND_SERVER, "startTimeUnixNano",
			 start, "endTimeUnixNano", end, "attributes", "key",
			 "geraniumspoke.outcome", "value", "stringValue",
			 outcome, "key", "http.response.status_code", "value",
			 "intValue", code, "status", "code",
			 done ? STATUS_OK : STATUS_ERROR);
}

/* Wraps the JSON of a span in an OTLP line; takes the reference to span. */
static json_t *line_json(const char *service, json_t *span)
{
	return json_pack("{s:[{s:{s:[{s:s, s:{s:s}}]},"
			 " s:[{s:{s:s}, s:[o]}]}]}",
			 "resourceSpans", "resource", "attributes", "key",
			 "service.name", "value", "stringValue", service,
			 "scopeSpans", "scope", "name", "geraniumspoke",
			 "spans", span);
}

/* Appends a line to the buffer; drops one that is larger than the buffer. */
static void append_line(struct tracer *t, const json_t *line, uint64_t now_us)
{
	size_t len = json_dumpb(line, NULL, 0, JSON_COMPACT);
	size_t need = len + 2;

	if (len == 0 || need > sizeof(t->buffer))
		return;
	if (t->used + need > sizeof(t->buffer))
		flush_buffer(t);
	if (t->used == 0) {
		t->oldest_us = now_us;
		if (t->line_truncated)
			t->buffer[t->used++] = '\n';
		t->line_truncated = false;
	}
	t->used += json_dumpb(line, t->buffer + t->used,
			      sizeof(t->buffer) - t->used, JSON_COMPACT);
	t->buffer[t->used++] = '\n';
}

/*
 * Ends a span and appends it to the buffer if it is sampled. The buffer is
 * flushed when it is full, or by the first span that ends at least a second
 * after its oldest line was appended.
 */
void tracer_end_span(struct tracer *t, const struct tracer_span *span,
		     const char *name, const char *outcome, int status)
{
	uint64_t now_us = clk_mono_us(t->clk);
	uint64_t end_us = now_us + t->wall_offset_us;
	json_t *line;

	if (t->fd < 0)
		return;
	if (span->sampled) {
		if (end_us < span->start_us)
			end_us = span->start_us;
		line = line_json(t->service, span_json(span, end_us, name,
						       outcome, status));
		if (line)
			append_line(t, line, now_us);
		json_decref(line);
	}
	if (t->used > 0 && now_us - t->oldest_us >= FLUSH_INTERVAL_US)
		flush_buffer(t);
}
