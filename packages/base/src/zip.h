#ifndef ZIP_H
#define ZIP_H

/*
 * Text compression with zlib. Compressed data starts with a header of one tag
 * byte, which cannot start a JSON text, and the uncompressed length.
 */

#include <stdbool.h>
#include <stddef.h>

/*
 * Compresses len bytes of text. The caller frees the result, which is NULL if
 * memory is exhausted.
 */
char *zip_compress(const char *text, size_t len, size_t *packed_len);

/* Returns true if the bytes start with the tag of compressed data. */
bool zip_is_compressed(const char *bytes, size_t len);

/*
 * Decompresses a text, which is NUL-terminated and freed by the caller. Returns
 * NULL if the data is malformed or truncated, if the text is longer than max
 * bytes, or if memory is exhausted.
 */
char *zip_decompress(const char *packed, size_t packed_len, size_t max,
		     size_t *len);

#endif
