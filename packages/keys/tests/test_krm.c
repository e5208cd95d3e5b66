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
/* Upstream a after a restart at the same instance. */
static const struct life a2 = { "a", "node-a", 2000, 4 };

/* Returns a map in which a owns all keys. */
static struct krm *make_map(void)
{
	struct krm *map = krm_create();

	assert_int_equal(krm_assign(map, 0, KRM_KEYS - 1, &a), KRM_KEYS);
	return map;
}

/* Guards against two holders of a key: the new owner waits for the release. */
static void test_move_waits_for_release(void **state)
{
	struct krm *map = make_map();
	const struct krm_range *range;

	(void)state;
	assert_int_equal(krm_assign(map, 100, 199, &b), 100);
	range = krm_find(map, 150);
	assert_false(krm_may_grant(map, range, &a));
	assert_false(krm_may_grant(map, range, &b));
	assert_true(krm_must_release(map, range, &a));
	assert_true(krm_release(map, &a, 100, 199, KRM_ANY_FENCE, "h1"));
	range = krm_find(map, 150);
	assert_true(krm_may_grant(map, range, &b));
	assert_string_equal(range->handover, "h1");
	assert_true(krm_may_grant(map, krm_find(map, 99), &a));
	assert_true(krm_may_grant(map, krm_find(map, 200), &a));
	krm_destroy(map);
}

/*
 * Guards against a second move before the release that drops the former holder,
 * which may still hold the keys.
 */
static void test_redirected_move_keeps_former(void **state)
{
	struct krm *map = make_map();

	(void)state;
	krm_assign(map, 100, 199, &b);
	krm_assign(map, 100, 199, &c);
	assert_true(krm_must_release(map, krm_find(map, 100), &a));
	assert_false(krm_may_grant(map, krm_find(map, 100), &c));
	assert_false(krm_release(map, &b, 100, 199, KRM_ANY_FENCE, ""));
	assert_true(krm_release(map, &a, 0, KRM_KEYS - 1, KRM_ANY_FENCE, ""));
	assert_true(krm_may_grant(map, krm_find(map, 100), &c));
	krm_destroy(map);
}

/* Guards against a release of a part of a range that frees the whole range. */
static void test_partial_release_frees_nothing(void **state)
{
	struct krm *map = make_map();

	(void)state;
	krm_assign(map, 100, 199, &b);
	assert_false(krm_release(map, &a, 100, 150, KRM_ANY_FENCE, "h"));
	assert_false(krm_may_grant(map, krm_find(map, 120), &b));
	krm_destroy(map);
}

/* Guards against grants to a restarted upstream from before its restart. */
static void test_restarted_upstream_owns_nothing(void **state)
{
	struct krm *map = make_map();

	(void)state;
	assert_false(krm_may_grant(map, krm_find(map, 0), &a2));
	assert_true(krm_end_life(map, &a));
	assert_int_equal(krm_find(map, 0)->owner, KRM_NONE);
	krm_assign(map, 0, KRM_KEYS - 1, &a2);
	assert_true(krm_may_grant(map, krm_find(map, 0), &a2));
	krm_destroy(map);
}

/*
 * Guards against two holders of a key: an upstream that was declared lost and
 * announces itself again must not be granted the keys of its old session.
 */
static void test_returned_upstream_owns_nothing(void **state)
{
	static const struct life returned = { "a", "node-a", 1000, 9 };
	struct krm *map = make_map();

	(void)state;
	assert_false(krm_may_grant(map, krm_find(map, 0), &returned));
	assert_false(krm_must_release(map, krm_find(map, 0), &returned));
	krm_destroy(map);
}

/* Guards against a delayed release that frees a range moved again since. */
static void test_late_release_is_ignored(void **state)
{
	struct krm *map = make_map();
	uint64_t fence;

	(void)state;
	krm_assign(map, 100, 199, &b);
	fence = krm_find(map, 100)->fence;
	assert_true(krm_release(map, &a, 100, 199, fence, ""));
	krm_assign(map, 100, 199, &a);
	assert_true(krm_release(map, &b, 100, 199, KRM_ANY_FENCE, ""));
	krm_assign(map, 100, 199, &c);
	assert_false(krm_release(map, &a, 100, 199, fence, ""));
	assert_false(krm_may_grant(map, krm_find(map, 100), &c));
	krm_destroy(map);
}

/* Guards against fences that don't rise after ranges were merged. */
static void test_fence_rises_with_each_move(void **state)
{
	struct krm *map = make_map();
	uint64_t last = krm_find(map, 150)->fence;

	(void)state;
	for (int i = 0; i < 50; i++) {
		const struct life *to = i % 2 ? &a : &b;
		const struct life *from = i % 2 ? &b : &a;

		krm_assign(map, 100, 199, to);
		krm_release(map, from, 0, KRM_KEYS - 1, KRM_ANY_FENCE, "");
		krm_merge(map, 1, 0);
		assert_true(krm_find(map, 150)->fence > last);
		last = krm_find(map, 150)->fence;
	}
	krm_destroy(map);
}

/* Guards against merging a range whose former holder has not released it. */
static void test_merge_keeps_former(void **state)
{
	struct krm *map = make_map();

	(void)state;
	krm_assign(map, 0, 99, &b);
	krm_assign(map, 100, 199, &b);
	krm_release(map, &a, 0, 99, KRM_ANY_FENCE, "");
	krm_merge(map, 1, 0);
	assert_true(krm_may_grant(map, krm_find(map, 50), &b));
	assert_false(krm_may_grant(map, krm_find(map, 150), &b));
	krm_destroy(map);
}

/*
 * Guards against a growing number of ranges: the handover tokens of completed
 * moves kept 450 ranges from being merged after some hundred moves.
 */
static void test_merge_of_settled_ranges(void **state)
{
	struct krm *map = make_map();

	(void)state;
	krm_assign(map, 0, 99, &b);
	krm_release(map, &a, 0, 99, KRM_ANY_FENCE, "h1");
	krm_assign(map, 100, 199, &b);
	krm_release(map, &a, 100, 199, KRM_ANY_FENCE, "h2");
	krm_merge(map, 1, 0);
	assert_int_equal(krm_count(map), 3);
	krm_merge(map, 1, krm_next_fence(map));
	assert_int_equal(krm_count(map), 2);
	assert_string_equal(krm_find(map, 50)->handover, "");
	krm_destroy(map);
}

/* Guards against a JSON form that loses former holders or handover tokens. */
static void test_json_round_trip(void **state)
{
	struct krm *map = make_map();
	struct krm *copy;
	struct err err = { 0 };
	char *text, *again;

	(void)state;
	krm_assign(map, 100, 199, &b);
	krm_assign(map, 5000, 5999, &c);
	krm_release(map, &a, 5000, 5999, KRM_ANY_FENCE, "token");
	text = krm_write(map);
	copy = krm_parse(text, strlen(text), &err);
	assert_non_null(copy);
	again = krm_write(copy);
	assert_string_equal(text, again);
	assert_true(krm_must_release(copy, krm_find(copy, 100), &a));
	assert_string_equal(krm_find(copy, 5500)->handover, "token");
	free(text);
	free(again);
	krm_destroy(map);
	krm_destroy(copy);
}

/* Guards against maps with a gap, an overlap or an unknown session. */
static void test_invalid_maps_are_rejected(void **state)
{
	static const char *const maps[] = {
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
	for (size_t i = 0; i < sizeof(maps) / sizeof(maps[0]); i++) {
		struct err err = { 0 };

		assert_null(krm_parse(maps[i], strlen(maps[i]), &err));
		assert_int_equal(err.layer, ERR_ROWS);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_move_waits_for_release),
		cmocka_unit_test(test_redirected_move_keeps_former),
		cmocka_unit_test(test_partial_release_frees_nothing),
		cmocka_unit_test(test_restarted_upstream_owns_nothing),
		cmocka_unit_test(test_returned_upstream_owns_nothing),
		cmocka_unit_test(test_late_release_is_ignored),
		cmocka_unit_test(test_fence_rises_with_each_move),
		cmocka_unit_test(test_merge_keeps_former),
		cmocka_unit_test(test_merge_of_settled_ranges),
		cmocka_unit_test(test_json_round_trip),
		cmocka_unit_test(test_invalid_maps_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
