#include "upstr_int.h"

/*
 * What is known of the slow start of the upstream. Its state is known from its
 * announcements only; where it is not known, it counts as cold.
 */

/* The state is not known until the next announcement. */
void upstr_forget_warm(struct upstr *a)
{
	a->state_known = false;
}

/* Returns how long the upstream stays cold, 0 if it is warm. */
uint64_t upstr_cold_left_us(const struct upstr *a, uint64_t now_us)
{
	if (!a->state_known)
		return UPSTR_COLD_UNKNOWN;
	return a->slow_until_us > now_us ? a->slow_until_us - now_us : 0;
}

/* Returns how often the upstream has begun to recover. */
uint32_t upstr_recoveries(const struct upstr *a)
{
	return a->recoveries;
}

/* Returns the rest of the slow start in milliseconds, 0 if it is over. */
uint32_t upstr_slow_left_ms(const struct upstr *a, uint64_t now_us)
{
	return a->slow_until_us > now_us ?
		       (uint32_t)((a->slow_until_us - now_us) / US_PER_MS) :
		       0;
}

/*
 * Records the slow start that an announcement names, which counts from its
 * arrival. The upstream begins to recover if it was warm before, or if its state
 * was not known.
 */
void upstr_record_slow_start(struct upstr *a, uint32_t left_ms, uint64_t now_us)
{
	if (!a->state_known || (left_ms > 0 && a->slow_until_us <= now_us))
		a->recoveries++;
	a->state_known = true;
	a->slow_until_us = now_us + (uint64_t)left_ms * US_PER_MS;
}
