/*
 * Guards against a break anywhere on the path of a request: caller, daemon,
 * daemon beside the owner, upstream, and back, over separate processes.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "cluster.h"

#define TIMEOUT_MS 5000

static struct cluster *cluster;

static int start(void **state)
{
	(void)state;
	cluster = cluster_start(&cluster_small);
	return 0;
}

static int stop(void **state)
{
	(void)state;
	cluster_stop(cluster);
	return 0;
}

static void every_daemon_reaches_every_key(void **state)
{
	char path[64];
	struct reply r;

	(void)state;
	for (size_t node = 0; node < cluster_nodes(cluster); node++) {
		for (int key = 0; key < 20; key++) {
			snprintf(path, sizeof(path),
				 "/bookings/clients/c%d/history", key);
			cluster_request(cluster, node, "GET", path, NULL, NULL,
					TIMEOUT_MS, &r);
			assert_int_equal(r.status, 200);
			assert_string_equal(r.outcome, "done");
			assert_non_null(strstr(r.body, path));
		}
	}
}

static void one_instance_runs_all_requests_of_a_key(void **state)
{
	char first[32] = "";
	struct reply r;

	(void)state;
	for (size_t node = 0; node < cluster_nodes(cluster); node++) {
		json_t *body;
		const char *instance;

		cluster_request(cluster, node, "GET",
				"/bookings/clients/one/history", NULL, NULL,
				TIMEOUT_MS, &r);
		body = json_loads(r.body, 0, NULL);
		instance = json_string_value(json_object_get(body, "instance"));
		assert_non_null(instance);
		if (!first[0])
			snprintf(first, sizeof(first), "%s", instance);
		assert_string_equal(first, instance);
		json_decref(body);
	}
}

static void refusals_say_why(void **state)
{
	struct reply r;

	(void)state;
	cluster_request(cluster, 0, "GET", "/nowhere", NULL, NULL, TIMEOUT_MS,
			&r);
	assert_int_equal(r.status, 404);
	assert_string_equal(r.outcome, "invalid");
	cluster_request(cluster, 0, "POST", "/bookings/clients/c1/deposits",
			NULL, "{}", TIMEOUT_MS, &r);
	assert_int_equal(r.status, 400);
	assert_string_equal(r.outcome, "invalid");
}

static void bodies_pass_whole_in_both_directions(void **state)
{
	static char body[200001];
	char id[64];
	struct reply r;

	(void)state;
	memset(body, 'x', sizeof(body) - 1);
	for (size_t node = 0; node < cluster_nodes(cluster); node++) {
		cluster_new_id(id, sizeof(id));
		cluster_request(cluster, node, "PUT",
				"/documents/members/m1/archives/a", id, body,
				TIMEOUT_MS, &r);
		assert_int_equal(r.status, 200);
		assert_non_null(strstr(r.body, "200000"));
		cluster_request(
			cluster, node, "GET",
			"/documents/members/m1/archives/a?bytes=3000000", NULL,
			NULL, TIMEOUT_MS, &r);
		assert_int_equal(r.status, 200);
		assert_int_equal(r.len, 3000000);
	}
}

static void a_body_cut_short_is_a_broken_transfer(void **state)
{
	struct reply r;

	(void)state;
	for (size_t node = 0; node < cluster_nodes(cluster); node++) {
		cluster_request(
			cluster, node, "GET",
			"/documents/members/m1/archives/a?bytes=300000&truncate=1",
			NULL, NULL, TIMEOUT_MS, &r);
		assert_int_equal(r.status, 0);
		assert_true(r.broken);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_daemon_reaches_every_key),
		cmocka_unit_test(one_instance_runs_all_requests_of_a_key),
		cmocka_unit_test(refusals_say_why),
		cmocka_unit_test(bodies_pass_whole_in_both_directions),
		cmocka_unit_test(a_body_cut_short_is_a_broken_transfer),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
