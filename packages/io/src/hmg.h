#ifndef HMG_H
#define HMG_H

/*
 * HTTP/1.1 messages, parsed with http_parser. The request target and the names
 * and values of header fields are kept byte for byte.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"

#define HMG_FIELDS_MAX 96
/* Limit in bytes for the target and the header fields of a message. */
#define HMG_HEAD_MAX 65536

struct hmg_field {
	uint32_t name, name_len; /* offsets in hmg.text */
	uint32_t value, value_len;
};

struct hmg {
	struct buf text;
	struct hmg_field fields[HMG_FIELDS_MAX];
	uint32_t field_count;
	uint32_t target_len; /* the target is at the start of text */
	const char *method; /* requests only */
	uint16_t status; /* responses only */
	uint8_t minor; /* minor version x of HTTP/1.x */
	bool keep_alive;
	int64_t length; /* of the body in bytes, -1 if unknown */
};

/* A part of the text of a message; not NUL-terminated. */
struct span {
	const char *text;
	size_t len;
};

struct span hmg_target(const struct hmg *m);
struct span hmg_name(const struct hmg *m, uint32_t i);
struct span hmg_value(const struct hmg *m, uint32_t i);

/* Finds a field by its name, ignoring case; text is NULL if not found. */
struct span hmg_find(const struct hmg *m, const char *name);

/* Returns the reason phrase of a status. */
const char *hmg_reason(uint16_t status);

bool span_is(struct span s, const char *text);
bool span_is_nocase(struct span s, const char *text);

/* Parses a decimal integer from 0 to max; false if it is anything else. */
bool span_number(struct span s, uint64_t max, uint64_t *out);

/* Copies to a buffer of size bytes as a string; false if it does not fit. */
bool span_copy(struct span s, char *out, size_t size);

/*
 * True for hop-by-hop fields and those that frame the body, which must not be
 * forwarded.
 */
bool hmg_is_hop_field(const struct hmg *m, uint32_t i);

/*
 * Appends the fields to forward to out, as header lines. Omits hop-by-hop fields
 * and those for which skip returns true; skip may be NULL.
 */
typedef bool (*hmg_skip_fn)(const void *arg, struct span name);
void hmg_copy_fields(const struct hmg *m, struct buf *out, hmg_skip_fn skip,
		     const void *arg);

/* Parses the messages of one connection, one after the other. */
struct hps;

struct hps_ops {
	/* The header section is complete. Return false to fail the parse. */
	bool (*on_head)(void *arg, struct hmg *m);
	void (*on_body)(void *arg, const char *bytes, size_t len);
};

enum hps_state {
	HPS_MORE, /* all bytes consumed, message incomplete */
	HPS_DONE, /* message complete; bytes behind it not consumed */
	HPS_BROKEN /* malformed or over a limit */
};

/* requests: parse requests, else responses. NULL if out of memory. */
struct hps *hps_create(bool requests, const struct hps_ops *ops, void *arg);
void hps_destroy(struct hps *p);

/* Sets whether the next response has no body, as one to HEAD has none. */
void hps_expect_no_body(struct hps *p, bool no_body);

/* Parses; *consumed is the number of bytes that belong to the message. */
enum hps_state hps_feed(struct hps *p, const char *bytes, size_t len,
			size_t *consumed);

/* Signals an orderly close: HPS_DONE if it completes the message. */
enum hps_state hps_end(struct hps *p);

/* Resets the parser for the next message. */
void hps_next(struct hps *p);

/* True if a message has begun and is incomplete. */
bool hps_is_inside(const struct hps *p);

/* The message being parsed, or the last one. */
struct hmg *hps_message(struct hps *p);

#endif
