/*
 * Guards against invalid settings that are accepted, and against error messages
 * that lack the location of the error or the allowed values.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "settings.h"

#define VALID                                                      \
	"instance: 7\nname: bookings-3\ndata_centre: kingston-1\n" \
	"region: caribbean\naddress: 10.20.1.7\nhttp_port: 8080\n" \
	"peer_port: 8081\nadmin_port: 8082\n"                      \
	"platform: { address: 10.20.0.2, port: 7000 }\n"           \
	"seeds:\n- { address: 10.20.1.8, port: 8081 }\n"           \
	"- { address: \"fd20::9\", port: 8081 }\n"

STATELESS_TEST(valid_settings_get_defaults)
{
	struct err err = { 0 };
	struct settings set;

	assert_true(settings_parse("s", VALID, strlen(VALID), &set, &err));
	assert_int_equal(set.instance, 7);
	assert_string_equal(set.name, "bookings-3");
	assert_int_equal(set.platform.port, 7000);
	assert_int_equal(set.seed_count, 2);
	assert_string_equal(set.seeds[1].address, "fd20::9");
	assert_string_equal(set.chart_dir, "charts");
	assert_string_equal(set.trace_file, "");
	assert_int_equal(set.log_level, LOG_LEVEL_INFO);
	assert_int_equal(set.max_callers, 10000);
	assert_int_equal(set.max_body_bytes, 128 << 20);
	assert_true(settings_check(&set, "s", &err));
}

static const struct bad_input bad_settings[] = {
	{ VALID "colour: red\n", SETTINGS_UNKNOWN_FIELD, "s:13: colour: " },
	{ VALID "max_callers: 0\n", SETTINGS_BAD_VALUE,
	  "(allowed: 1 to 60000)" },
	{ VALID "max_callers: 60001\n", SETTINGS_BAD_VALUE,
	  "s:13: max_callers: " },
	{ VALID "max_callers: -1\n", SETTINGS_BAD_VALUE, "not a whole number" },
	{ VALID "max_callers: \"5\"\n", SETTINGS_BAD_VALUE,
	  "not a whole number" },
	{ VALID "max_callers: [5]\n", SETTINGS_BAD_VALUE,
	  "not a whole number" },
	{ VALID "max_callers: 99999999999999999999999\n", SETTINGS_BAD_VALUE,
	  "out of range" },
	{ VALID "log_level: loud\n", SETTINGS_BAD_VALUE,
	  "(allowed: debug, info, warn, error)" },
	{ VALID "chart_dir: \"\"\n", SETTINGS_BAD_VALUE, "chart_dir" },
	{ VALID "chart_dir: \"a\\0b\"\n", SETTINGS_BAD_VALUE, "not a text" },
	{ VALID "instance: 8\n", SETTINGS_BAD_VALUE, "repeated" },
	{ "instance: 1\n", SETTINGS_MISSING_FIELD, "s:1: name: " },
	{ "instance: 1\nname: a b\n", SETTINGS_BAD_VALUE, "s:2: name: " },
	{ "platform: { address: host, port: 1 }\n", SETTINGS_MISSING_FIELD,
	  "instance" },
	{ "instance: &a 1\nname: *a\n", SETTINGS_SYNTAX, "s:1:" },
	{ "instance: !!str 1\n", SETTINGS_SYNTAX, "tags" },
	{ "a: 1\n---\nb: 1\n", SETTINGS_SYNTAX, "one document" },
	{ "", SETTINGS_SYNTAX, "no document" },
	{ "instance: [", SETTINGS_SYNTAX, "s:2: " },
	{ "- 1\n", SETTINGS_BAD_VALUE, "not a mapping" },
	{ "[[[[[[[[[[[[[[[[[[[[[[[[1", SETTINGS_SYNTAX, "16 levels" },
};

STATELESS_TEST(bad_settings_are_rejected_with_location_and_range)
{
	for (size_t i = 0; i < sizeof(bad_settings) / sizeof(bad_settings[0]);
	     i++) {
		struct settings set = { .instance = 42 };
		struct err err = { 0 };

		assert_false(settings_parse("s", bad_settings[i].text,
					    strlen(bad_settings[i].text), &set,
					    &err));
		check_error(&err, ERR_SETTINGS, &bad_settings[i]);
		assert_int_equal(set.instance, 42);
	}
}

static const struct bad_input bad_flags[] = {
	{ "platform={ address: host, port: 1 }", SETTINGS_BAD_VALUE,
	  ":1: platform.address" },
	{ "platform.address=::", SETTINGS_BAD_VALUE, ":1: address" },
	{ "platform.port=0", SETTINGS_BAD_VALUE, ":1: port" },
	{ "platform.port=65536", SETTINGS_BAD_VALUE, "1 to 65535" },
	{ "platform={}", SETTINGS_MISSING_FIELD, ":1: platform.address" },
	{ "platform.host=a", SETTINGS_UNKNOWN_FIELD, ":1: platform.host" },
	{ "seeds=[{ port: 1 }]", SETTINGS_MISSING_FIELD, "seeds[0].address" },
	{ "http_port=", SETTINGS_SYNTAX, "no document" },
	{ "address=0.0.0.0", SETTINGS_BAD_VALUE, "not the wildcard" },
	{ "name", SETTINGS_SYNTAX, "field=value" },
};

STATELESS_TEST(bad_flag_names_the_field_and_changes_nothing)
{
	struct settings set = { .instance = 42 }, before = set;

	for (size_t i = 0; i < sizeof(bad_flags) / sizeof(bad_flags[0]); i++) {
		struct err err = { 0 };

		assert_false(settings_override(&set, bad_flags[i].text, &err));
		check_error(&err, ERR_SETTINGS, &bad_flags[i]);
		assert_memory_equal(&before, &set, sizeof(set));
	}
}

STATELESS_TEST(flags_replace_fields)
{
	struct err err = { 0 };
	struct settings set;

	assert_true(settings_parse("s", VALID, strlen(VALID), &set, &err));
	assert_true(settings_override(&set, "platform.port=7001", &err));
	assert_int_equal(set.platform.port, 7001);
	assert_true(settings_override(&set, "log_level=debug", &err));
	assert_int_equal(set.log_level, LOG_LEVEL_DEBUG);
	assert_true(settings_override(&set, "seeds=[]", &err));
	assert_int_equal(set.seed_count, 0);
}

STATELESS_TEST(equal_ports_are_rejected)
{
	struct err err = { 0 };
	struct settings set;

	assert_true(settings_parse("s", VALID, strlen(VALID), &set, &err));
	set.admin_port = set.http_port;
	assert_false(settings_check(&set, "s", &err));
	assert_non_null(strstr(err.text, "admin_port"));
}

STATELESS_TEST(file_is_read_or_named_in_the_error)
{
	char path[] = "/tmp/set_XXXXXX";
	int fd = mkstemp(path);
	struct err err = { 0 };
	struct settings set;

	assert_int_equal(write(fd, VALID, strlen(VALID)), strlen(VALID));
	close(fd);
	assert_true(settings_load(path, &set, &err));
	unlink(path);
	assert_false(settings_load(path, &set, &err));
	assert_int_equal(err.code, SETTINGS_UNREADABLE);
	assert_non_null(strstr(err.text, path));
	assert_false(settings_load("/tmp", &set, &err));
	assert_int_equal(err.code, SETTINGS_UNREADABLE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(valid_settings_get_defaults),
		cmocka_unit_test(
			bad_settings_are_rejected_with_location_and_range),
		cmocka_unit_test(bad_flag_names_the_field_and_changes_nothing),
		cmocka_unit_test(flags_replace_fields),
		cmocka_unit_test(equal_ports_are_rejected),
		cmocka_unit_test(file_is_read_or_named_in_the_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
