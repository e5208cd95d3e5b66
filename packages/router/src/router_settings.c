#include "router_settings.h"

#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "settings.h"
#include "tcpsock.h"
#include "settings_file.h"

#define ADDRESS_ALLOWED "an IPv4 address with a port, such as 10.0.0.1:80"
#define NAME_ALLOWED "a text that is not empty"
#define REGIONS_ALLOWED "the region of each data centre"
#define SERVICE_ALLOWED "a text without control characters"
#define DELETE 0x7f /* control character */
#define MS_MAX 3600000
#define SECONDS_MAX 3600
#define MEMORY_MAX_MB 1048576
#define FDS_MAX 16777216
#define LINK_MAX_MBIT_S 1e6
#define BYTES_PER_MBIT 125000
#define COLD_OVER_MAX 1000
#define COLD_SLACK_MAX 1e6
#define DEFAULT_COLD_FACTOR 1
#define DEFAULT_ANNOUNCE_MS 1000
#define DEFAULT_HOLD_MAX_MS 10000
#define DEFAULT_DRAIN_MS 2000
#define DEFAULT_GRACE_MS 6000
#define DEFAULT_EVACUATE_MS 5000

static const char *const levels[] = { "debug", "info", "warn", "error", NULL };

/* True for an IPv4 address with a port. */
static bool is_endpoint(const char *text)
{
	struct sockaddr_in a;

	return tcpsock_parse_address(text, &a);
}

static bool is_endpoint_or_empty(const char *text)
{
	return text[0] == '\0' || is_endpoint(text);
}

static bool is_not_empty(const char *text)
{
	return text[0] != '\0';
}

/* True for a text that can be the value of a header field. */
static bool is_field_value(const char *text)
{
	for (; *text; text++) {
		if ((unsigned char)*text < ' ' || *text == DELETE)
			return false;
	}
	return true;
}

/* Reads a name, of any length, as its identifier. */
static bool read_name(struct yml *y, const yaml_node_t *node, char *out)
{
	const char *name = yml_get_text(y, node, is_not_empty, NAME_ALLOWED);

	if (name)
		name_identify_text(out, name);
	return name != NULL;
}

static bool read_instance(struct yml *y, const yaml_node_t *node, void *out)
{
	return read_name(y, node, ((struct rsettings *)out)->instance);
}

static bool read_data_centre(struct yml *y, const yaml_node_t *node, void *out)
{
	return read_name(y, node, ((struct rsettings *)out)->data_centre);
}

/* Reads the service, whose name is sent to upstreams as it stands. */
static bool read_service(struct yml *y, const yaml_node_t *node, void *out)
{
	struct rsettings *s = out;
	const char *name =
		yml_get_text(y, node, is_field_value, SERVICE_ALLOWED);

	if (!name)
		return false;
	name_identify_text(s->service, name);
	s->service_name = strdup(name);
	return s->service_name || yml_fail(y, node, YML_UNREADABLE,
					   SERVICE_ALLOWED, "out of memory");
}

/* Reads the region of each data centre, names of any length. */
static bool read_regions(struct yml *y, const yaml_node_t *node, void *out)
{
	struct rsettings *s = out;
	const yaml_node_pair_t *p, *end;

	if (node->type != YAML_MAPPING_NODE)
		return yml_fail(y, node, YML_BAD_VALUE, REGIONS_ALLOWED,
				"not a mapping");
	p = node->data.mapping.pairs.start;
	end = node->data.mapping.pairs.top;
	s->regions = calloc((size_t)(end - p) + 1, sizeof(*s->regions));
	if (!s->regions)
		return yml_fail(y, node, YML_UNREADABLE, REGIONS_ALLOWED,
				"out of memory");
	for (; p < end; p++) {
		struct rsettings_region *r = &s->regions[s->region_count];

		if (!read_name(y, yaml_document_get_node(&y->doc, p->key),
			       r->data_centre) ||
		    !read_name(y, yaml_document_get_node(&y->doc, p->value),
			       r->region))
			return false;
		s->region_count++;
	}
	return true;
}

#define ENDPOINT(field)                                              \
	{                                                            \
		.name = #field, .type = YML_TEXT, .required = true,  \
		.offset = offsetof(struct rsettings, field),         \
		.size = RSETTINGS_ADDRESS_MAX, .valid = is_endpoint, \
		.allowed = ADDRESS_ALLOWED                           \
	}
#define OPTIONAL_ENDPOINT(field)                                              \
	{                                                                     \
		.name = #field, .type = YML_TEXT,                             \
		.offset = offsetof(struct rsettings, field),                  \
		.size = RSETTINGS_ADDRESS_MAX, .valid = is_endpoint_or_empty, \
		.allowed = ADDRESS_ALLOWED                                    \
	}
/* True for a decimal number from 0 to max, with or without a fraction. */
static bool is_number(const char *text, double max)
{
	char *end;
	double n = strtod(text, &end);

	return end != text && *end == '\0' && n >= 0 && n <= max;
}

static bool is_seconds(const char *text)
{
	return is_number(text, SECONDS_MAX);
}

static bool is_link_rate(const char *text)
{
	return is_number(text, LINK_MAX_MBIT_S);
}

static bool is_cold_over(const char *text)
{
	return is_number(text, COLD_OVER_MAX);
}

static bool is_cold_slack(const char *text)
{
	return is_number(text, COLD_SLACK_MAX);
}

#define NUMBER(field, low, high)                                           \
	{                                                                  \
		.name = #field, .type = YML_U32,                           \
		.offset = offsetof(struct rsettings, field), .min = (low), \
		.max = (high)                                              \
	}

static const struct yml_field fields[] = {
	{ .name = "instance",
	  .type = YML_CUSTOM,
	  .required = true,
	  .read = read_instance },
	{ .name = "data_centre",
	  .type = YML_CUSTOM,
	  .required = true,
	  .read = read_data_centre },
	{ .name = "service", .type = YML_CUSTOM, .read = read_service },
	ENDPOINT(caller_address),
	ENDPOINT(peer_address),
	ENDPOINT(ready_address),
	ENDPOINT(announce_address),
	OPTIONAL_ENDPOINT(metrics_address),
	ENDPOINT(upstream_address),
	ENDPOINT(platform_address),
	NUMBER(announce_ms, 10, MS_MAX),
	NUMBER(hold_max_ms, 100, MS_MAX),
	NUMBER(drain_ms, 0, MS_MAX),
	{ .name = "grace_s",
	  .type = YML_TEXT,
	  .offset = offsetof(struct rsettings, grace_s),
	  .size = RSETTINGS_NUMBER_MAX,
	  .valid = is_seconds,
	  .allowed = "0 to 3600 seconds, optionally with a fraction" },
	{ .name = "cold_over",
	  .type = YML_TEXT,
	  .offset = offsetof(struct rsettings, cold_over),
	  .size = RSETTINGS_NUMBER_MAX,
	  .valid = is_cold_over,
	  .allowed = "0 to 1000, optionally with a fraction" },
	{ .name = "cold_slack",
	  .type = YML_TEXT,
	  .offset = offsetof(struct rsettings, cold_slack),
	  .size = RSETTINGS_NUMBER_MAX,
	  .valid = is_cold_slack,
	  .allowed = "0 to 1000000, optionally with a fraction" },
	NUMBER(evacuate_ms, 100, MS_MAX),
	NUMBER(memory_mb, 0, MEMORY_MAX_MB),
	NUMBER(max_fds, 0, FDS_MAX),
	{ .name = "link_mbit_s",
	  .type = YML_TEXT,
	  .offset = offsetof(struct rsettings, link_mbit_s),
	  .size = RSETTINGS_NUMBER_MAX,
	  .valid = is_link_rate,
	  .allowed = "0 to 1000000 Mbit/s, optionally with a fraction" },
	{ .name = "regions", .type = YML_CUSTOM, .read = read_regions },
	{ .name = "log_level",
	  .type = YML_CHOICE,
	  .offset = offsetof(struct rsettings, log_level),
	  .choices = levels },
	{ 0 },
};

/*
 * Reads the settings from a text; name stands for the file in errors. Errors
 * are of the layer settings and name the file, line, field and allowed range.
 */
bool rsettings_parse(const char *name, const char *text, size_t len,
		     struct rsettings *s, struct err *err)
{
	struct yml y = { .name = name,
			 .layer = &settings_file_type,
			 .err = err };
	bool ok;

	memset(s, 0, sizeof(*s));
	s->announce_ms = DEFAULT_ANNOUNCE_MS;
	s->hold_max_ms = DEFAULT_HOLD_MAX_MS;
	s->drain_ms = DEFAULT_DRAIN_MS;
	s->grace_ms = DEFAULT_GRACE_MS;
	s->cold_factor = DEFAULT_COLD_FACTOR;
	s->evacuate_ms = DEFAULT_EVACUATE_MS;
	s->log_level = LOG_LEVEL_INFO;
	if (!yml_open(&y, text, len))
		return false;
	ok = yml_read_map(&y, yaml_document_get_root_node(&y.doc), fields, s);
	yml_close(&y);
	if (!ok)
		rsettings_free(s);
	if (ok && !s->service_name)
		s->service_name = strdup("");
	if (ok && s->grace_s[0])
		s->grace_ms = (uint32_t)(strtod(s->grace_s, NULL) * MS_PER_S);
	if (ok && s->cold_over[0])
		s->cold_factor = strtod(s->cold_over, NULL);
	if (ok && s->cold_slack[0])
		s->cold_extra = strtod(s->cold_slack, NULL);
	if (ok && s->link_mbit_s[0])
		s->link_bytes_s = (uint64_t)(strtod(s->link_mbit_s, NULL) *
					     BYTES_PER_MBIT);
	return ok;
}

/* Frees the texts of settings and clears them. */
void rsettings_free(struct rsettings *s)
{
	free(s->service_name);
	free(s->regions);
	memset(s, 0, sizeof(*s));
}

/* Finds the data centre among the few of a deployment. */
const char *rsettings_region(const struct rsettings *s, const char *data_centre)
{
	for (size_t i = 0; i < s->region_count; i++) {
		if (strcmp(s->regions[i].data_centre, data_centre) == 0)
			return s->regions[i].region;
	}
	return "";
}

/* Reads the settings from a file. Errors are as of rsettings_parse(). */
bool rsettings_load(const char *path, struct rsettings *s, struct err *err)
{
	size_t len;
	char *text = yml_read_file(path, &settings_file_type, &len, err);
	bool ok;

	if (!text)
		return false;
	ok = rsettings_parse(path, text, len, s, err);
	free(text);
	return ok;
}
