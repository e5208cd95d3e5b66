/*
 * Guards against a sender whose work grows with the number of receivers, and
 * against receivers that are left out or served twice.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "pushtree.h"

static void every_receiver_is_in_one_group(void **state)
{
	(void)state;
	for (size_t n = PUSHTREE_DIRECT_MAX + 1; n <= 7000; n++) {
		size_t groups = pushtree_group_count(n);
		size_t next = 0;

		for (size_t i = 0; i < groups; i++) {
			struct pushtree_group g = pushtree_group(n, groups, i);

			assert_int_equal(g.first, next);
			assert_true(g.count > 0);
			next += g.count;
		}
		assert_int_equal(next, n);
	}
}

static void work_grows_with_the_square_root(void **state)
{
	(void)state;
	assert_int_equal(pushtree_group_count(PUSHTREE_DIRECT_MAX), 0);
	assert_int_equal(pushtree_group_count(294), 18);
	assert_int_equal(pushtree_group_count(6700), 82);
	assert_true(pushtree_group(6700, 82, 0).count <= 82);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_receiver_is_in_one_group),
		cmocka_unit_test(work_grows_with_the_square_root),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
