/*
 * Leader election among many daemons, simulated with a virtual clock. Guards
 * against too many claims when the leader is lost or has just been elected, and
 * against a leadership that stays vacant.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "elect.h"

#define ROUND_US (500 * US_PER_MS)
#define STEP_US (1 * US_PER_MS)
/* Time until all daemons know of a claim. */
#define PROPAGATION_US (20 * US_PER_MS)
#define LIMIT_US (5 * US_PER_S)
/* A new leader claims within 1 s after the timeout of 1.6 s. */
#define VACANT_MAX_US (2600 * US_PER_MS)
/* Maximum number of claims until all daemons know of the first one. */
#define CLAIMS_MAX 24
#define DAEMONS_MAX 3000

static uint64_t random_state;

static uint64_t next_random(void *arg)
{
	/* splitmix64 */
	uint64_t z = random_state += UINT64_C(0x9e3779b97f4a7c15);

	(void)arg;
	z = (z ^ z >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ z >> 27) * UINT64_C(0x94d049bb133111eb);
	return z ^ z >> 31;
}

static const struct clk_ops ops = { NULL, NULL, next_random };
static const struct clk clk = { &ops, NULL };

struct simulation {
	size_t claims;
	uint64_t first_claim_us;
};

/* Simulates the loss of the leader at time 0 for count daemons. */
static struct simulation simulate_loss(size_t count, uint64_t seed)
{
	static struct elect claims[DAEMONS_MAX];
	static uint64_t phase[DAEMONS_MAX], due[DAEMONS_MAX];
	struct simulation p = { 0, LIMIT_US };

	random_state = seed;
	for (size_t i = 0; i < count; i++) {
		claims[i] = (struct elect){ 1, 0 };
		phase[i] = clk_random_below(&clk, ROUND_US) / STEP_US * STEP_US;
		due[i] = UINT64_MAX;
	}
	for (uint64_t now = 0; now < LIMIT_US; now += STEP_US) {
		if (p.claims > 0 && now >= p.first_claim_us + PROPAGATION_US)
			break;
		for (size_t i = 0; i < count; i++) {
			if (now % ROUND_US == phase[i] &&
			    due[i] == UINT64_MAX &&
			    elect_is_vacant(&claims[i], now)) {
				uint64_t wait = elect_claim_delay_us(
					&clk, count, ROUND_US);

				if (wait != UINT64_MAX)
					due[i] = now + wait;
			}
			if (now < due[i])
				continue;
			due[i] = UINT64_MAX;
			p.claims++;
			if (now < p.first_claim_us)
				p.first_claim_us = now;
		}
	}
	return p;
}

static void a_lost_leader_is_replaced_by_few_claims(void **state)
{
	static const size_t counts[] = { 2, 11, 84, 300, DAEMONS_MAX };

	(void)state;
	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		for (uint64_t seed = 1; seed <= 20; seed++) {
			struct simulation p = simulate_loss(counts[i], seed);

			assert_true(p.claims > 0);
			assert_true(p.claims <= CLAIMS_MAX);
			assert_true(p.first_claim_us <= VACANT_MAX_US);
		}
	}
}

/*
 * Guards against a claim against a leader that became known after the timer's
 * iteration of the loop began, so that the timer's time is before its own.
 */
static void a_new_leader_is_not_vacant(void **state)
{
	struct elect c = { 0 };

	(void)state;
	assert_true(elect_is_vacant(&c, 1000));
	assert_true(elect_set_leader(&c, 7, 1005));
	assert_false(elect_is_vacant(&c, 1000));
	assert_false(elect_set_leader(&c, 7, 2000));
	assert_true(elect_is_vacant(&c, 1005 + 1600 * US_PER_MS));
	elect_leader_responded(&c, 1600 * US_PER_MS);
	assert_false(elect_is_vacant(&c, 1005 + 1600 * US_PER_MS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_lost_leader_is_replaced_by_few_claims),
		cmocka_unit_test(a_new_leader_is_not_vacant),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
