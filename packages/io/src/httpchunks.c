#include "httpchunks.h"

#include <ctype.h>
#include <string.h>

#define HEX_BITS 4
#define DECIMAL 10

enum state {
	SIZE_START, /* at the first digit of a size */
	SIZE,
	PADDING, /* blanks behind a size */
	EXTENSION,
	DATA,
	DATA_END, /* at the line end behind the data */
	TRAILERS
};

/* Starts behind the head of a message. */
void httpchunks_begin(struct httpchunks *c)
{
	memset(c, 0, sizeof(*c));
	c->state = SIZE_START;
	httplines_begin_trailers(&c->trailers);
}

/* Adds a digit to the size; false if it does not fit. */
static bool add_digit(struct httpchunks *c, char byte)
{
	unsigned int digit =
		isdigit((unsigned char)byte) ?
			(unsigned int)(byte - '0') :
			(unsigned int)(tolower(byte) - 'a') + DECIMAL;

	if (c->left > UINT64_MAX >> HEX_BITS)
		return false;
	c->left = c->left << HEX_BITS | digit;
	c->state = SIZE;
	return true;
}

/* Checks a byte of a line with a size that does not end it. */
static bool check_size_line(struct httpchunks *c, char byte)
{
	if (c->state == EXTENSION)
		return byte == '\t' || !isascii(byte) || isprint(byte);
	if (c->state != PADDING && isxdigit((unsigned char)byte))
		return add_digit(c, byte);
	if (c->state == SIZE_START)
		return false;
	c->state = byte == ';' ? EXTENSION : PADDING;
	return byte == ';' || byte == ' ' || byte == '\t';
}

/* Goes on behind a line end. */
static void end_line(struct httpchunks *c)
{
	if (c->state == DATA_END)
		c->state = SIZE_START;
	else
		c->state = c->left > 0 ? DATA : TRAILERS;
}

/* Checks a byte outside data and trailers; lines end in CR and LF only. */
static bool check_next(struct httpchunks *c, char byte)
{
	if (c->cr) {
		c->cr = false;
		end_line(c);
		return byte == '\n';
	}
	if (byte == '\r') {
		c->cr = true;
		return c->state != SIZE_START;
	}
	return c->state != DATA_END && check_size_line(c, byte);
}

/* Checks bytes up to the end of the body. */
size_t httpchunks_check(struct httpchunks *c, const char *bytes, size_t len)
{
	size_t at = 0;

	while (at < len && c->state != TRAILERS) {
		if (c->state == DATA) {
			size_t n =
				len - at < c->left ? len - at : (size_t)c->left;

			at += n;
			c->left -= n;
			if (c->left == 0)
				c->state = DATA_END;
		} else if (!check_next(c, bytes[at++])) {
			return 0;
		}
	}
	if (at < len) {
		size_t n = httplines_check(&c->trailers, bytes + at, len - at);

		return n > 0 ? at + n : 0;
	}
	return at;
}
