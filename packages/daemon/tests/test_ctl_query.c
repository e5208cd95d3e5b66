/*
 * Guards against a key with separators that is cut or changed in a path or a
 * query, so that it runs on another partition than explain tells.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "cluster.h"
#include "cluster_ctl.h"

static void explain_takes_separators(void **state)
{
	struct cluster *c = cluster_start(&cluster_small);
	bool equals = ctl_explains(c, "a=b", "a=b");
	bool both = ctl_explains(c, "a&b=c", "a&b=c");
	bool semicolon = ctl_explains(c, "a;b", "a;b");
	bool slash = ctl_explains(c, "a/b", "a%2Fb");

	(void)state;
	cluster_stop(c);
	assert_true(equals);
	assert_true(both);
	assert_true(semicolon);
	assert_true(slash);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(explain_takes_separators),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
