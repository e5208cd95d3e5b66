#ifndef BUF_H
#define BUF_H

/* Growable byte queue: append at the end, consume from the front. */

#include <stdbool.h>
#include <stddef.h>

struct buf {
	char *bytes;
	size_t start; /* offset of the first unconsumed byte */
	size_t end; /* offset behind the last byte */
	size_t size; /* allocated bytes */
};

static inline size_t buf_len(const struct buf *b)
{
	return b->end - b->start;
}

static inline const char *buf_data(const struct buf *b)
{
	return b->bytes + b->start;
}

/*
 * Returns space for len more bytes at the end, to be followed by buf_commit();
 * NULL if out of memory.
 */
char *buf_reserve(struct buf *b, size_t len);

/* Appends len bytes that were written to the space from buf_reserve(). */
static inline void buf_commit(struct buf *b, size_t len)
{
	b->end += len;
}

/*
 * Append to the queue. Return false and append nothing if out of memory;
 * buf_printf() also if the text is longer than 511 bytes.
 */
bool buf_add(struct buf *b, const void *bytes, size_t len);
bool buf_add_text(struct buf *b, const char *text);
bool buf_printf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * For a queue that is only appended to and that will have most bytes in the end:
 * appends without growing beyond that. buf_growth() is the growth of its memory
 * by the next len bytes.
 */
bool buf_add_within(struct buf *b, const void *bytes, size_t len, size_t most);
size_t buf_growth(const struct buf *b, size_t len, size_t most);

/* Removes len bytes from the front; len must not exceed buf_len(). */
void buf_consume(struct buf *b, size_t len);

/* Frees the memory of a queue that is empty and larger than size. */
void buf_shrink(struct buf *b, size_t size);

/* Frees the memory. The queue is then empty and can be reused. */
void buf_free(struct buf *b);

#endif
