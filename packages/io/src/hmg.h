#ifndef HMG_H
#define HMG_H

/*
 * HTTP/1.1 messages, read with http_parser. Target, names and values are kept
 * octet for octet.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"

#define HMG_FIELDS_MAX 96
/* Bytes of start line and fields that a message may have at most. */
#define HMG_HEAD_MAX 65536

struct hmg_field {
	uint32_t name, name_len; /* offsets in the text */
	uint32_t value, value_len;
};

struct hmg {
	struct buf text;
	struct hmg_field fields[HMG_FIELDS_MAX];
	uint32_t field_count;
	uint32_t target_len; /* the target begins the text */
	const char *method; /* of a request */
	uint16_t status; /* of a response */
	uint8_t minor; /* of HTTP/1.x */
	bool keep_alive;
	int64_t length; /* of the body, -1 if the head does not tell */
};

/* A piece of the text of a message, not ended by NUL. */
struct span {
	const char *text;
	size_t len;
};

struct span hmg_target(const struct hmg *m);
struct span hmg_name(const struct hmg *m, uint32_t i);
struct span hmg_value(const struct hmg *m, uint32_t i);

/* Finds a field by its name in any case; text is NULL if there is none. */
struct span hmg_find(const struct hmg *m, const char *name);

/* Returns the reason phrase of a status. */
const char *hmg_reason(uint16_t status);

bool span_is(struct span s, const char *text);
bool span_is_nocase(struct span s, const char *text);

/* Reads a whole number from 0 to max; false if it is anything else. */
bool span_number(struct span s, uint64_t max, uint64_t *out);

/* Copies into a text of size bytes; false if it does not fit. */
bool span_copy(struct span s, char *out, size_t size);

/*
 * True for a field that concerns one connection only, or frames the body, and
 * so is not forwarded.
 */
bool hmg_is_hop_field(const struct hmg *m, uint32_t i);

/* Adds all fields that are forwarded to out, as lines; skip may be NULL. */
typedef bool (*hmg_skip_fn)(const void *arg, struct span name);
void hmg_copy_fields(const struct hmg *m, struct buf *out, hmg_skip_fn skip,
		     const void *arg);

/* Parser of the messages of one connection, one after the other. */
struct hps;

struct hps_ops {
	/* The head is complete. False ends the parse with an error. */
	bool (*on_head)(void *arg, struct hmg *m);
	void (*on_body)(void *arg, const char *bytes, size_t len);
};

enum hps_state {
	HPS_MORE, /* all bytes taken, the message goes on */
	HPS_DONE, /* a message has ended; bytes behind it were not taken */
	HPS_BROKEN /* not HTTP */
};

struct hps *hps_create(bool requests, const struct hps_ops *ops, void *arg);
void hps_destroy(struct hps *p);

/* The response that comes next has no body, as it answers HEAD. */
void hps_expect_no_body(struct hps *p, bool no_body);

/* Parses; *taken tells how many bytes belong to the message. */
enum hps_state hps_feed(struct hps *p, const char *bytes, size_t len,
			size_t *taken);

/* The connection has ended in order: HPS_DONE if that ends the message. */
enum hps_state hps_end(struct hps *p);

/* Makes the parser ready for the next message. */
void hps_next(struct hps *p);

/* True if bytes of a message have come and it has not ended. */
bool hps_is_inside(const struct hps *p);

/* The message that is being read or was read last. */
struct hmg *hps_message(struct hps *p);

#endif
