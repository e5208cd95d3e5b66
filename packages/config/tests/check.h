#ifndef CHECK_H
#define CHECK_H

/* Common declarations of the tests: cmocka and checks of error messages. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "err.h"

/* Defines a test that ignores the state of its group. */
#define STATELESS_TEST(name) \
	static void name(void **state __attribute__((unused)))

/* An invalid input, its error code and a part of the error message. */
struct bad_input {
	const char *text;
	int code;
	const char *message;
};

/* Checks the layer, code and message of an error; the message has a range. */
void check_error(const struct err *err, enum err_layer layer,
		 const struct bad_input *expected);

#endif
