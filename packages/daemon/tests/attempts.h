#ifndef ATTEMPTS_H
#define ATTEMPTS_H

/*
 * Keeps a list of the requests with an id that a test has sent, and compares
 * the answers with the journal of the upstreams.
 */

#include <stdbool.h>
#include <stddef.h>

#include "cluster.h"

struct attempts;

struct attempts *attempts_create(struct cluster *c);
void attempts_destroy(struct attempts *a);

/* Sends a POST with an id and keeps id, time and outcome of the answer. */
void attempts_post(struct attempts *a, size_t node, const char *path,
		   const char *id, unsigned int timeout_ms, struct reply *r);

/*
 * Returns the number of answers that say that the attempt did not run while
 * the journal of the service has a start of its id after the attempt was sent
 * and before the next one, and prints them. An answer is judged by its outcome
 * not-run, shed, invalid, forbidden or quarantined.
 */
size_t attempts_check(const struct attempts *a, const char *service);

/* Number of attempts with an outcome; "" counts those without an answer. */
size_t attempts_count(const struct attempts *a, const char *outcome);

/* Number of starts of an id in the journal of a service. */
size_t attempts_runs(struct cluster *c, const char *service, const char *id);

/* A socket connected to a port on loopback; -1 if it was refused. */
int raw_connect(unsigned int port);

/* Starts a POST with an id and a body of {} and leaves the answer unread. */
int raw_post(struct cluster *c, size_t node, const char *path, const char *id);

#endif
