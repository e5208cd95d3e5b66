#ifndef HTTPCHUNKS_H
#define HTTPCHUNKS_H

/*
 * Checks the framing of a chunked body and its trailer section by RFC 9112,
 * 7.1, of which http_parser ignores the bytes behind a size and behind data.
 */

#include "httplines.h"

struct httpchunks {
	uint8_t state;
	bool cr; /* the last byte was a CR */
	uint64_t left; /* size of the chunk, then bytes of its data left */
	struct httplines trailers;
};

/* Starts behind the head of a message. */
void httpchunks_begin(struct httpchunks *c);

/*
 * Checks the next bytes, at least one, up to the end of the body. Returns the
 * number of those that belong to it, 0 if they are invalid.
 */
size_t httpchunks_check(struct httpchunks *c, const char *bytes, size_t len);

#endif
