/*
 * The loop without sockets. Guards against polling without waiting during the
 * last part of a millisecond before a timer, which costs an idle daemon several
 * percent of a core.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "lop.h"

#define INTERVAL_US 1500
#define FIRES 100
#define STEPS_PER_FIRE 5

static void count(void *arg, uint64_t now_us)
{
	(void)now_us;
	++*(unsigned int *)arg;
}

static void waiting_takes_few_steps(void **state)
{
	struct lop *l = lop_create(clk_system(), 0, NULL);
	unsigned int fires = 0;
	unsigned int steps = 0;

	(void)state;
	assert_non_null(l);
	tmr_every(lop_timers(l), lop_now_us(l), INTERVAL_US, count, &fires);
	while (fires < FIRES) {
		lop_step(l);
		steps++;
	}
	assert_true(steps < FIRES * STEPS_PER_FIRE);
	lop_destroy(l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(waiting_takes_few_steps),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
