#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "keymap.h"

static const struct incarnation a = { "a", "node-a", 1000, 1 };
static const struct incarnation b = { "b", "node-b", 1000, 2 };
static const struct incarnation c = { "c", "node-c", 1000, 3 };
/* Upstream a after a restart at the same instance. */
static const struct incarnation a2 = { "a", "node-a", 2000, 4 };

/* Returns a map in which a owns all keys. */
static struct keymap *make_map(void)
{
	struct keymap *map = keymap_create();

	assert_int_equal(keymap_assign(map, 0, KEYMAP_KEYS - 1, &a),
			 KEYMAP_KEYS);
	return map;
}

/* Guards against two holders of a key: the new owner waits for the release. */
static void test_move_waits_for_release(void **state)
{
	struct keymap *map = make_map();
	const struct keymap_range *range;

	(void)state;
	assert_int_equal(keymap_assign(map, 100, 199, &b), 100);
	range = keymap_find(map, 150);
	assert_false(keymap_may_grant(map, range, &a));
	assert_false(keymap_may_grant(map, range, &b));
	assert_true(keymap_must_release(map, range, &a));
	assert_true(keymap_release(map, &a, 100, 199, KEYMAP_ANY_FENCE, "h1"));
	range = keymap_find(map, 150);
	assert_true(keymap_may_grant(map, range, &b));
	assert_string_equal(range->handover, "h1");
	assert_true(keymap_may_grant(map, keymap_find(map, 99), &a));
	assert_true(keymap_may_grant(map, keymap_find(map, 200), &a));
	keymap_destroy(map);
}

/*
 * Guards against a second move before the release that drops the former holder,
 * which may still hold the keys.
 */
static void test_redirected_move_keeps_former(void **state)
{
	struct keymap *map = make_map();

	(void)state;
	keymap_assign(map, 100, 199, &b);
	keymap_assign(map, 100, 199, &c);
	assert_true(keymap_must_release(map, keymap_find(map, 100), &a));
	assert_false(keymap_may_grant(map, keymap_find(map, 100), &c));
	assert_false(keymap_release(map, &b, 100, 199, KEYMAP_ANY_FENCE, ""));
	assert_true(keymap_release(map, &a, 0, KEYMAP_KEYS - 1,
				   KEYMAP_ANY_FENCE, ""));
	assert_true(keymap_may_grant(map, keymap_find(map, 100), &c));
	keymap_destroy(map);
}

/* Guards against a release of a part of a range that frees the whole range. */
static void test_partial_release_frees_nothing(void **state)
{
	struct keymap *map = make_map();

	(void)state;
	keymap_assign(map, 100, 199, &b);
	assert_false(keymap_release(map, &a, 100, 150, KEYMAP_ANY_FENCE, "h"));
	assert_false(keymap_may_grant(map, keymap_find(map, 120), &b));
	keymap_destroy(map);
}

/* Guards against grants to a restarted upstream from before its restart. */
static void test_restarted_upstream_owns_nothing(void **state)
{
	struct keymap *map = make_map();

	(void)state;
	assert_false(keymap_may_grant(map, keymap_find(map, 0), &a2));
	assert_true(keymap_end_incarnation(map, &a));
	assert_int_equal(keymap_find(map, 0)->owner, KEYMAP_NO_INCARNATION);
	keymap_assign(map, 0, KEYMAP_KEYS - 1, &a2);
	assert_true(keymap_may_grant(map, keymap_find(map, 0), &a2));
	keymap_destroy(map);
}

/*
 * Guards against two holders of a key: an upstream that was declared lost and
 * announces itself again must not be granted the keys of its old incarnation.
 */
static void test_returned_upstream_owns_nothing(void **state)
{
	static const struct incarnation returned = { "a", "node-a", 1000, 9 };
	struct keymap *map = make_map();

	(void)state;
	assert_false(keymap_may_grant(map, keymap_find(map, 0), &returned));
	assert_false(keymap_must_release(map, keymap_find(map, 0), &returned));
	keymap_destroy(map);
}

/* Guards against a delayed release that frees a range moved again since. */
static void test_late_release_is_ignored(void **state)
{
	struct keymap *map = make_map();
	uint64_t fence;

	(void)state;
	keymap_assign(map, 100, 199, &b);
	fence = keymap_find(map, 100)->fence;
	assert_true(keymap_release(map, &a, 100, 199, fence, ""));
	keymap_assign(map, 100, 199, &a);
	assert_true(keymap_release(map, &b, 100, 199, KEYMAP_ANY_FENCE, ""));
	keymap_assign(map, 100, 199, &c);
	assert_false(keymap_release(map, &a, 100, 199, fence, ""));
	assert_false(keymap_may_grant(map, keymap_find(map, 100), &c));
	keymap_destroy(map);
}

/* Guards against fences that don't rise after ranges were merged. */
static void test_fence_rises_with_each_move(void **state)
{
	struct keymap *map = make_map();
	uint64_t last = keymap_find(map, 150)->fence;

	(void)state;
	for (int i = 0; i < 50; i++) {
		const struct incarnation *to = i % 2 ? &a : &b;
		const struct incarnation *from = i % 2 ? &b : &a;

		keymap_assign(map, 100, 199, to);
		keymap_release(map, from, 0, KEYMAP_KEYS - 1, KEYMAP_ANY_FENCE,
			       "");
		keymap_merge(map, 1, 0);
		assert_true(keymap_find(map, 150)->fence > last);
		last = keymap_find(map, 150)->fence;
	}
	keymap_destroy(map);
}

/* Guards against merging a range whose former holder has not released it. */
static void test_merge_keeps_former(void **state)
{
	struct keymap *map = make_map();

	(void)state;
	keymap_assign(map, 0, 99, &b);
	keymap_assign(map, 100, 199, &b);
	keymap_release(map, &a, 0, 99, KEYMAP_ANY_FENCE, "");
	keymap_merge(map, 1, 0);
	assert_true(keymap_may_grant(map, keymap_find(map, 50), &b));
	assert_false(keymap_may_grant(map, keymap_find(map, 150), &b));
	keymap_destroy(map);
}

/*
 * Guards against a growing number of ranges: the handover tokens of completed
 * moves kept 450 ranges from being merged after some hundred moves.
 */
static void test_merge_of_settled_ranges(void **state)
{
	struct keymap *map = make_map();

	(void)state;
	keymap_assign(map, 0, 99, &b);
	keymap_release(map, &a, 0, 99, KEYMAP_ANY_FENCE, "h1");
	keymap_assign(map, 100, 199, &b);
	keymap_release(map, &a, 100, 199, KEYMAP_ANY_FENCE, "h2");
	keymap_merge(map, 1, 0);
	assert_int_equal(keymap_range_count(map), 3);
	keymap_merge(map, 1, keymap_next_fence(map));
	assert_int_equal(keymap_range_count(map), 2);
	assert_string_equal(keymap_find(map, 50)->handover, "");
	keymap_destroy(map);
}

/* Guards against a JSON form that loses former holders or handover tokens. */
static void test_json_round_trip(void **state)
{
	struct keymap *map = make_map();
	struct keymap *copy;
	struct err err = { 0 };
	char *text, *again;

	(void)state;
	keymap_assign(map, 100, 199, &b);
	keymap_assign(map, 5000, 5999, &c);
	keymap_release(map, &a, 5000, 5999, KEYMAP_ANY_FENCE, "token");
	text = keymap_encode(map);
	copy = keymap_parse(text, strlen(text), &err);
	assert_non_null(copy);
	again = keymap_encode(copy);
	assert_string_equal(text, again);
	assert_true(keymap_must_release(copy, keymap_find(copy, 100), &a));
	assert_string_equal(keymap_find(copy, 5500)->handover, "token");
	free(text);
	free(again);
	keymap_destroy(map);
	keymap_destroy(copy);
}

/* Guards against maps with a gap, an overlap or an unknown incarnation. */
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

		assert_null(keymap_parse(maps[i], strlen(maps[i]), &err));
		assert_int_equal(err.layer, ERR_ROWS);
	}
}

/*
 * Guards against fences that are given out twice when the table has lost the
 * map in which the counter had been raised.
 */
static void test_later_era_raises_fences(void **state)
{
	struct keymap *map = keymap_create();
	struct err err = { 0 };
	char *text;

	(void)state;
	keymap_set_era(map, 1, false);
	assert_int_equal(keymap_next_fence(map), UINT64_C(1) << 32);
	keymap_assign(map, 0, KEYMAP_KEYS - 1, &a);
	keymap_set_era(map, 1, true);
	assert_int_equal(keymap_next_fence(map), (UINT64_C(1) << 32) + 1);
	keymap_set_era(map, 3, true);
	assert_int_equal(keymap_range_at(map, 0)->fence, UINT64_C(3) << 32);
	assert_int_equal(keymap_next_fence(map),
			 (UINT64_C(3) << 32) + keymap_range_count(map));
	text = keymap_encode(map);
	keymap_destroy(map);
	map = keymap_parse(text, strlen(text), &err);
	assert_int_equal(keymap_era(map), 3);
	free(text);
	keymap_destroy(map);
}

/*
 * Guards against keys that count as assigned once the map has been merged, or
 * written again in a later era: an upstream that it does not name may hold them.
 */
static void unassigned_ranges_stay_unassigned(void **state)
{
	struct keymap *map = keymap_create();
	struct err err = { 0 };
	char *text;

	(void)state;
	assert_true(keymap_has_unassigned(map));
	assert_false(keymap_has_owner(map));
	keymap_assign(map, 0, 9, &a);
	keymap_end_incarnation(map, &a);
	keymap_merge(map, 1, 0);
	keymap_set_era(map, 3, true);
	text = keymap_encode(map);
	keymap_destroy(map);
	map = keymap_parse(text, strlen(text), &err);
	assert_false(keymap_is_unassigned(keymap_find(map, 9)));
	assert_true(keymap_is_unassigned(keymap_find(map, 10)));
	keymap_assign(map, 10, KEYMAP_KEYS - 1, &b);
	assert_false(keymap_has_unassigned(map));
	free(text);
	keymap_destroy(map);
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
		cmocka_unit_test(test_later_era_raises_fences),
		cmocka_unit_test(unassigned_ranges_stay_unassigned),
		cmocka_unit_test(test_invalid_maps_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
