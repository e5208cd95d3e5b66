#include "buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_SIZE 512
#define PRINT_MAX 512 /* bytes of one formatted text, with its NUL */

/*
 * Returns space for len more bytes at the end, or NULL if out of memory. Reuses
 * the consumed part first, then grows by doubling.
 */
char *buf_reserve(struct buf *b, size_t len)
{
	size_t size = b->size ? b->size : INITIAL_SIZE;
	char *bytes;

	if (b->size - b->end >= len && b->bytes)
		return b->bytes + b->end;
	if (b->bytes && b->start > 0) {
		memmove(b->bytes, b->bytes + b->start, buf_len(b));
		b->end -= b->start;
		b->start = 0;
		if (b->size - b->end >= len)
			return b->bytes + b->end;
	}
	while (size - b->end < len)
		size *= 2;
	bytes = realloc(b->bytes, size);
	if (!bytes)
		return NULL;
	b->bytes = bytes;
	b->size = size;
	return b->bytes + b->end;
}

/* Appends len bytes. Returns false if out of memory. */
bool buf_add(struct buf *b, const void *bytes, size_t len)
{
	char *space = buf_reserve(b, len);

	if (!space)
		return false;
	memcpy(space, bytes, len);
	b->end += len;
	return true;
}

/* Appends a string without its NUL. Returns false if out of memory. */
bool buf_add_text(struct buf *b, const char *text)
{
	return buf_add(b, text, strlen(text));
}

/*
 * Appends formatted text. Returns false if out of memory or if the text does
 * not fit into PRINT_MAX bytes with its NUL.
 */
bool buf_printf(struct buf *b, const char *fmt, ...)
{
	char text[PRINT_MAX];
	va_list args;
	int n;

	va_start(args, fmt);
	n = vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	if (n < 0 || (size_t)n >= sizeof(text))
		return false;
	return buf_add(b, text, (size_t)n);
}

/* Removes len bytes from the front. Resets the offsets of an empty queue. */
void buf_consume(struct buf *b, size_t len)
{
	b->start += len;
	if (b->start == b->end)
		b->start = b->end = 0;
}

/* Frees the memory and resets the queue. */
void buf_free(struct buf *b)
{
	free(b->bytes);
	memset(b, 0, sizeof(*b));
}
