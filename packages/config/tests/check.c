#include "check.h"

#include <string.h>

/* Prints an unexpected error before the assertions fail. */
void check_error(const struct err *err, enum err_layer layer,
		 const struct bad_input *expected)
{
	if (err->code != expected->code ||
	    !strstr(err->text, expected->message))
		print_message("%s: %d %s\n", expected->text, err->code,
			      err->text);
	assert_int_equal(err->layer, layer);
	assert_int_equal(err->code, expected->code);
	assert_non_null(strstr(err->text, expected->message));
	assert_non_null(strstr(err->text, "(allowed: "));
}
