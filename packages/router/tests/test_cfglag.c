/*
 * Guards against a daemon behind a busy link that uses an old configuration for
 * seconds, against messages to daemons that do not lag behind, and against a
 * truncated or corrupted compressed text that is accepted as valid.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "clk.h"
#include "cfglag.h"
#include "noderpt.h"
#include "zip.h"

#define MS US_PER_MS
/* Maximum time from the acceptance of a version until it is in effect. */
#define APPLY_US (2000 * MS)
#define REPORT_US (500 * MS)
/* Time of a compressed message over a busy link, with decompression. */
#define MESSAGE_US (700 * MS)
#define ROUTES 1300

static void a_daemon_in_time_is_not_late(void **state)
{
	struct cfglag l = { 0 };

	(void)state;
	assert_false(cfglag_is_late(&l, 0, 10000 * MS));
	cfglag_add(&l, 7, 10000 * MS);
	assert_false(cfglag_is_late(&l, 7, 20000 * MS));
	assert_false(cfglag_is_late(&l, 4, 10500 * MS));
	assert_true(cfglag_is_late(&l, 4, 10700 * MS));
}

/*
 * Guards against a series of versions, each too new to count, that hides the
 * first missed one.
 */
static void a_series_of_versions_does_not_hide_the_lag(void **state)
{
	struct cfglag l = { 0 };
	uint64_t version = 10;

	(void)state;
	for (uint64_t now = 0; now < 10000 * MS; now += 200 * MS)
		cfglag_add(&l, version++, now);
	assert_true(cfglag_is_late(&l, version - 5, 10000 * MS));
	assert_false(cfglag_is_late(&l, version - 2, 10000 * MS));
	assert_true(cfglag_is_late(&l, 1, 10000 * MS));
}

/* Worst case: a report comes just before its daemon counts as late. */
static void a_late_daemon_gets_a_message_in_time(void **state)
{
	struct cfglag l = { 0 };
	uint64_t in_force = 100 * MS;
	uint64_t report = in_force;

	(void)state;
	cfglag_add(&l, 2, in_force);
	while (!cfglag_is_late(&l, 1, report))
		report += REPORT_US - 1;
	assert_true(report + MESSAGE_US <= APPLY_US);
}

static void a_report_contains_the_version(void **state)
{
	struct noderpt r = { .config_version = 4711, .slots = 6 };
	struct noderpt back;
	char *text = noderpt_format(&r);

	(void)state;
	assert_true(noderpt_parse(text, strlen(text), &back));
	assert_int_equal(back.config_version, 4711);
	assert_int_equal(back.slots, 6);
	free(text);
}

static void only_intact_compressed_text_is_accepted(void **state)
{
	size_t len = 0, packed_len, back_len;
	char *text = malloc(ROUTES * 100);
	char *packed, *back;

	(void)state;
	for (int i = 0; i < ROUTES; i++)
		len += (size_t)sprintf(text + len,
				       "{\"path\":\"/r%d/x\",\"to\":\"s\"}", i);
	packed = zip_compress(text, len, &packed_len);
	assert_non_null(packed);
	assert_true(packed_len < len / 3);
	assert_true(zip_is_compressed(packed, packed_len));
	assert_false(zip_is_compressed(text, len));
	back = zip_decompress(packed, packed_len, len, &back_len);
	assert_non_null(back);
	assert_int_equal(back_len, len);
	assert_string_equal(back, text);
	free(back);
	assert_null(zip_decompress(packed, packed_len / 2, len, &back_len));
	assert_null(zip_decompress(packed, packed_len, len - 1, &back_len));
	assert_null(zip_decompress(packed, 2, len, &back_len));
	assert_null(zip_decompress(text, len, len, &back_len));
	packed[packed_len / 2] ^= 0x55;
	assert_null(zip_decompress(packed, packed_len, len, &back_len));
	free(packed);
	free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_daemon_in_time_is_not_late),
		cmocka_unit_test(a_series_of_versions_does_not_hide_the_lag),
		cmocka_unit_test(a_late_daemon_gets_a_message_in_time),
		cmocka_unit_test(a_report_contains_the_version),
		cmocka_unit_test(only_intact_compressed_text_is_accepted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
