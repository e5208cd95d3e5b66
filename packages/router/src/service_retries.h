#ifndef SERVICE_RETRIES_H
#define SERVICE_RETRIES_H

/*
 * Retries by service: what upstreams have received of the requests of this
 * daemon's callers, and which of it were repetitions. Decides whether a request
 * may be sent once more.
 */

#include <stdbool.h>
#include <stdint.h>

#include "evloop.h"
#include "retry.h"

struct svcretry;

struct svcretry *svcretry_create(struct evloop *l);
void svcretry_destroy(struct svcretry *s);

uint32_t svcretry_find_service(struct svcretry *s, const char *name);

/* Counts a request that has reached an upstream, after this many attempts. */
void svcretry_count_arrival(struct svcretry *s, uint32_t service,
			    uint32_t attempts);

/* True if the request may be sent once more; see retry_allowed(). */
bool svcretry_allow(struct svcretry *s, uint32_t service,
		    const struct retry_request *request,
		    enum retry_outcome outcome);

#endif
