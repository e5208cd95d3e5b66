/*
 * Guards against traces that break off between hops, against malformed headers
 * that are passed on, and against lines that a collector cannot read.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <cmocka.h>
#include <jansson.h>

#include "trc.h"

#define TRACE "0af7651916cd43dd8448eb211c80319c"
#define PARENT "b7ad6b7169203331"
#define VALID "00-" TRACE "-" PARENT "-01"
#define BUFFER_BYTES 32768

/* A clock and a random source that the tests drive. */
struct fake {
	uint64_t now_us;
	uint64_t random;
};

static uint64_t fake_mono_us(void *arg)
{
	return ((struct fake *)arg)->now_us;
}

static uint64_t fake_wall_ms(void *arg)
{
	return 1700000000000ULL + ((struct fake *)arg)->now_us / US_PER_MS;
}

static uint64_t fake_random(void *arg)
{
	return ((struct fake *)arg)->random++;
}

static const struct clk_ops fake_ops = { fake_mono_us, fake_wall_ms,
					 fake_random };

struct bench {
	struct fake fake;
	struct clk clk;
	char path[32];
	struct trc *trc;
};

static int setup(void **state)
{
	struct bench *b = calloc(1, sizeof(*b));
	struct err err = { 0 };

	b->clk = (struct clk){ &fake_ops, &b->fake };
	strcpy(b->path, "/tmp/trc_XXXXXX");
	close(mkstemp(b->path));
	b->trc = trc_create(b->path, "bookings \"3\"", 0, &b->clk, &err);
	assert_non_null(b->trc);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bench *b = *state;

	trc_destroy(b->trc);
	unlink(b->path);
	free(b);
	return 0;
}

static size_t file_size(const struct bench *b)
{
	struct stat st;

	assert_int_equal(stat(b->path, &st), 0);
	return (size_t)st.st_size;
}

static void trace_goes_on_with_a_new_span(void **state)
{
	struct bench *b = *state;
	struct trc_span first, second;
	char out[TRC_PARENT_MAX];

	trc_start(b->trc, VALID, &first);
	assert_true(first.sampled);
	trc_parent(&first, out);
	assert_int_equal(strlen(out), TRC_PARENT_MAX - 1);
	assert_memory_equal(out, "00-" TRACE "-", 36);
	assert_null(strstr(out, PARENT));
	trc_start(b->trc, out, &second);
	assert_memory_equal(second.trace_id, first.trace_id, 16);
	assert_memory_equal(second.parent_id, first.span_id, 8);
}

static void malformed_parent_begins_a_trace(void **state)
{
	static const char *const bad[] = {
		"",
		"00-" TRACE "-" PARENT,
		"ff-" TRACE "-" PARENT "-01",
		"00-" TRACE "-" PARENT "-01-x",
		"01-" TRACE "-" PARENT "-01x",
		"00-" TRACE "-" PARENT "-0g",
		"00-0AF7651916cd43dd8448eb211c80319c-" PARENT "-01",
		"00_" TRACE "-" PARENT "-01",
		"00-00000000000000000000000000000000-" PARENT "-01",
		"00-" TRACE "-0000000000000000-01",
	};
	static const uint8_t zero[TRC_SPAN_ID_BYTES];
	struct bench *b = *state;
	struct trc_span span;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		char *copy = strdup(bad[i]);

		trc_start(b->trc, copy, &span);
		free(copy);
		assert_false(span.sampled);
		assert_memory_equal(span.parent_id, zero, sizeof(zero));
		assert_int_not_equal(span.trace_id[0], 0x0a);
	}
	trc_start(b->trc, "01-" TRACE "-" PARENT "-01-more", &span);
	assert_true(span.sampled);
}

static void share_of_new_traces_is_sampled(void **state)
{
	struct bench *b = *state;
	struct err err = { 0 };
	struct trc *all = trc_create(NULL, "s", 1000000, &b->clk, &err);
	struct trc_span span;

	trc_start(all, NULL, &span);
	assert_true(span.sampled);
	trc_end(all, &span, "GET", "done", 200);
	trc_destroy(all);
	trc_start(b->trc, NULL, &span);
	assert_false(span.sampled);
}

/* Returns the only span of a line. */
static json_t *span_of(json_t *line)
{
	json_t *r = json_array_get(json_object_get(line, "resourceSpans"), 0);
	json_t *s = json_array_get(json_object_get(r, "scopeSpans"), 0);

	return json_array_get(json_object_get(s, "spans"), 0);
}

static void check_text(json_t *span, const char *field, const char *expected)
{
	assert_string_equal(json_string_value(json_object_get(span, field)),
			    expected);
}

static void span_is_a_line_of_otlp(void **state)
{
	struct bench *b = *state;
	struct trc_span span;
	json_t *line;

	b->fake.now_us = 1000;
	trc_start(b->trc, VALID, &span);
	b->fake.now_us = 3500;
	trc_end(b->trc, &span, "fit\nsize", "unknown", 502);
	trc_destroy(b->trc);
	b->trc = NULL;
	line = json_load_file(b->path, 0, NULL);
	assert_non_null(line);
	check_text(span_of(line), "traceId", TRACE);
	check_text(span_of(line), "parentSpanId", PARENT);
	check_text(span_of(line), "name", "fit\nsize");
	check_text(span_of(line), "startTimeUnixNano", "1700000000001000000");
	check_text(span_of(line), "endTimeUnixNano", "1700000000003500000");
	json_decref(line);
}

static void lines_are_written_together(void **state)
{
	struct bench *b = *state;
	struct trc_span span;
	size_t size = 0, writes = 0;

	trc_start(b->trc, VALID, &span);
	while (writes < 3) {
		trc_end(b->trc, &span, "a", "done", 200);
		if (file_size(b) == size)
			continue;
		assert_in_range(file_size(b) - size, BUFFER_BYTES / 2,
				BUFFER_BYTES);
		size = file_size(b);
		writes++;
	}
	b->fake.now_us += US_PER_S;
	trc_end(b->trc, &span, "a", "done", 200);
	assert_true(file_size(b) > size);
	size = file_size(b);
	span.sampled = false;
	trc_end(b->trc, &span, "a", "done", 200);
	assert_int_equal(file_size(b), size);
}

/* A span that was never sampled still lets older lines out in time. */
static void old_lines_are_written_with_the_next_span(void **state)
{
	struct bench *b = *state;
	struct trc_span span;

	trc_start(b->trc, VALID, &span);
	trc_end(b->trc, &span, "a", "done", 200);
	assert_int_equal(file_size(b), 0);
	b->fake.now_us += US_PER_S;
	span.sampled = false;
	trc_end(b->trc, &span, "a", "done", 200);
	assert_true(file_size(b) > 0);
}

static void file_that_cannot_be_opened_is_an_error(void **state)
{
	struct bench *b = *state;
	struct err err = { 0 };

	assert_null(trc_create("/tmp/", "s", 0, &b->clk, &err));
	assert_int_equal(err.layer, ERR_SYSTEM);
	assert_non_null(strstr(err.text, "/tmp/"));
}

int main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(trace_goes_on_with_a_new_span),
		TEST(malformed_parent_begins_a_trace),
		TEST(share_of_new_traces_is_sampled),
		TEST(span_is_a_line_of_otlp),
		TEST(lines_are_written_together),
		TEST(old_lines_are_written_with_the_next_span),
		TEST(file_that_cannot_be_opened_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
