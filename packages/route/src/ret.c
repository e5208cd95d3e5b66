#include "ret.h"

#include <stdlib.h>

#include "clk.h"
#include "ctr.h"

#define RETRY_COST 100 /* the budget counts hundredths of a retry */

#define DELAY_FIRST_US (10 * US_PER_MS)
#define DELAY_DOUBLINGS_MAX 4

struct ret {
	uint32_t budget;
};

/* Starts with a full budget. Returns NULL when memory is exhausted. */
struct ret *ret_create(void)
{
	struct ret *r = calloc(1, sizeof(*r));

	if (r)
		r->budget = RET_BURST * RETRY_COST;
	return r;
}

/* r may be NULL. */
void ret_destroy(struct ret *r)
{
	free(r);
}

/* The budget is capped at RET_BURST retries. */
void ret_request_seen(struct ret *r)
{
	r->budget += RET_BUDGET_PCT;
	if (r->budget > RET_BURST * RETRY_COST)
		r->budget = RET_BURST * RETRY_COST;
}

/*
 * A shed request may have reached the upstream, so a request that is not
 * idempotent is retried only after RET_NOT_RUN and RET_MOVED.
 */
static bool is_safe_to_retry(const struct ret_request *req,
			     enum ret_outcome outcome)
{
	return req->idempotent || outcome == RET_NOT_RUN ||
	       outcome == RET_MOVED;
}

/* Counts a retry that only the budget has denied. */
bool ret_allows(struct ret *r, const struct ret_request *req,
		enum ret_outcome outcome, uint64_t now_us)
{
	if (req->response_started || !req->body_replayable ||
	    req->attempts >= RET_ATTEMPTS_MAX || now_us >= req->deadline_us ||
	    !is_safe_to_retry(req, outcome))
		return false;
	if (outcome == RET_MOVED)
		return true;
	if (r->budget < RETRY_COST) {
		ctr_add(CTR_RETRIES_DENIED, 1);
		return false;
	}
	r->budget -= RETRY_COST;
	return true;
}

/* The delay doubles with each attempt; its upper half is random. */
uint64_t ret_delay_us(uint32_t attempts, uint64_t random)
{
	uint32_t doublings = attempts > 0 ? attempts - 1 : 0;
	uint64_t delay;

	if (doublings > DELAY_DOUBLINGS_MAX)
		doublings = DELAY_DOUBLINGS_MAX;
	delay = DELAY_FIRST_US << doublings;
	return delay / 2 + random % (delay / 2 + 1);
}
