#ifndef HTTPLINES_H
#define HTTPLINES_H

/*
 * Checks each line of the head or the trailer section of a message by RFC 9110
 * and RFC 9112, as http_parser lets some through that are none.
 * docs/platform.md lists the deviations that are accepted.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct httplines {
	bool request;
	uint8_t state;
	bool cr; /* the last byte was a CR */
	uint32_t at; /* checked bytes of a status line */
};

/* Starts at the first line of a message. */
void httplines_begin(struct httplines *l, bool request);

/* Starts at the first line of a trailer section. */
void httplines_begin_trailers(struct httplines *l);

/*
 * Checks the next bytes, at least one, up to the end of the head. Returns the
 * number of those that belong to it, 0 if they are invalid.
 */
size_t httplines_check(struct httplines *l, const char *bytes, size_t len);

/* True once the empty line that ends the head has been checked. */
bool httplines_ended(const struct httplines *l);

#endif
