#include "zip.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#define TAG 'z'
/* Tag, decimal length and line feed. */
#define HEADER_MAX_BYTES 24

/*
 * Compresses a text into memory that the caller frees; NULL without memory.
 * Uses the fastest level, as CPU time is scarcer than space.
 */
char *zip_compress(const char *text, size_t len, size_t *packed_len)
{
	uLongf size = compressBound(len);
	char *out = malloc(HEADER_MAX_BYTES + size);
	size_t header_len;

	if (!out)
		return NULL;
	header_len =
		(size_t)snprintf(out, HEADER_MAX_BYTES, "%c%zu\n", TAG, len);
	if (compress2((Bytef *)out + header_len, &size, (const Bytef *)text,
		      len, Z_BEST_SPEED) != Z_OK) {
		free(out);
		return NULL;
	}
	*packed_len = header_len + size;
	return out;
}

/* Returns true if the bytes start with the tag. */
bool zip_is_compressed(const char *bytes, size_t len)
{
	return len > 0 && bytes[0] == TAG;
}

/* Parses the header; returns its length in bytes, 0 if it is malformed. */
static size_t parse_header(const char *packed, size_t packed_len, size_t *len)
{
	char line[HEADER_MAX_BYTES] = "";
	size_t n =
		packed_len < HEADER_MAX_BYTES ? packed_len : HEADER_MAX_BYTES;
	const char *end = n ? memchr(packed, '\n', n) : NULL;
	char *rest;

	if (!end || !zip_is_compressed(packed, packed_len))
		return 0;
	memcpy(line, packed + 1, (size_t)(end - packed) - 1);
	errno = 0;
	*len = strtoull(line, &rest, 10);
	if (errno || *rest || line[0] < '0' || line[0] > '9')
		return 0;
	return (size_t)(end - packed) + 1;
}

/*
 * Decompresses into a buffer of the length given in the header, which may be at
 * most max. Returns NULL for malformed data or without memory.
 */
char *zip_decompress(const char *packed, size_t packed_len, size_t max,
		     size_t *len)
{
	size_t header_len = parse_header(packed, packed_len, len);
	uLongf size = header_len > 0 ? *len : 0;
	char *out = header_len > 0 && *len <= max ? malloc(*len + 1) : NULL;

	if (!out)
		return NULL;
	if (uncompress((Bytef *)out, &size, (const Bytef *)packed + header_len,
		       packed_len - header_len) != Z_OK ||
	    size != *len) {
		free(out);
		return NULL;
	}
	out[*len] = '\0';
	return out;
}
