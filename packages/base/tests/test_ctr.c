/*
 * Tests that counters are valid in the text exposition format, that a short
 * buffer is not overrun, and that quantiles stay within their error bound.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "ctr.h"

/* Declares a test function that does not use the group state. */
#define TEST_CASE(name) static void name(void **state __attribute__((unused)))

#define SEED 20261204u
#define VALUES 20000
#define PARTS \
	(1u << HISTOGRAM_SUB_BITS) /* the relative error is below 1/PARTS */

static uint32_t next_random(uint64_t *s)
{
	*s = *s * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(*s >> 33);
}

/* Buffers of the servers of metrics, in packages daemon and router. */
#define SERVED_BYTES 32768

TEST_CASE(counters_are_written_with_help_and_type)
{
	char text[SERVED_BYTES];
	size_t len;

	ctr_reset();
	ctr_add(CTR_REQUESTS, 2);
	ctr_add(CTR_REQUESTS, 3);
	assert_int_equal(ctr_get(CTR_REQUESTS), 5);
	len = ctr_write(text, sizeof(text));
	assert_true(len < sizeof(text));
	assert_int_equal(strlen(text), len);
	assert_non_null(strstr(text, "# TYPE geraniumspoke_requests_total "
				     "counter\ngeraniumspoke_requests_total "
				     "5\n"));
	ctr_set(CTR_REQUESTS, 1);
	assert_int_equal(ctr_get(CTR_REQUESTS), 1);
	ctr_reset();
	assert_int_equal(ctr_get(CTR_REQUESTS), 0);
}

TEST_CASE(short_buffer_truncates_the_text)
{
	size_t whole = ctr_write(NULL, 0);

	for (size_t size = 1; size <= whole + 1; size += 7) {
		char *buf = malloc(size);

		assert_int_equal(ctr_write(buf, size), whole);
		assert_true(strlen(buf) < size);
		free(buf);
	}
}

static int compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Checks the quantile of every value, and so every bucket in use. */
TEST_CASE(quantiles_are_within_the_error_bound)
{
	static uint64_t values[VALUES];
	static struct histogram h;
	uint64_t s = SEED;

	print_message("seed %u\n", SEED);
	for (int i = 0; i < VALUES; i++) {
		uint32_t value = next_random(&s);

		values[i] = value >> next_random(&s) % 31;
		histogram_add(&h, values[i]);
	}
	qsort(values, VALUES, sizeof(values[0]), compare);
	for (int i = 0; i < VALUES; i++) {
		/* The middle of the rank, so that rounding cannot change it. */
		uint64_t got = histogram_quantile(&h, (i + 0.5) / VALUES);

		assert_true(got >= values[i]);
		assert_true((got - values[i]) * PARTS <
			    (values[i] ? values[i] : 1));
	}
	assert_int_equal(histogram_quantile(&h, 1.0), values[VALUES - 1]);
}

TEST_CASE(empty_histogram_and_overflow_are_handled)
{
	static struct histogram h;

	memset(&h, 0, sizeof(h));
	assert_int_equal(histogram_quantile(&h, 0.5), 0);
	histogram_add(&h, UINT64_MAX);
	assert_true(histogram_quantile(&h, 0.5) == HISTOGRAM_MAX_US);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(counters_are_written_with_help_and_type),
		cmocka_unit_test(short_buffer_truncates_the_text),
		cmocka_unit_test(quantiles_are_within_the_error_bound),
		cmocka_unit_test(empty_histogram_and_overflow_are_handled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
