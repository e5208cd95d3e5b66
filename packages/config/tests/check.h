#ifndef CHECK_H
#define CHECK_H

/* What the tests of this package share: cmocka and checks of errors. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "err.h"

/* Head of a test that needs no state of its group. */
#define PLAIN(name) static void name(void **state __attribute__((unused)))

/* A text that is refused, with the code and a part of the message. */
struct bad {
	const char *text;
	int code;
	const char *shown;
};

/* Checks that an error has layer, code, the part and a range. */
void check_error(const struct err *err, enum err_layer layer,
		 const struct bad *bad);

#endif
