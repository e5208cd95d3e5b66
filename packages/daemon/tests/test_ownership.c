/*
 * Guards against two owners at one time, a request that runs twice, a refusal
 * "not run" of a request that ran, and a cluster that does not recover, when
 * daemons and upstreams fail. All is judged from the journals of the upstreams.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <cmocka.h>

#include "failure.h"

#define FREEZE_MS 4500 /* longer than the lease and the announcements */
#define DOCUMENTS_NODE 4 /* the first of the nodes of the service documents */

static void kill_of_a_daemon(void **state)
{
	size_t victim = owner_of_bookings();

	(void)state;
	failure_run("before", 500);
	kill_daemon(victim);
	failure_run("killed", 2500);
	restart_daemon(victim);
	check_recovered();
}

/* Freezes what is beside an owner for longer than its lease. */
static void freeze(size_t victim, bool daemon, bool upstream)
{
	failure_run("before", 300);
	if (daemon)
		cluster_signal_daemon(cluster, victim, SIGSTOP);
	if (upstream)
		cluster_signal_upstream(cluster, victim, SIGSTOP);
	load_skip(load, victim, daemon);
	failure_run("frozen", FREEZE_MS);
	cluster_signal_upstream(cluster, victim, SIGCONT);
	cluster_signal_daemon(cluster, victim, SIGCONT);
	load_skip(load, victim, false);
	failure_run("resumed", 700);
	check_recovered();
}

static void freeze_of_a_daemon(void **state)
{
	(void)state;
	freeze(owner_of_bookings(), true, false);
}

/* Its upstream does not check fences, so only the term protects the key. */
static void freeze_of_a_daemon_without_fences(void **state)
{
	(void)state;
	freeze(DOCUMENTS_NODE, true, false);
}

static void freeze_of_an_upstream(void **state)
{
	(void)state;
	freeze(owner_of_bookings(), false, true);
}

static void freeze_of_both(void **state)
{
	(void)state;
	freeze(owner_of_bookings(), true, true);
}

static void kill_of_an_upstream(void **state)
{
	size_t victim = owner_of_bookings();

	(void)state;
	failure_run("before", 300);
	cluster_signal_upstream(cluster, victim, SIGKILL);
	failure_run("upstream killed", 2500);
	cluster_restart_upstream(cluster, victim);
	failure_run("upstream back", 1500);
	check_recovered();
}

static void new_incarnation_at_once(void **state)
{
	size_t victim = owner_of_bookings();

	(void)state;
	failure_run("before", 300);
	kill_daemon(victim);
	restart_daemon(victim);
	failure_run("restarted", 2000);
	check_recovered();
}

static void freeze_of_an_owner_and_kill_of_another(void **state)
{
	size_t frozen = owner_of_bookings();
	size_t killed = (frozen + 1) % 4;

	(void)state;
	cluster_signal_daemon(cluster, frozen, SIGSTOP);
	load_skip(load, frozen, true);
	kill_daemon(killed);
	failure_run("frozen and killed", FREEZE_MS);
	cluster_signal_daemon(cluster, frozen, SIGCONT);
	load_skip(load, frozen, false);
	restart_daemon(killed);
	failure_run("both back", 700);
	check_recovered();
}

static void restart_of_all_daemons(void **state)
{
	(void)state;
	failure_run("before", 300);
	for (size_t i = 0; i < cluster_nodes(cluster); i++)
		kill_daemon(i);
	load_finish(load);
	for (size_t i = 0; i < cluster_nodes(cluster); i++)
		restart_daemon(i);
	check_recovered();
	failure_run("after", 500);
	check_recovered();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(kill_of_a_daemon),
		cmocka_unit_test(freeze_of_a_daemon),
		cmocka_unit_test(freeze_of_a_daemon_without_fences),
		cmocka_unit_test(freeze_of_an_upstream),
		cmocka_unit_test(freeze_of_both),
		cmocka_unit_test(kill_of_an_upstream),
		cmocka_unit_test(new_incarnation_at_once),
		cmocka_unit_test(freeze_of_an_owner_and_kill_of_another),
		cmocka_unit_test(restart_of_all_daemons),
	};

	return cmocka_run_group_tests(tests, failure_start, failure_stop);
}
