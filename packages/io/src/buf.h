#ifndef BUF_H
#define BUF_H

/* Byte queue: bytes are added at the end and taken from the front. */

#include <stdbool.h>
#include <stddef.h>

struct buf {
	char *bytes;
	size_t start; /* first byte that has not been taken */
	size_t end;
	size_t size;
};

static inline size_t buf_len(const struct buf *b)
{
	return b->end - b->start;
}

static inline const char *buf_data(const struct buf *b)
{
	return b->bytes + b->start;
}

/* Makes room for len bytes at the end; NULL when memory is exhausted. */
char *buf_reserve(struct buf *b, size_t len);

/* Bytes that were written into the reserved room are part of the queue. */
static inline void buf_commit(struct buf *b, size_t len)
{
	b->end += len;
}

/* False when memory is exhausted; nothing is added then. */
bool buf_add(struct buf *b, const void *bytes, size_t len);
bool buf_add_text(struct buf *b, const char *text);
bool buf_printf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Takes len bytes, at most buf_len(), from the front. */
void buf_take(struct buf *b, size_t len);

/* Frees the memory; the queue is empty and may be used again. */
void buf_free(struct buf *b);

#endif
