#ifndef FINDINGS_H
#define FINDINGS_H

/* Texts that a check of a configuration finds, passed to its user one by one. */

#include <stddef.h>

typedef void (*findings_fn)(void *arg, const char *text);

struct findings {
	findings_fn fn;
	void *arg;
	size_t count; /* texts passed so far */
};

/* Formats a text and passes it to the user; one of 2 KiB or more is cut. */
void findings_add(struct findings *f, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
