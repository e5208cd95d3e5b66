#ifndef RET_H
#define RET_H

/* Decides whether to retry a request, within a retry budget. */

#include <stdbool.h>
#include <stdint.h>

#define RET_ATTEMPTS_MAX 3 /* of a request, with the first */
#define RET_BUDGET_PCT 10 /* retries per 100 requests */
#define RET_BURST 10 /* retries that the budget can accumulate */

/* What is known about a failed attempt. */
enum ret_outcome {
	RET_NOT_RUN, /* the request is known to have had no effect */
	RET_SHED, /* refused by admission control or the upstream */
	RET_MOVED, /* not run: another process serves the partition */
	RET_UNKNOWN /* an upstream may have received part of it */
};

struct ret_request {
	bool idempotent;
	uint32_t attempts; /* made so far */
	bool response_started; /* the caller has been sent the head */
	bool body_replayable; /* the body sent so far is still buffered */
	uint64_t deadline_us; /* monotonic time */
};

struct ret;

struct ret *ret_create(void);
void ret_destroy(struct ret *r);

/* Adds RET_BUDGET_PCT percent of a retry to the budget; call per request. */
void ret_request_seen(struct ret *r);

/*
 * Returns true if the request may be retried, and charges one retry to the
 * budget. RET_MOVED is not charged, as the number of forwards is limited.
 */
bool ret_allows(struct ret *r, const struct ret_request *req,
		enum ret_outcome outcome, uint64_t now_us);

/*
 * Returns the delay in microseconds before a retry that follows the given number
 * of attempts. random is a random number for the jitter.
 */
uint64_t ret_delay_us(uint32_t attempts, uint64_t random);

#endif
