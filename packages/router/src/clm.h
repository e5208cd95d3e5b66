#ifndef CLM_H
#define CLM_H

/*
 * Decides when a daemon claims the lead. All daemons notice a silent leader at
 * about the same time; few of them claim, however many there are, since each
 * claim is a call of the table service and all but one of them fail.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"

struct clm {
	uint64_t version; /* of the leader's row, 0 for no leader yet */
	uint64_t heard_us; /* when the leader gave a sign of life */
};

/* Takes the known leader; a new one counts as heard now. True if it is new. */
bool clm_follow(struct clm *c, uint64_t version, uint64_t now_us);

/* The leader has answered. */
void clm_hear(struct clm *c, uint64_t now_us);

/* True if there is no leader, or it has not been heard for too long. */
bool clm_is_vacant(const struct clm *c, uint64_t now_us);

/*
 * Draws whether to claim in this round; rounds come every round_us. Returns the
 * wait until the claim, in us, or UINT64_MAX for none. members is the number of
 * daemons as far as it is known.
 */
uint64_t clm_draw(const struct clk *clk, size_t members, uint64_t round_us);

#endif
