#include "err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const layer_names[ERR_LAYERS] = {
	"none",	    "system",	"chart",  "settings", "manifest", "rows",
	"lease",    "place",	"route",  "wire",     "peer",	  "http",
	"upstream", "platform", "daemon", "ctl"
};

/* Writes the formatted text into a fresh error. */
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

/* Keeps the old text behind the new one, cut to the size of the struct. */
bool err_wrap(struct err *e, enum err_layer layer, int code, const char *fmt,
	      ...)
{
	char below[ERR_TEXT_MAX];
	va_list args;
	size_t used;

	if (!e)
		return false;
	memcpy(below, e->text, sizeof(below));
	e->layer = layer;
	e->code = code;
	va_start(args, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, args);
	va_end(args);
	used = strlen(e->text);
	if (below[0])
		snprintf(e->text + used, sizeof(e->text) - used, ": %s", below);
	return false;
}

/* Resets the error so that the struct can be used again. */
void err_clear(struct err *e)
{
	e->layer = ERR_NONE;
	e->code = 0;
	e->text[0] = '\0';
}

/* Looks the name up; an unknown layer has the name "none". */
const char *err_layer_name(enum err_layer layer)
{
	if (layer < 0 || layer >= ERR_LAYERS)
		return layer_names[ERR_NONE];
	return layer_names[layer];
}
