/*
 * Tests that a request that repeatedly crashes upstreams is quarantined and
 * that harmless requests are not.
 */

#include <string.h>

#include "log.h"
#include "quarantine.h"
#include "route_test.h"

#define NOW_MS 1000000000ULL

static struct quarantine_table *q;

static int setup(void **state)
{
	(void)state;
	q = quarantine_create();
	return q ? 0 : -1;
}

static int teardown(void **state)
{
	(void)state;
	quarantine_destroy(q);
	return 0;
}

PLAIN(second_strike_quarantines_until_lifted)
{
	assert_int_equal(quarantine_check(q, 1, NOW_MS), QUARANTINE_NONE);
	assert_int_equal(quarantine_add_strike(q, 1, "fit size k", NOW_MS), 1);
	assert_int_equal(quarantine_check(q, 1, NOW_MS), QUARANTINE_SUSPECT);
	assert_int_equal(quarantine_add_strike(q, 1, "fit size k", NOW_MS + 1),
			 2);
	assert_int_equal(quarantine_check(q, 1, NOW_MS + 1), QUARANTINE_REFUSE);
	assert_int_equal(quarantine_check(q, 2, NOW_MS + 1), QUARANTINE_NONE);
	assert_true(quarantine_lift(q, 1));
	assert_false(quarantine_lift(q, 1));
	assert_int_equal(quarantine_check(q, 1, NOW_MS + 1), QUARANTINE_NONE);
}

PLAIN(old_strikes_are_forgotten)
{
	struct quarantine_entry out[4];

	quarantine_add_strike(q, 1, "a", NOW_MS);
	assert_int_equal(
		quarantine_check(q, 1, NOW_MS + QUARANTINE_STRIKE_TTL_MS - 1),
		QUARANTINE_SUSPECT);
	assert_int_equal(
		quarantine_check(q, 1, NOW_MS + QUARANTINE_STRIKE_TTL_MS),
		QUARANTINE_NONE);
	assert_int_equal(quarantine_add_strike(
				 q, 1, "a", NOW_MS + QUARANTINE_STRIKE_TTL_MS),
			 1);
	quarantine_tick(q, NOW_MS + QUARANTINE_STRIKE_TTL_MS);
	assert_int_equal(quarantine_list(q, out, 4), 1);
	quarantine_tick(q, NOW_MS + 2 * QUARANTINE_STRIKE_TTL_MS);
	assert_int_equal(quarantine_list(q, out, 4), 0);
}

PLAIN(learned_strikes_count_and_are_lifted)
{
	quarantine_add_strike(q, 1, "a", NOW_MS);
	quarantine_merge(q, 1, 1, "a", NOW_MS + QUARANTINE_STRIKE_TTL_MS - 1);
	assert_int_equal(
		quarantine_check(q, 1, NOW_MS + QUARANTINE_STRIKE_TTL_MS),
		QUARANTINE_NONE);
	quarantine_merge(q, 2, 2, "b", NOW_MS);
	quarantine_merge(q, 2, 1, "b", NOW_MS);
	assert_int_equal(quarantine_check(q, 2, NOW_MS), QUARANTINE_REFUSE);
	quarantine_merge(q, 2, 0, "b", NOW_MS);
	assert_int_equal(quarantine_check(q, 2, NOW_MS), QUARANTINE_NONE);
}

PLAIN(suspects_run_one_at_a_time)
{
	assert_true(quarantine_suspect_begin(q, 1));
	assert_false(quarantine_suspect_begin(q, 1));
	assert_false(quarantine_suspect_begin(q, 2));
	quarantine_suspect_end(q, 2);
	assert_false(quarantine_suspect_begin(q, 2));
	quarantine_suspect_end(q, 1);
	assert_true(quarantine_suspect_begin(q, 2));
}

PLAIN(fingerprint_depends_on_every_part)
{
	uint64_t f = quarantine_fingerprint(1, 2, "/a", "body", 4);

	assert_true(f == quarantine_fingerprint(1, 2, "/a", "body", 4));
	assert_true(f != quarantine_fingerprint(2, 2, "/a", "body", 4));
	assert_true(f != quarantine_fingerprint(1, 3, "/a", "body", 4));
	assert_true(f != quarantine_fingerprint(1, 2, "/b", "body", 4));
	assert_true(f != quarantine_fingerprint(1, 2, "/a", "bodx", 4));
	assert_true(f != quarantine_fingerprint(1, 2, "/ab", "ody", 3));
	assert_true(f != quarantine_fingerprint(1, 2, "/a", NULL, 0));
}

PLAIN(full_list_keeps_what_is_quarantined)
{
	static struct quarantine_entry out[QUARANTINE_ENTRIES_MAX + 1];
	char label[200];

	memset(label, 'x', sizeof(label));
	label[sizeof(label) - 1] = '\0';
	quarantine_merge(q, UINT64_MAX, QUARANTINE_STRIKES_LIMIT, label,
			 NOW_MS);
	for (uint64_t f = 1; f <= QUARANTINE_ENTRIES_MAX; f++)
		quarantine_add_strike(q, f, NULL, NOW_MS + f);
	assert_int_equal(quarantine_list(q, out, QUARANTINE_ENTRIES_MAX + 1),
			 QUARANTINE_ENTRIES_MAX);
	assert_int_equal(quarantine_list(q, out, 3), 3);
	assert_int_equal(quarantine_check(q, UINT64_MAX, NOW_MS),
			 QUARANTINE_REFUSE);
	assert_int_equal(quarantine_check(q, 1, NOW_MS), QUARANTINE_NONE);
	assert_int_equal(quarantine_check(q, 2, NOW_MS), QUARANTINE_SUSPECT);
}

int main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(second_strike_quarantines_until_lifted),
		TEST(old_strikes_are_forgotten),
		TEST(learned_strikes_count_and_are_lifted),
		TEST(suspects_run_one_at_a_time),
		TEST(fingerprint_depends_on_every_part),
		TEST(full_list_keeps_what_is_quarantined),
	};

	log_set_level(LOG_LEVEL_ERROR);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
