/*
 * Guards against two owners, lost rows and a rush of requests to the platform
 * when the platform is down, slow or loses replies, with the loss of a daemon
 * in the middle. The rows are created while replies are lost.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <cmocka.h>

#include "failure.h"

#define OUTAGE_MS 20000
#define TIMEOUT_MS 5000
#define KEYS 12

/* Requests to the table for each daemon and second, with room for a burst. */
#define READS_PER_NODE_S 4
#define WRITES_AFTER_OUTAGE 400

static void lost_replies_during_creation(void **state)
{
	(void)state;
	assert_int_equal(platform_count("dropped"), CREATION_DROPS);
	check_recovered();
}

/* The requests that the daemons made of the platform stay bounded. */
static void check_rates(long long reads, long long writes, uint64_t since_ms)
{
	uint64_t seconds = (cluster_now_ms() - since_ms) / 1000 + 1;
	long long limit = (long long)(seconds * cluster_nodes(cluster) *
				      READS_PER_NODE_S);

	reads = platform_count("reads") - reads;
	writes = platform_count("writes") - writes;
	printf("after the outage: %lld reads, %lld writes in under %llu s\n",
	       reads, writes, (unsigned long long)seconds);
	assert_true(reads <= limit);
	assert_true(writes <= WRITES_AFTER_OUTAGE);
}

static void outage_of_the_platform_with_a_kill(void **state)
{
	size_t victim = owner_of_bookings();
	uint64_t since;
	long long reads;
	long long writes;

	(void)state;
	cluster_control_platform(cluster, "{\"down\":true}");
	failure_run("down", OUTAGE_MS / 2);
	kill_daemon(victim);
	failure_run("down and killed", 3000);
	failure_run("down after the takeover", OUTAGE_MS / 2 - 3000);
	reads = platform_count("reads");
	writes = platform_count("writes");
	since = cluster_now_ms();
	cluster_control_platform(cluster, "{\"down\":false}");
	restart_daemon(victim);
	failure_run("back", 9000);
	check_rates(reads, writes, since);
	check_recovered();
}

/*
 * The rows still name the frozen owner, so a daemon has to find the successor
 * by itself.
 */
static void outage_of_the_platform_with_a_freeze(void **state)
{
	size_t victim = owner_of_bookings();
	size_t served = 0;
	char path[64];
	struct reply r;

	(void)state;
	cluster_control_platform(cluster, "{\"down\":true}");
	cluster_signal_daemon(cluster, victim, SIGSTOP);
	load_skip(load, victim, true);
	failure_run("down and frozen", 4000);
	load_finish(load);
	for (int key = 0; key < KEYS; key++) {
		snprintf(path, sizeof(path), "/bookings/clients/f%d/history",
			 key);
		cluster_request(cluster, (victim + 1) % 4, "GET", path, NULL,
				NULL, TIMEOUT_MS, &r);
		served += r.status == 200;
	}
	printf("%zu of %d keys served\n", served, KEYS);
	cluster_control_platform(cluster, "{\"down\":false}");
	cluster_signal_daemon(cluster, victim, SIGCONT);
	load_skip(load, victim, false);
	check_recovered();
	assert_int_equal(served, KEYS);
}

static void slow_platform_with_a_kill(void **state)
{
	size_t victim = owner_of_bookings();

	(void)state;
	cluster_control_platform(cluster, "{\"latency_ms\":1500}");
	kill_daemon(victim);
	failure_run("slow", 5000);
	cluster_control_platform(cluster, "{\"latency_ms\":0}");
	restart_daemon(victim);
	check_recovered();
}

static void lost_replies_during_a_takeover(void **state)
{
	size_t victim = owner_of_bookings();
	long long dropped = platform_count("dropped");

	(void)state;
	cluster_control_platform(cluster, "{\"drop_replies\":15}");
	kill_daemon(victim);
	failure_run("lost replies", 2500);
	restart_daemon(victim);
	check_recovered();
	assert_int_equal(platform_count("dropped") - dropped, 15);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lost_replies_during_creation),
		cmocka_unit_test(outage_of_the_platform_with_a_kill),
		cmocka_unit_test(outage_of_the_platform_with_a_freeze),
		cmocka_unit_test(slow_platform_with_a_kill),
		cmocka_unit_test(lost_replies_during_a_takeover),
	};

	return cmocka_run_group_tests(tests, failure_start, failure_stop);
}
