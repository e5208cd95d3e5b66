#include "row.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Decimal digits of a 64-bit number with the closing NUL. */
#define U64_TEXT_MAX 21

/* The fence of a version is twice the version and one more, in 64 bits. */
#define VERSION_MAX (UINT64_MAX / 2)

static const char *const state_names[] = { "up", "draining", "gone" };
#define STATE_COUNT (sizeof(state_names) / sizeof(state_names[0]))

/* Puts the service above PART_SERVICE_SHIFT and the partition below. */
uint64_t part_id(uint16_t service, uint32_t partition)
{
	return (uint64_t)service << PART_SERVICE_SHIFT | partition;
}

/* Returns the service of a partition. */
uint16_t part_service(uint64_t part)
{
	return (uint16_t)(part >> PART_SERVICE_SHIFT);
}

/* Returns the index of a partition within its service. */
uint32_t part_index(uint64_t part)
{
	return (uint32_t)part;
}

/* Returns the fence that the owner of the set sends with. */
uint64_t row_fence(const struct row_set *set)
{
	return set->version * 2;
}

/* Returns the fence that is reserved for the successor of the set. */
uint64_t row_successor_fence(const struct row_set *set)
{
	return set->version * 2 + 1;
}

/* Two processes of the same instance differ in their incarnations. */
bool proc_equal(const struct proc *a, const struct proc *b)
{
	return a->instance == b->instance && a->incarnation == b->incarnation;
}

/* No process (incarnation 0) is in no set, also where a witness is missing. */
bool row_set_has(const struct row_set *set, const struct proc *p)
{
	if (!p->incarnation)
		return false;
	if (proc_equal(&set->owner, p))
		return true;
	for (size_t i = 0; i < ROW_WITNESSES; i++) {
		if (proc_equal(&set->witness[i], p))
			return true;
	}
	return false;
}

/* True if neither the owner nor the successor of a set can act. */
static bool is_set_over(const struct row_set *set, row_ended_fn ended,
			const void *arg)
{
	return ended(arg, &set->owner) &&
	       ended(arg, &set->witness[ROW_SUCCESSOR]);
}

/* Looks at the set in force and at the earlier ones. */
bool row_is_over(const struct row *row, row_ended_fn ended, const void *arg)
{
	if (!is_set_over(&row->set, ended, arg))
		return false;
	for (uint32_t i = 0; i < row->prev_count; i++) {
		if (!is_set_over(&row->prev[i], ended, arg))
			return false;
	}
	return true;
}

/* Writes the key of an assignment row. */
void row_key(uint64_t part, char out[ROW_KEY_MAX])
{
	snprintf(out, ROW_KEY_MAX, "row/%u/%" PRIu32, part_service(part),
		 part_index(part));
}

/* Writes the key of a member row. */
void member_key(uint32_t instance, char out[ROW_KEY_MAX])
{
	snprintf(out, ROW_KEY_MAX, "member/%" PRIu32, instance);
}

/* JSON readers keep only 53 bits of a number, so 64 bits are a string. */
static json_t *encode_u64(uint64_t value)
{
	char text[U64_TEXT_MAX];

	snprintf(text, sizeof(text), "%" PRIu64, value);
	return json_string(text);
}

static json_t *encode_proc(const struct proc *p)
{
	return json_pack("[I,o]", (json_int_t)p->instance,
			 encode_u64(p->incarnation));
}

static json_t *encode_set(const struct row_set *set)
{
	return json_pack(
		"{s:o,s:o,s:[o,o]}", "version", encode_u64(set->version),
		"owner", encode_proc(&set->owner), "witness",
		encode_proc(&set->witness[0]), encode_proc(&set->witness[1]));
}

static json_t *encode_prev(const struct row *row)
{
	json_t *list = json_array();

	for (uint32_t i = 0; list && i < row->prev_count; i++) {
		if (json_array_append_new(list, encode_set(&row->prev[i]))) {
			json_decref(list);
			return NULL;
		}
	}
	return list;
}

static char *dump(json_t *root)
{
	char *text;

	if (!root)
		return NULL;
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Encodes an assignment row as one JSON object without spaces. */
char *row_encode(const struct row *row)
{
	return dump(json_pack("{s:i,s:I,s:o,s:o,s:o}", "service",
			      (int)part_service(row->part), "partition",
			      (json_int_t)part_index(row->part), "set",
			      encode_set(&row->set), "prev", encode_prev(row),
			      "writer", encode_proc(&row->writer)));
}

/* Encodes a member as one JSON object without spaces. */
char *member_encode(const struct member *m)
{
	if ((size_t)m->state >= STATE_COUNT)
		return NULL;
	return dump(json_pack(
		"{s:o,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:s}", "proc",
		encode_proc(&m->proc), "name", m->name, "data_centre",
		m->data_centre, "region", m->region, "address", m->address,
		"http_port", (int)m->http_port, "peer_port", (int)m->peer_port,
		"admin_port", (int)m->admin_port, "service", (int)m->service,
		"slots", (int)m->slots, "state", state_names[m->state]));
}

static bool bad_field(struct err *err, const char *field, const char *why)
{
	err_set(err, ERR_ROWS, ROW_BAD_FIELD, "field %s %s", field, why);
	return false;
}

static bool parse_u64(const char *text, uint64_t *out)
{
	char *end;

	/* strtoull() accepts spaces and signs, which this system never writes. */
	if (*text < '0' || *text > '9')
		return false;
	errno = 0;
	*out = strtoull(text, &end, 10);
	return !errno && !*end;
}

/* Reads a number or a string of decimal digits, from min to max. */
static bool read_u64(const json_t *value, const char *field, uint64_t min,
		     uint64_t max, uint64_t *out, struct err *err)
{
	if (json_is_integer(value)) {
		if (json_integer_value(value) < 0)
			return bad_field(err, field, "is negative");
		*out = (uint64_t)json_integer_value(value);
	} else if (!json_is_string(value) ||
		   !parse_u64(json_string_value(value), out)) {
		return bad_field(err, field, "is not a number");
	}
	if (*out < min || *out > max)
		return bad_field(err, field, "is out of range");
	return true;
}

static bool read_u16(const json_t *root, const char *field, uint16_t max,
		     uint16_t *out, struct err *err)
{
	uint64_t value;

	if (!read_u64(json_object_get(root, field), field, 0, max, &value, err))
		return false;
	*out = (uint16_t)value;
	return true;
}

/* A proc is [instance, "incarnation"]; elements after these are ignored. */
static bool read_proc(const json_t *value, const char *field, bool required,
		      struct proc *p, struct err *err)
{
	uint64_t instance;

	if (!json_is_array(value) || json_array_size(value) < 2)
		return bad_field(err, field, "is not a process");
	if (!read_u64(json_array_get(value, 0), field, 0, UINT32_MAX, &instance,
		      err) ||
	    !read_u64(json_array_get(value, 1), field, required ? 1 : 0,
		      UINT64_MAX, &p->incarnation, err))
		return false;
	p->instance = (uint32_t)instance;
	return true;
}

static bool read_set(const json_t *value, const char *field,
		     struct row_set *set, struct err *err)
{
	const json_t *witness = json_object_get(value, "witness");

	if (!json_is_object(value))
		return bad_field(err, field, "is not a set");
	if (json_array_size(witness) != ROW_WITNESSES)
		return bad_field(err, "witness", "is not a list of two");
	if (!read_u64(json_object_get(value, "version"), "version", 1,
		      VERSION_MAX, &set->version, err) ||
	    !read_proc(json_object_get(value, "owner"), "owner", true,
		       &set->owner, err))
		return false;
	for (size_t i = 0; i < ROW_WITNESSES; i++) {
		if (!read_proc(json_array_get(witness, i), "witness", false,
			       &set->witness[i], err))
			return false;
	}
	return true;
}

static bool read_prev(const json_t *list, struct row *row, struct err *err)
{
	if (!json_is_array(list) || json_array_size(list) > ROW_PREV_MAX)
		return bad_field(err, "prev", "is not a list of at most four");
	row->prev_count = (uint32_t)json_array_size(list);
	for (uint32_t i = 0; i < row->prev_count; i++) {
		if (!read_set(json_array_get(list, i), "prev", &row->prev[i],
			      err))
			return false;
		if (row->prev[i].version >= row->set.version)
			return bad_field(err, "prev", "is not an older set");
	}
	return true;
}

static bool read_row(const json_t *root, struct row *row, struct err *err)
{
	uint64_t service;
	uint64_t partition;

	if (!read_u64(json_object_get(root, "service"), "service", 1,
		      UINT16_MAX, &service, err) ||
	    !read_u64(json_object_get(root, "partition"), "partition", 0,
		      UINT32_MAX, &partition, err))
		return false;
	row->part = part_id((uint16_t)service, (uint32_t)partition);
	return read_set(json_object_get(root, "set"), "set", &row->set, err) &&
	       read_prev(json_object_get(root, "prev"), row, err) &&
	       read_proc(json_object_get(root, "writer"), "writer", false,
			 &row->writer, err);
}

static json_t *parse_object(const char *text, struct err *err)
{
	json_error_t why;
	json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &why);

	if (!root && json_error_code(&why) == json_error_out_of_memory) {
		err_set(err, ERR_ROWS, ROW_NO_MEMORY, "no memory for a row");
	} else if (!root) {
		err_set(err, ERR_ROWS, ROW_BAD_JSON, "line %d column %d: %s",
			why.line, why.column, why.text);
	} else if (!json_is_object(root)) {
		json_decref(root);
		root = NULL;
		err_set(err, ERR_ROWS, ROW_BAD_JSON, "not a JSON object");
	}
	return root;
}

/* Decodes an assignment row; *row is written only on success. */
bool row_decode(const char *text, struct row *row, struct err *err)
{
	json_t *root = parse_object(text, err);
	struct row read = { 0 };
	bool ok;

	if (!root)
		return false;
	ok = read_row(root, &read, err);
	json_decref(root);
	if (ok)
		*row = read;
	return ok;
}

static bool read_text(const json_t *root, const char *field, char *out,
		      size_t size, struct err *err)
{
	const json_t *value = json_object_get(root, field);
	size_t len = json_string_length(value);

	if (!json_is_string(value))
		return bad_field(err, field, "is not a text");
	if (len >= size)
		return bad_field(err, field, "is too long");
	memcpy(out, json_string_value(value), len + 1);
	return true;
}

static bool read_address(const json_t *root, char *out, struct err *err)
{
	unsigned char binary[sizeof(struct in6_addr)];

	if (!read_text(root, "address", out, MEMBER_ADDRESS_MAX, err))
		return false;
	if (inet_pton(AF_INET, out, binary) != 1 &&
	    inet_pton(AF_INET6, out, binary) != 1)
		return bad_field(err, "address", "is not an IP address");
	return true;
}

static bool read_state(const json_t *root, enum member_state *state,
		       struct err *err)
{
	const char *name = json_string_value(json_object_get(root, "state"));

	for (size_t i = 0; name && i < STATE_COUNT; i++) {
		if (!strcmp(name, state_names[i])) {
			*state = (enum member_state)i;
			return true;
		}
	}
	return bad_field(err, "state", "is not one of up, draining and gone");
}

static bool read_member(const json_t *root, struct member *m, struct err *err)
{
	return read_proc(json_object_get(root, "proc"), "proc", true, &m->proc,
			 err) &&
	       read_text(root, "name", m->name, sizeof(m->name), err) &&
	       read_text(root, "data_centre", m->data_centre,
			 sizeof(m->data_centre), err) &&
	       read_text(root, "region", m->region, sizeof(m->region), err) &&
	       read_address(root, m->address, err) &&
	       read_u16(root, "http_port", UINT16_MAX, &m->http_port, err) &&
	       read_u16(root, "peer_port", UINT16_MAX, &m->peer_port, err) &&
	       read_u16(root, "admin_port", UINT16_MAX, &m->admin_port, err) &&
	       read_u16(root, "service", UINT16_MAX, &m->service, err) &&
	       read_u16(root, "slots", MEMBER_SLOTS_MAX, &m->slots, err) &&
	       read_state(root, &m->state, err);
}

/* Decodes a member; *m is written only on success. */
bool member_decode(const char *text, struct member *m, struct err *err)
{
	json_t *root = parse_object(text, err);
	struct member read = { 0 };
	bool ok;

	if (!root)
		return false;
	ok = read_member(root, &read, err);
	json_decref(root);
	if (ok)
		*m = read;
	return ok;
}
