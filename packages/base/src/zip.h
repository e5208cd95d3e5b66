#ifndef ZIP_H
#define ZIP_H

/* Compressed texts for messages between daemons, by zlib. */

#include <stdbool.h>
#include <stddef.h>

/* Returns the compressed bytes, which the caller frees; NULL without memory. */
char *zip_pack(const char *text, size_t len, size_t *packed_len);

/*
 * Returns the text of len bytes, ended by NUL, which the caller frees; NULL if
 * the bytes are not a compressed text of that length.
 */
char *zip_unpack(const char *packed, size_t packed_len, size_t len);

#endif
