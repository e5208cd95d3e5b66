#include "name.h"

#include <inttypes.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

/* Separates the start of the name from the hash in hexadecimal digits. */
#define SEPARATOR '~'
#define HASH_DIGITS 32
/* The last character of ASCII, which is a control character. */
#define ASCII_MAX 0x7f

/* True for a character of printable ASCII other than the space. */
static bool is_visible(unsigned char c)
{
	return c > ' ' && c < ASCII_MAX;
}

/*
 * True if the name can stand in a row, in JSON and between spaces in a header
 * field.
 */
static bool is_plain(const char *name, size_t len)
{
	bool is_ascii = true;
	json_t *text;

	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)name[i];

		if (!is_visible(c) && c <= ASCII_MAX)
			return false;
		is_ascii = is_ascii && c <= ASCII_MAX;
	}
	if (is_ascii)
		return true;
	/* jansson accepts valid UTF-8 only. */
	text = json_stringn(name, len);
	json_decref(text);
	return text != NULL;
}

/* Writes the identifier; a hashed one has size - 1 characters. */
void name_identify(char *out, size_t size, const char *name, size_t len)
{
	size_t start = size - 1 - HASH_DIGITS - 1;
	XXH128_hash_t hash;

	if (len < size && is_plain(name, len)) {
		memcpy(out, name, len);
		out[len] = '\0';
		return;
	}
	for (size_t i = 0; i < start; i++)
		out[i] = i < len && is_visible((unsigned char)name[i]) ?
				 name[i] :
				 '_';
	hash = XXH3_128bits(name, len);
	out[start] = SEPARATOR;
	snprintf(out + start + 1, HASH_DIGITS + 1, "%016" PRIx64 "%016" PRIx64,
		 (uint64_t)hash.high64, (uint64_t)hash.low64);
}

/* Writes the identifier of a string. */
void name_identify_text(char *out, const char *name)
{
	name_identify(out, NAME_SIZE, name, strlen(name));
}

/* Compares the length and the form. */
bool name_is_hashed(const char *identifier)
{
	const char *digits = identifier + NAME_SIZE - 1 - HASH_DIGITS;

	return strlen(identifier) == NAME_SIZE - 1 && digits[-1] == SEPARATOR &&
	       strspn(digits, "0123456789abcdef") == HASH_DIGITS;
}
