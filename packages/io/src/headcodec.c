#include "headcodec.h"

#include <stdlib.h>
#include <string.h>

#include <zlib.h>

/* Window of 4 KiB, raw deflate: most heads have below 1 KiB. */
#define WINDOW_BITS (-12)
#define WINDOW_BYTES 4096
/* Small tables, as they are cleared for each head. */
#define MEMORY_LEVEL 5
#define LEVEL 6
/* A longer head is sent as plain text. */
#define HEAD_MAX_BYTES 65536
/* Space of a remembered head that is kept for the next ones. */
#define KEPT_BYTES (2 * WINDOW_BYTES)
/* Step in which the space for a decoded head grows. */
#define STEP_BYTES 512
#define LENGTH_BITS 7
#define LENGTH_MAX_BYTES 4
#define MORE 0x80U
#define CHECK_BYTES 2
#define BYTE_BITS 8
#define BYTE_MASK 0xffU

struct headcodec {
	struct buf sent;
	struct buf received;
};

/*
 * The only compressor and decompressor of the process. They are reset for each
 * head, so that a connection costs only its remembered heads.
 */
static z_stream deflater, inflater;
static bool deflater_ready, inflater_ready;

/* Returns the state of a connection; NULL if out of memory. */
struct headcodec *headcodec_create(void)
{
	return calloc(1, sizeof(struct headcodec));
}

/* Frees the state of a connection; it may be NULL. */
void headcodec_destroy(struct headcodec *h)
{
	if (!h)
		return;
	buf_free(&h->sent);
	buf_free(&h->received);
	free(h);
}

/* Empties the queue, and frees its space if that is large. */
static void clear(struct buf *b)
{
	if (b->size > KEPT_BYTES)
		buf_free(b);
	b->start = b->end = 0;
}

/*
 * Replaces a remembered head. Without memory there is none, which makes the
 * next frame of the other end invalid and so ends the connection.
 */
static void remember(struct buf *b, const char *head, size_t len)
{
	clear(b);
	buf_add(b, head, len);
}

void headcodec_set_sent(struct headcodec *h, const char *head, size_t len)
{
	remember(&h->sent, head, len);
}

void headcodec_set_received(struct headcodec *h, const char *head, size_t len)
{
	remember(&h->received, head, len);
}

const struct buf *headcodec_received(const struct headcodec *h)
{
	return &h->received;
}

/* Resets the compressor and sets the end of the last head as dictionary. */
static bool reset_deflater(const struct buf *last)
{
	size_t len =
		buf_len(last) < WINDOW_BYTES ? buf_len(last) : WINDOW_BYTES;

	if (!deflater_ready)
		deflater_ready =
			deflateInit2(&deflater, LEVEL, Z_DEFLATED, WINDOW_BITS,
				     MEMORY_LEVEL, Z_DEFAULT_STRATEGY) == Z_OK;
	else if (deflateReset(&deflater) != Z_OK)
		return false;
	return deflater_ready &&
	       (len == 0 || deflateSetDictionary(&deflater,
						 (const Bytef *)buf_data(last) +
							 buf_len(last) - len,
						 (uInt)len) == Z_OK);
}

/* The same for the decompressor. */
static bool reset_inflater(const struct buf *last)
{
	size_t len =
		buf_len(last) < WINDOW_BYTES ? buf_len(last) : WINDOW_BYTES;

	if (!inflater_ready)
		inflater_ready = inflateInit2(&inflater, WINDOW_BITS) == Z_OK;
	else if (inflateReset(&inflater) != Z_OK)
		return false;
	return inflater_ready &&
	       (len == 0 || inflateSetDictionary(&inflater,
						 (const Bytef *)buf_data(last) +
							 buf_len(last) - len,
						 (uInt)len) == Z_OK);
}

/* Returns the check value of a head: it shows that both ends are in step. */
static uint16_t check_value(const char *head, size_t len)
{
	return (uint16_t)crc32(0, (const Bytef *)head, (uInt)len);
}

/* Appends the tag, the length and the check value of a frame. */
static bool add_frame_start(struct buf *out, size_t packed_len, uint16_t check)
{
	uint8_t start[1 + LENGTH_MAX_BYTES + CHECK_BYTES];
	size_t rest = packed_len + CHECK_BYTES;
	size_t n = 0;

	start[n++] = HEADCODEC_TAG;
	for (; rest >= MORE; rest >>= LENGTH_BITS)
		start[n++] = (uint8_t)(rest | MORE);
	start[n++] = (uint8_t)rest;
	start[n++] = (uint8_t)(check >> BYTE_BITS);
	start[n++] = (uint8_t)(check & BYTE_MASK);
	return buf_add(out, start, n);
}

/* Appends a frame with the head to out. */
bool headcodec_encode(struct headcodec *h, const char *head, size_t len,
		      struct buf *out)
{
	struct buf packed = { 0 };
	size_t bound;
	bool ok;

	if (len == 0 || len > HEAD_MAX_BYTES || !reset_deflater(&h->sent))
		return false;
	bound = deflateBound(&deflater, (uLong)len);
	deflater.next_out = (Bytef *)buf_reserve(&packed, bound);
	if (!deflater.next_out)
		return false;
	deflater.avail_out = (uInt)bound;
	deflater.next_in = (Bytef *)head;
	deflater.avail_in = (uInt)len;
	ok = deflate(&deflater, Z_FINISH) == Z_STREAM_END;
	buf_commit(&packed, bound - deflater.avail_out);
	/* All of the frame or nothing. */
	ok = ok &&
	     buf_reserve(out, buf_len(&packed) + 1 + LENGTH_MAX_BYTES +
				      CHECK_BYTES) &&
	     add_frame_start(out, buf_len(&packed), check_value(head, len)) &&
	     buf_add(out, buf_data(&packed), buf_len(&packed));
	buf_free(&packed);
	if (ok)
		remember(&h->sent, head, len);
	return ok;
}

/* Inflates a whole head of up to max bytes into out. */
static bool inflate_head(const uint8_t *packed, size_t len, size_t max,
			 struct buf *out)
{
	int result = Z_OK;

	inflater.next_in = (Bytef *)packed;
	inflater.avail_in = (uInt)len;
	while (result == Z_OK && buf_len(out) <= max) {
		char *space = buf_reserve(out, STEP_BYTES);

		if (!space)
			return false;
		inflater.next_out = (Bytef *)space;
		inflater.avail_out = STEP_BYTES;
		result = inflate(&inflater, Z_NO_FLUSH);
		buf_commit(out, STEP_BYTES - inflater.avail_out);
	}
	return result == Z_STREAM_END && inflater.avail_in == 0 &&
	       buf_len(out) > 0 && buf_len(out) <= max;
}

/* Decodes the frame at the start of bytes. */
enum headcodec_state headcodec_decode(struct headcodec *h, const char *bytes,
				      size_t len, size_t max, size_t *frame_len)
{
	const uint8_t *at = (const uint8_t *)bytes;
	struct buf head = { 0 };
	size_t rest = 0, n = 0;
	uint8_t digit;

	*frame_len = 0;
	if (len == 0)
		return HEADCODEC_INCOMPLETE;
	if (at[n++] != HEADCODEC_TAG)
		return HEADCODEC_INVALID;
	do {
		if (n == len)
			return HEADCODEC_INCOMPLETE;
		digit = at[n];
		rest |= (size_t)(digit & ~MORE) << (LENGTH_BITS * (n - 1));
		n++;
	} while ((digit & MORE) && n <= LENGTH_MAX_BYTES);
	/* Deflate adds a few bytes to a text that does not compress. */
	if ((digit & MORE) || rest <= CHECK_BYTES || rest > 2 * max)
		return HEADCODEC_INVALID;
	if (len - n < rest)
		return HEADCODEC_INCOMPLETE;
	if (!reset_inflater(&h->received) ||
	    !inflate_head(at + n + CHECK_BYTES, rest - CHECK_BYTES, max,
			  &head) ||
	    check_value(buf_data(&head), buf_len(&head)) !=
		    (at[n] << BYTE_BITS | at[n + 1])) {
		buf_free(&head);
		return HEADCODEC_INVALID;
	}
	buf_free(&h->received);
	h->received = head;
	*frame_len = n + rest;
	return HEADCODEC_HEAD;
}

/* Returns the length of a head in plain text with its empty line. */
size_t headcodec_plain_len(const char *bytes, size_t len)
{
	static const char end[] = "\r\n\r\n";
	const char *at = memmem(bytes, len, end, strlen(end));

	return at ? (size_t)(at - bytes) + strlen(end) : 0;
}
