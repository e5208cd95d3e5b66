#include "clk.h"

#include <stdlib.h>
#include <time.h>

#define NS_PER_US 1000ULL
#define NS_PER_MS 1000000ULL

/*
 * CLOCK_BOOTTIME goes on while the machine is suspended, so that a lease does
 * not outlive a suspended instance.
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

/* Returns the clock of the system; it has no state and is never freed. */
const struct clk *clk_system(void)
{
	return &system_clock;
}

/* Reads the monotonic time in microseconds. */
uint64_t clk_mono_us(const struct clk *c)
{
	return c->ops->mono_us(c->arg);
}

/* Reads the Unix time in milliseconds. */
uint64_t clk_wall_ms(const struct clk *c)
{
	return c->ops->wall_ms(c->arg);
}

/* Draws 64 random bits. */
uint64_t clk_random(const struct clk *c)
{
	return c->ops->random(c->arg);
}

/* Multiplies instead of dividing; the bias is below bound / 2^64. */
uint64_t clk_random_below(const struct clk *c, uint64_t bound)
{
	return (uint64_t)(((unsigned __int128)clk_random(c) * bound) >> 64);
}

/*
 * A time that was taken at the beginning of a turn is earlier than those that
 * are taken in it; a plain difference would then be huge.
 */
uint64_t clk_passed(uint64_t now, uint64_t since)
{
	return now > since ? now - since : 0;
}
