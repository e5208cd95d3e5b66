/*
 * Guards against the drain of an upstream that stalls or hurts callers while
 * the platform is down and no row can be written.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "drain.h"

static void drain_by_an_operator_without_platform(void **state)
{
	(void)state;
	drain_begin_load();
	cluster_control_platform(drain_cluster, "{\"down\":true}");
	cluster_sleep(drain_cluster, 1000);
	drain_order("/-/drain");
	drain_expect_no_new_work(drain_node);
	drain_order("/-/undrain");
	cluster_control_platform(drain_cluster, "{\"down\":false}");
	drain_end_load();
}

static void drain_by_announcement_without_platform(void **state)
{
	(void)state;
	drain_begin_load();
	cluster_control_platform(drain_cluster, "{\"down\":true}");
	cluster_sleep(drain_cluster, 1000);
	cluster_control_upstream(drain_cluster, drain_node, "{\"drain\":true}");
	drain_expect_no_new_work(drain_node);
	cluster_control_upstream(drain_cluster, drain_node,
				 "{\"drain\":false}");
	cluster_control_platform(drain_cluster, "{\"down\":false}");
	drain_end_load();
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, drain_start, drain_stop)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(drain_by_an_operator_without_platform),
		TEST(drain_by_announcement_without_platform),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
