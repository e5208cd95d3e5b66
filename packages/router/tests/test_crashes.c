/*
 * Guards against crashes that are counted twice, requests that are refused
 * though an upstream has completed them, and lists that cannot be parsed.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "crashes.h"

static void three_upstreams_make_a_request_refused(void **state)
{
	struct crashes c = { 0 };

	(void)state;
	crashes_add(&c, 7, 1, 100);
	crashes_add(&c, 7, 1, 200);
	crashes_add(&c, 7, 1, 300);
	assert_false(crashes_refuses(&c, 7));
	crashes_add(&c, 7, 2, 400);
	assert_false(crashes_refuses(&c, 7));
	crashes_add(&c, 7, 3, 500);
	assert_true(crashes_refuses(&c, 7));
	assert_false(crashes_refuses(&c, 8));
	crashes_add(&c, 7, 4, 600);
	assert_int_equal(crashes_find(&c, 7)->count, CRASHES_LIMIT);
}

static void completed_request_starts_anew(void **state)
{
	struct crashes c = { 0 };

	(void)state;
	crashes_add(&c, 7, 1, 100);
	crashes_add(&c, 9, 1, 100);
	crashes_add(&c, 7, 2, 200);
	assert_true(crashes_remove(&c, 7));
	assert_false(crashes_remove(&c, 7));
	assert_non_null(crashes_find(&c, 9));
	crashes_add(&c, 7, 3, 300);
	assert_false(crashes_refuses(&c, 7));
}

static void full_list_keeps_the_requests_with_most_crashes(void **state)
{
	struct crashes c = { 0 };

	(void)state;
	for (uint64_t i = 1; i <= CRASHES_LIMIT; i++)
		crashes_add(&c, 1, i, i);
	for (uint64_t i = 2; i < CRASHES_MAX * 3; i++)
		crashes_add(&c, i, i, 1000 + i);
	assert_int_equal(c.count, CRASHES_MAX);
	assert_true(crashes_refuses(&c, 1));
	crashes_expire(&c, CRASHES_LIMIT + CRASHES_TTL_MS);
	assert_false(crashes_refuses(&c, 1));
	assert_int_equal(c.count, CRASHES_MAX - 1);
}

static void list_survives_its_text_form(void **state)
{
	struct crashes c = { 0 }, read;
	char *text;

	(void)state;
	crashes_add(&c, INT64_MAX, 5, 100);
	crashes_add(&c, 3, INT64_MAX, 200);
	crashes_add(&c, 3, 6, 300);
	text = crashes_format(&c);
	assert_true(crashes_parse(text, strlen(text), &read));
	assert_int_equal(read.count, 2);
	assert_int_equal(crashes_find(&read, 3)->count, 2);
	assert_int_equal(crashes_find(&read, 3)->ended[0], INT64_MAX);
	assert_int_equal(crashes_find(&read, INT64_MAX)->last_ms, 100);
	free(text);
}

static void odd_entries_are_left_out(void **state)
{
	static const char odd[] =
		"[[1],[2,-1,3],[\"a\",1,2],[3,1.5,2],[4,1,2,3,4,5],{},null,"
		"[99999999999999999,1,7],[[[]],1,2],[5,1,6]]";
	static const char *const none[] = {
		"",	   "{}", "7", "[[1,2,3]", "[99999999999999999999999]",
		"\xff\xfe"
	};
	struct crashes c;

	(void)state;
	assert_true(crashes_parse(odd, strlen(odd), &c));
	assert_int_equal(c.count, 2);
	assert_non_null(crashes_find(&c, 99999999999999999));
	assert_non_null(crashes_find(&c, 5));
	for (size_t i = 0; i < sizeof(none) / sizeof(none[0]); i++) {
		assert_false(crashes_parse(none[i], strlen(none[i]), &c));
		assert_int_equal(c.count, 0);
	}
}

static void id_of_the_request_does_not_matter(void **state)
{
	uint64_t a = crashes_fingerprint("GET", "h", 1, "/a", 2, NULL, 0);

	(void)state;
	assert_int_equal(a, crashes_fingerprint("GET", "h", 1, "/a", 2, "", 0));
	assert_int_not_equal(
		a, crashes_fingerprint("GET", "h", 1, "/a", 2, "b", 1));
	assert_int_not_equal(
		a, crashes_fingerprint("POST", "h", 1, "/a", 2, NULL, 0));
	assert_int_not_equal(
		a, crashes_fingerprint("GET", "i", 1, "/a", 2, NULL, 0));
	assert_true(a <= INT64_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(three_upstreams_make_a_request_refused),
		cmocka_unit_test(completed_request_starts_anew),
		cmocka_unit_test(
			full_list_keeps_the_requests_with_most_crashes),
		cmocka_unit_test(list_survives_its_text_form),
		cmocka_unit_test(odd_entries_are_left_out),
		cmocka_unit_test(id_of_the_request_does_not_matter),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
