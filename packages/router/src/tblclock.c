#include "tblclock.h"

#include "clk.h"

/* Assumed drift between two clocks, twice that of a clock that NTP slews. */
#define DRIFT_PPM 1000
#define MILLION 1000000

/* Returns how far apart the bounds of a sample are, in microseconds. */
static uint64_t uncertainty_us(const struct keylease_clock *sample)
{
	return clk_elapsed(sample->received_us, sample->sent_us);
}

/* True if the clock cannot have both times: it has been set or replaced. */
static bool contradicts(const struct tblclock *c,
			const struct keylease_clock *sample)
{
	uint64_t at = sample->received_us;

	return keylease_earliest_ms(&c->best, at) >
		       keylease_latest_ms(sample, at) ||
	       keylease_latest_ms(&c->best, at) <
		       keylease_earliest_ms(sample, at);
}

/*
 * Takes a sample if its bounds are at least as close as those of the one before,
 * which widen with its age, or if the clock has changed.
 */
void tblclock_add(struct tblclock *c, const struct keylease_clock *sample,
		  uint64_t era)
{
	uint64_t age = clk_elapsed(sample->received_us, c->best.received_us);

	if (c->best.known && c->era == era && !contradicts(c, sample) &&
	    uncertainty_us(sample) >
		    uncertainty_us(&c->best) + age * DRIFT_PPM / MILLION)
		return;
	c->best = *sample;
	c->era = era;
}

/* Returns the latest possible time now. */
struct tblclock_stamp tblclock_make_stamp(const struct tblclock *c,
					  uint64_t now_us)
{
	struct tblclock_stamp stamp = { 0, c->era };

	if (c->best.known)
		stamp.latest_ms = keylease_latest_ms(&c->best, now_us);
	return stamp;
}

/*
 * Returns the least time in microseconds that has passed since the stamp was
 * made, by this or another daemon; 0 if that is not known.
 */
uint64_t tblclock_elapsed_us(const struct tblclock *c,
			     const struct tblclock_stamp *since,
			     uint64_t now_us)
{
	if (!c->best.known || since->latest_ms == 0 || since->era != c->era)
		return 0;
	return clk_elapsed(keylease_earliest_ms(&c->best, now_us),
			   since->latest_ms) *
	       US_PER_MS;
}
