#ifndef CLUSTER_CTL_H
#define CLUSTER_CTL_H

/* Runs geraniumspokectl as a process against the daemons of a cluster. */

#include "cluster.h"

#define CTL_OUTPUT_MAX 65536

struct ctl_run {
	pid_t pid;
	char file[128]; /* standard output and error */
	int status; /* exit status; -1 if it did not end by itself */
	char output[CTL_OUTPUT_MAX]; /* ended by NUL */
};

/*
 * Starts it with the operators' port of a node and further arguments, ended by
 * NULL. A node below 0 gives no port.
 */
void ctl_begin(struct cluster *c, struct ctl_run *run, int node,
	       const char *const *args);

/* Waits for its end and reads what it printed. */
void ctl_end(struct cluster *c, struct ctl_run *run);

/* Both in one; returns the exit status. */
int ctl_do(struct cluster *c, struct ctl_run *run, int node,
	   const char *const *args);

/*
 * True if the command explain names the partition of the service bookings on
 * which a request for the key runs; encoded is the key in a path.
 */
bool ctl_explains(struct cluster *c, const char *key, const char *encoded);

#endif
