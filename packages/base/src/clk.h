#ifndef CLK_H
#define CLK_H

/* The clock and the random source, behind a table so that tests replace them. */

#include <stdint.h>

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)
#define MS_PER_S UINT64_C(1000)

struct clk_ops {
	uint64_t (*mono_us)(void *arg); /* monotonic time in microseconds */
	uint64_t (*wall_ms)(void *arg); /* Unix time in milliseconds */
	uint64_t (*random)(void *arg); /* 64 uniformly distributed bits */
};

struct clk {
	const struct clk_ops *ops;
	void *arg;
};

/* The clock and random source of the system. */
const struct clk *clk_system(void);

uint64_t clk_mono_us(const struct clk *c);
uint64_t clk_wall_ms(const struct clk *c);
uint64_t clk_random(const struct clk *c);

/* Time from since until now, 0 if since is the later one. */
uint64_t clk_passed(uint64_t now, uint64_t since);

/* Returns a uniformly distributed number from 0 to bound-1; bound is over 0. */
uint64_t clk_random_below(const struct clk *c, uint64_t bound);

#endif
