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

#include "dup.h"

#define START 1000000ULL /* ms */
#define NOW (START + 10000)
#define PART 7

static uint32_t handle;
static struct dup_response stored;

static enum dup_verdict begin_at(struct dup *d, uint64_t sent, uint64_t now)
{
	char id[DUP_ID_MAX];

	snprintf(id, sizeof(id), "%llu-a", (unsigned long long)sent);
	return dup_begin(d, PART, id, now, &handle, &stored);
}

static struct dup *create_with_window(size_t max)
{
	struct dup *d = dup_create(max);

	dup_open(d, PART, START);
	return d;
}

static void resend_gets_state_or_stored_response(void **state)
{
	const struct dup_response r = { .status = 201,
					.content_type = "text/plain",
					.body_len = 3,
					.body = "a\0b" };
	struct dup *d = create_with_window(10);
	uint32_t first;

	(void)state;
	assert_int_equal(begin_at(d, NOW, NOW), DUP_NEW);
	first = handle;
	assert_int_equal(begin_at(d, NOW, NOW), DUP_RUNNING);
	dup_finish(d, first, &r);
	assert_int_equal(begin_at(d, NOW, NOW), DUP_DONE);
	assert_int_equal(stored.status, 201);
	assert_memory_equal(stored.body, "a\0b", 3);
	dup_forget(d, first);
	assert_int_equal(begin_at(d, NOW, NOW), DUP_DONE);
	dup_destroy(d);
}

static void unknown_result_is_kept_and_removed_request_reruns(void **state)
{
	struct dup *d = create_with_window(10);

	(void)state;
	assert_int_equal(begin_at(d, NOW, NOW), DUP_NEW);
	dup_lose(d, handle);
	assert_int_equal(begin_at(d, NOW, NOW), DUP_UNKNOWN);
	assert_int_equal(begin_at(d, NOW + 1, NOW), DUP_NEW);
	dup_forget(d, handle);
	assert_int_equal(begin_at(d, NOW + 1, NOW), DUP_NEW);
	dup_destroy(d);
}

/* Checks the limits of the time range that a window covers. */
static void request_outside_the_window_does_not_run(void **state)
{
	struct dup *d = create_with_window(10);
	const uint64_t late = START + DUP_WINDOW_MS + 5000;

	(void)state;
	assert_int_equal(begin_at(d, START + DUP_SKEW_MS - 1, NOW), DUP_UNSEEN);
	assert_int_equal(begin_at(d, START + DUP_SKEW_MS, NOW), DUP_NEW);
	assert_int_equal(begin_at(d, NOW + DUP_SKEW_MS, NOW), DUP_NEW);
	assert_int_equal(begin_at(d, NOW + DUP_SKEW_MS + 1, NOW), DUP_INVALID);
	assert_int_equal(begin_at(d, late - DUP_WINDOW_MS - 1, late),
			 DUP_UNSEEN);
	assert_int_equal(
		dup_begin(d, PART + 1, "1010000-a", NOW, &handle, &stored),
		DUP_UNSEEN);
	dup_close(d, PART);
	assert_int_equal(begin_at(d, NOW, NOW), DUP_UNSEEN);
	dup_destroy(d);
}

static void clock_set_back_makes_no_request_new(void **state)
{
	struct dup *d = create_with_window(10);

	(void)state;
	assert_int_equal(begin_at(d, NOW, NOW), DUP_NEW);
	dup_lose(d, handle);
	dup_tick(d, NOW + DUP_WINDOW_MS + 1);
	assert_int_equal(begin_at(d, NOW, NOW), DUP_UNSEEN);
	dup_destroy(d);
}

static void malformed_id_is_invalid(void **state)
{
	static const char *const bad[] = {
		"",   "a",	     "1010000",	     "1010000-",
		"-a", "1010000-a b", "1010000-\xc3", "99999999999999999-a"
	};
	char text[DUP_ID_MAX + 1];
	struct dup *d = create_with_window(10);

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(
			dup_begin(d, PART, bad[i], NOW, &handle, &stored),
			DUP_INVALID);
	memset(text, 'x', sizeof(text));
	memcpy(text, "1010000-", 8);
	text[DUP_ID_MAX] = '\0';
	assert_int_equal(dup_begin(d, PART, text, NOW, &handle, &stored),
			 DUP_INVALID);
	dup_destroy(d);
}

/* Evicting another entry to make room would let that request run twice. */
static void full_table_refuses(void **state)
{
	struct dup *d = create_with_window(2);

	(void)state;
	assert_int_equal(begin_at(d, NOW, NOW), DUP_NEW);
	assert_int_equal(begin_at(d, NOW + 1, NOW), DUP_NEW);
	assert_int_equal(begin_at(d, NOW + 2, NOW), DUP_FULL);
	dup_forget(d, handle);
	dup_tick(d, NOW + 2 * DUP_WINDOW_MS);
	assert_int_equal(begin_at(d, NOW, NOW), DUP_RUNNING);
	dup_destroy(d);
}

static void window_survives_a_handover(void **state)
{
	const struct dup_response r = { .status = 200,
					.body_len = 2,
					.body = "\xff\0" };
	const struct dup_response cut = { .status = 200,
					  .body_len = DUP_BODY_MAX + 1 };
	struct dup *a = create_with_window(10);
	struct dup *b = dup_create(10);
	struct err err = { 0 };
	char *text;

	(void)state;
	assert_int_equal(begin_at(a, NOW, NOW), DUP_NEW);
	dup_finish(a, handle, &r);
	assert_int_equal(begin_at(a, NOW + 1, NOW), DUP_NEW);
	dup_finish(a, handle, &cut);
	assert_int_equal(begin_at(a, NOW + 2, NOW), DUP_NEW);
	text = dup_export(a, PART);
	assert_true(dup_import(b, PART, text, &err));
	assert_int_equal(begin_at(b, NOW, NOW), DUP_DONE);
	assert_memory_equal(stored.body, "\xff\0", 2);
	assert_int_equal(begin_at(b, NOW + 1, NOW), DUP_DONE);
	assert_true(stored.body_cut);
	assert_int_equal(begin_at(b, NOW + 2, NOW), DUP_UNKNOWN);
	assert_int_equal(begin_at(b, NOW + 3, NOW), DUP_NEW);
	assert_int_equal(begin_at(b, START, NOW), DUP_UNSEEN);
	free(text);
	dup_destroy(a);
	dup_destroy(b);
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
	struct dup *d = create_with_window(2);

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct err err = { 0 };

		assert_false(dup_import(d, PART, bad[i], &err));
		assert_int_equal(err.layer, ERR_LEASE);
		assert_int_equal(err.code, 1);
	}
	assert_int_equal(begin_at(d, START, NOW), DUP_UNSEEN);
	assert_int_equal(begin_at(d, NOW, NOW), DUP_NEW);
	dup_destroy(d);
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
