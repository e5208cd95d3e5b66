#ifndef FAILURE_H
#define FAILURE_H

/* What the tests of ownership under failure share: one cluster with a load. */

#include "cluster.h"

/* Replies that the platform loses while the rows are created. */
#define CREATION_DROPS 20

extern struct cluster *cluster;
extern struct load *load;

/* Setup and teardown of the group. */
int failure_start(void **state);
int failure_stop(void **state);

/* A counter of GET /control of the platform stand-in. */
long long platform_count(const char *name);

/* A node of the service bookings that owns a partition. */
size_t owner_of_bookings(void);

/* Keeps the load going for a while; some of it has to be answered. */
void failure_run(const char *when, unsigned int ms);

/* Kills a daemon and starts it again; the load leaves it out meanwhile. */
void kill_daemon(size_t node);
void restart_daemon(size_t node);

/*
 * Fails unless the rows settle, all daemons serve all keys, and the journals
 * show one owner at a time, no request that ran twice and none that ran and was
 * told not run. All processes have to run.
 */
void check_recovered(void);

#endif
