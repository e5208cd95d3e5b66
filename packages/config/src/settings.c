#include "settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings_file.h"

#define SETTINGS_BYTES_MAX 65536
#define ADDRESS_ALLOWED "an IPv4 or IPv6 address, not the wildcard"
#define PATH_ALLOWED "a path of 1 to 255 bytes"
#define PORT_MAX 65535
#define COMMAND_LINE "command line"
#define FIELD_NAME_MAX 64

#define BYTES_PER_MIB 1048576
#define DEFAULT_BODY_BYTES (128 * BYTES_PER_MIB)
#define BODY_BYTES_MAX 2147483648

const struct yml_file_type settings_file_type = {
	.layer = ERR_SETTINGS,
	.codes = { [YML_UNREADABLE] = SETTINGS_UNREADABLE,
		   [YML_TOO_LARGE] = SETTINGS_UNREADABLE,
		   [YML_SYNTAX] = SETTINGS_SYNTAX,
		   [YML_UNKNOWN_FIELD] = SETTINGS_UNKNOWN_FIELD,
		   [YML_MISSING_FIELD] = SETTINGS_MISSING_FIELD,
		   [YML_BAD_VALUE] = SETTINGS_BAD_VALUE,
		   [YML_DUPLICATE] = SETTINGS_BAD_VALUE,
		   [YML_UNKNOWN_GROUP] = SETTINGS_BAD_VALUE },
	.bytes_max = SETTINGS_BYTES_MAX,
};

static const char *const log_level_names[] = { "debug", "info", "warn", "error",
					       NULL };

/* The wildcard address is rejected, as others connect to this address. */
static bool is_host_address(const char *text)
{
	return yml_is_address(text) && strcmp(text, "0.0.0.0") != 0 &&
	       strcmp(text, "::") != 0;
}

static bool is_path(const char *text)
{
	return text[0] != '\0';
}

static bool is_path_or_empty(const char *text)
{
	(void)text;
	return true;
}

#define PORT(member, field)                                         \
	{                                                           \
		.name = (field), .type = YML_U16, .required = true, \
		.offset = (member), .min = 1, .max = PORT_MAX       \
	}
#define NUMBER(field, low, high)                                          \
	{                                                                 \
		.name = #field, .type = YML_U32,                          \
		.offset = offsetof(struct settings, field), .min = (low), \
		.max = (high)                                             \
	}
#define NAME(field)                                                 \
	{                                                           \
		.name = #field, .type = YML_TEXT, .required = true, \
		.offset = offsetof(struct settings, field),         \
		.size = SETTINGS_NAME_MAX, .valid = yml_is_name,    \
		.allowed = YML_NAME_ALLOWED                         \
	}
#define ADDRESS(member)                                                \
	{                                                              \
		.name = "address", .type = YML_TEXT, .required = true, \
		.offset = (member), .size = SETTINGS_ADDRESS_MAX,      \
		.valid = is_host_address, .allowed = ADDRESS_ALLOWED   \
	}

static const struct yml_field endpoint_fields[] = {
	ADDRESS(offsetof(struct settings_endpoint, address)),
	PORT(offsetof(struct settings_endpoint, port), "port"),
	{ 0 },
};

static bool read_seed(struct yml *y, const yaml_node_t *node, size_t i,
		      void *out)
{
	struct settings *set = out;

	return yml_read_map(y, node, endpoint_fields, &set->seeds[i]);
}

static bool read_seeds(struct yml *y, const yaml_node_t *node, void *out)
{
	struct settings *set = out;

	memset(set->seeds, 0, sizeof(set->seeds));
	set->seed_count = (uint32_t)yml_count(node);
	return yml_read_list(y, node, 0, SETTINGS_SEEDS_MAX, read_seed, set);
}

static const struct yml_field settings_fields[] = {
	{ .name = "instance",
	  .type = YML_U32,
	  .required = true,
	  .offset = offsetof(struct settings, instance),
	  .min = 1,
	  .max = UINT32_MAX },
	NAME(name),
	NAME(data_centre),
	NAME(region),
	ADDRESS(offsetof(struct settings, address)),
	PORT(offsetof(struct settings, http_port), "http_port"),
	PORT(offsetof(struct settings, peer_port), "peer_port"),
	PORT(offsetof(struct settings, admin_port), "admin_port"),
	{ .name = "platform",
	  .type = YML_MAP,
	  .required = true,
	  .offset = offsetof(struct settings, platform),
	  .fields = endpoint_fields },
	{ .name = "seeds", .type = YML_CUSTOM, .read = read_seeds },
	{ .name = "chart_dir",
	  .type = YML_TEXT,
	  .offset = offsetof(struct settings, chart_dir),
	  .size = SETTINGS_PATH_MAX,
	  .valid = is_path,
	  .allowed = PATH_ALLOWED },
	{ .name = "trace_file",
	  .type = YML_TEXT,
	  .offset = offsetof(struct settings, trace_file),
	  .size = SETTINGS_PATH_MAX,
	  .valid = is_path_or_empty,
	  .allowed = "a path of up to 255 bytes, \"\" for none" },
	NUMBER(trace_sample_per_million, 0, 1000000),
	{ .name = "log_level",
	  .type = YML_CHOICE,
	  .offset = offsetof(struct settings, log_level),
	  .choices = log_level_names },
	NUMBER(max_callers, 1, 60000),
	NUMBER(idle_timeout_ms, 100, 3600000),
	NUMBER(header_timeout_ms, 100, 60000),
	NUMBER(max_body_bytes, 1, BODY_BYTES_MAX),
	NUMBER(drain_timeout_ms, 100, 3600000),
	{ 0 },
};

/* Sets the defaults listed in docs/settings.md. */
static void settings_defaults(struct settings *set)
{
	memset(set, 0, sizeof(*set));
	strcpy(set->chart_dir, "charts");
	set->log_level = LOG_LEVEL_INFO;
	set->max_callers = 10000;
	set->idle_timeout_ms = 60000;
	set->header_timeout_ms = 5000;
	set->max_body_bytes = DEFAULT_BODY_BYTES;
	set->drain_timeout_ms = 60000;
}

bool settings_parse(const char *name, const char *text, size_t len,
		    struct settings *set, struct err *err)
{
	struct yml y = { .name = name,
			 .layer = &settings_file_type,
			 .err = err };
	struct settings parsed;
	bool ok;

	settings_defaults(&parsed);
	if (!yml_open(&y, text, len))
		return false;
	ok = yml_read_map(&y, yaml_document_get_root_node(&y.doc),
			  settings_fields, &parsed);
	yml_close(&y);
	if (ok)
		*set = parsed;
	return ok;
}

bool settings_load(const char *path, struct settings *set, struct err *err)
{
	size_t len = 0;
	char *text = yml_read_file(path, &settings_file_type, &len, err);
	bool ok = text && settings_parse(path, text, len, set, err);

	free(text);
	return ok;
}

/*
 * Finds a field by its dotted name, NULL if there is none. Adds the offset of
 * the struct that contains the field to *base.
 */
static const struct yml_field *find_field(const char *name, size_t len,
					  const struct yml_field *fields,
					  size_t *base)
{
	const char *dot = memchr(name, '.', len);
	size_t first = dot ? (size_t)(dot - name) : len;

	for (; fields->name; fields++) {
		if (strlen(fields->name) != first ||
		    memcmp(fields->name, name, first) != 0)
			continue;
		if (!dot)
			return fields;
		if (fields->type != YML_MAP)
			return NULL;
		*base += fields->offset;
		return find_field(dot + 1, len - first - 1, fields->fields,
				  base);
	}
	return NULL;
}

bool settings_override(struct settings *set, const char *assignment,
		       struct err *err)
{
	struct yml y = { .name = COMMAND_LINE,
			 .layer = &settings_file_type,
			 .err = err };
	const char *equals = strchr(assignment, '=');
	size_t len = equals ? (size_t)(equals - assignment) : 0;
	struct settings parsed = *set;
	const struct yml_field *f;
	size_t base = 0;
	bool ok;

	if (len == 0)
		return err_set(err, ERR_SETTINGS, SETTINGS_SYNTAX,
			       "%s:1: %.40s: no value (allowed: field=value)",
			       COMMAND_LINE, assignment);
	f = find_field(assignment, len, settings_fields, &base);
	if (!f)
		return err_set(
			err, ERR_SETTINGS, SETTINGS_UNKNOWN_FIELD,
			"%s:1: %.*s: unknown field (allowed: a field of "
			"docs/settings.md)",
			COMMAND_LINE,
			(int)(len < FIELD_NAME_MAX ? len : FIELD_NAME_MAX),
			assignment);
	if (!yml_open(&y, equals + 1, strlen(equals + 1)))
		return false;
	ok = yml_read_field(&y, yaml_document_get_root_node(&y.doc), f,
			    (char *)&parsed + base);
	yml_close(&y);
	if (ok)
		*set = parsed;
	return ok;
}

bool settings_check(const struct settings *set, const char *name,
		    struct err *err)
{
	const char *field = NULL;
	uint16_t platform = set->platform.port;

	if (set->peer_port == set->http_port)
		field = "peer_port";
	else if (set->admin_port == set->http_port ||
		 set->admin_port == set->peer_port)
		field = "admin_port";
	else if (strcmp(set->platform.address, set->address) == 0 &&
		 (platform == set->http_port || platform == set->peer_port ||
		  platform == set->admin_port))
		field = "platform.port";
	if (!field)
		return true;
	return err_set(err, ERR_SETTINGS, SETTINGS_BAD_VALUE,
		       "%s:0: %s: another port setting has the same number "
		       "(allowed: different ports on one address)",
		       name, field);
}
