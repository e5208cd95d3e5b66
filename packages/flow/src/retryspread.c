#include "retryspread.h"

#include "clk.h"

/*
 * Longest delay: later the capacity is not known, and a caller that waits longer
 * than needed leaves an upstream idle.
 */
#define DELAY_MAX_US (5 * US_PER_S)
/* Lowest rate that is reckoned with. */
#define PER_S_MIN 0.2
/* The random part is up to this share of the delay. */
#define RANDOM_SHARE 0.5

/* Places that would be too late are spread over the whole time instead. */
uint64_t retryspread_take(struct retryspread *s, double per_s, uint64_t wait_us,
			  uint64_t now_us, double random)
{
	double step_us =
		(double)US_PER_S / (per_s > PER_S_MIN ? per_s : PER_S_MIN);
	double delay_us;

	if (s->next_us < now_us)
		s->next_us = now_us;
	s->next_us += (uint64_t)step_us;
	if (s->next_us > now_us + DELAY_MAX_US)
		s->next_us = now_us + DELAY_MAX_US;
	if (wait_us > DELAY_MAX_US)
		wait_us = DELAY_MAX_US;
	delay_us = (double)(s->next_us - now_us);
	if (s->next_us - now_us >= DELAY_MAX_US)
		delay_us = (double)wait_us +
			   random * (double)(DELAY_MAX_US - wait_us);
	if (delay_us < (double)wait_us)
		delay_us = (double)wait_us;
	delay_us += random * RANDOM_SHARE *
		    (delay_us > step_us ? delay_us : step_us);
	return (uint64_t)delay_us;
}
