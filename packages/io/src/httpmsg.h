#ifndef HTTPMSG_H
#define HTTPMSG_H

/*
 * HTTP/1.1 messages, parsed with http_parser. The request target and the names
 * and values of header fields are kept byte for byte.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"

/* Default limit in bytes for the target and the header fields of a message. */
#define HTTPMSG_HEAD_BYTES 65536

struct httpmsg_field {
	uint32_t name, name_len; /* offsets in httpmsg.text */
	uint32_t value, value_len;
};

struct httpmsg {
	struct buf text;
	struct httpmsg_field *fields;
	size_t field_count, field_capacity;
	uint32_t target_len; /* the target is at the start of text */
	const char *method; /* requests only */
	uint16_t status; /* responses only */
	uint8_t minor; /* minor version x of HTTP/1.x */
	bool keep_alive;
	int64_t length; /* of the body in bytes, -1 if unknown */
	bool chunked; /* the body has a last chunk */
	bool other_coding; /* the body has a transfer coding besides it */
};

/* A part of the text of a message; not NUL-terminated. */
struct span {
	const char *text;
	size_t len;
};

struct span httpmsg_target(const struct httpmsg *m);
struct span httpmsg_name(const struct httpmsg *m, size_t i);
struct span httpmsg_value(const struct httpmsg *m, size_t i);

/* Finds a field by its name, ignoring case; text is NULL if not found. */
struct span httpmsg_find(const struct httpmsg *m, const char *name);

/* Returns the reason phrase of a status. */
const char *httpmsg_reason_phrase(uint16_t status);

bool span_is(struct span s, const char *text);
bool span_is_nocase(struct span s, const char *text);

/* Parses a decimal integer from 0 to max; false if it is anything else. */
bool span_number(struct span s, uint64_t max, uint64_t *out);

/* Copies to a buffer of size bytes as a string; false if it does not fit. */
bool span_copy(struct span s, char *out, size_t size);

/*
 * Appends the fields to forward to out, as header lines. Omits hop-by-hop
 * fields and those for which skip returns true; skip may be NULL.
 */
typedef bool (*httpmsg_skip_fn)(const void *arg, struct span name);
void httpmsg_copy_fields(const struct httpmsg *m, struct buf *out,
			 httpmsg_skip_fn skip, const void *arg);

/* Parses the messages of one connection, one after the other. */
struct httpparse;

struct httpparse_ops {
	/* The header section is complete. Return false to fail the parse. */
	bool (*on_head)(void *arg, struct httpmsg *m);
	void (*on_body)(void *arg, const char *bytes, size_t len);
};

enum httpparse_state {
	HTTPPARSE_INCOMPLETE, /* all bytes consumed, message incomplete */
	HTTPPARSE_INTERIM, /* an interim response; bytes behind not consumed */
	HTTPPARSE_DONE, /* message complete; bytes behind it not consumed */
	HTTPPARSE_ERROR /* malformed or over a limit */
};

/* requests: parse requests, else responses. NULL if out of memory. */
struct httpparse *httpparse_create(bool requests,
				   const struct httpparse_ops *ops, void *arg);
void httpparse_destroy(struct httpparse *p);

/*
 * Sets the limit in bytes for the target and the header fields of the messages
 * that follow. It bounds their number, too.
 */
void httpparse_set_head_bytes(struct httpparse *p, uint32_t bytes);

/* Sets whether the next response has no body, as one to HEAD has none. */
void httpparse_expect_no_body(struct httpparse *p, bool no_body);

/* Parses; *consumed is the number of bytes that belong to the message. */
enum httpparse_state httpparse_feed(struct httpparse *p, const char *bytes,
				    size_t len, size_t *consumed);

/* Signals an orderly close: HTTPPARSE_DONE if it completes the message. */
enum httpparse_state httpparse_eof(struct httpparse *p);

/* Called in on_body: the rest of the message is not read, the parse fails. */
void httpparse_stop(struct httpparse *p);

/* Bytes that the parser and its message hold. */
size_t httpparse_held_bytes(const struct httpparse *p);

/* Resets the parser for the next message. */
void httpparse_reset(struct httpparse *p);

/* True if a message has begun and is incomplete. */
bool httpparse_in_message(const struct httpparse *p);

/* The message being parsed, or the last one, interim responses included. */
struct httpmsg *httpparse_message(struct httpparse *p);

#endif
