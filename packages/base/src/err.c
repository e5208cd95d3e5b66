#include "err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const layer_names[ERR_LAYER_COUNT] = {
	"none",	    "system",	"chart",  "settings", "manifest", "rows",
	"lease",    "place",	"route",  "wire",     "peer",	  "http",
	"upstream", "platform", "daemon", "ctl"
};

/* Sets the error; a text that is too long is truncated. Returns false. */
bool err_set(struct err *e, enum err_layer layer, int code, const char *fmt,
	     ...)
{
	va_list args;

	if (!e)
		return false;
	e->layer = layer;
	e->code = code;
	va_start(args, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, args);
	va_end(args);
	return false;
}

/*
 * Converts the error to another layer and appends the text of the cause to the
 * new one, truncated to ERR_TEXT_MAX. Returns false.
 */
bool err_wrap(struct err *e, enum err_layer layer, int code, const char *fmt,
	      ...)
{
	char cause[ERR_TEXT_MAX];
	va_list args;
	size_t used;

	if (!e)
		return false;
	memcpy(cause, e->text, sizeof(cause));
	e->layer = layer;
	e->code = code;
	va_start(args, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, args);
	va_end(args);
	used = strlen(e->text);
	if (cause[0])
		snprintf(e->text + used, sizeof(e->text) - used, ": %s", cause);
	return false;
}

/* Resets the error so that the struct can be reused. */
void err_clear(struct err *e)
{
	e->layer = ERR_NONE;
	e->code = 0;
	e->text[0] = '\0';
}

/* Returns the name of a layer, "none" for an unknown one. */
const char *err_layer_name(enum err_layer layer)
{
	if (layer < 0 || layer >= ERR_LAYER_COUNT)
		return layer_names[ERR_NONE];
	return layer_names[layer];
}
