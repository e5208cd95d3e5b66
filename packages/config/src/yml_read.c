#include "yml.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIELDS_MAX 32
#define ALLOWED_MAX 160
#define DIGITS_MAX 20

/* Appends a field to the path; returns the old length for path_truncate(). */
static size_t path_append_field(struct yml *y, const char *field)
{
	size_t n = strlen(y->path);

	snprintf(y->path + n, sizeof(y->path) - n, "%s%s", n ? "." : "", field);
	return n;
}

/* Appends a list index to the path; returns the old length. */
static size_t path_append_index(struct yml *y, size_t i)
{
	size_t n = strlen(y->path);

	snprintf(y->path + n, sizeof(y->path) - n, "[%zu]", i);
	return n;
}

static void path_truncate(struct yml *y, size_t n)
{
	y->path[n] = '\0';
}

/* Returns the string of a scalar, NULL for other nodes or embedded NULs. */
static const char *scalar_string(const yaml_node_t *node)
{
	const char *s;

	if (!node || node->type != YAML_SCALAR_NODE)
		return NULL;
	s = (const char *)node->data.scalar.value;
	return strlen(s) == node->data.scalar.length ? s : NULL;
}

/* Returns the string of an unquoted scalar, NULL for other nodes. */
static const char *plain_string(const yaml_node_t *node)
{
	const char *s = scalar_string(node);

	return s && node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE ? s :
									 NULL;
}

/* Returns the value of a field, or the mapping itself if it is absent. */
static const yaml_node_t *find_value(struct yml *y, const yaml_node_t *map,
				     const char *field)
{
	const yaml_node_pair_t *p = map->data.mapping.pairs.start;

	for (; p < map->data.mapping.pairs.top; p++) {
		const char *key =
			scalar_string(yaml_document_get_node(&y->doc, p->key));

		if (key && strcmp(key, field) == 0)
			return yaml_document_get_node(&y->doc, p->value);
	}
	return map;
}

bool yml_fail_field(struct yml *y, const yaml_node_t *map, const char *field,
		    enum yml_error error, const char *allowed,
		    const char *reason)
{
	size_t n = path_append_field(y, field);

	yml_fail(y, find_value(y, map, field), error, allowed, "%s", reason);
	path_truncate(y, n);
	return false;
}

/* Reads an unsigned decimal number and checks its range. */
static bool read_number(const struct yml *y, const yaml_node_t *node,
			uint64_t min, uint64_t max, uint64_t *out)
{
	const char *s = plain_string(node);
	char allowed[64];
	unsigned __int128 v = 0;
	size_t n = s ? strspn(s, "0123456789") : 0;

	snprintf(allowed, sizeof(allowed), "%" PRIu64 " to %" PRIu64, min, max);
	if (n == 0 || s[n] != '\0')
		return yml_fail(y, node, YML_BAD_VALUE, allowed,
				"not a whole number");
	for (size_t i = 0; i < n && n <= DIGITS_MAX; i++)
		v = v * 10 + (unsigned)(s[i] - '0');
	if (n > DIGITS_MAX || v < min || v > max)
		return yml_fail(y, node, YML_BAD_VALUE, allowed,
				"%.24s out of range", s);
	*out = (uint64_t)v;
	return true;
}

/* Returns the string of a node, NULL and an error for null and no scalar. */
static const char *get_string(const struct yml *y, const yaml_node_t *node,
			      const char *allowed)
{
	const char *s = scalar_string(node);

	if (s && (!plain_string(node) ||
		  (*s && strcmp(s, "~") != 0 && strcmp(s, "null") != 0)))
		return s;
	yml_fail(y, node, YML_BAD_VALUE, allowed, "not a text");
	return NULL;
}

const char *yml_get_text(const struct yml *y, const yaml_node_t *node,
			 bool (*valid)(const char *), const char *allowed)
{
	const char *s = get_string(y, node, allowed);

	if (!s || !valid || valid(s))
		return s;
	yml_fail(y, node, YML_BAD_VALUE, allowed, "\"%.48s\" refused", s);
	return NULL;
}

bool yml_read_text(const struct yml *y, const yaml_node_t *node, char *out,
		   size_t size, bool (*valid)(const char *),
		   const char *allowed)
{
	const char *s = get_string(y, node, allowed);
	size_t n;

	if (!s)
		return false;
	n = strlen(s);
	if (n >= size)
		return yml_fail(y, node, YML_BAD_VALUE, allowed,
				"longer than %zu bytes", size - 1);
	if (valid && !valid(s))
		return yml_fail(y, node, YML_BAD_VALUE, allowed,
				"\"%.48s\" refused", s);
	memset(out, 0, size);
	memcpy(out, s, n);
	return true;
}

static bool read_bool(const struct yml *y, const yaml_node_t *node, bool *out)
{
	const char *s = plain_string(node);

	if (!s || (strcmp(s, "true") != 0 && strcmp(s, "false") != 0))
		return yml_fail(y, node, YML_BAD_VALUE, "true, false",
				"not a boolean");
	*out = s[0] == 't';
	return true;
}

/* Appends a name to a comma-separated list of allowed names. */
static void append_name(char *out, size_t size, const char *name)
{
	size_t n = strlen(out);

	snprintf(out + n, size - n, "%s%s", n ? ", " : "", name);
}

/* Reads the name of an enum value. */
static bool read_choice(const struct yml *y, const yaml_node_t *node,
			const char *const *choices, unsigned int *out)
{
	char allowed[ALLOWED_MAX] = "";
	const char *s = scalar_string(node);

	for (unsigned int i = 0; choices[i]; i++) {
		if (s && strcmp(choices[i], s) == 0) {
			*out = i;
			return true;
		}
		append_name(allowed, sizeof(allowed), choices[i]);
	}
	return yml_fail(y, node, YML_BAD_VALUE, allowed,
			"unknown value \"%.32s\"", s ? s : "");
}

bool yml_read_field(struct yml *y, const yaml_node_t *node,
		    const struct yml_field *f, void *out)
{
	char *dest = (char *)out + f->offset;
	size_t n = path_append_field(y, f->name);
	uint64_t v = 0;
	bool ok = false;

	switch (f->type) {
	case YML_U16:
	case YML_U32:
	case YML_U64:
		ok = read_number(y, node, f->min, f->max, &v);
		if (ok && f->type == YML_U16)
			*(uint16_t *)(void *)dest = (uint16_t)v;
		else if (ok && f->type == YML_U32)
			*(uint32_t *)(void *)dest = (uint32_t)v;
		else if (ok)
			*(uint64_t *)(void *)dest = v;
		break;
	case YML_BOOL:
		ok = read_bool(y, node, (bool *)dest);
		break;
	case YML_TEXT:
		ok = yml_read_text(y, node, dest, f->size, f->valid,
				   f->allowed);
		break;
	case YML_CHOICE:
		ok = read_choice(y, node, f->choices,
				 (unsigned int *)(void *)dest);
		break;
	case YML_MAP:
		ok = yml_read_map(y, node, f->fields, dest);
		break;
	case YML_CUSTOM:
		ok = f->read(y, node, out);
		break;
	}
	path_truncate(y, n);
	return ok;
}

/* Reports a field that is not in the table. */
static bool fail_unknown(struct yml *y, const yaml_node_t *key,
			 const struct yml_field *fields)
{
	char allowed[ALLOWED_MAX] = "";
	const char *s = scalar_string(key);
	char shown[40];
	size_t n;

	for (size_t i = 0; fields[i].name; i++)
		append_name(allowed, sizeof(allowed), fields[i].name);
	snprintf(shown, sizeof(shown), "%.39s", s ? s : "(not a name)");
	n = path_append_field(y, shown);
	yml_fail(y, key, YML_UNKNOWN_FIELD, allowed, "unknown field");
	path_truncate(y, n);
	return false;
}

/* Stores the value of each field; unknown or repeated fields are errors. */
static bool collect_values(struct yml *y, const yaml_node_t *map,
			   const struct yml_field *fields,
			   const yaml_node_t **values)
{
	const yaml_node_pair_t *p = map->data.mapping.pairs.start;

	for (; p < map->data.mapping.pairs.top; p++) {
		const yaml_node_t *key =
			yaml_document_get_node(&y->doc, p->key);
		const char *s = scalar_string(key);
		size_t i = 0;

		while (fields[i].name && (!s || strcmp(fields[i].name, s) != 0))
			i++;
		if (!fields[i].name)
			return fail_unknown(y, key, fields);
		if (values[i]) {
			path_append_field(y, fields[i].name);
			return yml_fail(y, key, YML_DUPLICATE, "once",
					"the field is repeated");
		}
		values[i] = yaml_document_get_node(&y->doc, p->value);
	}
	return true;
}

bool yml_read_map(struct yml *y, const yaml_node_t *node,
		  const struct yml_field *fields, void *out)
{
	const yaml_node_t *values[FIELDS_MAX] = { 0 };

	if (!node || node->type != YAML_MAPPING_NODE)
		return yml_fail(y, node, YML_BAD_VALUE, "fields with values",
				"not a mapping");
	if (!collect_values(y, node, fields, values))
		return false;
	for (size_t i = 0; fields[i].name; i++) {
		if (!values[i] && fields[i].required) {
			path_append_field(y, fields[i].name);
			return yml_fail(y, node, YML_MISSING_FIELD, "a value",
					"the field is missing");
		}
		if (values[i] && !yml_read_field(y, values[i], &fields[i], out))
			return false;
	}
	return true;
}

size_t yml_count(const yaml_node_t *node)
{
	if (!node || node->type != YAML_SEQUENCE_NODE)
		return 0;
	return (size_t)(node->data.sequence.items.top -
			node->data.sequence.items.start);
}

bool yml_read_list(struct yml *y, const yaml_node_t *node, size_t min,
		   size_t max, yml_item_fn fn, void *out)
{
	size_t count = yml_count(node);
	char allowed[48];

	snprintf(allowed, sizeof(allowed), "a list of %zu to %zu items", min,
		 max);
	if (!node || node->type != YAML_SEQUENCE_NODE)
		return yml_fail(y, node, YML_BAD_VALUE, allowed, "not a list");
	if (count < min || count > max)
		return yml_fail(y, node, YML_BAD_VALUE, allowed, "%zu items",
				count);
	for (size_t i = 0; i < count; i++) {
		int id = node->data.sequence.items.start[i];
		size_t n = path_append_index(y, i);

		if (!fn(y, yaml_document_get_node(&y->doc, id), i, out))
			return false;
		path_truncate(y, n);
	}
	return true;
}

bool yml_is_name(const char *text)
{
	size_t n = strspn(text, "abcdefghijklmnopqrstuvwxyz"
				"ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");

	return n > 0 && text[n] == '\0';
}

bool yml_is_address(const char *text)
{
	struct in6_addr a;

	return inet_pton(AF_INET, text, &a) == 1 ||
	       inet_pton(AF_INET6, text, &a) == 1;
}
