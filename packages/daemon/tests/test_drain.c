/*
 * Guards against the drain of an upstream that hurts callers: new work after a
 * few seconds, a request that is cut or runs twice, and one that is refused
 * after it ran.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "drain.h"

static void drain_by_an_operator(void **state)
{
	(void)state;
	drain_begin_load();
	drain_order("/-/drain");
	drain_expect_no_new_work(drain_node);
	drain_order("/-/undrain");
	drain_end_load();
}

static void drain_by_announcement(void **state)
{
	(void)state;
	drain_begin_load();
	cluster_control_upstream(drain_cluster, drain_node, "{\"drain\":true}");
	drain_expect_no_new_work(drain_node);
	cluster_control_upstream(drain_cluster, drain_node,
				 "{\"drain\":false}");
	drain_end_load();
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, drain_start, drain_stop)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(drain_by_an_operator),
		TEST(drain_by_announcement),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
