#include "clm.h"

/* A leader that was not heard for so long is replaced. */
#define SILENCE_US (1600 * US_PER_MS)
/*
 * Daemons that claim in one round, on average. The first claim is known to the
 * others within some 20 ms, so that most of the later ones are not made; no
 * daemon claims in one round of 3,000.
 */
#define CLAIMS_PER_ROUND 8

/* Begins to wait for a new leader. */
bool clm_follow(struct clm *c, uint64_t version, uint64_t now_us)
{
	if (c->version == version)
		return false;
	c->version = version;
	c->heard_us = now_us;
	return true;
}

/* Notes a sign of life. */
void clm_hear(struct clm *c, uint64_t now_us)
{
	c->heard_us = now_us;
}

/*
 * The time of a timer may lie before a sign of life, as it is that of the
 * beginning of the loop's round.
 */
bool clm_is_vacant(const struct clm *c, uint64_t now_us)
{
	return c->version == 0 || now_us >= c->heard_us + SILENCE_US;
}

/* Draws a place in the round among all daemons; only the first ones claim. */
uint64_t clm_draw(const struct clk *clk, size_t members, uint64_t round_us)
{
	if (members > CLAIMS_PER_ROUND &&
	    clk_random_below(clk, members) >= CLAIMS_PER_ROUND)
		return UINT64_MAX;
	return clk_random_below(clk, round_us);
}
