#ifndef CALLERS_H
#define CALLERS_H

/*
 * A steady load over all daemons of a cluster. It runs while the test waits in
 * cluster_sleep(), so that other steps of the test take place under load.
 */

#include "cluster.h"

struct callers;

struct callers_params {
	size_t per_node; /* requests in flight through each daemon */
	unsigned int timeout_ms; /* of a request */
};

/* How the requests ended; a caller has seen each of them end once. */
struct callers_result {
	size_t done;
	size_t not_run; /* outcomes not-run and shed */
	size_t unknown; /* outcome unknown */
	size_t not_sent; /* no connection; proof that no byte left */
	size_t lost; /* sent, and no answer or a part of one */
	size_t other; /* invalid and the like */
	size_t refused_but_ran; /* told not-run, and the journal has a start */
	size_t done_but_missing; /* told done, and the journal has no start */
};

/* Starts the load; half of the requests may not be repeated. */
struct callers *callers_start(struct cluster *c,
			      const struct callers_params *params);

/* Sends nothing more and waits until every request has ended. */
void callers_finish(struct callers *l);

/* Compares the answers with the journals; prints and returns the counts. */
struct callers_result callers_check(struct callers *l);

void callers_destroy(struct callers *l);

#endif
