#ifndef SERVICE_RETRIES_H
#define SERVICE_RETRIES_H

/*
 * Retries by service: what upstreams have received of the requests of this
 * daemon's callers, and which of it were repetitions. Decides whether a request
 * may be sent once more. Each service has a budget of its own, so that requests
 * to one do not pay for repetitions at another.
 */

#include <stdbool.h>
#include <stdint.h>

#include "retry.h"
#include "tmr.h"

struct svcretry;

/* initial and burst: retries of each service; see retry_budget_create(). */
struct svcretry *svcretry_create(struct tmr *timers, uint32_t initial,
				 uint32_t burst, uint64_t now_us);
void svcretry_destroy(struct svcretry *s);

/* Returns the handle of a service. */
uint32_t svcretry_find_service(struct svcretry *s, const char *name);

/* Counts a request that has reached an upstream, after this many attempts. */
void svcretry_count_arrival(struct svcretry *s, uint32_t service,
			    uint32_t attempts);

/* True if the request may be sent once more; see retry_allowed(). */
bool svcretry_allow(struct svcretry *s, uint32_t service,
		    const struct retry_request *request,
		    enum retry_outcome outcome, uint64_t now_us);

#endif
