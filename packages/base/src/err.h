#ifndef ERR_H
#define ERR_H

/*
 * Typed errors. Functions that can fail take a pointer to an error struct.
 * Each layer sets its own codes and wraps the errors of lower layers with
 * err_wrap().
 */

#include <stdbool.h>

/* The layer that reports an error. Codes are unique only within a layer. */
enum err_layer {
	ERR_NONE,
	ERR_SYSTEM,
	ERR_CHART,
	ERR_SETTINGS,
	ERR_MANIFEST,
	ERR_ROWS,
	ERR_LEASE,
	ERR_PLACE,
	ERR_ROUTE,
	ERR_WIRE,
	ERR_PEER,
	ERR_HTTP,
	ERR_UPSTREAM,
	ERR_PLATFORM,
	ERR_DAEMON,
	ERR_CTL,
	ERR_LAYER_COUNT
};

/* Size of an error text in bytes, including the closing NUL. */
#define ERR_TEXT_MAX 256

struct err {
	enum err_layer layer;
	int code; /* specific to the layer; not 0 when an error is set */
	char text[ERR_TEXT_MAX];
};

/* Sets *e; e may be NULL. Returns false, so callers can return the result. */
bool err_set(struct err *e, enum err_layer layer, int code, const char *fmt,
	     ...) __attribute__((format(printf, 4, 5)));

/*
 * Converts the error in *e to another layer and code and prepends the formatted
 * text to the existing one. e may be NULL. Always returns false.
 */
bool err_wrap(struct err *e, enum err_layer layer, int code, const char *fmt,
	      ...) __attribute__((format(printf, 4, 5)));

/* Resets *e to no error. */
void err_clear(struct err *e);

/* Returns the name of a layer, for example "platform". */
const char *err_layer_name(enum err_layer layer);

#endif
