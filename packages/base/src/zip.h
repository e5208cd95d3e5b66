#ifndef ZIP_H
#define ZIP_H

/*
 * Compressed texts, by zlib. A packed text begins with a mark that no JSON text
 * begins with, and with its length.
 */

#include <stdbool.h>
#include <stddef.h>

/* Returns the packed text, which the caller frees; NULL without memory. */
char *zip_pack(const char *text, size_t len, size_t *packed_len);

/* True if the bytes begin like a packed text. */
bool zip_is_packed(const char *bytes, size_t len);

/*
 * Returns the text, ended by NUL, which the caller frees; NULL if the bytes are
 * not a whole packed text, or one of more than max bytes.
 */
char *zip_unpack(const char *packed, size_t packed_len, size_t max,
		 size_t *len);

#endif
