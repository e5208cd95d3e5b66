#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define INDENT 2

static void print_value(const json_t *value);

/* Prints a process as instance/incarnation; false for other objects. */
static bool print_process(const json_t *value)
{
	const json_t *incarnation = json_object_get(value, "incarnation");

	if (!incarnation)
		return false;
	printf("%" JSON_INTEGER_FORMAT "/%s",
	       json_integer_value(json_object_get(value, "instance")),
	       json_string_value(incarnation));
	return true;
}

static void print_pairs(const json_t *object)
{
	const char *key;
	json_t *value;
	bool first = true;

	json_object_foreach((json_t *)object, key, value) {
		printf("%s%s=", first ? "" : " ", key);
		print_value(value);
		first = false;
	}
}

static void print_list(const json_t *list)
{
	json_t *value;
	size_t i;

	json_array_foreach((json_t *)list, i, value) {
		if (i)
			putchar(',');
		print_value(value);
	}
}

static void print_value(const json_t *value)
{
	if (json_is_string(value))
		fputs(json_string_value(value), stdout);
	else if (json_is_integer(value))
		printf("%" JSON_INTEGER_FORMAT, json_integer_value(value));
	else if (json_is_real(value))
		printf("%.3f", json_real_value(value));
	else if (json_is_array(value))
		print_list(value);
	else if (json_is_object(value) && !print_process(value))
		print_pairs(value);
	else if (json_is_boolean(value))
		fputs(json_is_true(value) ? "yes" : "no", stdout);
	else if (json_is_null(value))
		fputs("none", stdout);
}

void ctl_print(const struct ctl *c, const json_t *value)
{
	const char *key;
	json_t *item;
	size_t i;

	if (c->json) {
		json_dumpf(value, stdout, JSON_INDENT(INDENT));
		putchar('\n');
	} else if (json_is_array(value)) {
		json_array_foreach((json_t *)value, i, item) {
			print_value(item);
			putchar('\n');
		}
	} else {
		json_object_foreach((json_t *)value, key, item) {
			printf("%-14s ", key);
			print_value(item);
			putchar('\n');
		}
	}
}
