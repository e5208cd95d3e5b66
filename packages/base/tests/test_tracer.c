/*
 * Tests that traces continue across hops, that malformed headers are not
 * propagated, and that lines are valid OTLP JSON.
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

#include "tracer.h"

/* Declares a test function that uses the fixture below. */
#define TEST_CASE(name) static void name(void **state __attribute__((unused)))

#define TRACE "0af7651916cd43dd8448eb211c80319c"
#define PARENT "b7ad6b7169203331"
#define VALID "00-" TRACE "-" PARENT "-01"
#define BUFFER_BYTES 32768

/* Clock and random source controlled by the tests. */
static uint64_t now_us, next_random;

static uint64_t fake_mono_us(void *arg __attribute__((unused)))
{
	return now_us;
}

static uint64_t fake_wall_ms(void *arg __attribute__((unused)))
{
	return 1700000000000ULL + now_us / US_PER_MS;
}

static uint64_t fake_random(void *arg __attribute__((unused)))
{
	return next_random++;
}

static const struct clk_ops fake_ops = { fake_mono_us, fake_wall_ms,
					 fake_random };
static const struct clk fake_clk = { &fake_ops, NULL };
static char path[32];
static struct tracer *traces;

static int setup(void **state)
{
	(void)state;
	now_us = 0;
	next_random = 1;
	strcpy(path, "/tmp/trc_XXXXXX");
	close(mkstemp(path));
	traces = tracer_create(path, "bookings \"3\"", 0, &fake_clk, NULL);
	return traces ? 0 : -1;
}

static int teardown(void **state)
{
	(void)state;
	tracer_destroy(traces);
	return unlink(path);
}

static size_t file_size(void)
{
	struct stat st;

	assert_int_equal(stat(path, &st), 0);
	return (size_t)st.st_size;
}

TEST_CASE(trace_is_continued_with_a_new_span)
{
	struct tracer_span first, second;
	char out[TRACER_TRACEPARENT_SIZE];

	tracer_start_span(traces, VALID, &first);
	assert_true(first.sampled);
	tracer_format_traceparent(&first, out);
	assert_int_equal(strlen(out), TRACER_TRACEPARENT_SIZE - 1);
	assert_memory_equal(out, "00-" TRACE "-", 36);
	assert_null(strstr(out, PARENT));
	tracer_start_span(traces, out, &second);
	assert_memory_equal(second.trace_id, first.trace_id, 16);
	assert_memory_equal(second.parent_id, first.span_id, 8);
}

TEST_CASE(malformed_traceparent_starts_a_trace)
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
	static const uint8_t zero[TRACER_SPAN_ID_BYTES];
	struct tracer_span span;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		char *copy = strdup(bad[i]);

		tracer_start_span(traces, copy, &span);
		free(copy);
		assert_false(span.sampled);
		assert_memory_equal(span.parent_id, zero, sizeof(zero));
		/* 0xf7 is the second byte of TRACE; generated ids are small. */
		assert_int_not_equal(span.trace_id[1], 0xf7);
	}
	tracer_start_span(traces, "01-" TRACE "-" PARENT "-01-more", &span);
	assert_true(span.sampled);
}

TEST_CASE(sampling_rate_applies_to_new_traces)
{
	struct err err = { 0 };
	struct tracer *all = tracer_create(NULL, "s", 1000000, &fake_clk, &err);
	struct tracer_span span;

	tracer_start_span(all, NULL, &span);
	assert_true(span.sampled);
	tracer_end_span(all, &span, "GET", "done", 200);
	tracer_destroy(all);
	tracer_start_span(traces, NULL, &span);
	assert_false(span.sampled);
}

/* Returns the only span of a line. */
static json_t *span_of(json_t *line)
{
	json_t *r = json_array_get(json_object_get(line, "resourceSpans"), 0);
	json_t *s = json_array_get(json_object_get(r, "scopeSpans"), 0);

	return json_array_get(json_object_get(s, "spans"), 0);
}

static void check_string(json_t *span, const char *field, const char *expected)
{
	assert_string_equal(json_string_value(json_object_get(span, field)),
			    expected);
}

TEST_CASE(span_is_written_as_otlp_line)
{
	struct tracer_span span;
	json_t *line;

	now_us = 1000;
	tracer_start_span(traces, VALID, &span);
	now_us = 3500;
	tracer_end_span(traces, &span, "fit\nsize", "unknown", 502);
	tracer_destroy(traces);
	traces = NULL;
	line = json_load_file(path, 0, NULL);
	assert_non_null(line);
	check_string(span_of(line), "traceId", TRACE);
	check_string(span_of(line), "parentSpanId", PARENT);
	check_string(span_of(line), "name", "fit\nsize");
	check_string(span_of(line), "startTimeUnixNano", "1700000000001000000");
	check_string(span_of(line), "endTimeUnixNano", "1700000000003500000");
	json_decref(line);
}

TEST_CASE(lines_are_written_in_batches)
{
	struct tracer_span span;
	size_t size = 0, writes = 0;

	tracer_start_span(traces, VALID, &span);
	while (writes < 3) {
		tracer_end_span(traces, &span, "a", "done", 200);
		if (file_size() == size)
			continue;
		assert_in_range(file_size() - size, BUFFER_BYTES / 2,
				BUFFER_BYTES);
		size = file_size();
		writes++;
	}
}

/* A span that is not sampled also flushes older lines. */
TEST_CASE(old_lines_are_flushed_by_the_next_span)
{
	struct tracer_span span;
	size_t size;

	tracer_start_span(traces, VALID, &span);
	tracer_end_span(traces, &span, "a", "done", 200);
	assert_int_equal(file_size(), 0);
	now_us += US_PER_S;
	span.sampled = false;
	tracer_end_span(traces, &span, "a", "done", 200);
	size = file_size();
	assert_true(size > 0);
	tracer_end_span(traces, &span, "a", "done", 200);
	assert_int_equal(file_size(), size);
}

TEST_CASE(file_that_cannot_be_opened_is_an_error)
{
	struct err err = { 0 };

	assert_null(tracer_create("/tmp/", "s", 0, &fake_clk, &err));
	assert_int_equal(err.layer, ERR_SYSTEM);
	assert_non_null(strstr(err.text, "/tmp/"));
}

int main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(trace_is_continued_with_a_new_span),
		TEST(malformed_traceparent_starts_a_trace),
		TEST(sampling_rate_applies_to_new_traces),
		TEST(span_is_written_as_otlp_line),
		TEST(lines_are_written_in_batches),
		TEST(old_lines_are_flushed_by_the_next_span),
		TEST(file_that_cannot_be_opened_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
