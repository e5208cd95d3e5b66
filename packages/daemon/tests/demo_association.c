/*
 * Runs the layout of the Association on loopback with requests of every kind,
 * kills one instance, drains another one and stops its daemon while requests
 * go on, and prints metrics and the result of the checks. The exit status is 1
 * if an invariant broke.
 */

#include "demo.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#define WARM_MS 4000
#define AFTER_KILL_MS 7000
#define AFTER_DRAIN_MS 8000
#define AFTER_STOP_MS 3000
#define CTL_LIMIT_MS 10000

/* A booking instance dies, a document instance leaves. */
#define KILLED_NODE 2
#define DRAINED_NODE 9

/* Waits for a child with traffic; -1 when it does not end in time. */
static int wait_child(struct demo *d, pid_t *pid, unsigned int limit_ms)
{
	uint64_t until = cluster_now_ms() + limit_ms;
	int status;

	while (cluster_now_ms() < until) {
		if (waitpid(*pid, &status, WNOHANG) == *pid) {
			*pid = 0;
			return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
		}
		lwsloop_run_once(d->cluster->loop);
	}
	return -1;
}

static void kill_instance(struct demo *d, size_t node)
{
	printf("-- kill daemon and upstream of node%zu\n", node);
	d->killed = node;
	d->callable[node] = false;
	d->killed_at_us = demo_wall_us();
	cluster_signal_daemon(d->cluster, node, SIGKILL);
	cluster_signal_upstream(d->cluster, node, SIGKILL);
}

static void drain_instance(struct demo *d, size_t node)
{
	pid_t ctl = cluster_start_ctl(d->cluster, node, "drain", NULL);
	int status = wait_child(d, &ctl, CTL_LIMIT_MS);

	printf("-- geraniumspokectl drain of node%zu: exit status %d\n", node,
	       status);
	d->drained = node;
	d->drained_at_us = demo_wall_us();
}

/* Callers stop using the daemon when it is asked to end. */
static void stop_drained(struct demo *d, size_t node)
{
	printf("-- SIGTERM to the daemon of node%zu\n", node);
	d->callable[node] = false;
	d->stopped_at_us = demo_wall_us();
	cluster_signal_daemon(d->cluster, node, SIGTERM);
	d->stop_status =
		wait_child(d, &d->cluster->nodes[node].daemon, CTL_LIMIT_MS);
}

static void run_phases(struct demo *d)
{
	demo_start_traffic(d);
	demo_run(d, WARM_MS);
	demo_print_gaps(d, "no failure");
	kill_instance(d, KILLED_NODE);
	demo_run(d, AFTER_KILL_MS);
	demo_print_gaps(d, "instance killed");
	drain_instance(d, DRAINED_NODE);
	demo_run(d, AFTER_DRAIN_MS);
	demo_print_gaps(d, "instance drained");
	stop_drained(d, DRAINED_NODE);
	demo_run(d, AFTER_STOP_MS);
	demo_print_gaps(d, "daemon stopped");
	demo_stop_traffic(d);
}

int main(void)
{
	struct cluster_params params = cluster_association;
	static struct demo d;
	size_t broken;

	setvbuf(stdout, NULL, _IOLBF, 0);
	params.publish_with_ctl = true;
	d.records = calloc(DEMO_RECORDS_MAX, sizeof(*d.records));
	if (!d.records)
		return EXIT_FAILURE;
	printf("-- start 11 daemons and upstreams, publish the manifest\n");
	d.cluster = cluster_start(&params);
	for (size_t i = 0; i < d.cluster->count; i++)
		d.callable[i] = true;
	run_phases(&d);
	demo_print_metrics(&d);
	broken = demo_check(&d);
	cluster_stop(d.cluster);
	free(d.records);
	return broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
