#ifndef CLK_H
#define CLK_H

/* Clock and random number source, which tests replace through clk_ops. */

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

/* Returns the system clock and random source; it is static. */
const struct clk *clk_system(void);

uint64_t clk_mono_us(const struct clk *c);
uint64_t clk_wall_ms(const struct clk *c);
uint64_t clk_random(const struct clk *c);

/* Returns now - since in the same unit, 0 if since is later than now. */
uint64_t clk_elapsed(uint64_t now, uint64_t since);

/* Returns a uniformly distributed number in [0, bound); bound must not be 0. */
uint64_t clk_random_below(const struct clk *c, uint64_t bound);

#endif
