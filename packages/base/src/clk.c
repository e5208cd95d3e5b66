#include "clk.h"

#include <stdlib.h>
#include <time.h>

#define NS_PER_US 1000ULL
#define NS_PER_MS 1000000ULL

/*
 * CLOCK_BOOTTIME also advances while the machine is suspended, so a lease that
 * runs out during the suspension has expired when the instance resumes.
 */
static uint64_t system_mono_us(void *arg)
{
	struct timespec ts;

	(void)arg;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * US_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_US;
}

static uint64_t system_wall_ms(void *arg)
{
	struct timespec ts;

	(void)arg;
	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_MS;
}

static uint64_t system_random(void *arg)
{
	uint64_t v;

	(void)arg;
	arc4random_buf(&v, sizeof(v));
	return v;
}

static const struct clk_ops system_ops = {
	.mono_us = system_mono_us,
	.wall_ms = system_wall_ms,
	.random = system_random,
};

static const struct clk system_clock = { .ops = &system_ops, .arg = NULL };

/* Returns the system clock; it has no state and is never freed. */
const struct clk *clk_system(void)
{
	return &system_clock;
}

/* Returns the monotonic time in microseconds. */
uint64_t clk_mono_us(const struct clk *c)
{
	return c->ops->mono_us(c->arg);
}

/* Returns the Unix time in milliseconds. */
uint64_t clk_wall_ms(const struct clk *c)
{
	return c->ops->wall_ms(c->arg);
}

/* Returns 64 random bits. */
uint64_t clk_random(const struct clk *c)
{
	return c->ops->random(c->arg);
}

/*
 * Returns a random number in [0, bound). Scales by multiplication instead of
 * taking a remainder; the bias is below bound / 2^64.
 */
uint64_t clk_random_below(const struct clk *c, uint64_t bound)
{
	return (uint64_t)(((unsigned __int128)clk_random(c) * bound) >> 64);
}

/*
 * Returns the time from since to now, or 0 if since is later. A now that was
 * read at the start of an event loop iteration can be earlier than a since
 * read within it, and a plain unsigned difference would wrap around.
 */
uint64_t clk_elapsed(uint64_t now, uint64_t since)
{
	return now > since ? now - since : 0;
}
