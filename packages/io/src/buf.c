#include "buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIZE_MIN 512
#define PRINT_MAX 512 /* bytes of one formatted text */

/* Moves the bytes to the front, or grows by doubling. */
char *buf_reserve(struct buf *b, size_t len)
{
	size_t size = b->size ? b->size : SIZE_MIN;
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

/* Adds bytes at the end. */
bool buf_add(struct buf *b, const void *bytes, size_t len)
{
	char *room = buf_reserve(b, len);

	if (!room)
		return false;
	memcpy(room, bytes, len);
	b->end += len;
	return true;
}

/* Adds a text without its NUL. */
bool buf_add_text(struct buf *b, const char *text)
{
	return buf_add(b, text, strlen(text));
}

/* Adds a short formatted text; a longer one is an error of the caller. */
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

/* Takes bytes from the front; an empty queue starts over at its beginning. */
void buf_take(struct buf *b, size_t len)
{
	b->start += len;
	if (b->start == b->end)
		b->start = b->end = 0;
}

/* Frees the memory. */
void buf_free(struct buf *b)
{
	free(b->bytes);
	memset(b, 0, sizeof(*b));
}
