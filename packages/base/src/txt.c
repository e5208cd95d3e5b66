#include "txt.h"

#include <string.h>

/* Copies a string, or sets out to "" and returns false if it is too long. */
bool txt_copy(char *out, size_t size, const char *text)
{
	size_t len = strlen(text);

	out[0] = '\0';
	if (len >= size)
		return false;
	memcpy(out, text, len + 1);
	return true;
}
