#include "cfgage.h"

#include "clk.h"

/*
 * A version has to be in effect everywhere within 2 s. The oldest confirmation
 * that a daemon gets in normal operation is that of the leader: LEADER_POLL_MS,
 * and 500 ms between two reports.
 */
#define AGE_MAX_US (1300 * US_PER_MS)
/* Polls of the leader, whose answers confirm the version of all daemons. */
#define LEADER_POLL_MS 500
/* Polls of a daemon whose version the leader confirms. */
#define CONFIRMED_POLL_MS 15000
/* Polls of a daemon that depends on the table service alone. */
#define ALONE_POLL_MS 1000
/* Without a confirmation for this long, a daemon does not rely on its leader. */
#define LEADER_LOST_US (2 * US_PER_S)

/* Confirmations may arrive in any order. */
void cfgage_confirm(struct cfgage *a, uint64_t as_of_us)
{
	if (as_of_us > a->confirmed_us)
		a->confirmed_us = as_of_us;
}

/* A leader that is behind still confirms a newer version as of its own time. */
void cfgage_confirm_by_leader(struct cfgage *a, uint64_t version,
			      uint64_t newest, uint64_t as_of_us,
			      uint64_t now_us)
{
	if (version < newest)
		return;
	cfgage_confirm(a, as_of_us);
	a->leader_us = now_us;
}

/* Returns the time at which the last confirmation is too old, in us. */
uint64_t cfgage_due_us(const struct cfgage *a)
{
	return a->confirmed_us + AGE_MAX_US;
}

/*
 * Only the leader polls at short intervals, so that the number of calls does
 * not grow with the number of daemons.
 */
uint32_t cfgage_poll_ms(const struct cfgage *a, bool is_leader, uint64_t now_us)
{
	if (is_leader)
		return LEADER_POLL_MS;
	if (a->leader_us > 0 &&
	    clk_elapsed(now_us, a->leader_us) < LEADER_LOST_US)
		return CONFIRMED_POLL_MS;
	return ALONE_POLL_MS;
}
