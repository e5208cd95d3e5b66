#ifndef RET_H
#define RET_H

/* Retry decisions and the budget that bounds them. */

#include <stdbool.h>
#include <stdint.h>

#define RET_ATTEMPTS_MAX 3
#define RET_BUDGET_PCT 10 /* retries per 100 requests */
#define RET_BURST 10 /* retries that may come at once */

/* What is known after an attempt has failed. */
enum ret_outcome {
	RET_NOT_RUN, /* proof that the request had no effect */
	RET_SHED, /* refused by admission or by the upstream */
	RET_MOVED, /* another process acts; always not run */
	RET_UNKNOWN /* a byte may have reached an upstream */
};

struct ret_request {
	bool idempotent;
	uint32_t attempts; /* made so far */
	bool response_started; /* the head was sent to the caller */
	bool body_replayable; /* all of the body that was sent is still held */
	uint64_t deadline_us;
};

struct ret;

struct ret *ret_create(void);
void ret_destroy(struct ret *r);

/* Counts a request, which earns its share of the budget. */
void ret_request_seen(struct ret *r);

/*
 * True if the request may be tried again; takes from the budget when it is. A
 * MOVED answer costs nothing, as it is bounded by the number of forwards.
 */
bool ret_allows(struct ret *r, const struct ret_request *req,
		enum ret_outcome outcome, uint64_t now_us);

/* Returns how long to wait before the attempt, with jitter, in microseconds. */
uint64_t ret_delay_us(uint32_t attempts, uint64_t random);

#endif
