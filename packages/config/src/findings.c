#include "findings.h"

#include <stdarg.h>
#include <stdio.h>

#define TEXT_MAX 2048

/* Counts the text, too. */
void findings_add(struct findings *f, const char *fmt, ...)
{
	char text[TEXT_MAX];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	f->count++;
	f->fn(f->arg, text);
}
