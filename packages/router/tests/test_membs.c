/*
 * Guards against daemons that know of no load and all choose the same upstream
 * of a service without keys.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "evloop.h"
#include "membs.h"

#define UPSTREAMS 10
#define CHOICES 1000
/* Six standard deviations of this binomial distribution are 57. */
#define DEVIATION_MAX 60

static struct membs *create_members(struct evloop *l)
{
	struct membs *m = membs_create(l);
	char text[4096] = "[";
	size_t n = 1;

	for (int i = 0; i < UPSTREAMS; i++)
		n += (size_t)snprintf(
			text + n, sizeof(text) - n,
			"%s[\"n%d\",\"dc\",\"127.0.0.1:%d\",\"u%d\",1,1,"
			"\"s\",4,true]",
			i ? "," : "", i, 20400 + i, i);
	snprintf(text + n, sizeof(text) - n, "]");
	assert_true(membs_update(m, text, strlen(text)));
	return m;
}

static void equal_upstreams_are_chosen_equally(void **state)
{
	struct err err = { 0 };
	struct evloop *l = evloop_create(clk_system(), &err);
	struct membs *m = create_members(l);
	uint32_t chosen[UPSTREAMS] = { 0 };

	(void)state;
	for (int i = 0; i < CHOICES; i++) {
		struct memb *r = membs_choose(m, "s", "caller", "dc", NULL, 0,
					      evloop_now_us(l));

		assert_non_null(r);
		chosen[r->incarnation.id[1] - '0']++;
	}
	for (int i = 0; i < UPSTREAMS; i++) {
		assert_true(chosen[i] > CHOICES / UPSTREAMS - DEVIATION_MAX);
		assert_true(chosen[i] < CHOICES / UPSTREAMS + DEVIATION_MAX);
	}
	membs_destroy(m);
	evloop_destroy(l);
}

/* A known load decides before the draw. */
static void loaded_upstream_is_not_drawn(void **state)
{
	struct err err = { 0 };
	struct evloop *l = evloop_create(clk_system(), &err);
	struct membs *m = create_members(l);
	struct memb *free_one = membs_at(m, 3);

	(void)state;
	for (size_t i = 0; i < membs_count(m); i++)
		membs_at(m, i)->outstanding = i == 3 ? 0 : 1;
	for (int i = 0; i < CHOICES; i++)
		assert_ptr_equal(membs_choose(m, "s", "caller", "dc", NULL, 0,
					      evloop_now_us(l)),
				 free_one);
	for (size_t i = 0; i < membs_count(m); i++)
		membs_at(m, i)->outstanding = 0;
	membs_destroy(m);
	evloop_destroy(l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(equal_upstreams_are_chosen_equally),
		cmocka_unit_test(loaded_upstream_is_not_drawn),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
