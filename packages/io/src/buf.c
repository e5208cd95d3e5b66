#include "buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "membud.h"

#define INITIAL_SIZE 512
/*
 * Sizes double up to this one and grow by a quarter from there on: large blocks
 * are mapped by the allocator and grow without a copy.
 */
#define DOUBLED_SIZE 65536
#define PRINT_MAX 512 /* bytes of one formatted text, with its NUL */

/* Returns the size to grow to for needed bytes. */
static size_t next_size(size_t size, size_t needed)
{
	if (size == 0)
		size = INITIAL_SIZE;
	while (size < needed)
		size += size < DOUBLED_SIZE ? size : size / 4;
	return size;
}

/* Changes the allocated size. Returns false if out of memory. */
static bool resize(struct buf *b, size_t size)
{
	char *bytes = realloc(b->bytes, size);

	if (!bytes)
		return false;
	membud_change(b->size, size);
	b->bytes = bytes;
	b->size = size;
	return true;
}

/*
 * Returns space for len more bytes at the end, or NULL if out of memory. Reuses
 * the consumed part first, then grows.
 */
char *buf_reserve(struct buf *b, size_t len)
{
	if (b->size - b->end >= len && b->bytes)
		return b->bytes + b->end;
	if (b->bytes && b->start > 0) {
		memmove(b->bytes, b->bytes + b->start, buf_len(b));
		b->end -= b->start;
		b->start = 0;
		if (b->size - b->end >= len)
			return b->bytes + b->end;
	}
	if (!resize(b, next_size(b->size, b->end + len)))
		return NULL;
	return b->bytes + b->end;
}

/* Returns by how many bytes the queue will grow for len more bytes. */
size_t buf_growth(const struct buf *b, size_t len, size_t most)
{
	size_t size;

	if (b->size - b->end >= len && b->bytes)
		return 0;
	size = next_size(b->size, b->end + len);
	if (most >= b->end + len && size > most)
		size = most;
	return size - b->size;
}

/* Appends to a queue that is not to grow beyond the bytes expected of it. */
bool buf_add_within(struct buf *b, const void *bytes, size_t len, size_t most)
{
	size_t growth = buf_growth(b, len, most);

	if (growth > 0 && !resize(b, b->size + growth))
		return false;
	return buf_add(b, bytes, len);
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

/* Frees the memory of an empty queue that has grown beyond this size. */
void buf_shrink(struct buf *b, size_t size)
{
	if (buf_len(b) == 0 && b->size > size)
		buf_free(b);
}

/* Frees the memory and resets the queue. */
void buf_free(struct buf *b)
{
	free(b->bytes);
	membud_change(b->size, 0);
	memset(b, 0, sizeof(*b));
}
