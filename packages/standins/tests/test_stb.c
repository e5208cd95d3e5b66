/*
 * Guards against a stand-in of the table that lets two writers win, and
 * against a list of rows that leaves one out.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <stdlib.h>
#include <unistd.h>

#include "fnc.h"
#include "lgk.h"
#include "stb.h"

static void one_of_two_conditional_writes_wins(void **state)
{
	struct stb *t = stb_create();

	(void)state;
	assert_int_equal(stb_put(t, "a/b", 1, "x"), STB_CONFLICT);
	assert_int_equal(stb_put(t, "a/b", 0, "first"), STB_WRITTEN);
	assert_int_equal(stb_put(t, "a/b", 0, "second"), STB_CONFLICT);
	assert_string_equal(stb_get(t, "a/b")->value, "first");
	assert_int_equal(stb_put(t, "a/b", 1, "third"), STB_WRITTEN);
	assert_int_equal(stb_put(t, "a/b", STB_ANY_VERSION, "4"), STB_WRITTEN);
	assert_int_equal(stb_get(t, "a/b")->version, 3);
	assert_int_equal(stb_get(t, "a/b")->seq, 3);
	assert_null(stb_get(t, "a"));
	stb_destroy(t);
}

static void rows_come_in_the_order_of_their_last_writes(void **state)
{
	struct stb *t = stb_create();
	const struct stb_row *row;

	(void)state;
	assert_null(stb_next(t, 0, NULL));
	stb_put(t, "a", 0, "1");
	stb_put(t, "b", 0, "2");
	stb_put(t, "c", 0, "3");
	stb_put(t, "a", 1, "4");
	row = stb_next(t, 0, NULL);
	assert_string_equal(row->key, "b");
	row = stb_next(t, 2, NULL);
	assert_string_equal(row->key, "c");
	row = stb_next(t, 2, row);
	assert_string_equal(row->key, "a");
	assert_null(stb_next(t, 2, row));
	assert_null(stb_next(t, 4, NULL));
	assert_int_equal(stb_rows(t), 3);
	stb_destroy(t);
}

/* Two handles stand for two upstreams of a service. */
static void lower_fence_is_refused_by_all_upstreams(void **state)
{
	char path[] = "/tmp/test_fnc_XXXXXX";
	int fd = mkstemp(path);
	struct fnc *one = fnc_open(path);
	struct fnc *other = fnc_open(path);

	(void)state;
	assert_true(fd >= 0);
	assert_true(fnc_pass(one, 5, 10));
	assert_true(fnc_pass(other, 5, 10));
	assert_true(fnc_pass(other, 5, 11));
	assert_false(fnc_pass(one, 5, 10));
	assert_true(fnc_pass(one, 6, 1));
	assert_false(fnc_pass(one, FNC_PARTITIONS_MAX, 1));
	fnc_close(one);
	fnc_close(other);
	unlink(path);
	close(fd);
}

static void draws_follow_seed_and_skew(void **state)
{
	struct lgk *g = lgk_create(1000, 1.0, 7);
	struct lgk *same = lgk_create(1000, 1.0, 7);
	struct lgk_kind kind;
	int hot = 0;

	(void)state;
	for (int i = 0; i < 10000; i++) {
		uint64_t key = lgk_key(g, 0);

		assert_int_equal(key, lgk_key(same, 0));
		assert_true(key < 1000);
		hot += key == 0;
	}
	/* The share of the first of 1,000 ranks is 0.134. */
	assert_in_range(hot, 1000, 1700);
	lgk_destroy(g);
	lgk_destroy(same);
	assert_true(lgk_parse("POST,/b/{key},3,once,100", &kind));
	assert_true(kind.once);
	assert_int_equal(kind.body_bytes, 100);
	assert_int_equal(kind.weight, 3);
	assert_true(lgk_parse("GET,/b,1,idempotent", &kind));
	assert_false(lgk_parse("GET,/b,1", &kind));
	assert_false(lgk_parse("GET,/b,1,twice", &kind));
	assert_false(lgk_parse("", &kind));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_of_two_conditional_writes_wins),
		cmocka_unit_test(rows_come_in_the_order_of_their_last_writes),
		cmocka_unit_test(lower_fence_is_refused_by_all_upstreams),
		cmocka_unit_test(draws_follow_seed_and_skew),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
