#include "retry.h"

#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "ctr.h"

#define PERCENT 100

/*
 * Slots of a second: retries of at least RETRY_WINDOW_S are counted, with the
 * second that has begun, and requests of at most that.
 */
#define SLOTS (RETRY_WINDOW_S + 1)

#define DELAY_FIRST_US (10 * US_PER_MS)
#define DELAY_DOUBLINGS_MAX 4

struct retry_budget {
	uint32_t burst;
	uint64_t second; /* of the newest slot, by the monotonic clock */
	uint32_t requests[SLOTS]; /* by second, modulo SLOTS */
	uint32_t retries[SLOTS];
};

/* Starts without requests. Returns NULL when memory is exhausted. */
struct retry_budget *retry_budget_create(uint32_t burst)
{
	struct retry_budget *r = calloc(1, sizeof(*r));

	if (r)
		r->burst = burst;
	return r;
}

/* r may be NULL. */
void retry_budget_destroy(struct retry_budget *r)
{
	free(r);
}

/* Clears the slots that have left the window. Returns the current one. */
static size_t advance(struct retry_budget *r, uint64_t now_us)
{
	uint64_t second = now_us / US_PER_S;

	for (int i = 0; i < SLOTS && r->second < second; i++) {
		r->second++;
		r->requests[r->second % SLOTS] = 0;
		r->retries[r->second % SLOTS] = 0;
	}
	if (r->second < second) {
		memset(r->requests, 0, sizeof(r->requests));
		memset(r->retries, 0, sizeof(r->retries));
		r->second = second;
	}
	return r->second % SLOTS;
}

/* Counts a request at now_us. */
void retry_count_request(struct retry_budget *r, uint64_t now_us)
{
	r->requests[advance(r, now_us)]++;
}

/* Charges one retry unless the share and the burst are used up. */
static bool charge(struct retry_budget *r, uint64_t now_us)
{
	size_t slot = advance(r, now_us);
	uint64_t requests = 0;
	uint64_t retries = 0;

	for (size_t i = 0; i < SLOTS; i++) {
		retries += r->retries[i];
		/* The oldest slot lies outside of the requests' window. */
		if (i != (slot + 1) % SLOTS)
			requests += r->requests[i];
	}
	if (retries >= r->burst + requests * RETRY_BUDGET_PCT / PERCENT)
		return false;
	r->retries[slot]++;
	return true;
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
	if (!charge(r, now_us)) {
		ctr_add(CTR_RETRIES_DENIED, 1);
		return false;
	}
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
