/*
 * Guards against the graceful end of a daemon that hurts callers: a request
 * that is cut, an outcome that is unknown, a double run, and a daemon that does
 * not end while callers go on sending.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "drain.h"

static void end_of_a_daemon(void **state)
{
	size_t before;

	(void)state;
	drain_begin_load();
	drain_end_daemon(drain_node);
	before = drain_starts_on(drain_node);
	cluster_sleep(drain_cluster, DRAIN_WATCH_MS);
	assert_int_equal(drain_starts_on(drain_node), before);
	cluster_restart_daemon(drain_cluster, drain_node);
	drain_end_load();
}

static void end_of_a_daemon_without_platform(void **state)
{
	size_t before;

	(void)state;
	drain_begin_load();
	cluster_control_platform(drain_cluster, "{\"down\":true}");
	cluster_sleep(drain_cluster, 1000);
	drain_end_daemon(drain_node);
	before = drain_starts_on(drain_node);
	cluster_sleep(drain_cluster, DRAIN_WATCH_MS);
	assert_int_equal(drain_starts_on(drain_node), before);
	cluster_control_platform(drain_cluster, "{\"down\":false}");
	cluster_restart_daemon(drain_cluster, drain_node);
	drain_end_load();
}

static void rolling_replacement(void **state)
{
	(void)state;
	drain_begin_load();
	for (size_t i = 0; i < cluster_nodes(drain_cluster); i++) {
		drain_end_daemon(i);
		cluster_restart_daemon(drain_cluster, i);
		cluster_sleep(drain_cluster, 1500);
	}
	drain_expect_work_again(drain_node);
	drain_end_load();
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, drain_start, drain_stop)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(end_of_a_daemon),
		TEST(rolling_replacement),
		TEST(end_of_a_daemon_without_platform),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
