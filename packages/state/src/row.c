#include "row.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of a 64-bit number in decimal with the terminating NUL. */
#define U64_TEXT_MAX 21

/* The highest fence of a version, 2 * version + 1, must fit in 64 bits. */
#define VERSION_MAX (UINT64_MAX / 2)

static const char *const state_names[] = { "up", "draining", "gone" };
#define STATE_COUNT (sizeof(state_names) / sizeof(state_names[0]))

/* Returns the id of a partition: service in the upper 32 bits, index below. */
uint64_t part_id(uint16_t service, uint32_t partition)
{
	return (uint64_t)service << PART_SERVICE_SHIFT | partition;
}

/* Returns the service of a partition id. */
uint16_t part_service(uint64_t part)
{
	return (uint16_t)(part >> PART_SERVICE_SHIFT);
}

/* Returns the index of a partition within its service. */
uint32_t part_index(uint64_t part)
{
	return (uint32_t)part;
}

/* Returns the fence of the owner. */
uint64_t row_fence(const struct row_set *set)
{
	return set->version * 2;
}

/* Returns the fence of the successor, which is higher than the owner's. */
uint64_t row_successor_fence(const struct row_set *set)
{
	return set->version * 2 + 1;
}

/* Compares instance and incarnation, as a restart changes only the latter. */
bool proc_equal(const struct proc *a, const struct proc *b)
{
	return a->instance == b->instance && a->incarnation == b->incarnation;
}

/*
 * Incarnation 0, no process, is never found, although it stands for a missing
 * witness in the set.
 */
bool row_set_has(const struct row_set *set, const struct proc *proc)
{
	if (!proc->incarnation)
		return false;
	if (proc_equal(&set->owner, proc))
		return true;
	for (size_t i = 0; i < ROW_WITNESSES; i++) {
		if (proc_equal(&set->witness[i], proc))
			return true;
	}
	return false;
}

/* True if the owner and the successor of a set have ended. */
static bool set_has_ended(const struct row_set *set, row_ended_fn ended,
			  const void *arg)
{
	return ended(arg, &set->owner) &&
	       ended(arg, &set->witness[ROW_SUCCESSOR]);
}

/* Checks the current set and the earlier ones. */
bool row_is_inactive(const struct row *row, row_ended_fn ended, const void *arg)
{
	if (!set_has_ended(&row->set, ended, arg))
		return false;
	for (uint32_t i = 0; i < row->prev_count; i++) {
		if (!set_has_ended(&row->prev[i], ended, arg))
			return false;
	}
	return true;
}

/* Writes the key of an assignment row: row/<service>/<partition>. */
void row_key(uint64_t part, char out[ROW_KEY_MAX])
{
	snprintf(out, ROW_KEY_MAX, "row/%u/%" PRIu32, part_service(part),
		 part_index(part));
}

/* Writes the key of a member row: member/<instance>. */
void member_key(uint32_t instance, char out[ROW_KEY_MAX])
{
	snprintf(out, ROW_KEY_MAX, "member/%" PRIu32, instance);
}

/* Encodes as a string, as many JSON parsers keep only 53 bits of a number. */
static json_t *encode_u64(uint64_t value)
{
	char text[U64_TEXT_MAX];

	snprintf(text, sizeof(text), "%" PRIu64, value);
	return json_string(text);
}

static json_t *encode_proc(const struct proc *proc)
{
	return json_pack("[I,o]", (json_int_t)proc->instance,
			 encode_u64(proc->incarnation));
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

static char *dump_and_free(json_t *root)
{
	char *text;

	if (!root)
		return NULL;
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Encodes an assignment row as a compact JSON object. */
char *row_encode(const struct row *row)
{
	return dump_and_free(json_pack(
		"{s:i,s:I,s:o,s:o,s:o}", "service",
		(int)part_service(row->part), "partition",
		(json_int_t)part_index(row->part), "set", encode_set(&row->set),
		"prev", encode_prev(row), "writer", encode_proc(&row->writer)));
}

/* Encodes a member as a compact JSON object. */
char *member_encode(const struct member *member)
{
	if ((size_t)member->state >= STATE_COUNT)
		return NULL;
	return dump_and_free(json_pack(
		"{s:o,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:s}", "proc",
		encode_proc(&member->proc), "name", member->name, "data_centre",
		member->data_centre, "region", member->region, "address",
		member->address, "http_port", (int)member->http_port,
		"peer_port", (int)member->peer_port, "admin_port",
		(int)member->admin_port, "service", (int)member->service,
		"slots", (int)member->slots, "state",
		state_names[member->state]));
}

static bool set_field_error(struct err *err, const char *field,
			    const char *error)
{
	err_set(err, ERR_ROWS, ROW_BAD_FIELD, "field %s %s", field, error);
	return false;
}

static bool parse_u64(const char *text, uint64_t *out)
{
	char *end;

	/* Rejects leading spaces and signs, which strtoull() would accept. */
	if (*text < '0' || *text > '9')
		return false;
	errno = 0;
	*out = strtoull(text, &end, 10);
	return !errno && !*end;
}

/* Reads an integer or a string of decimal digits, from min to max. */
static bool read_u64(const json_t *value, const char *field, uint64_t min,
		     uint64_t max, uint64_t *out, struct err *err)
{
	if (json_is_integer(value)) {
		if (json_integer_value(value) < 0)
			return set_field_error(err, field, "is negative");
		*out = (uint64_t)json_integer_value(value);
	} else if (!json_is_string(value) ||
		   !parse_u64(json_string_value(value), out)) {
		return set_field_error(err, field, "is not a number");
	}
	if (*out < min || *out > max)
		return set_field_error(err, field, "is out of range");
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

/* Reads [instance, "incarnation"]; further elements are ignored. */
static bool read_proc(const json_t *value, const char *field, bool required,
		      struct proc *proc, struct err *err)
{
	uint64_t instance;

	if (!json_is_array(value) || json_array_size(value) < 2)
		return set_field_error(
			err, field,
			"is not an array of instance and incarnation");
	if (!read_u64(json_array_get(value, 0), field, 0, UINT32_MAX, &instance,
		      err) ||
	    !read_u64(json_array_get(value, 1), field, required ? 1 : 0,
		      UINT64_MAX, &proc->incarnation, err))
		return false;
	proc->instance = (uint32_t)instance;
	return true;
}

static bool read_set(const json_t *value, const char *field,
		     struct row_set *set, struct err *err)
{
	const json_t *witness = json_object_get(value, "witness");

	if (!json_is_object(value))
		return set_field_error(err, field, "is not a set object");
	if (json_array_size(witness) != ROW_WITNESSES)
		return set_field_error(err, "witness",
				       "is not an array of two");
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
		return set_field_error(err, "prev",
				       "is not an array of at most four");
	row->prev_count = (uint32_t)json_array_size(list);
	for (uint32_t i = 0; i < row->prev_count; i++) {
		if (!read_set(json_array_get(list, i), "prev", &row->prev[i],
			      err))
			return false;
		if (row->prev[i].version >= row->set.version)
			return set_field_error(err, "prev",
					       "has a set that is not older");
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
	json_error_t error;
	json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &error);

	if (!root && json_error_code(&error) == json_error_out_of_memory) {
		err_set(err, ERR_ROWS, ROW_NO_MEMORY,
			"out of memory for a row");
	} else if (!root) {
		err_set(err, ERR_ROWS, ROW_BAD_JSON, "line %d column %d: %s",
			error.line, error.column, error.text);
	} else if (!json_is_object(root)) {
		json_decref(root);
		root = NULL;
		err_set(err, ERR_ROWS, ROW_BAD_JSON,
			"value is not a JSON object");
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
		return set_field_error(err, field, "is not a string");
	if (len >= size)
		return set_field_error(err, field, "is too long");
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
		return set_field_error(err, "address", "is not an IP address");
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
	return set_field_error(err, "state",
			       "is not one of up, draining and gone");
}

static bool read_member(const json_t *root, struct member *member,
			struct err *err)
{
	return read_proc(json_object_get(root, "proc"), "proc", true,
			 &member->proc, err) &&
	       read_text(root, "name", member->name, sizeof(member->name),
			 err) &&
	       read_text(root, "data_centre", member->data_centre,
			 sizeof(member->data_centre), err) &&
	       read_text(root, "region", member->region, sizeof(member->region),
			 err) &&
	       read_address(root, member->address, err) &&
	       read_u16(root, "http_port", UINT16_MAX, &member->http_port,
			err) &&
	       read_u16(root, "peer_port", UINT16_MAX, &member->peer_port,
			err) &&
	       read_u16(root, "admin_port", UINT16_MAX, &member->admin_port,
			err) &&
	       read_u16(root, "service", UINT16_MAX, &member->service, err) &&
	       read_u16(root, "slots", MEMBER_SLOTS_MAX, &member->slots, err) &&
	       read_state(root, &member->state, err);
}

/* Decodes a member; *m is written only on success. */
bool member_decode(const char *text, struct member *member, struct err *err)
{
	json_t *root = parse_object(text, err);
	struct member read = { 0 };
	bool ok;

	if (!root)
		return false;
	ok = read_member(root, &read, err);
	json_decref(root);
	if (ok)
		*member = read;
	return ok;
}
