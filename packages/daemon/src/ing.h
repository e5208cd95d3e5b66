#ifndef ING_H
#define ING_H

/* Requests of callers: match, route, run here or forward, answer. */

#include "nod.h"

/* Retries that a daemon saves, for services with few requests. */
#define ING_RETRY_BURST 10

struct ing *ing_create(struct nod *n, struct err *err);
void ing_destroy(struct ing *i);

/* Accepts no further connections. */
void ing_stop(struct ing *i);

/* Number of open connections of callers. */
size_t ing_connections(const struct ing *i);

/* Number of requests in progress. */
size_t ing_count(const struct ing *i);

/* Number of connections with output that was not acknowledged. */
size_t ing_unacked(const struct ing *i);

#endif
