#include "coldrate.h"

#include <stdlib.h>

/*
 * Send times that are kept; a power of two. If more are sent in a window, the
 * oldest are forgotten, which leaves twice BOUND_MAX: so many requests may be
 * taken back without the count falling below the bound by mistake.
 */
#define TIMES_MAX 16384
#define BOUND_MAX 8192

struct coldrate {
	uint32_t bound;
	/* When the window was last declared full, if is_filled. */
	bool is_filled;
	uint64_t filled_us;
	/* Ring of the send times in the window, oldest first. */
	uint64_t sent_us[TIMES_MAX];
	uint32_t first, count;
};

/* Creates a window; what an earlier process sent is not known. */
struct coldrate *coldrate_create(uint64_t now_us)
{
	struct coldrate *c = calloc(1, sizeof(*c));

	if (c)
		coldrate_fill(c, now_us);
	return c;
}

/* Frees the window. */
void coldrate_destroy(struct coldrate *c)
{
	free(c);
}

/* Sets the bound, for the requests already sent as well. */
void coldrate_set_bound(struct coldrate *c, uint32_t bound)
{
	c->bound = bound < BOUND_MAX ? bound : BOUND_MAX;
}

/*
 * The slack remains for jitter between sending and arrival. Only where nothing
 * else would be allowed, it is used for one request.
 */
uint32_t coldrate_bound(double per_s, double over, double slack)
{
	double bound = per_s * over;

	if (bound < 1)
		return bound + slack >= 1;
	return bound < BOUND_MAX ? (uint32_t)bound : BOUND_MAX;
}

/* Requests sent before count no longer, as the window is full without them. */
void coldrate_fill(struct coldrate *c, uint64_t now_us)
{
	c->is_filled = true;
	c->filled_us = now_us;
	c->count = 0;
}

/* Returns the slot of the send time at a position, 0 for the oldest. */
static uint64_t *time_at(struct coldrate *c, uint32_t position)
{
	return &c->sent_us[(c->first + position) % TIMES_MAX];
}

/* Forgets what was sent before the window. */
static void expire(struct coldrate *c, uint64_t now_us)
{
	while (c->count > 0 &&
	       clk_elapsed(now_us, *time_at(c, 0)) >= COLDRATE_WINDOW_US) {
		c->first = (c->first + 1) % TIMES_MAX;
		c->count--;
	}
	if (clk_elapsed(now_us, c->filled_us) >= COLDRATE_WINDOW_US)
		c->is_filled = false;
}

/* Adds a send time; they do not decrease. */
void coldrate_record(struct coldrate *c, uint64_t now_us)
{
	expire(c, now_us);
	if (c->count == TIMES_MAX) {
		c->first = (c->first + 1) % TIMES_MAX;
		c->count--;
	}
	*time_at(c, c->count++) = now_us;
}

/* Searches from the newest one, as answers come soon. */
void coldrate_take_back(struct coldrate *c, uint64_t sent_us)
{
	uint32_t i = c->count;

	while (i > 0 && *time_at(c, i - 1) > sent_us)
		i--;
	if (i == 0 || *time_at(c, i - 1) != sent_us)
		return;
	for (; i < c->count; i++)
		*time_at(c, i - 1) = *time_at(c, i);
	c->count--;
}

/* True if fewer requests than the bound were sent in the window. */
bool coldrate_has_room(struct coldrate *c, uint64_t now_us)
{
	return coldrate_wait_us(c, 0, now_us) == 0;
}

/*
 * Each request is sent one window after the one that is `bound` places before
 * it: with n sent, the one with r ahead of it waits for that at n + r - bound.
 * A full window counts as `bound` requests of that time.
 */
uint64_t coldrate_wait_us(struct coldrate *c, uint32_t ahead, uint64_t now_us)
{
	uint64_t windows_us, sent_us;
	uint32_t rest;

	if (c->bound == 0)
		return UINT64_MAX;
	expire(c, now_us);
	windows_us = ahead / c->bound * COLDRATE_WINDOW_US;
	rest = ahead % c->bound;
	if (c->count + rest >= c->bound)
		sent_us = *time_at(c, c->count + rest - c->bound);
	else if (c->is_filled)
		sent_us = c->filled_us;
	else
		return windows_us;
	return windows_us + COLDRATE_WINDOW_US - clk_elapsed(now_us, sent_us);
}
