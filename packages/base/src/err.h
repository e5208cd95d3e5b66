#ifndef ERR_H
#define ERR_H

/*
 * Typed errors. An error struct is passed down to each function that can fail.
 * Each layer fills it with its own code and turns the errors of the layers
 * below into its own with err_wrap().
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
	ERR_LAYERS
};

/* Length of the text of an error in bytes, with the closing NUL. */
#define ERR_TEXT_MAX 256

struct err {
	enum err_layer layer;
	int code; /* a code of the layer, never 0 when an error is set */
	char text[ERR_TEXT_MAX];
};

/* Fills *e; e may be NULL. Always returns false, for use in a return. */
bool err_set(struct err *e, enum err_layer layer, int code, const char *fmt,
	     ...) __attribute__((format(printf, 4, 5)));

/*
 * Turns the error in *e into one of another layer: the formatted text is put
 * before the text that is there. Always returns false.
 */
bool err_wrap(struct err *e, enum err_layer layer, int code, const char *fmt,
	      ...) __attribute__((format(printf, 4, 5)));

/* Removes the error from *e. */
void err_clear(struct err *e);

/* Returns the name of a layer, for example "platform". */
const char *err_layer_name(enum err_layer layer);

#endif
