/*
 * Event loop without sockets. Guards against busy polling in the last fraction
 * of a millisecond before a timer, which costs an idle daemon several percent
 * of a core.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "lwsloop.h"

#define INTERVAL_US 1500
#define FIRE_COUNT 100
#define MAX_ITERATIONS_PER_FIRE 5

static void count_fire(void *arg, uint64_t now_us)
{
	(void)now_us;
	++*(unsigned int *)arg;
}

static void timer_wait_takes_few_iterations(void **state)
{
	struct lwsloop *l = lwsloop_create(clk_system(), 0, NULL);
	unsigned int fires = 0;
	unsigned int iterations = 0;

	(void)state;
	assert_non_null(l);
	tmr_every(lwsloop_timers(l), lwsloop_now_us(l), INTERVAL_US, count_fire,
		  &fires);
	while (fires < FIRE_COUNT) {
		lwsloop_run_once(l);
		iterations++;
	}
	assert_true(iterations < FIRE_COUNT * MAX_ITERATIONS_PER_FIRE);
	lwsloop_destroy(l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(timer_wait_takes_few_iterations),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
