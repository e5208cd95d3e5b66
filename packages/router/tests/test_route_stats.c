#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "peer_headers.h"
#include "log.h"
#include "route_stats.h"

#define REQUESTS 1000
#define ROUTES 40

static struct evloop *loop;

static int setup(void **state)
{
	struct err err = { 0 };

	(void)state;
	loop = evloop_create(clk_system(), &err);
	return loop ? 0 : -1;
}

static int teardown(void **state)
{
	(void)state;
	evloop_destroy(loop);
	return 0;
}

/* Guards against rejections that show only in rate-limited log lines. */
static void test_all_outcomes_are_counted(void **state)
{
	struct rstats *s = rstats_create(loop);
	uint32_t a = rstats_find_route(s, "a");
	uint32_t b = rstats_find_route(s, "b");

	(void)state;
	for (int i = 0; i < REQUESTS; i++)
		rstats_count_outcome(s, a, RSTATS_BUSY);
	rstats_count_outcome(s, b, RSTATS_ON_TIME);
	assert_int_equal(rstats_find_route(s, "a"), a);
	assert_int_equal(rstats_count(s, a, RSTATS_BUSY), REQUESTS);
	assert_int_equal(rstats_count(s, b, RSTATS_BUSY), 0);
	assert_int_equal(rstats_count(s, b, RSTATS_ON_TIME), 1);
	rstats_destroy(s);
}

/* Guards against memory that grows with the number of routes. */
static void test_many_routes_share_one_entry(void **state)
{
	struct rstats *s = rstats_create(loop);
	char name[16];
	uint32_t last = 0;
	uint32_t before = 0;

	(void)state;
	for (int i = 0; i < ROUTES; i++) {
		snprintf(name, sizeof(name), "r%d", i);
		before = last;
		last = rstats_find_route(s, name);
		rstats_count_outcome(s, last, RSTATS_LATE);
	}
	assert_int_equal(last, before);
	assert_true(rstats_count(s, last, RSTATS_LATE) > 1);
	rstats_destroy(s);
}

/* Guards against log lines without the transit time between daemons. */
static void test_line_has_outcomes_and_times(void **state)
{
	struct rstats *s = rstats_create(loop);
	uint32_t a = rstats_find_route(s, "a");
	char line[1024] = "";
	int fds[2];

	(void)state;
	assert_int_equal(pipe(fds), 0);
	rstats_add_duration(s, a, RSTATS_TRANSIT, 70 * US_PER_MS);
	rstats_count_outcome(s, a, RSTATS_NO_RESPONSE);
	log_set_fd(fds[1]);
	rstats_destroy(s);
	log_set_fd(2);
	assert_true(read(fds[0], line, sizeof(line) - 1) > 0);
	assert_non_null(strstr(line, "ROUTE_LOAD"));
	assert_non_null(strstr(line, "no_response=1"));
	assert_non_null(strstr(line, "transit_ms=7"));
	close(fds[0]);
	close(fds[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_all_outcomes_are_counted,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_many_routes_share_one_entry, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_line_has_outcomes_and_times, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
