#include "zip.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#define MARK 'z'
/* Mark, the digits of a length, and the end of the line. */
#define HEAD_MAX 24

/* Compresses at the fastest level, as processor time is scarcer than bytes. */
char *zip_pack(const char *text, size_t len, size_t *packed_len)
{
	uLongf size = compressBound(len);
	char *out = malloc(HEAD_MAX + size);
	size_t head;

	if (!out)
		return NULL;
	head = (size_t)snprintf(out, HEAD_MAX, "%c%zu\n", MARK, len);
	if (compress2((Bytef *)out + head, &size, (const Bytef *)text, len,
		      Z_BEST_SPEED) != Z_OK) {
		free(out);
		return NULL;
	}
	*packed_len = head + size;
	return out;
}

/* Looks at the mark. */
bool zip_is_packed(const char *bytes, size_t len)
{
	return len > 0 && bytes[0] == MARK;
}

/* Reads the length in the first line; 0 if there is none. */
static size_t read_head(const char *packed, size_t packed_len, size_t *len)
{
	char line[HEAD_MAX] = "";
	size_t n = packed_len < HEAD_MAX ? packed_len : HEAD_MAX;
	const char *end = n ? memchr(packed, '\n', n) : NULL;
	char *rest;

	if (!end || !zip_is_packed(packed, packed_len))
		return 0;
	memcpy(line, packed + 1, (size_t)(end - packed) - 1);
	errno = 0;
	*len = strtoull(line, &rest, 10);
	if (errno || *rest || line[0] < '0' || line[0] > '9')
		return 0;
	return (size_t)(end - packed) + 1;
}

/* Decompresses into memory of the told length. */
char *zip_unpack(const char *packed, size_t packed_len, size_t max, size_t *len)
{
	size_t head = read_head(packed, packed_len, len);
	uLongf size = head > 0 ? *len : 0;
	char *out = head > 0 && *len <= max ? malloc(*len + 1) : NULL;

	if (!out)
		return NULL;
	if (uncompress((Bytef *)out, &size, (const Bytef *)packed + head,
		       packed_len - head) != Z_OK ||
	    size != *len) {
		free(out);
		return NULL;
	}
	out[*len] = '\0';
	return out;
}
