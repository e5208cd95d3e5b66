#include "ret.h"

#include <stdlib.h>

#include "clk.h"
#include "ctr.h"

/* The budget is counted in hundredths of a retry. */
#define RETRY_COST 100

#define DELAY_FIRST_US (10 * US_PER_MS)
#define DELAY_DOUBLINGS_MAX 4

struct ret {
	uint32_t budget;
};

/* Creates a budget that allows a full burst. */
struct ret *ret_create(void)
{
	struct ret *r = calloc(1, sizeof(*r));

	if (r)
		r->budget = RET_BURST * RETRY_COST;
	return r;
}

/* Frees a budget. */
void ret_destroy(struct ret *r)
{
	free(r);
}

/* Adds the share of one request, up to the burst. */
void ret_request_seen(struct ret *r)
{
	r->budget += RET_BUDGET_PCT;
	if (r->budget > RET_BURST * RETRY_COST)
		r->budget = RET_BURST * RETRY_COST;
}

/*
 * A request that the upstream has shed had reached it, so a kind that may not
 * be repeated is tried again only after the other two.
 */
static bool is_safe(const struct ret_request *req, enum ret_outcome outcome)
{
	return req->idempotent || outcome == RET_NOT_RUN ||
	       outcome == RET_MOVED;
}

/* Decides on another attempt and pays for it. */
bool ret_allows(struct ret *r, const struct ret_request *req,
		enum ret_outcome outcome, uint64_t now_us)
{
	if (req->response_started || !req->body_replayable ||
	    req->attempts >= RET_ATTEMPTS_MAX || now_us >= req->deadline_us ||
	    !is_safe(req, outcome))
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

/* Doubles with each attempt; the upper half of the delay is random. */
uint64_t ret_delay_us(uint32_t attempts, uint64_t random)
{
	uint32_t doublings = attempts > 0 ? attempts - 1 : 0;
	uint64_t delay;

	if (doublings > DELAY_DOUBLINGS_MAX)
		doublings = DELAY_DOUBLINGS_MAX;
	delay = DELAY_FIRST_US << doublings;
	return delay / 2 + random % (delay / 2 + 1);
}
