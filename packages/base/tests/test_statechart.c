/*
 * Tests that incomplete charts, unreachable states and unknown names are
 * rejected.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "statechart.h"

static const char *const states[] = { "off", "on", NULL };
static const char *const events[] = { "press", "reset", NULL };

static void increment(void *arg)
{
	(*(int *)arg)++;
}

static const struct statechart_action actions[] = { { "count", increment } };

static struct statechart *load(const char *text, struct err *err)
{
	char path[] = "/tmp/cht_XXXXXX";
	int fd = mkstemp(path);
	struct statechart *c;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	close(fd);
	c = statechart_load(path, states, events, actions, 1, err);
	unlink(path);
	return c;
}

#define HEADER "initial: off\nevents: [press, reset]\nstates:\n"
#define OFF "  off: { press: { to: on, do: [count] }, reset: { to: off } }\n"
#define ON "  on: { press: { to: off }, reset: { to: off } }\n"

static void valid_chart_runs_its_actions(void **state)
{
	struct err err = { 0 };
	struct statechart *c = load(HEADER OFF ON, &err);
	int count = 0;

	(void)state;
	assert_non_null(c);
	assert_int_equal(
		statechart_fire(c, statechart_initial_state(c), 0, &count), 1);
	assert_int_equal(count, 1);
	assert_int_equal(statechart_fire(c, 1, 1, &count), 0);
	assert_string_equal(statechart_state_name(c, 1), "on");
	statechart_destroy(c);
}

struct invalid_chart {
	const char *text;
	int code;
	const char *expected; /* part of the error text */
};

static void invalid_chart_is_rejected_with_line_and_reason(void **state)
{
	static const struct invalid_chart cases[] = {
		{ HEADER OFF "  on: { press: { to: off } }\n",
		  STATECHART_MISSING_EVENT, ":5:" },
		{ HEADER
		  "  off: { press: { to: off }, reset: { to: off } }\n" ON,
		  STATECHART_UNREACHABLE, "on" },
		{ HEADER
		  "  off: { press: { to: on, do: [jump] }, reset: { to: off } }\n" ON,
		  STATECHART_UNKNOWN_NAME, "jump" },
		{ HEADER OFF "  onn: { press: { to: off } }\n",
		  STATECHART_UNKNOWN_NAME, "onn" },
		{ HEADER OFF
		  "  on: { press: { to: of }, reset: { to: off } }\n",
		  STATECHART_UNKNOWN_NAME, ":5:" },
		{ "initial: [", STATECHART_SYNTAX, ":" },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct err err = { 0 };

		assert_null(load(cases[i].text, &err));
		assert_int_equal(err.layer, ERR_CHART);
		assert_int_equal(err.code, cases[i].code);
		assert_non_null(strstr(err.text, cases[i].expected));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(valid_chart_runs_its_actions),
		cmocka_unit_test(
			invalid_chart_is_rejected_with_line_and_reason),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
