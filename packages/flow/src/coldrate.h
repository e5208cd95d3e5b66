#ifndef COLDRATE_H
#define COLDRATE_H

/*
 * Bound on the requests that a cold upstream receives in any one second: a
 * window over the exact send times. It records every request, also while the
 * upstream is warm, as the upstream may become cold at any time. Does no I/O
 * and takes time as an argument.
 *
 * Load that it responds to: callers that ask a cold upstream for more than it
 * can take. It has nothing to say about an upstream that is warm.
 */

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

/*
 * Length of the window: one second, and the jitter between sending and arrival
 * of a request. Without the latter, a burst that arrives late and the next one
 * would arrive within one second.
 */
#define COLDRATE_JITTER_US (50 * US_PER_MS)
#define COLDRATE_WINDOW_US (US_PER_S + COLDRATE_JITTER_US)

struct coldrate;

/* Creates a full window; NULL if out of memory. */
struct coldrate *coldrate_create(uint64_t now_us);
void coldrate_destroy(struct coldrate *c);

/* Sets the most requests in a window while the bound is enforced. */
void coldrate_set_bound(struct coldrate *c, uint32_t bound);

/*
 * Returns the most requests in a window for a cold rate, the factor by which it
 * may be exceeded, and the slack.
 */
uint32_t coldrate_bound(double per_s, double over, double slack);

/*
 * The window counts as full now, as it is not known what was sent in it: after
 * the start of the process.
 */
void coldrate_fill(struct coldrate *c, uint64_t now_us);

/* Records a request that is sent now. */
void coldrate_record(struct coldrate *c, uint64_t now_us);

/* Removes a request that was sent then, as it does not count. */
void coldrate_take_back(struct coldrate *c, uint64_t sent_us);

/* True if a request may be sent now within the bound. */
bool coldrate_has_room(struct coldrate *c, uint64_t now_us);

/*
 * Predicts the wait in microseconds of a request with this many ahead of it, if
 * the bound is enforced for that long; UINT64_MAX if the bound is 0.
 */
uint64_t coldrate_wait_us(struct coldrate *c, uint32_t ahead, uint64_t now_us);

#endif
