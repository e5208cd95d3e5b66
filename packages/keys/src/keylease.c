#include "keylease.h"

#include "clk.h"

#define PERCENT 100

/* Assumes that the table read its clock as early as possible, at sent_us. */
uint64_t keylease_latest_ms(const struct keylease_clock *clock, uint64_t now_us)
{
	uint64_t elapsed_us =
		now_us > clock->sent_us ? now_us - clock->sent_us : 0;

	return clock->table_ms + (elapsed_us + US_PER_MS - 1) / US_PER_MS;
}

/* Assumes that the table read its clock as late as possible, at received_us. */
uint64_t keylease_earliest_ms(const struct keylease_clock *clock,
			      uint64_t now_us)
{
	uint64_t elapsed_us =
		now_us > clock->received_us ? now_us - clock->received_us : 0;

	return clock->table_ms + elapsed_us / US_PER_MS;
}

/*
 * The upstream counts from the time of sending, which is before received_us, so
 * its hold ends earlier than computed here.
 */
uint32_t keylease_hold_ms(uint64_t lease_end_us, uint64_t received_us,
			  uint32_t hold_max_ms)
{
	uint64_t left_ms;

	if (lease_end_us <= received_us)
		return 0;
	left_ms = (lease_end_us - received_us) / US_PER_MS;
	left_ms = left_ms * PERCENT / (PERCENT + KEYLEASE_DRIFT_PCT);
	if (left_ms <= KEYLEASE_MARGIN_MS)
		return 0;
	left_ms -= KEYLEASE_MARGIN_MS;
	return left_ms < hold_max_ms ? (uint32_t)left_ms : hold_max_ms;
}
