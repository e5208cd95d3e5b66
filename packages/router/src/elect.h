#ifndef ELECT_H
#define ELECT_H

/*
 * Leader election: decides when a daemon claims leadership. All daemons detect
 * the loss of the leader at about the same time. Only a few of them claim, for
 * any number of daemons, as each claim is a call of the table service and all
 * but one of them fail.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"

struct elect {
	uint64_t version; /* of the leader's row, 0 for no leader yet */
	uint64_t heard_us; /* last response of the leader */
};

/*
 * Sets the version of the known leader's row. A new leader counts as heard now.
 * True if it is new.
 */
bool elect_set_leader(struct elect *c, uint64_t version, uint64_t now_us);

/* Records a response of the leader. */
void elect_leader_responded(struct elect *c, uint64_t now_us);

/* True if there is no leader, or it has not responded for too long. */
bool elect_is_vacant(const struct elect *c, uint64_t now_us);

/*
 * Decides at random whether to claim in this round, which lasts round_us.
 * Returns the delay of the claim in us, UINT64_MAX for no claim. members is the
 * known number of daemons.
 */
uint64_t elect_claim_delay_us(const struct clk *clk, size_t members,
			      uint64_t round_us);

#endif
