#include "htp_int.h"

/*
 * libwebsockets 4.1 gives the body of a chunked request to the user with its
 * framing, so that it is decoded here.
 */

/* A size of more digits would not fit; no real body comes near it. */
#define SIZE_DIGITS_MAX 15

/* Extensions and trailers carry nothing that is used; this bounds them. */
#define OVERHEAD_MAX 65536

static int hex_value(char ch)
{
	if (ch >= '0' && ch <= '9')
		return ch - '0';
	if (ch >= 'a' && ch <= 'f')
		return ch - 'a' + 10;
	if (ch >= 'A' && ch <= 'F')
		return ch - 'A' + 10;
	return -1;
}

/* Ends the line of a chunk size: data follows, or trailers after size 0. */
static enum chk_state size_done(struct chk *k)
{
	if (!k->digits)
		return CHK_BAD;
	k->digits = 0;
	return k->left ? CHK_DATA : CHK_TRAILER;
}

/* Takes one character of the line with the chunk size. */
static enum chk_state feed_size(struct chk *k, char ch)
{
	int v = hex_value(ch);

	if (v >= 0) {
		if (k->digits++ >= SIZE_DIGITS_MAX)
			return CHK_BAD;
		k->left = k->left << 4 | (uint64_t)v;
		return CHK_SIZE;
	}
	if (ch == '\n')
		return size_done(k);
	if (ch == '\r' || ch == ';' || ch == ' ' || ch == '\t')
		return k->digits ? CHK_EXTENSION : CHK_BAD;
	return CHK_BAD;
}

/* Takes one character outside the data. */
static enum chk_state feed_char(struct chk *k, char ch)
{
	switch (k->state) {
	case CHK_SIZE:
		return feed_size(k, ch);
	case CHK_EXTENSION:
		if (++k->overhead > OVERHEAD_MAX)
			return CHK_BAD;
		return ch == '\n' ? size_done(k) : CHK_EXTENSION;
	case CHK_DATA_END:
		if (ch == '\r')
			return CHK_DATA_END;
		return ch == '\n' ? CHK_SIZE : CHK_BAD;
	case CHK_TRAILER:
		if (ch == '\r')
			return CHK_TRAILER;
		return ch == '\n' ? CHK_DONE : CHK_TRAILER_LINE;
	case CHK_TRAILER_LINE:
		if (++k->overhead > OVERHEAD_MAX)
			return CHK_BAD;
		return ch == '\n' ? CHK_TRAILER : CHK_TRAILER_LINE;
	default:
		return k->state;
	}
}

/* Skips the framing up to the next data and returns with that data. */
size_t chk_feed(struct chk *k, const char *in, size_t len, const char **data,
		size_t *data_len)
{
	size_t used = 0;

	*data = NULL;
	*data_len = 0;
	while (used < len && k->state != CHK_DONE && k->state != CHK_BAD) {
		if (k->state == CHK_DATA) {
			size_t n = len - used;

			if (n > k->left)
				n = (size_t)k->left;
			*data = in + used;
			*data_len = n;
			k->left -= n;
			if (!k->left)
				k->state = CHK_DATA_END;
			return used + n;
		}
		k->state = feed_char(k, in[used++]);
	}
	return used;
}
