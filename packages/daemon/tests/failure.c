#include "failure.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <cmocka.h>

#define SETTLE_LIMIT_MS 30000
#define TIMEOUT_MS 5000
#define KEYS 12

struct cluster *cluster;
struct load *load;

/* Starts a cluster whose rows are created while replies are lost. */
int failure_start(void **state)
{
	static const struct cluster_params params = {
		.bookings = 4,
		.documents = 3,
		.service_ms = 1,
		.fences = true,
		.platform_control = "{\"drop_replies\":20}",
	};

	(void)state;
	cluster = cluster_start(&params);
	load = load_create(cluster);
	return 0;
}

/* Ends the cluster and its load. */
int failure_stop(void **state)
{
	(void)state;
	load_destroy(load);
	cluster_stop(cluster);
	return 0;
}

/* Reads a counter of the platform stand-in. */
long long platform_count(const char *name)
{
	json_t *json = cluster_ask_platform(cluster, "/control");
	long long count = json_integer_value(json_object_get(json, name));

	json_decref(json);
	return count;
}

static void show(const char *when, const struct load_counts *n)
{
	printf("%s: done %zu, not run %zu, unknown %zu, shed %zu, other %zu\n",
	       when, n->done, n->not_run, n->unknown, n->shed, n->other);
	fflush(stdout);
}

/* Looks up an owner in the table. */
size_t owner_of_bookings(void)
{
	int owner = cluster_row_owner(cluster, 1);

	assert_in_range(owner, 0, 3);
	return (size_t)owner;
}

static void check_journals(void)
{
	assert_int_equal(cluster_check_owners(cluster, "bookings"), 0);
	assert_int_equal(cluster_check_owners(cluster, "documents"), 0);
	assert_int_equal(cluster_check_once(cluster, "bookings"), 0);
	assert_int_equal(cluster_check_once(cluster, "documents"), 0);
	assert_int_equal(load_check_not_run(load), 0);
}

/* True if the daemon answers and has a manifest in force. */
static bool is_up(size_t node)
{
	json_t *status = cluster_ask(cluster, node, "GET", "/-/status");
	json_int_t version =
		json_integer_value(json_object_get(status, "manifest"));

	json_decref(status);
	return version > 0;
}

/*
 * Waits for daemons that were started a moment ago: until they listen and have
 * read the manifest they answer nothing, or that it is missing.
 */
static void wait_up(void)
{
	uint64_t limit = cluster_now_ms() + SETTLE_LIMIT_MS;

	for (size_t node = 0; node < cluster_nodes(cluster); node++) {
		while (!is_up(node)) {
			assert_true(cluster_now_ms() < limit);
			cluster_sleep(cluster, 50);
		}
	}
}

/* Every key of a sample is served through every daemon. */
static void check_served(void)
{
	char path[64];
	struct reply r;

	for (size_t node = 0; node < cluster_nodes(cluster); node++) {
		for (int key = 0; key < KEYS; key++) {
			snprintf(path, sizeof(path),
				 "/bookings/clients/s%d/history", key);
			cluster_request(cluster, node, "GET", path, NULL, NULL,
					TIMEOUT_MS, &r);
			if (r.status != 200)
				printf("node %zu, %s: %d %s\n", node, path,
				       r.status, r.body);
			assert_int_equal(r.status, 200);
		}
	}
}

/* What has to hold at the end of each case, with all processes running. */
void check_recovered(void)
{
	load_finish(load);
	assert_true(cluster_settle(cluster, SETTLE_LIMIT_MS));
	wait_up();
	check_served();
	check_journals();
}

/* Keeps the load going and prints how it was answered. */
void failure_run(const char *when, unsigned int ms)
{
	struct load_counts n = load_run(load, ms);

	show(when, &n);
	assert_true(n.done > 0);
}

/* Kills a daemon, which is no longer asked. */
void kill_daemon(size_t node)
{
	cluster_signal_daemon(cluster, node, SIGKILL);
	load_skip(load, node, true);
}

/* Starts a killed daemon again. */
void restart_daemon(size_t node)
{
	cluster_restart_daemon(cluster, node);
	load_skip(load, node, false);
}
