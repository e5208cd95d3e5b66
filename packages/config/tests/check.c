#include "check.h"

#include <string.h>

/* Prints the error first when it is not the expected one. */
void check_error(const struct err *err, enum err_layer layer,
		 const struct bad *bad)
{
	if (err->code != bad->code || !strstr(err->text, bad->shown))
		print_message("%s: %d %s\n", bad->text, err->code, err->text);
	assert_int_equal(err->layer, layer);
	assert_int_equal(err->code, bad->code);
	assert_non_null(strstr(err->text, bad->shown));
	assert_non_null(strstr(err->text, "(allowed: "));
}
