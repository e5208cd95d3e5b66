/* Tests that the sketch finds hot keys in bounded memory. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "hot_keys.h"

#define SIZE 100
#define COLD_KEYS 5000

static void add_times(struct hot_keys *h, const char *key, int times)
{
	for (int i = 0; i < times; i++)
		hot_keys_add(h, 1, key, strlen(key));
}

static void sizes_out_of_range_are_refused(void **state)
{
	(void)state;
	assert_null(hot_keys_create(0));
	assert_null(hot_keys_create(10001));
	hot_keys_destroy(NULL);
}

static void counts_are_exact_while_all_keys_fit(void **state)
{
	struct hot_keys *h = hot_keys_create(3);
	struct hot_key top[4];

	(void)state;
	add_times(h, "a", 2);
	add_times(h, "b", 5);
	add_times(h, "c", 3);
	assert_int_equal(hot_keys_top(h, top, 4), 3);
	assert_string_equal(top[0].key, "b");
	assert_int_equal(top[0].count, 5);
	assert_int_equal(top[0].error, 0);
	assert_string_equal(top[2].key, "a");
	assert_int_equal(hot_keys_top(h, top, 1), 1);
	hot_keys_destroy(h);
}

/* A key with more than 1/SIZE of all requests must be in a sketch of SIZE. */
static void hot_keys_are_kept_among_many_cold_keys(void **state)
{
	struct hot_keys *h = hot_keys_create(SIZE);
	struct hot_key top[2];
	char key[HOT_KEY_BYTES_MAX];

	(void)state;
	for (int i = 0; i < COLD_KEYS; i++) {
		snprintf(key, sizeof(key), "cold-%d", i);
		add_times(h, key, 1);
		if (i % 10 == 0)
			add_times(h, "hot-1", 2);
		if (i % 20 == 0)
			add_times(h, "hot-2", 2);
	}
	assert_int_equal(hot_keys_top(h, top, 2), 2);
	assert_string_equal(top[0].key, "hot-1");
	assert_true(top[0].count >= COLD_KEYS / 5);
	assert_true(top[0].count - top[0].error <= COLD_KEYS / 5);
	assert_string_equal(top[1].key, "hot-2");
	hot_keys_destroy(h);
}

static void decayed_keys_are_replaced(void **state)
{
	struct hot_keys *h = hot_keys_create(2);
	struct hot_key top[2];

	(void)state;
	add_times(h, "was hot", 1000);
	for (int i = 0; i < 10; i++)
		hot_keys_decay(h);
	assert_int_equal(hot_keys_top(h, top, 2), 0);
	add_times(h, "is hot", 3);
	add_times(h, "is warm", 2);
	assert_int_equal(hot_keys_top(h, top, 2), 2);
	assert_string_equal(top[0].key, "is hot");
	assert_string_equal(top[1].key, "is warm");
	hot_keys_destroy(h);
}

/* With a size of 1, each replacement empties the hash table. */
static void sketch_of_one_key_works(void **state)
{
	struct hot_keys *h = hot_keys_create(1);
	struct hot_key top[1];

	(void)state;
	add_times(h, "a", 1);
	add_times(h, "b", 1);
	assert_int_equal(hot_keys_top(h, top, 1), 1);
	assert_string_equal(top[0].key, "b");
	assert_int_equal(top[0].count, 2);
	assert_int_equal(top[0].error, 1);
	hot_keys_destroy(h);
}

/* Long keys with a common prefix and keys of two partitions are distinct. */
static void long_keys_and_partitions_are_distinct(void **state)
{
	struct hot_keys *h = hot_keys_create(8);
	struct hot_key top[8];
	char key[HOT_KEY_BYTES_MAX * 2];

	(void)state;
	memset(key, 'x', sizeof(key));
	hot_keys_add(h, 1, key, sizeof(key));
	key[sizeof(key) - 1] = 'y';
	hot_keys_add(h, 1, key, sizeof(key));
	hot_keys_add(h, 2, key, sizeof(key));
	hot_keys_add(h, 2, "", 0);
	assert_int_equal(hot_keys_top(h, top, 8), 4);
	for (int i = 0; i < 4; i++)
		assert_true(strlen(top[i].key) < HOT_KEY_BYTES_MAX);
	hot_keys_destroy(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(sizes_out_of_range_are_refused),
		cmocka_unit_test(counts_are_exact_while_all_keys_fit),
		cmocka_unit_test(hot_keys_are_kept_among_many_cold_keys),
		cmocka_unit_test(decayed_keys_are_replaced),
		cmocka_unit_test(sketch_of_one_key_works),
		cmocka_unit_test(long_keys_and_partitions_are_distinct),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
