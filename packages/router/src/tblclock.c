#include "tblclock.h"

#include "clk.h"

/* Greatest drift of a local clock, twice that of one that NTP slews. */
#define DRIFT_PPM 1000
#define MILLION 1000000

/* Returns by how much the bounds have widened since the sample, in ms. */
static uint64_t drift_ms(const struct keylease_clock *sample, uint64_t now_us)
{
	uint64_t age = clk_elapsed(now_us, sample->sent_us);

	return age * DRIFT_PPM / MILLION / US_PER_MS;
}

/* Returns the latest time that the table service's clock can show. */
static uint64_t latest_ms(const struct keylease_clock *sample, uint64_t now_us)
{
	return keylease_latest_ms(sample, now_us) + drift_ms(sample, now_us);
}

/* Returns the earliest time that it can show. */
static uint64_t earliest_ms(const struct keylease_clock *sample,
			    uint64_t now_us)
{
	return clk_elapsed(keylease_earliest_ms(sample, now_us),
			   drift_ms(sample, now_us));
}

/*
 * Takes a sample if its bounds are at least as close as those of the one before
 * are by now, or if no time is within both: the clock has been set.
 */
void tblclock_add(struct tblclock *c, const struct keylease_clock *sample,
		  uint64_t era)
{
	uint64_t now = sample->received_us;
	uint64_t earliest = earliest_ms(sample, now);
	uint64_t latest = latest_ms(sample, now);
	uint64_t known_earliest = earliest_ms(&c->best, now);
	uint64_t known_latest = latest_ms(&c->best, now);

	if (c->best.known && c->era == era && earliest <= known_latest &&
	    latest >= known_earliest &&
	    latest - earliest > known_latest - known_earliest)
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
		stamp.latest_ms = latest_ms(&c->best, now_us);
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
	return clk_elapsed(earliest_ms(&c->best, now_us), since->latest_ms) *
	       US_PER_MS;
}
