/*
 * Guards against a request that crashes upstream after upstream, and against
 * harmless requests that are quarantined with it.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <string.h>
#include <cmocka.h>

#include "log.h"
#include "qtn.h"

/* Head of a test that needs no state of its group. */
#define PLAIN(name) static void name(void **state __attribute__((unused)))

#define NOW 1000000000ULL

PLAIN(second_strike_quarantines_until_lifted)
{
	struct qtn *q = qtn_create();

	assert_int_equal(qtn_check(q, 1, NOW), QTN_FREE);
	assert_int_equal(qtn_strike(q, 1, "fit size k", NOW), 1);
	assert_int_equal(qtn_check(q, 1, NOW), QTN_SUSPECT);
	assert_int_equal(qtn_strike(q, 1, "fit size k", NOW + 1), 2);
	assert_int_equal(qtn_check(q, 1, NOW + 1), QTN_QUARANTINED);
	assert_int_equal(qtn_check(q, 2, NOW + 1), QTN_FREE);
	assert_true(qtn_lift(q, 1));
	assert_false(qtn_lift(q, 1));
	assert_int_equal(qtn_check(q, 1, NOW + 1), QTN_FREE);
	qtn_destroy(q);
}

PLAIN(old_strikes_are_forgotten)
{
	struct qtn *q = qtn_create();
	struct qtn_entry out[4];

	qtn_strike(q, 1, "a", NOW);
	assert_int_equal(qtn_check(q, 1, NOW + QTN_STRIKE_TTL_MS - 1),
			 QTN_SUSPECT);
	assert_int_equal(qtn_check(q, 1, NOW + QTN_STRIKE_TTL_MS), QTN_FREE);
	assert_int_equal(qtn_strike(q, 1, "a", NOW + QTN_STRIKE_TTL_MS), 1);
	qtn_tick(q, NOW + QTN_STRIKE_TTL_MS);
	assert_int_equal(qtn_list(q, out, 4), 1);
	qtn_tick(q, NOW + 2 * QTN_STRIKE_TTL_MS);
	assert_int_equal(qtn_list(q, out, 4), 0);
	qtn_destroy(q);
}

PLAIN(learned_strikes_count_and_are_lifted)
{
	struct qtn *q = qtn_create();

	qtn_strike(q, 1, "a", NOW);
	qtn_learn(q, 1, 1, "a", NOW + QTN_STRIKE_TTL_MS - 1);
	assert_int_equal(qtn_check(q, 1, NOW + QTN_STRIKE_TTL_MS), QTN_FREE);
	qtn_learn(q, 2, 2, "b", NOW);
	qtn_learn(q, 2, 1, "b", NOW);
	assert_int_equal(qtn_check(q, 2, NOW), QTN_QUARANTINED);
	qtn_learn(q, 2, 0, "b", NOW);
	assert_int_equal(qtn_check(q, 2, NOW), QTN_FREE);
	qtn_destroy(q);
}

PLAIN(suspects_run_one_at_a_time)
{
	struct qtn *q = qtn_create();

	assert_true(qtn_suspect_begin(q, 1));
	assert_false(qtn_suspect_begin(q, 1));
	assert_false(qtn_suspect_begin(q, 2));
	qtn_suspect_end(q, 2);
	assert_false(qtn_suspect_begin(q, 2));
	qtn_suspect_end(q, 1);
	assert_true(qtn_suspect_begin(q, 2));
	qtn_destroy(q);
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
	struct qtn *q = qtn_create();
	static struct qtn_entry out[QTN_ENTRIES_MAX + 1];
	char label[200];

	memset(label, 'x', sizeof(label));
	label[sizeof(label) - 1] = '\0';
	qtn_learn(q, UINT64_MAX, QTN_STRIKES, label, NOW);
	for (uint64_t f = 1; f <= QTN_ENTRIES_MAX; f++)
		qtn_strike(q, f, NULL, NOW + f);
	assert_int_equal(qtn_list(q, out, QTN_ENTRIES_MAX + 1),
			 QTN_ENTRIES_MAX);
	assert_int_equal(qtn_list(q, out, 3), 3);
	assert_int_equal(qtn_check(q, UINT64_MAX, NOW), QTN_QUARANTINED);
	assert_int_equal(qtn_check(q, 1, NOW), QTN_FREE);
	assert_int_equal(qtn_check(q, 2, NOW), QTN_SUSPECT);
	qtn_destroy(q);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(second_strike_quarantines_until_lifted),
		cmocka_unit_test(old_strikes_are_forgotten),
		cmocka_unit_test(learned_strikes_count_and_are_lifted),
		cmocka_unit_test(suspects_run_one_at_a_time),
		cmocka_unit_test(fingerprint_depends_on_every_part),
		cmocka_unit_test(full_list_keeps_what_is_quarantined),
	};

	log_set_level(LOG_LEVEL_ERROR);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
