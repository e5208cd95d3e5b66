#ifndef DRAIN_H
#define DRAIN_H

/*
 * A layout under steady load for the tests of planned change. Each test begins
 * with a fresh layout, so that it finds nothing that another one has left.
 */

#include "cluster.h"

#define DRAIN_WATCH_MS 2000

extern struct cluster *drain_cluster;

/*
 * The node that leaves: the one of bookings on which most requests started
 * when the load had begun. Which node gets how much is left to a race.
 */
extern size_t drain_node;

/* Setup and teardown of each test. */
int drain_start(void **state);
int drain_stop(void **state);

/* Starts the load and lets it run for a while. */
void drain_begin_load(void);

/* Ends the load; every request was answered whole or refused without a run. */
void drain_end_load(void);

/* Number of requests that started on a node of bookings so far. */
size_t drain_starts_on(size_t node);

/* Waits as long as an upstream may need to leave, then watches it. */
void drain_expect_no_new_work(size_t node);

/* Fails unless a request starts on the node. */
void drain_expect_work_again(size_t node);

/* Sends an operator's order to the daemon of drain_node. */
void drain_order(const char *target);

/* Sends SIGTERM; the daemon has to end with status 0. */
void drain_end_daemon(size_t node);

#endif
