#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "krm.h"

static const struct life a = { "a", "node-a", 1000, 1 };
static const struct life b = { "b", "node-b", 1000, 2 };
static const struct life c = { "c", "node-c", 1000, 3 };
/* The same id at the same instance, started again. */
static const struct life a2 = { "a", "node-a", 2000, 4 };

/* All keys belong to a. */
static struct krm *make_map(void)
{
	struct krm *k = krm_create();

	assert_int_equal(krm_assign(k, 0, KRM_KEYS - 1, &a), KRM_KEYS);
	return k;
}

/* Two holders of one key: the new owner waits for the release. */
static void test_move_waits_for_release(void **state)
{
	struct krm *k = make_map();
	const struct krm_range *r;

	(void)state;
	assert_int_equal(krm_assign(k, 100, 199, &b), 100);
	r = krm_find(k, 150);
	assert_false(krm_may_grant(k, r, &a));
	assert_false(krm_may_grant(k, r, &b));
	assert_true(krm_must_release(k, r, &a));
	assert_true(krm_release(k, &a, 100, 199, KRM_ANY_FENCE, "h1"));
	r = krm_find(k, 150);
	assert_true(krm_may_grant(k, r, &b));
	assert_string_equal(r->handover, "h1");
	assert_true(krm_may_grant(k, krm_find(k, 99), &a));
	assert_true(krm_may_grant(k, krm_find(k, 200), &a));
	krm_destroy(k);
}

/* A redirected move must not forget who may still hold the keys. */
static void test_redirected_move_keeps_former(void **state)
{
	struct krm *k = make_map();

	(void)state;
	krm_assign(k, 100, 199, &b);
	krm_assign(k, 100, 199, &c);
	assert_true(krm_must_release(k, krm_find(k, 100), &a));
	assert_false(krm_may_grant(k, krm_find(k, 100), &c));
	assert_false(krm_release(k, &b, 100, 199, KRM_ANY_FENCE, ""));
	assert_true(krm_release(k, &a, 0, KRM_KEYS - 1, KRM_ANY_FENCE, ""));
	assert_true(krm_may_grant(k, krm_find(k, 100), &c));
	krm_destroy(k);
}

/* A part of a range that was released frees nothing of the rest. */
static void test_partial_release_frees_nothing(void **state)
{
	struct krm *k = make_map();

	(void)state;
	krm_assign(k, 100, 199, &b);
	assert_false(krm_release(k, &a, 100, 150, KRM_ANY_FENCE, "h"));
	assert_false(krm_may_grant(k, krm_find(k, 120), &b));
	krm_destroy(k);
}

/* A restarted upstream holds nothing: it is not the life that was granted. */
static void test_restarted_life_owns_nothing(void **state)
{
	struct krm *k = make_map();

	(void)state;
	assert_false(krm_may_grant(k, krm_find(k, 0), &a2));
	assert_true(krm_end_life(k, &a));
	assert_int_equal(krm_find(k, 0)->owner, KRM_NONE);
	krm_assign(k, 0, KRM_KEYS - 1, &a2);
	assert_true(krm_may_grant(k, krm_find(k, 0), &a2));
	krm_destroy(k);
}

/*
 * An upstream that was given up and comes back is another life: two upstreams
 * held the same keys when its daemon granted it what an old plan named.
 */
static void test_returning_life_owns_nothing(void **state)
{
	static const struct life back = { "a", "node-a", 1000, 9 };
	struct krm *k = make_map();

	(void)state;
	assert_false(krm_may_grant(k, krm_find(k, 0), &back));
	assert_false(krm_must_release(k, krm_find(k, 0), &back));
	krm_destroy(k);
}

/* A release that is written late must not free a range that moved on. */
static void test_late_release_is_ignored(void **state)
{
	struct krm *k = make_map();
	uint64_t fence;

	(void)state;
	krm_assign(k, 100, 199, &b);
	fence = krm_find(k, 100)->fence;
	assert_true(krm_release(k, &a, 100, 199, fence, ""));
	krm_assign(k, 100, 199, &a);
	assert_true(krm_release(k, &b, 100, 199, KRM_ANY_FENCE, ""));
	krm_assign(k, 100, 199, &c);
	assert_false(krm_release(k, &a, 100, 199, fence, ""));
	assert_false(krm_may_grant(k, krm_find(k, 100), &c));
	krm_destroy(k);
}

/* Fences rise on each move, also after neighbours were joined. */
static void test_fences_rise(void **state)
{
	struct krm *k = make_map();
	uint64_t last = krm_find(k, 150)->fence;

	(void)state;
	for (int i = 0; i < 50; i++) {
		const struct life *to = i % 2 ? &a : &b;
		const struct life *from = i % 2 ? &b : &a;

		krm_assign(k, 100, 199, to);
		krm_release(k, from, 0, KRM_KEYS - 1, KRM_ANY_FENCE, "");
		krm_merge(k, 1, 0);
		assert_true(krm_find(k, 150)->fence > last);
		last = krm_find(k, 150)->fence;
	}
	krm_destroy(k);
}

/* Ranges with a former holder are not joined with others. */
static void test_merge_keeps_former(void **state)
{
	struct krm *k = make_map();

	(void)state;
	krm_assign(k, 0, 99, &b);
	krm_assign(k, 100, 199, &b);
	krm_release(k, &a, 0, 99, KRM_ANY_FENCE, "");
	krm_merge(k, 1, 0);
	assert_true(krm_may_grant(k, krm_find(k, 50), &b));
	assert_false(krm_may_grant(k, krm_find(k, 150), &b));
	krm_destroy(k);
}

/*
 * Ranges whose keys were taken long ago are joined; their handovers kept 450
 * ranges apart after some hundred moves.
 */
static void test_merge_of_settled_ranges(void **state)
{
	struct krm *k = make_map();

	(void)state;
	krm_assign(k, 0, 99, &b);
	krm_release(k, &a, 0, 99, KRM_ANY_FENCE, "h1");
	krm_assign(k, 100, 199, &b);
	krm_release(k, &a, 100, 199, KRM_ANY_FENCE, "h2");
	krm_merge(k, 1, 0);
	assert_int_equal(krm_count(k), 3);
	krm_merge(k, 1, krm_next_fence(k));
	assert_int_equal(krm_count(k), 2);
	assert_string_equal(krm_find(k, 50)->handover, "");
	krm_destroy(k);
}

/* The row keeps all that decides about a grant. */
static void test_json_round_trip(void **state)
{
	struct krm *k = make_map();
	struct krm *copy;
	struct err err = { 0 };
	char *text, *again;

	(void)state;
	krm_assign(k, 100, 199, &b);
	krm_assign(k, 5000, 5999, &c);
	krm_release(k, &a, 5000, 5999, KRM_ANY_FENCE, "token");
	text = krm_write(k);
	copy = krm_parse(text, strlen(text), &err);
	assert_non_null(copy);
	again = krm_write(copy);
	assert_string_equal(text, again);
	assert_true(krm_must_release(copy, krm_find(copy, 100), &a));
	assert_string_equal(krm_find(copy, 5500)->handover, "token");
	free(text);
	free(again);
	krm_destroy(k);
	krm_destroy(copy);
}

/* A row with a gap, an overlap or an unknown life must not be used. */
static void test_bad_rows_are_refused(void **state)
{
	static const char *const rows[] = {
		"",
		"{}",
		"{\"next\":1,\"lives\":[],\"ranges\":[]}",
		"{\"next\":1,\"lives\":[],\"ranges\":[[0,10,1,-1,-1,\"\"]]}",
		"{\"next\":1,\"lives\":[],\"ranges\":[[0,65535,1,0,-1,\"\"]]}",
		"{\"next\":1,\"lives\":[],\"ranges\":[[0,65536,1,-1,-1,\"\"]]}",
		"{\"next\":1,\"lives\":[],\"ranges\":"
		"[[0,10,1,-1,-1,\"\"],[10,65535,1,-1,-1,\"\"]]}",
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct err err = { 0 };

		assert_null(krm_parse(rows[i], strlen(rows[i]), &err));
		assert_int_equal(err.layer, ERR_ROWS);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_move_waits_for_release),
		cmocka_unit_test(test_redirected_move_keeps_former),
		cmocka_unit_test(test_partial_release_frees_nothing),
		cmocka_unit_test(test_restarted_life_owns_nothing),
		cmocka_unit_test(test_returning_life_owns_nothing),
		cmocka_unit_test(test_late_release_is_ignored),
		cmocka_unit_test(test_fences_rise),
		cmocka_unit_test(test_merge_keeps_former),
		cmocka_unit_test(test_merge_of_settled_ranges),
		cmocka_unit_test(test_json_round_trip),
		cmocka_unit_test(test_bad_rows_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
