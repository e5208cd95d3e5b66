/*
 * Guards against requests that are rejected as too late although they are not:
 * the time on the way is never counted longer than it was.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "clk.h"
#include "tblclock.h"

#define ROUNDS 20000
#define ERA 3
#define MEAN_DELAY_US (20 * US_PER_MS)
#define INTERVAL_US (100 * US_PER_MS)
#define LONGEST_WAY_US (3 * US_PER_S)
/* Both clocks of a pair are read in milliseconds. */
#define ROUNDING_US (2 * US_PER_MS)

/* A daemon whose clock differs from the true time and gains or loses. */
struct daemon {
	struct tblclock clock;
	uint64_t offset_us;
	int64_t drift_ppm;
};

static uint64_t local_us(const struct daemon *d, uint64_t true_us)
{
	return true_us + d->offset_us +
	       (uint64_t)((int64_t)true_us * d->drift_ppm / 1000000);
}

/* Xorshift, so that the sequence is the same on every system. */
static uint64_t random_below(uint64_t *state, uint64_t bound)
{
	*state ^= *state << 13;
	*state ^= *state >> 7;
	*state ^= *state << 17;
	return (*state >> 16) % bound;
}

/* Asks the table service, which answers after random delays each way. */
static void take_sample(struct daemon *d, uint64_t now_us, uint64_t *seed)
{
	uint64_t there = random_below(seed, 2 * MEAN_DELAY_US);
	uint64_t back = random_below(seed, 2 * MEAN_DELAY_US);
	struct keylease_clock sample = {
		.table_ms = (now_us - back) / US_PER_MS,
		.sent_us = local_us(d, now_us - back - there),
		.received_us = local_us(d, now_us),
		.known = true,
	};

	tblclock_add(&d->clock, &sample, ERA);
}

static void time_on_the_way_is_never_overestimated(void **state)
{
	struct daemon a = { .offset_us = 5 * US_PER_S, .drift_ppm = -500 };
	struct daemon b = { .offset_us = 90000 * US_PER_S, .drift_ppm = 500 };
	uint64_t now = 1000 * US_PER_S;
	uint64_t seed = 88172645463325252U;
	uint64_t missing = 0;

	(void)state;
	for (int i = 0; i < ROUNDS; i++) {
		uint64_t way = random_below(&seed, LONGEST_WAY_US);
		struct tblclock_stamp stamp;
		uint64_t elapsed;

		now += random_below(&seed, INTERVAL_US);
		/* Long phases without a sample of one of them. */
		if (i / 100 % 3 != 1)
			take_sample(&a, now, &seed);
		if (i / 100 % 3 != 2)
			take_sample(&b, now, &seed);
		stamp = tblclock_make_stamp(&a.clock, local_us(&a, now));
		now += way;
		elapsed = tblclock_elapsed_us(&b.clock, &stamp,
					      local_us(&b, now));
		assert_true(elapsed <= way + ROUNDING_US);
		missing += way - (elapsed < way ? elapsed : way);
	}
	printf("missing on average: %llu us\n",
	       (unsigned long long)(missing / ROUNDS));
	/* Each sample is at most two delays wide each way. */
	assert_true(missing / ROUNDS < 4 * MEAN_DELAY_US + ROUNDING_US);
}

static void unknown_clocks_count_no_time(void **state)
{
	struct tblclock none = { 0 };
	struct tblclock known = { 0 };
	const struct keylease_clock sample = { 5000, 1000, 2000, true };
	struct tblclock_stamp stamp = tblclock_make_stamp(&none, 1000);

	(void)state;
	assert_int_equal(stamp.latest_ms, 0);
	tblclock_add(&known, &sample, ERA);
	assert_int_equal(tblclock_elapsed_us(&known, &stamp, 9000000), 0);
	stamp = tblclock_make_stamp(&known, 2000);
	assert_int_equal(tblclock_elapsed_us(&none, &stamp, 9000000), 0);
	assert_int_equal(tblclock_elapsed_us(&known, &stamp, 1002000),
			 998 * US_PER_MS);
	/* The clock of another era may be another clock. */
	stamp.era++;
	assert_int_equal(tblclock_elapsed_us(&known, &stamp, 9000000), 0);
}

static void sample_with_closer_bounds_is_kept(void **state)
{
	struct tblclock c = { 0 };
	const struct keylease_clock close = { 5000, 0, 4000, true };
	const struct keylease_clock wide = { 5050, 10000, 90000, true };
	const struct keylease_clock later = { 25010, 20000000, 20020000, true };

	(void)state;
	tblclock_add(&c, &close, ERA);
	tblclock_add(&c, &wide, ERA);
	assert_int_equal(c.best.table_ms, 5000);
	/* After 20 s drift has widened the bounds by 40 ms. */
	tblclock_add(&c, &later, ERA);
	assert_int_equal(c.best.table_ms, 25010);
}

static void clock_that_was_set_is_followed(void **state)
{
	struct tblclock c = { 0 };
	const struct keylease_clock before = { 5000, 0, 4000, true };
	const struct keylease_clock after = { 500, 10000, 90000, true };

	(void)state;
	tblclock_add(&c, &before, ERA);
	tblclock_add(&c, &after, ERA);
	assert_int_equal(c.best.table_ms, 500);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(time_on_the_way_is_never_overestimated),
		cmocka_unit_test(unknown_clocks_count_no_time),
		cmocka_unit_test(sample_with_closer_bounds_is_kept),
		cmocka_unit_test(clock_that_was_set_is_followed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
