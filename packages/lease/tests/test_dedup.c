/*
 * Guards against a request of a non-idempotent kind running twice after a
 * resend, a clock step or a handover of its partition.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "dedup.h"

#define START 1000000ULL /* ms */
#define NOW (START + 10000)
#define PART 7

static uint32_t handle;
static struct dedup_response stored;

static enum dedup_result begin_at(struct dedup *d, uint64_t sent, uint64_t now)
{
	char id[DEDUP_ID_MAX];

	snprintf(id, sizeof(id), "%llu-a", (unsigned long long)sent);
	return dedup_begin(d, PART, id, now, &handle, &stored);
}

static struct dedup *create_with_window(size_t max)
{
	struct dedup *d = dedup_create(max);

	dedup_open(d, PART, START);
	return d;
}

static void resend_gets_state_or_stored_response(void **state)
{
	const struct dedup_response r = { .status = 201,
					  .content_type = "text/plain",
					  .body_len = 3,
					  .body = "a\0b" };
	struct dedup *d = create_with_window(10);
	uint32_t first;

	(void)state;
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_NEW);
	first = handle;
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_RUNNING);
	dedup_finish(d, first, &r);
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_DONE);
	assert_int_equal(stored.status, 201);
	assert_memory_equal(stored.body, "a\0b", 3);
	dedup_remove(d, first);
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_DONE);
	dedup_destroy(d);
}

static void unknown_result_is_kept_and_removed_request_reruns(void **state)
{
	struct dedup *d = create_with_window(10);

	(void)state;
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_NEW);
	dedup_mark_unknown(d, handle);
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_UNKNOWN);
	assert_int_equal(begin_at(d, NOW + 1, NOW), DEDUP_NEW);
	dedup_remove(d, handle);
	assert_int_equal(begin_at(d, NOW + 1, NOW), DEDUP_NEW);
	dedup_destroy(d);
}

/* Checks the limits of the time range that a window covers. */
static void request_outside_the_window_does_not_run(void **state)
{
	struct dedup *d = create_with_window(10);
	const uint64_t late = START + DEDUP_WINDOW_MS + 5000;

	(void)state;
	assert_int_equal(begin_at(d, START + DEDUP_SKEW_MS - 1, NOW),
			 DEDUP_OUTSIDE_WINDOW);
	assert_int_equal(begin_at(d, START + DEDUP_SKEW_MS, NOW), DEDUP_NEW);
	assert_int_equal(begin_at(d, NOW + DEDUP_SKEW_MS, NOW), DEDUP_NEW);
	assert_int_equal(begin_at(d, NOW + DEDUP_SKEW_MS + 1, NOW),
			 DEDUP_INVALID);
	assert_int_equal(begin_at(d, late - DEDUP_WINDOW_MS - 1, late),
			 DEDUP_OUTSIDE_WINDOW);
	assert_int_equal(
		dedup_begin(d, PART + 1, "1010000-a", NOW, &handle, &stored),
		DEDUP_OUTSIDE_WINDOW);
	dedup_close(d, PART);
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_OUTSIDE_WINDOW);
	dedup_destroy(d);
}

static void clock_set_back_makes_no_request_new(void **state)
{
	struct dedup *d = create_with_window(10);

	(void)state;
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_NEW);
	dedup_mark_unknown(d, handle);
	dedup_expire(d, NOW + DEDUP_WINDOW_MS + 1);
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_OUTSIDE_WINDOW);
	dedup_destroy(d);
}

static void malformed_id_is_invalid(void **state)
{
	static const char *const bad[] = {
		"",   "a",	     "1010000",	     "1010000-",
		"-a", "1010000-a b", "1010000-\xc3", "99999999999999999-a"
	};
	char text[DEDUP_ID_MAX + 1];
	struct dedup *d = create_with_window(10);

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(
			dedup_begin(d, PART, bad[i], NOW, &handle, &stored),
			DEDUP_INVALID);
	memset(text, 'x', sizeof(text));
	memcpy(text, "1010000-", 8);
	text[DEDUP_ID_MAX] = '\0';
	assert_int_equal(dedup_begin(d, PART, text, NOW, &handle, &stored),
			 DEDUP_INVALID);
	dedup_destroy(d);
}

/* Evicting another entry to make room would let that request run twice. */
static void full_table_refuses(void **state)
{
	struct dedup *d = create_with_window(2);

	(void)state;
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_NEW);
	assert_int_equal(begin_at(d, NOW + 1, NOW), DEDUP_NEW);
	assert_int_equal(begin_at(d, NOW + 2, NOW), DEDUP_FULL);
	dedup_remove(d, handle);
	dedup_expire(d, NOW + 2 * DEDUP_WINDOW_MS);
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_RUNNING);
	dedup_destroy(d);
}

static void window_survives_a_handover(void **state)
{
	const struct dedup_response r = { .status = 200,
					  .body_len = 2,
					  .body = "\xff\0" };
	const struct dedup_response cut = { .status = 200,
					    .body_len = DEDUP_BODY_MAX + 1 };
	struct dedup *a = create_with_window(10);
	struct dedup *b = dedup_create(10);
	struct err err = { 0 };
	char *text;

	(void)state;
	assert_int_equal(begin_at(a, NOW, NOW), DEDUP_NEW);
	dedup_finish(a, handle, &r);
	assert_int_equal(begin_at(a, NOW + 1, NOW), DEDUP_NEW);
	dedup_finish(a, handle, &cut);
	assert_int_equal(begin_at(a, NOW + 2, NOW), DEDUP_NEW);
	text = dedup_export(a, PART);
	assert_true(dedup_import(b, PART, text, &err));
	assert_int_equal(begin_at(b, NOW, NOW), DEDUP_DONE);
	assert_memory_equal(stored.body, "\xff\0", 2);
	assert_int_equal(begin_at(b, NOW + 1, NOW), DEDUP_DONE);
	assert_true(stored.body_cut);
	assert_int_equal(begin_at(b, NOW + 2, NOW), DEDUP_UNKNOWN);
	assert_int_equal(begin_at(b, NOW + 3, NOW), DEDUP_NEW);
	assert_int_equal(begin_at(b, START, NOW), DEDUP_OUTSIDE_WINDOW);
	free(text);
	dedup_destroy(a);
	dedup_destroy(b);
}

static void bad_handover_changes_nothing(void **state)
{
	static const char *const bad[] = {
		"{",
		"[]",
		"{\"start\":1}",
		"{\"start\":-1,\"entries\":[]}",
		"{\"start\":0,\"entries\":[{\"id\":\"x\"}]}",
		"{\"start\":0,\"entries\":[{\"id\":\"5-a\",\"status\":200}]}",
		"{\"start\":0,\"entries\":[{\"id\":\"5-a\",\"status\":200,"
		"\"content_type\":\"\",\"cut\":false,\"body\":\"0g\"}]}",
		"{\"start\":0,\"entries\":[{\"id\":\"5-a\"},{\"id\":\"6-a\"},"
		"{\"id\":\"7-a\"}]}",
	};
	struct dedup *d = create_with_window(2);

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct err err = { 0 };

		assert_false(dedup_import(d, PART, bad[i], &err));
		assert_int_equal(err.layer, ERR_LEASE);
		assert_int_equal(err.code, 1);
	}
	assert_int_equal(begin_at(d, START, NOW), DEDUP_OUTSIDE_WINDOW);
	assert_int_equal(begin_at(d, NOW, NOW), DEDUP_NEW);
	dedup_destroy(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(resend_gets_state_or_stored_response),
		cmocka_unit_test(
			unknown_result_is_kept_and_removed_request_reruns),
		cmocka_unit_test(request_outside_the_window_does_not_run),
		cmocka_unit_test(clock_set_back_makes_no_request_new),
		cmocka_unit_test(malformed_id_is_invalid),
		cmocka_unit_test(full_table_refuses),
		cmocka_unit_test(window_survives_a_handover),
		cmocka_unit_test(bad_handover_changes_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
