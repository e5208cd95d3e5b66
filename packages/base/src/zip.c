#include "zip.h"

#include <stdlib.h>

#include <zlib.h>

/* Compresses at the fastest level, as processor time is scarcer than bytes. */
char *zip_pack(const char *text, size_t len, size_t *packed_len)
{
	uLongf size = compressBound(len);
	char *out = malloc(size);

	if (!out || compress2((Bytef *)out, &size, (const Bytef *)text, len,
			      Z_BEST_SPEED) != Z_OK) {
		free(out);
		return NULL;
	}
	*packed_len = size;
	return out;
}

/* Decompresses into memory of the known length. */
char *zip_unpack(const char *packed, size_t packed_len, size_t len)
{
	uLongf size = len;
	char *out = malloc(len + 1);

	if (!out ||
	    uncompress((Bytef *)out, &size, (const Bytef *)packed,
		       packed_len) != Z_OK ||
	    size != len) {
		free(out);
		return NULL;
	}
	out[len] = '\0';
	return out;
}
