/*
 * Guards against a command of geraniumspokectl that tells scripts something
 * wrong: an exit status that does not fit, output that is not JSON where JSON
 * was asked for, and a command that hangs or succeeds without a daemon.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "cluster.h"
#include "cluster_ctl.h"

#define ARGS(...) ((const char *const[]){ __VA_ARGS__, NULL })
#define MANIFEST "manifests/loopback.yaml"

enum {
	DONE,
	REFUSED,
	USAGE,
	CONFLICT,
	UNREACHABLE,
	UNKNOWN
};

static struct cluster *cluster;
static struct ctl_run run;

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

/* Runs a command, checks its exit status and a part of what it prints. */
static void expect(int node, const char *const *args, int status,
		   const char *part)
{
	ctl_do(cluster, &run, node, args);
	if (run.status != status || !strstr(run.output, part))
		printf("%s: exit %d: %s\n", args[0], run.status, run.output);
	assert_int_equal(run.status, status);
	assert_non_null(strstr(run.output, part));
}

/* The same with --json; the output has to be one JSON value. */
static json_t *expect_json(int node, const char *const *args, int status)
{
	const char *all[8] = { "--json" };
	size_t count = 1;
	json_t *json;

	while (*args)
		all[count++] = *args++;
	all[count] = NULL;
	ctl_do(cluster, &run, node, all);
	json = json_loads(run.output, 0, NULL);
	if (run.status != status || !json)
		printf("%s: exit %d: %s\n", all[1], run.status, run.output);
	assert_int_equal(run.status, status);
	assert_non_null(json);
	return json;
}

/* Commands that change nothing, with a part of their text output. */
static const struct {
	const char *args[4];
	const char *part;
} readers[] = {
	{ { "status" }, "all daemons reached have one manifest in force" },
	{ { "manifest" }, "partitions: 64" },
	{ { "owners" }, "lease_left_ms=" },
	{ { "members" }, "name=node3 " },
	{ { "explain", "bookings", "c1" }, "partition " },
	{ { "hot" }, "" },
	{ { "quarantine" }, "" },
	{ { "counters" }, "\ngeraniumspoke_platform_up 1\n" },
	{ { "counters" }, "\ngeraniumspoke_manifest_version 1\n" },
	{ { "validate", MANIFEST }, "version 1, 2 services: correct" },
};

static void readers_print_text_and_json(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(readers) / sizeof(readers[0]); i++) {
		expect(0, readers[i].args, DONE, readers[i].part);
		json_decref(expect_json(0, readers[i].args, DONE));
	}
}

static void every_command_tells_that_no_daemon_answers(void **state)
{
	static const char *const commands[][4] = {
		{ "status" },
		{ "manifest" },
		{ "owners" },
		{ "members" },
		{ "hot" },
		{ "quarantine" },
		{ "counters" },
		{ "drain" },
		{ "undrain" },
		{ "explain", "bookings", "c1" },
		{ "lift", "1f" },
		{ "ended", "1", "1f" },
		{ "publish", MANIFEST },
	};

	(void)state;
	cluster_signal_daemon(cluster, 6, SIGKILL);
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		expect(6, commands[i], UNREACHABLE, "");
	cluster_restart_daemon(cluster, 6);
}

static void another_daemon_is_asked_if_the_first_does_not_answer(void **state)
{
	char second[32];

	(void)state;
	snprintf(second, sizeof(second), "%s:%u", cluster_address(),
		 cluster_admin_port(cluster, 1));
	cluster_signal_daemon(cluster, 6, SIGKILL);
	expect(6, ARGS("--daemon", second, "members"), DONE, "name=node1 ");
	expect(6, ARGS("--daemon", second, "status"), UNREACHABLE,
	       "unreachable");
	json_decref(expect_json(6, ARGS("--daemon", second, "status"),
				UNREACHABLE));
	cluster_restart_daemon(cluster, 6);
}

static void wrong_usage_is_told(void **state)
{
	(void)state;
	expect(0, ARGS("nothing"), USAGE, "no such command");
	expect(0, ARGS("explain", "bookings"), USAGE, "number of arguments");
	expect(0, ARGS("status", "more"), USAGE, "number of arguments");
	expect(0, ARGS("a", "b", "c", "d", "e", "f"), USAGE, "too many");
	expect(0, ARGS("--json"), USAGE, "no command");
	expect(0, ARGS("--no-such-option", "status"), USAGE, "");
	expect(0, ARGS("--timeout", "soon", "status"), USAGE, "--timeout");
	expect(0, ARGS("--expect", "-1", "publish", MANIFEST), USAGE,
	       "--expect");
	expect(-1, ARGS("status"), USAGE, "--daemon is needed");
	expect(-1, ARGS("--daemon", "nowhere", "status"), USAGE,
	       "ADDRESS:PORT");
	expect(-1, ARGS("--daemon", "127.0.0.1:65536", "status"), USAGE,
	       "ADDRESS:PORT");
	expect(-1, ARGS("--help"), DONE, "Exit status");
}

static void wrong_input_is_refused(void **state)
{
	(void)state;
	expect(0, ARGS("validate", "nowhere.yaml"), REFUSED, "nowhere.yaml");
	expect(0, ARGS("publish", "nowhere.yaml"), REFUSED, "nowhere.yaml");
	expect(0, ARGS("validate", "Makefile"), REFUSED, "Makefile:");
	expect(0, ARGS("publish", MANIFEST), REFUSED, "not higher");
	json_decref(expect_json(0, ARGS("publish", MANIFEST), REFUSED));
	expect(0, ARGS("explain", "nothing", "c1"), REFUSED, "no such service");
	json_decref(expect_json(0, ARGS("explain", "nothing", "c1"), REFUSED));
	expect(0, ARGS("lift", "not-hex"), REFUSED, "fingerprint");
	expect(0, ARGS("ended", "one", "1f"), REFUSED, "instance");
	expect(0, ARGS("ended", "1", "not-hex"), REFUSED, "incarnation");
}

static void drain_and_undrain(void **state)
{
	json_t *json;

	(void)state;
	expect(1, ARGS("drain"), DONE, "takes no new work");
	cluster_sleep(cluster, 500);
	expect(1, ARGS("status"), DONE, "upstream=held");
	expect(1, ARGS("undrain"), DONE, "may take new work");
	json = expect_json(1, ARGS("drain"), DONE);
	assert_string_equal(json_string_value(json_object_get(json, "result")),
			    "done");
	json_decref(json);
	json_decref(expect_json(1, ARGS("undrain"), DONE));
}

static void lift_and_ended_are_written(void **state)
{
	(void)state;
	expect(0, ARGS("lift", "00000000000000ab"), DONE, "done");
	json_decref(expect_json(0, ARGS("lift", "ab"), DONE));
	expect(0, ARGS("ended", "4711", "00000000000000ab"), DONE, "done");
	json_decref(expect_json(0, ARGS("ended", "4711", "ac"), DONE));
	cluster_control_platform(cluster, "{\"down\":true}");
	ctl_do(cluster, &run, 0, ARGS("ended", "4711", "ad"));
	printf("ended without platform: exit %d: %s", run.status, run.output);
	assert_true(run.status == UNREACHABLE || run.status == UNKNOWN);
	cluster_control_platform(cluster, "{\"down\":false}");
}

static void explain_takes_any_key(void **state)
{
	(void)state;
	assert_true(ctl_explains(cluster, "c1", "c1"));
	assert_true(ctl_explains(cluster, "a b", "a%20b"));
	assert_true(ctl_explains(cluster, "caf\xc3\xa9", "caf%C3%A9"));
	assert_true(ctl_explains(cluster, "50%", "50%25"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(readers_print_text_and_json),
		cmocka_unit_test(every_command_tells_that_no_daemon_answers),
		cmocka_unit_test(
			another_daemon_is_asked_if_the_first_does_not_answer),
		cmocka_unit_test(wrong_usage_is_told),
		cmocka_unit_test(wrong_input_is_refused),
		cmocka_unit_test(drain_and_undrain),
		cmocka_unit_test(lift_and_ended_are_written),
		cmocka_unit_test(explain_takes_any_key),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
