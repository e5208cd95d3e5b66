/*
 * Tests that a request that repeatedly crashes upstreams is quarantined and that
 * harmless requests are not.
 */

#include <string.h>

#include "log.h"
#include "qtn.h"
#include "route_test.h"

#define NOW_MS 1000000000ULL

static struct qtn *q;

static int setup(void **state)
{
	(void)state;
	q = qtn_create();
	return q ? 0 : -1;
}

static int teardown(void **state)
{
	(void)state;
	qtn_destroy(q);
	return 0;
}

PLAIN(second_strike_quarantines_until_lifted)
{
	assert_int_equal(qtn_check(q, 1, NOW_MS), QTN_FREE);
	assert_int_equal(qtn_strike(q, 1, "fit size k", NOW_MS), 1);
	assert_int_equal(qtn_check(q, 1, NOW_MS), QTN_SUSPECT);
	assert_int_equal(qtn_strike(q, 1, "fit size k", NOW_MS + 1), 2);
	assert_int_equal(qtn_check(q, 1, NOW_MS + 1), QTN_QUARANTINED);
	assert_int_equal(qtn_check(q, 2, NOW_MS + 1), QTN_FREE);
	assert_true(qtn_lift(q, 1));
	assert_false(qtn_lift(q, 1));
	assert_int_equal(qtn_check(q, 1, NOW_MS + 1), QTN_FREE);
}

PLAIN(old_strikes_are_forgotten)
{
	struct qtn_entry out[4];

	qtn_strike(q, 1, "a", NOW_MS);
	assert_int_equal(qtn_check(q, 1, NOW_MS + QTN_STRIKE_TTL_MS - 1),
			 QTN_SUSPECT);
	assert_int_equal(qtn_check(q, 1, NOW_MS + QTN_STRIKE_TTL_MS), QTN_FREE);
	assert_int_equal(qtn_strike(q, 1, "a", NOW_MS + QTN_STRIKE_TTL_MS), 1);
	qtn_tick(q, NOW_MS + QTN_STRIKE_TTL_MS);
	assert_int_equal(qtn_list(q, out, 4), 1);
	qtn_tick(q, NOW_MS + 2 * QTN_STRIKE_TTL_MS);
	assert_int_equal(qtn_list(q, out, 4), 0);
}

PLAIN(learned_strikes_count_and_are_lifted)
{
	qtn_strike(q, 1, "a", NOW_MS);
	qtn_learn(q, 1, 1, "a", NOW_MS + QTN_STRIKE_TTL_MS - 1);
	assert_int_equal(qtn_check(q, 1, NOW_MS + QTN_STRIKE_TTL_MS), QTN_FREE);
	qtn_learn(q, 2, 2, "b", NOW_MS);
	qtn_learn(q, 2, 1, "b", NOW_MS);
	assert_int_equal(qtn_check(q, 2, NOW_MS), QTN_QUARANTINED);
	qtn_learn(q, 2, 0, "b", NOW_MS);
	assert_int_equal(qtn_check(q, 2, NOW_MS), QTN_FREE);
}

PLAIN(suspects_run_one_at_a_time)
{
	assert_true(qtn_suspect_begin(q, 1));
	assert_false(qtn_suspect_begin(q, 1));
	assert_false(qtn_suspect_begin(q, 2));
	qtn_suspect_end(q, 2);
	assert_false(qtn_suspect_begin(q, 2));
	qtn_suspect_end(q, 1);
	assert_true(qtn_suspect_begin(q, 2));
}

PLAIN(fingerprint_depends_on_every_part)
{
	uint64_t f = qtn_fingerprint(1, 2, "/a", "body", 4);

	assert_true(f == qtn_fingerprint(1, 2, "/a", "body", 4));
	assert_true(f != qtn_fingerprint(2, 2, "/a", "body", 4));
	assert_true(f != qtn_fingerprint(1, 3, "/a", "body", 4));
	assert_true(f != qtn_fingerprint(1, 2, "/b", "body", 4));
	assert_true(f != qtn_fingerprint(1, 2, "/a", "bodx", 4));
	assert_true(f != qtn_fingerprint(1, 2, "/ab", "ody", 3));
	assert_true(f != qtn_fingerprint(1, 2, "/a", NULL, 0));
}

PLAIN(full_list_keeps_what_is_quarantined)
{
	static struct qtn_entry out[QTN_ENTRIES_MAX + 1];
	char label[200];

	memset(label, 'x', sizeof(label));
	label[sizeof(label) - 1] = '\0';
	qtn_learn(q, UINT64_MAX, QTN_STRIKES, label, NOW_MS);
	for (uint64_t f = 1; f <= QTN_ENTRIES_MAX; f++)
		qtn_strike(q, f, NULL, NOW_MS + f);
	assert_int_equal(qtn_list(q, out, QTN_ENTRIES_MAX + 1),
			 QTN_ENTRIES_MAX);
	assert_int_equal(qtn_list(q, out, 3), 3);
	assert_int_equal(qtn_check(q, UINT64_MAX, NOW_MS), QTN_QUARANTINED);
	assert_int_equal(qtn_check(q, 1, NOW_MS), QTN_FREE);
	assert_int_equal(qtn_check(q, 2, NOW_MS), QTN_SUSPECT);
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
