#include "elect.h"

/* A leader that has not responded for this long is replaced. */
#define LEADER_TIMEOUT_US (1600 * US_PER_MS)
/*
 * Expected number of daemons that claim in one round. The others learn of the
 * first claim within about 20 ms and mostly cancel theirs. With this value, one
 * round in 3,000 has no claim.
 */
#define CLAIMS_PER_ROUND 8

/* Restarts the timeout if the leader is new. */
bool elect_set_leader(struct elect *c, uint64_t version, uint64_t now_us)
{
	if (c->version == version)
		return false;
	c->version = version;
	c->heard_us = now_us;
	return true;
}

/* Restarts the timeout. */
void elect_leader_responded(struct elect *c, uint64_t now_us)
{
	c->heard_us = now_us;
}

/*
 * now_us may be earlier than heard_us: a timer gets the time at which the
 * iteration of the event loop began.
 */
bool elect_is_vacant(const struct elect *c, uint64_t now_us)
{
	return c->version == 0 || now_us >= c->heard_us + LEADER_TIMEOUT_US;
}

/* Draws a rank among all daemons; only the first CLAIMS_PER_ROUND claim. */
uint64_t elect_claim_delay_us(const struct clk *clk, size_t members,
			      uint64_t round_us)
{
	if (members > CLAIMS_PER_ROUND &&
	    clk_random_below(clk, members) >= CLAIMS_PER_ROUND)
		return UINT64_MAX;
	return clk_random_below(clk, round_us);
}
