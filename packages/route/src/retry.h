#ifndef RETRY_H
#define RETRY_H

/* Decides whether to retry a request, within a retry budget. */

#include <stdbool.h>
#include <stdint.h>

#define RETRY_ATTEMPTS_MAX 3 /* of a request, with the first */
#define RETRY_BUDGET_PCT 10 /* retries per 100 requests */

/* What is known about a failed attempt. */
enum retry_outcome {
	RETRY_NOT_RUN, /* the request is known to have had no effect */
	RETRY_SHED, /* refused by admission control or the upstream */
	RETRY_MOVED, /* not run: another process serves the partition */
	RETRY_UNKNOWN /* an upstream may have received part of it */
};

struct retry_request {
	bool idempotent;
	uint32_t attempts; /* made so far */
	bool response_started; /* the caller has been sent the head */
	bool body_replayable; /* the body sent so far is still buffered */
	uint64_t deadline_us; /* monotonic time */
};

struct retry_budget;

/*
 * Starts with initial retries and holds up to burst of them. Where many daemons
 * serve one service, their bursts add up, after a restart as well.
 */
struct retry_budget *retry_budget_create(uint32_t initial, uint32_t burst);
void retry_budget_destroy(struct retry_budget *r);

/* Adds RETRY_BUDGET_PCT percent of a retry to the budget; call per request. */
void retry_count_request(struct retry_budget *r);

/*
 * Returns true if the request may be retried, and charges one retry to the
 * budget. RETRY_MOVED is not charged, as the number of forwards is limited.
 */
bool retry_allowed(struct retry_budget *r, const struct retry_request *req,
		   enum retry_outcome outcome, uint64_t now_us);

/*
 * Returns the delay in microseconds before a retry that follows the given
 * number of attempts. random is a random number for the jitter.
 */
uint64_t retry_delay_us(uint32_t attempts, uint64_t random);

#endif
