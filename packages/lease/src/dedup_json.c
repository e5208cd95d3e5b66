#include "dedup_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define HEX_DIGITS "0123456789abcdef"

/* A parsed entry. Entries are added only after the whole text was checked. */
struct incoming {
	const char *id;
	uint64_t sent_ms;
	bool done;
	struct dedup_response response;
	uint8_t body[DEDUP_BODY_MAX];
};

/* Bodies may hold any bytes, which JSON strings cannot represent. */
static json_t *hex_string(const uint8_t *bytes, size_t len)
{
	char text[2 * DEDUP_BODY_MAX + 1];

	for (size_t i = 0; i < len; i++) {
		text[2 * i] = HEX_DIGITS[bytes[i] >> 4];
		text[2 * i + 1] = HEX_DIGITS[bytes[i] & 15];
	}
	return json_stringn(text, 2 * len);
}

static bool read_hex(const char *text, uint8_t *bytes, uint32_t *len)
{
	size_t n = strlen(text);

	if (n % 2 || n / 2 > DEDUP_BODY_MAX || strspn(text, HEX_DIGITS) != n)
		return false;
	for (size_t i = 0; i < n / 2; i++) {
		char pair[3] = { text[2 * i], text[2 * i + 1], 0 };

		bytes[i] = (uint8_t)strtoul(pair, NULL, 16);
	}
	*len = (uint32_t)(n / 2);
	return true;
}

/*
 * Writes a request that still runs without a result: it is unknown to the next
 * owner.
 */
static json_t *entry_json(const struct dedup_entry *e)
{
	json_t *j = json_object();

	if (json_object_set_new(j, "id", json_string(e->key.id)))
		goto fail;
	if (e->state != DEDUP_STATE_DONE)
		return j;
	if (json_object_set_new(j, "status",
				json_integer(e->response.status)) ||
	    json_object_set_new(j, "content_type",
				json_string(e->response.content_type)) ||
	    json_object_set_new(j, "cut", json_boolean(e->response.body_cut)) ||
	    json_object_set_new(
		    j, "body",
		    hex_string(e->response.body, e->response.body_len)))
		goto fail;
	return j;
fail:
	json_decref(j);
	return NULL;
}

/*
 * Exports a window. Entries first sent before the horizon may have been
 * removed, so the exported window is complete only since the later of its start
 * and the horizon.
 */
char *dedup_export(const struct dedup *d, uint64_t part)
{
	const struct dedup_window *w = dedup_window(d, part);
	json_t *root = json_object();
	json_t *list = json_array();
	uint64_t start;
	char *text = NULL;

	if (!w || json_object_set(root, "entries", list))
		goto out;
	start = w->start_ms > d->horizon_ms ? w->start_ms : d->horizon_ms;
	if (json_object_set_new(root, "start", json_integer((json_int_t)start)))
		goto out;
	for (const struct dedup_entry *e = d->entries; e; e = e->hh.next) {
		if (e->key.part == part &&
		    json_array_append_new(list, entry_json(e)))
			goto out;
	}
	text = json_dumps(root, JSON_COMPACT);
out:
	json_decref(list);
	json_decref(root);
	return text;
}

static bool fail(struct err *err, size_t i, const char *reason)
{
	return err_set(err, ERR_LEASE, DEDUP_BAD_WINDOW,
		       "duplicate window: entry %zu: %s", i, reason);
}

/* Parses one entry and checks each field. */
static bool read_entry(json_t *j, size_t i, struct incoming *in,
		       struct err *err)
{
	const char *type = NULL;
	const char *body = NULL;
	int cut = 0;

	memset(in, 0, sizeof(*in));
	if (json_unpack(j, "{s:s}", "id", &in->id) ||
	    !dedup_parse_id(in->id, &in->sent_ms))
		return fail(err, i, "id is missing or malformed");
	in->done = json_object_get(j, "status") != NULL;
	if (!in->done)
		return true;
	if (json_unpack(j, "{s:i,s:s,s:b,s:s}", "status", &in->response.status,
			"content_type", &type, "cut", &cut, "body", &body))
		return fail(
			err, i,
			"a field of the response is missing or has a wrong type");
	if (strlen(type) >= sizeof(in->response.content_type))
		return fail(err, i, "content_type is longer than 63 bytes");
	if (!read_hex(body, in->body, &in->response.body_len))
		return fail(err, i, "body is not hex of at most 4096 bytes");
	memcpy(in->response.content_type, type, strlen(type));
	in->response.body_cut = cut;
	in->response.body = in->body;
	return true;
}

/* Checks all entries before the table is changed. */
static bool check_entries(const struct dedup *d, uint64_t part, json_t *list,
			  struct err *err)
{
	struct incoming in;
	size_t added = 0;
	size_t i;
	json_t *j;

	json_array_foreach(list, i, j) {
		if (!read_entry(j, i, &in, err))
			return false;
		added += !dedup_find(d, part, in.id);
	}
	if (HASH_COUNT(d->entries) + added > d->max_entries)
		return fail(err, i, "the window does not fit into the table");
	return true;
}

/*
 * Adds the entries that are not in the table yet. Existing ones are kept,
 * because their requests may be running.
 */
static bool add_entries(struct dedup *d, uint64_t part, json_t *list,
			struct err *err)
{
	struct incoming in;
	size_t i;
	json_t *j;

	json_array_foreach(list, i, j) {
		struct dedup_entry *e;

		if (!read_entry(j, i, &in, err))
			return false;
		if (dedup_find(d, part, in.id))
			continue;
		e = dedup_add(d, part, in.id, in.sent_ms);
		if (!e)
			return fail(err, i, "out of memory");
		if (in.done && dedup_store(e, &in.response))
			e->state = DEDUP_STATE_DONE;
	}
	return true;
}

/*
 * Imports the window of a former owner. The start is replaced only after all
 * entries were added, so that a failed import does not widen the window.
 */
bool dedup_import(struct dedup *d, uint64_t part, const char *text,
		  struct err *err)
{
	json_error_t parse;
	json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &parse);
	json_t *list = json_object_get(root, "entries");
	json_t *start = json_object_get(root, "start");
	bool ok;

	if (!root)
		return err_set(err, ERR_LEASE, DEDUP_BAD_WINDOW,
			       "duplicate window: line %d: %s", parse.line,
			       parse.text);
	if (!json_is_array(list) || !json_is_integer(start) ||
	    json_integer_value(start) < 0)
		ok = err_set(
			err, ERR_LEASE, DEDUP_BAD_WINDOW,
			"duplicate window: start or entries is missing or invalid");
	else
		ok = check_entries(d, part, list, err) &&
		     add_entries(d, part, list, err);
	if (ok)
		dedup_set_start(d, part, (uint64_t)json_integer_value(start));
	json_decref(root);
	return ok;
}
