/*
 * Guards against names that are refused for their length or their characters,
 * and against two names with one identifier.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "name.h"

#define LONG_MAX_BYTES 3000
#define LARGE_SIZE 128

/* A short name that needs no hash must not change, as stored rows hold it. */
static void plain_names_are_their_own_identifiers(void **state)
{
	static const char *const names[] = {
		"",
		"s",
		"huvo11a",
		"s\xc3\xa9rvice",
		"a/b.c-d_e%20~\"\\",
		/* 63 bytes */
		"123456789012345678901234567890123456789012345678901234567890123",
	};
	char out[NAME_SIZE];

	(void)state;
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		name_identify_text(out, names[i]);
		assert_string_equal(out, names[i]);
		assert_false(name_is_hashed(out));
	}
}

/* Each length, and each difference at any place, has its own identifier. */
static void long_names_have_different_identifiers(void **state)
{
	static char name[LONG_MAX_BYTES];
	char out[NAME_SIZE], before[NAME_SIZE] = "", again[NAME_SIZE];

	(void)state;
	memset(name, 'n', sizeof(name));
	for (size_t len = NAME_SIZE; len < sizeof(name); len++) {
		name_identify(out, sizeof(out), name, len);
		assert_int_equal(strlen(out), NAME_SIZE - 1);
		assert_int_equal(memcmp(out, "nnnnnnnn", 8), 0);
		assert_string_not_equal(out, before);
		assert_true(name_is_hashed(out));
		name_identify_text(again, out);
		assert_string_equal(again, out);
		strcpy(before, out);
	}
	for (size_t i = 0; i < sizeof(name); i += 97) {
		name[i] = 'm';
		name_identify(out, sizeof(out), name, sizeof(name));
		assert_string_not_equal(out, before);
		strcpy(before, out);
	}
}

/* Rows are JSON and header fields end at a space or a line break. */
static void other_characters_are_hashed(void **state)
{
	static const struct {
		const char *name;
		size_t len;
	} names[] = {
		{ "two words", 9 },	 { "two_words", 9 },
		{ "line\r\nbreak", 11 }, { "nul\0behind", 10 },
		{ "nul\0before", 10 },	 { "\xff\xfe", 2 },
		{ "\xc3", 1 },		 { "\x7f", 1 },
	};
	char out[8][NAME_SIZE];

	(void)state;
	for (size_t i = 0; i < 8; i++) {
		name_identify(out[i], NAME_SIZE, names[i].name, names[i].len);
		assert_int_equal(name_is_hashed(out[i]), i != 1);
		for (const char *c = out[i]; *c; c++)
			assert_in_range(*c, '!', '~');
		for (size_t n = 0; n < i; n++)
			assert_string_not_equal(out[i], out[n]);
	}
}

/* A larger buffer keeps more of the name. */
static void size_of_the_identifier_may_be_larger(void **state)
{
	char name[LARGE_SIZE + 1], out[LARGE_SIZE];

	(void)state;
	memset(name, 'r', sizeof(name));
	name_identify(out, sizeof(out), name, LARGE_SIZE - 1);
	assert_int_equal(strspn(out, "r"), LARGE_SIZE - 1);
	name_identify(out, sizeof(out), name, LARGE_SIZE);
	assert_int_equal(strlen(out), LARGE_SIZE - 1);
	assert_int_equal(strspn(out, "r"), LARGE_SIZE - 1 - 33);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(plain_names_are_their_own_identifiers),
		cmocka_unit_test(long_names_have_different_identifiers),
		cmocka_unit_test(other_characters_are_hashed),
		cmocka_unit_test(size_of_the_identifier_may_be_larger),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
