#include "lea.h"

#include "clk.h"

#define PERCENT 100

/* Counts from the call's sending, the earliest moment of its reading. */
uint64_t lea_table_latest_ms(const struct lea_clock *c, uint64_t now_us)
{
	uint64_t passed = now_us > c->sent_us ? now_us - c->sent_us : 0;

	return c->told_ms + (passed + US_PER_MS - 1) / US_PER_MS;
}

/* Counts from the answer's arrival, the latest moment of its reading. */
uint64_t lea_table_earliest_ms(const struct lea_clock *c, uint64_t now_us)
{
	uint64_t passed = now_us > c->received_us ? now_us - c->received_us : 0;

	return c->told_ms + passed / US_PER_MS;
}

/* The announcement was sent before it came, so its arrival is a safe start. */
uint32_t lea_hold_ms(uint64_t lease_end_us, uint64_t received_us,
		     uint32_t hold_max_ms)
{
	uint64_t left_ms;

	if (lease_end_us <= received_us)
		return 0;
	left_ms = (lease_end_us - received_us) / US_PER_MS;
	left_ms = left_ms * PERCENT / (PERCENT + LEA_DRIFT_PCT);
	if (left_ms <= LEA_MARGIN_MS)
		return 0;
	left_ms -= LEA_MARGIN_MS;
	return left_ms < hold_max_ms ? (uint32_t)left_ms : hold_max_ms;
}
