#ifndef HEADCODEC_H
#define HEADCODEC_H

/*
 * Compresses the heads of HTTP messages on a connection between daemons. Both
 * ends remember the last head in each direction; the next one is sent as raw
 * deflate with that one as preset dictionary. Does no I/O.
 *
 * A frame is the byte HEADCODEC_TAG, the length of the rest in base 128 with
 * the lowest digits first, the low 16 bits of the CRC-32 of the head, and the
 * deflated head. The body of a short message may follow the head in its frame
 * and is then a part of what is remembered. Between daemons of an earlier
 * version there are no frames.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"

/* No HTTP message starts with this byte. */
#define HEADCODEC_TAG 0x81

/* Stands for an interim response 100 where frames are agreed on. */
#define HEADCODEC_CONTINUE 0x82

/* Agrees on frames: in the first plain request and its response. */
#define HEADCODEC_FIELD "Geranium-Compact"

struct headcodec; /* the last heads of one connection */

enum headcodec_state {
	HEADCODEC_HEAD, /* a whole head */
	HEADCODEC_INCOMPLETE, /* the frame is not complete yet */
	HEADCODEC_INVALID /* corrupted, or the head is over the limit */
};

/* Returns NULL if out of memory. */
struct headcodec *headcodec_create(void);
void headcodec_destroy(struct headcodec *h);

/* Remember a head that was sent or received as plain text. */
void headcodec_set_sent(struct headcodec *h, const char *head, size_t len);
void headcodec_set_received(struct headcodec *h, const char *head, size_t len);

/*
 * Appends a frame with the head to out and remembers the head. Returns false,
 * and changes nothing, if the head has to be sent as plain text, which the
 * other end then does not remember either.
 */
bool headcodec_encode(struct headcodec *h, const char *head, size_t len,
		      struct buf *out);

/*
 * Decodes the frame at the start of bytes, whose head may have up to max bytes.
 * *frame_len is the length of a whole frame; the head is headcodec_received().
 */
enum headcodec_state headcodec_decode(struct headcodec *h, const char *bytes,
				      size_t len, size_t max,
				      size_t *frame_len);

/* The last head received; valid until the next one. */
const struct buf *headcodec_received(const struct headcodec *h);

/* Length of the head at the start of plain text, 0 if it is incomplete. */
size_t headcodec_plain_len(const char *bytes, size_t len);

#endif
