#ifndef TXT_H
#define TXT_H

/* Strings in fixed-size buffers. */

#include <stdbool.h>
#include <stddef.h>

/*
 * Copies a string with its NUL into out, a buffer of size bytes (not 0). A
 * string that does not fit is not truncated: out becomes "" and false is
 * returned.
 */
bool txt_copy(char *out, size_t size, const char *text);

#endif
