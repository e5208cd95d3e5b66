#include "retry.h"

#include <stdlib.h>

#include "clk.h"
#include "ctr.h"

#define RETRY_COST 100 /* the budget counts hundredths of a retry */

#define DELAY_FIRST_US (10 * US_PER_MS)
#define DELAY_DOUBLINGS_MAX 4

struct retry_budget {
	uint32_t budget;
	uint32_t limit;
};

/* Returns NULL when memory is exhausted. */
struct retry_budget *retry_budget_create(uint32_t initial, uint32_t burst)
{
	struct retry_budget *r = calloc(1, sizeof(*r));

	if (r) {
		r->budget = initial * RETRY_COST;
		r->limit = burst * RETRY_COST;
	}
	return r;
}

/* r may be NULL. */
void retry_budget_destroy(struct retry_budget *r)
{
	free(r);
}

/* The budget is capped at its burst. */
void retry_count_request(struct retry_budget *r)
{
	r->budget += RETRY_BUDGET_PCT;
	if (r->budget > r->limit)
		r->budget = r->limit;
}

/*
 * A shed request may have reached the upstream, so a request that is not
 * idempotent is retried only after RETRY_NOT_RUN and RETRY_MOVED.
 */
static bool is_safe_to_retry(const struct retry_request *req,
			     enum retry_outcome outcome)
{
	return req->idempotent || outcome == RETRY_NOT_RUN ||
	       outcome == RETRY_MOVED;
}

/* Counts a retry that only the budget has denied. */
bool retry_allowed(struct retry_budget *r, const struct retry_request *req,
		   enum retry_outcome outcome, uint64_t now_us)
{
	if (req->response_started || !req->body_replayable ||
	    req->attempts >= RETRY_ATTEMPTS_MAX || now_us >= req->deadline_us ||
	    !is_safe_to_retry(req, outcome))
		return false;
	if (outcome == RETRY_MOVED)
		return true;
	if (r->budget < RETRY_COST) {
		ctr_add(CTR_RETRIES_DENIED, 1);
		return false;
	}
	r->budget -= RETRY_COST;
	return true;
}

/* The delay doubles with each attempt; its upper half is random. */
uint64_t retry_delay_us(uint32_t attempts, uint64_t random)
{
	uint32_t doublings = attempts > 0 ? attempts - 1 : 0;
	uint64_t delay;

	if (doublings > DELAY_DOUBLINGS_MAX)
		doublings = DELAY_DOUBLINGS_MAX;
	delay = DELAY_FIRST_US << doublings;
	return delay / 2 + random % (delay / 2 + 1);
}
