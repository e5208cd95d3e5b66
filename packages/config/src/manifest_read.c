#include "manifest_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "yml.h"

#define VERSION_MAX INT64_MAX /* the largest integer that JSON libraries read */
#define PARTITIONS_MAX 1048576
#define DEADLINE_MAX_MS 600000
#define QUEUE_MAX 1024
#define DEFAULT_QUEUE 32
#define DEFAULT_TOLERANCE_PCT 25
#define DEFAULT_MOVES_PER_MINUTE 10
#define SHARES_MAX_PCT 100
#define METHOD_ALLOWED "GET, HEAD, POST, PUT, PATCH, DELETE"
#define KEY_ALLOWED "path, query:NAME, header:NAME; NAME 1 to 31 bytes"
#define PATH_ALLOWED "/ and segments of up to 127 bytes, {key} once"
#define CIDR_ALLOWED "ADDRESS/PREFIX, IPv4 or IPv6, no bits after the prefix"
#define KEY_SOURCE_MAX (sizeof("header:") + MANIFEST_NAME_MAX)
#define CIDR_TEXT_MAX 64

static const struct yml_file_type file_type = {
	.layer = ERR_MANIFEST,
	.codes = { [YML_UNREADABLE] = MANIFEST_UNREADABLE,
		   [YML_TOO_LARGE] = MANIFEST_TOO_LARGE,
		   [YML_SYNTAX] = MANIFEST_SYNTAX,
		   [YML_UNKNOWN_FIELD] = MANIFEST_UNKNOWN_FIELD,
		   [YML_MISSING_FIELD] = MANIFEST_MISSING_FIELD,
		   [YML_BAD_VALUE] = MANIFEST_BAD_VALUE,
		   [YML_DUPLICATE] = MANIFEST_DUPLICATE,
		   [YML_UNKNOWN_GROUP] = MANIFEST_UNKNOWN_GROUP },
	.bytes_max = MANIFEST_BYTES_MAX,
};

static const char *const weigh_names[] = { "unavailable_time", "churn", NULL };

static bool is_method(const char *text)
{
	static const char *const methods[] = { "GET", "HEAD",  "POST",
					       "PUT", "PATCH", "DELETE" };

	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
		if (strcmp(methods[i], text) == 0)
			return true;
	}
	return false;
}

static bool read_network(struct yml *y, const yaml_node_t *node, size_t i,
			 void *out)
{
	struct manifest_group *g = out;
	char text[CIDR_TEXT_MAX];
	const char *reason;

	if (!yml_read_text(y, node, text, sizeof(text), NULL, CIDR_ALLOWED))
		return false;
	reason = manifest_parse_network(text, &g->networks[i]);
	if (reason)
		return yml_fail(y, node, YML_BAD_VALUE, CIDR_ALLOWED, "%s",
				reason);
	g->network_count = (uint32_t)i + 1;
	return true;
}

static bool read_networks(struct yml *y, const yaml_node_t *node, void *out)
{
	return yml_read_list(y, node, 1, MANIFEST_NETWORKS_MAX, read_network,
			     out);
}

#define NAME(type_, field)                                                   \
	{                                                                    \
		.name = #field, .type = YML_TEXT, .required = true,          \
		.offset = offsetof(type_, field), .size = MANIFEST_NAME_MAX, \
		.valid = yml_is_name, .allowed = YML_NAME_ALLOWED            \
	}
#define NUMBER(type_, field, required_, low, high)                            \
	{                                                                     \
		.name = #field, .type = YML_U32, .required = (required_),     \
		.offset = offsetof(type_, field), .min = (low), .max = (high) \
	}
#define BOOLEAN(type_, field)                                       \
	{                                                           \
		.name = #field, .type = YML_BOOL, .required = true, \
		.offset = offsetof(type_, field)                    \
	}

static const struct yml_field group_fields[] = {
	NAME(struct manifest_group, name),
	{ .name = "networks",
	  .type = YML_CUSTOM,
	  .required = true,
	  .read = read_networks },
	{ 0 },
};

static bool read_group(struct yml *y, const yaml_node_t *node, size_t i,
		       void *out)
{
	struct manifest *m = out;

	if (!yml_read_map(y, node, group_fields, &m->groups[i]))
		return false;
	for (size_t j = 0; j < i; j++) {
		if (strcmp(m->groups[j].name, m->groups[i].name) == 0)
			return yml_fail_field(y, node, "name", YML_DUPLICATE,
					      "a name that is not in use",
					      "another group has this name");
	}
	m->group_count = i + 1;
	return true;
}

static bool read_groups(struct yml *y, const yaml_node_t *node, void *out)
{
	return yml_read_list(y, node, 0, MANIFEST_GROUPS_MAX, read_group, out);
}

/* Adds the group of this name to the bit set of the kind. */
static bool read_caller(struct yml *y, const yaml_node_t *node, size_t i,
			void *out)
{
	const struct manifest *m = y->arg;
	struct manifest_kind *k = out;
	char name[MANIFEST_NAME_MAX];

	(void)i;
	if (!yml_read_text(y, node, name, sizeof(name), yml_is_name,
			   YML_NAME_ALLOWED))
		return false;
	for (size_t g = 0; g < m->group_count; g++) {
		if (strcmp(m->groups[g].name, name) == 0) {
			k->groups |= 1u << g;
			return true;
		}
	}
	return yml_fail(y, node, YML_UNKNOWN_GROUP, "a name of callers",
			"no group has the name %s", name);
}

/*
 * An empty list is rejected: it looks as if no caller were admitted, but an
 * empty bit set admits all callers.
 */
static bool read_callers(struct yml *y, const yaml_node_t *node, void *out)
{
	return yml_read_list(y, node, 1, MANIFEST_GROUPS_MAX, read_caller, out);
}

/* Reads the source of the key. */
static bool read_key(struct yml *y, const yaml_node_t *node, void *out)
{
	struct manifest_kind *k = out;
	char text[KEY_SOURCE_MAX];
	const char *colon;

	if (!yml_read_text(y, node, text, sizeof(text), NULL, KEY_ALLOWED))
		return false;
	if (strcmp(text, "path") == 0)
		return true;
	colon = strchr(text, ':');
	if (strncmp(text, "query:", 6) == 0)
		k->key_source = MANIFEST_KEY_QUERY;
	else if (strncmp(text, "header:", 7) == 0)
		k->key_source = MANIFEST_KEY_HEADER;
	else
		return yml_fail(y, node, YML_BAD_VALUE, KEY_ALLOWED,
				"unknown key source");
	if (!yml_is_name(colon + 1) || strlen(colon + 1) >= MANIFEST_NAME_MAX)
		return yml_fail(y, node, YML_BAD_VALUE, KEY_ALLOWED,
				"invalid name");
	memset(k->key_name, 0, sizeof(k->key_name));
	memcpy(k->key_name, colon + 1, strlen(colon + 1));
	return true;
}

static const struct yml_field kind_fields[] = {
	NAME(struct manifest_kind, name),
	{ .name = "method",
	  .type = YML_TEXT,
	  .required = true,
	  .offset = offsetof(struct manifest_kind, method),
	  .size = sizeof(((struct manifest_kind *)0)->method),
	  .valid = is_method,
	  .allowed = METHOD_ALLOWED },
	{ .name = "path",
	  .type = YML_TEXT,
	  .required = true,
	  .offset = offsetof(struct manifest_kind, path),
	  .size = MANIFEST_PATTERN_MAX,
	  .allowed = PATH_ALLOWED },
	{ .name = "key", .type = YML_CUSTOM, .read = read_key },
	BOOLEAN(struct manifest_kind, idempotent),
	NUMBER(struct manifest_kind, deadline_ms, true, 1, DEADLINE_MAX_MS),
	NUMBER(struct manifest_kind, share_pct, false, 0, SHARES_MAX_PCT),
	NUMBER(struct manifest_kind, queue, false, 0, QUEUE_MAX),
	{ .name = "callers", .type = YML_CUSTOM, .read = read_callers },
	{ 0 },
};

/* Checks the pattern of a kind, and that it fits the source of the key. */
static bool check_pattern(struct yml *y, const yaml_node_t *node,
			  const struct manifest_kind *k,
			  struct manifest_rule *r)
{
	const char *reason = manifest_parse_pattern(k->path, r);
	bool has_key = r->key_segment != MANIFEST_NO_SEGMENT;

	if (!reason && k->key_source == MANIFEST_KEY_PATH && !has_key)
		reason = "{key} is missing";
	if (!reason && k->key_source != MANIFEST_KEY_PATH && has_key)
		reason = "{key} is in the path, but the key is read elsewhere";
	return !reason || yml_fail_field(y, node, "path", YML_BAD_VALUE,
					 PATH_ALLOWED, reason);
}

/* Compares hashes first, as most kinds differ in the first segment. */
static bool first_segments_differ(const struct manifest_rule *a,
				  const struct manifest_rule *b)
{
	return a->first_hash && b->first_hash && a->first_hash != b->first_hash;
}

/* Rejects a kind if a path could match both it and an earlier kind. */
static bool check_overlap(struct yml *y, const yaml_node_t *node,
			  const struct manifest_kind *k,
			  const struct manifest_rule *r)
{
	const struct manifest *m = y->arg;
	char reason[96];

	for (size_t i = 0; i < m->rule_count; i++) {
		const struct manifest_rule *o = &m->rules[i];
		const struct manifest_service *s = &m->services[o->service];
		const struct manifest_kind *other;

		if (first_segments_differ(o, r))
			continue;
		other = &s->kinds[o->kind];
		if (strcmp(other->method, k->method) != 0 ||
		    !manifest_patterns_overlap(k->path, r, other->path, o))
			continue;
		snprintf(reason, sizeof(reason), "%s %s of %s also matches",
			 other->name, other->method, s->name);
		return yml_fail_field(y, node, "path", YML_DUPLICATE,
				      "patterns that no path matches twice",
				      reason);
	}
	return true;
}

/* Returns space for one more rule, NULL if memory is exhausted. */
static struct manifest_rule *reserve_rule(struct manifest *m)
{
	if (m->rule_count == m->rule_capacity) {
		size_t max = m->rule_capacity ? 2 * m->rule_capacity :
						MANIFEST_KINDS_MAX;
		struct manifest_rule *rules =
			realloc(m->rules, max * sizeof(*rules));

		if (!rules)
			return NULL;
		m->rules = rules;
		m->rule_capacity = max;
	}
	return &m->rules[m->rule_count];
}

static bool read_kind(struct yml *y, const yaml_node_t *node, size_t i,
		      void *out)
{
	struct manifest_service *s = out;
	struct manifest_kind *k = &s->kinds[i];
	struct manifest *m = y->arg;
	struct manifest_rule *r;

	k->queue = DEFAULT_QUEUE;
	if (!yml_read_map(y, node, kind_fields, k))
		return false;
	for (size_t j = 0; j < i; j++) {
		if (strcmp(s->kinds[j].name, k->name) == 0)
			return yml_fail_field(y, node, "name", YML_DUPLICATE,
					      "a name that is not in use",
					      "another kind has this name");
	}
	r = reserve_rule(m);
	if (!r)
		return yml_fail(y, node, YML_UNREADABLE, "a smaller file",
				"memory is exhausted");
	if (!check_pattern(y, node, k, r) || !check_overlap(y, node, k, r))
		return false;
	r->service = (uint16_t)(s - m->services);
	r->kind = (uint16_t)i;
	m->rule_count++;
	s->kind_count = (uint32_t)i + 1;
	return true;
}

/* Reads the kinds of a service; their shares add up to at most 100 %. */
static bool read_kinds(struct yml *y, const yaml_node_t *node, void *out)
{
	struct manifest_service *s = out;
	size_t count = yml_count(node);
	uint32_t shares = 0;

	if (count >= 1 && count <= MANIFEST_KINDS_MAX) {
		s->kinds = calloc(count, sizeof(*s->kinds));
		if (!s->kinds)
			return yml_fail(y, node, YML_UNREADABLE,
					"a smaller file",
					"memory is exhausted");
	}
	if (!yml_read_list(y, node, 1, MANIFEST_KINDS_MAX, read_kind, s))
		return false;
	for (uint32_t i = 0; i < s->kind_count; i++)
		shares += s->kinds[i].share_pct;
	if (shares > SHARES_MAX_PCT)
		return yml_fail(y, node, YML_BAD_VALUE, "0 to 100 in all",
				"the shares add up to %u", shares);
	return true;
}

static const struct yml_field policy_fields[] = {
	{ .name = "weigh",
	  .type = YML_CHOICE,
	  .required = true,
	  .offset = offsetof(struct manifest_service, weigh),
	  .choices = weigh_names },
	NUMBER(struct manifest_service, imbalance_tolerance_pct, false, 0,
	       1000),
	NUMBER(struct manifest_service, moves_per_minute, false, 0, 10000),
	{ 0 },
};

static const struct yml_field service_fields[] = {
	{ .name = "id",
	  .type = YML_U16,
	  .required = true,
	  .offset = offsetof(struct manifest_service, id),
	  .min = 1,
	  .max = UINT16_MAX },
	NAME(struct manifest_service, name),
	NUMBER(struct manifest_service, partitions, true, 1, PARTITIONS_MAX),
	BOOLEAN(struct manifest_service, checks_fences),
	{ .name = "policy",
	  .type = YML_MAP,
	  .required = true,
	  .fields = policy_fields },
	{ .name = "kinds",
	  .type = YML_CUSTOM,
	  .required = true,
	  .read = read_kinds },
	{ 0 },
};

static bool read_service(struct yml *y, const yaml_node_t *node, size_t i,
			 void *out)
{
	struct manifest *m = out;
	struct manifest_service *s = &m->services[i];

	s->imbalance_tolerance_pct = DEFAULT_TOLERANCE_PCT;
	s->moves_per_minute = DEFAULT_MOVES_PER_MINUTE;
	if (!yml_read_map(y, node, service_fields, s))
		return false;
	for (size_t j = 0; j < i; j++) {
		if (m->services[j].id == s->id)
			return yml_fail_field(y, node, "id", YML_DUPLICATE,
					      "an id that is not in use",
					      "another service has this id");
		if (strcmp(m->services[j].name, s->name) == 0)
			return yml_fail_field(y, node, "name", YML_DUPLICATE,
					      "a name that is not in use",
					      "another service has this name");
	}
	m->service_count = i + 1;
	return true;
}

static bool read_services(struct yml *y, const yaml_node_t *node, void *out)
{
	return yml_read_list(y, node, 1, MANIFEST_SERVICES_MAX, read_service,
			     out);
}

/* callers is read before services, as services refer to its groups. */
static const struct yml_field manifest_fields[] = {
	{ .name = "format",
	  .type = YML_U32,
	  .required = true,
	  .offset = offsetof(struct manifest, format),
	  .min = MANIFEST_FORMAT,
	  .max = MANIFEST_FORMAT },
	{ .name = "version",
	  .type = YML_U64,
	  .required = true,
	  .offset = offsetof(struct manifest, version),
	  .min = 1,
	  .max = VERSION_MAX },
	{ .name = "callers", .type = YML_CUSTOM, .read = read_groups },
	{ .name = "services",
	  .type = YML_CUSTOM,
	  .required = true,
	  .read = read_services },
	{ 0 },
};

struct manifest *manifest_parse(const char *name, const char *text, size_t len,
				struct err *err)
{
	struct manifest *m = calloc(1, sizeof(*m));
	struct yml y = { .name = name,
			 .layer = &file_type,
			 .err = err,
			 .arg = m };
	bool ok = false;

	if (!m) {
		err_set(err, ERR_MANIFEST, MANIFEST_UNREADABLE,
			"%s:0: document: memory is exhausted", name);
		return NULL;
	}
	if (yml_open(&y, text, len)) {
		ok = yml_read_map(&y, yaml_document_get_root_node(&y.doc),
				  manifest_fields, m);
		yml_close(&y);
	}
	if (ok && !manifest_build_index(m))
		ok = err_set(err, ERR_MANIFEST, MANIFEST_UNREADABLE,
			     "%s:0: document: memory is exhausted", name);
	if (!ok) {
		manifest_destroy(m);
		return NULL;
	}
	return m;
}

struct manifest *manifest_load(const char *path, struct err *err)
{
	size_t len = 0;
	char *text = yml_read_file(path, &file_type, &len, err);
	struct manifest *m = text ? manifest_parse(path, text, len, err) : NULL;

	free(text);
	return m;
}
