#include "crashes.h"

#include <string.h>

#include <jansson.h>
#include <xxhash.h>

/* Hashes lose their lowest bit, so that they fit in the integers of JSON. */
#define HASH_SHIFT 1
/* Members of an entry before its incarnations. */
#define ENTRY_MEMBERS 2

/* Hashes all parts one after the other, each with its length. */
uint64_t crashes_fingerprint(const char *method, const char *host,
			     size_t host_len, const char *target,
			     size_t target_len, const char *body,
			     size_t body_len)
{
	uint64_t h = XXH3_64bits(method, strlen(method));

	h = XXH3_64bits_withSeed(host_len ? host : "", host_len, h);
	h = XXH3_64bits_withSeed(target_len ? target : "", target_len, h);
	h = XXH3_64bits_withSeed(body_len ? body : "", body_len, h);
	return h >> HASH_SHIFT;
}

/* The attach number makes the hash that of one incarnation. */
uint64_t crashes_hash_incarnation(const struct incarnation *i)
{
	uint64_t h = XXH3_64bits_withSeed(i->id, strlen(i->id),
					  (uint64_t)i->start_unix_ms);

	return XXH3_64bits_withSeed(&i->attached, sizeof(i->attached), h) >>
	       HASH_SHIFT;
}

/* Returns the entry of a request, NULL if there is none. */
const struct crashes_entry *crashes_find(const struct crashes *c,
					 uint64_t fingerprint)
{
	for (size_t i = 0; i < c->count; i++) {
		if (c->entries[i].fingerprint == fingerprint)
			return &c->entries[i];
	}
	return NULL;
}

/* Returns the entry to replace: fewest ends, then the oldest one. */
static struct crashes_entry *find_victim(struct crashes *c)
{
	struct crashes_entry *v = &c->entries[0];

	for (size_t i = 1; i < c->count; i++) {
		struct crashes_entry *e = &c->entries[i];

		if (e->count < v->count ||
		    (e->count == v->count && e->last_ms < v->last_ms))
			v = e;
	}
	return v;
}

/* Returns a new entry without incarnations. */
static struct crashes_entry *add_entry(struct crashes *c, uint64_t fingerprint)
{
	struct crashes_entry *e = c->count < CRASHES_MAX ?
					  &c->entries[c->count++] :
					  find_victim(c);

	memset(e, 0, sizeof(*e));
	e->fingerprint = fingerprint;
	return e;
}

/*
 * Records that an incarnation has ended under a request; the same one counts
 * once. now_ms is the time of the table service.
 */
void crashes_add(struct crashes *c, uint64_t fingerprint, uint64_t ended,
		 uint64_t now_ms)
{
	struct crashes_entry *e =
		(struct crashes_entry *)crashes_find(c, fingerprint);

	if (!e)
		e = add_entry(c, fingerprint);
	for (uint32_t i = 0; i < e->count; i++) {
		if (e->ended[i] == ended)
			return;
	}
	if (e->count == CRASHES_LIMIT)
		return;
	e->ended[e->count++] = ended;
	e->last_ms = now_ms;
}

/* Adds all ends of another list. */
void crashes_merge(struct crashes *c, const struct crashes *from)
{
	for (size_t i = 0; i < from->count; i++) {
		const struct crashes_entry *e = &from->entries[i];

		for (uint32_t n = 0; n < e->count; n++)
			crashes_add(c, e->fingerprint, e->ended[n], e->last_ms);
	}
}

/* Removes the entry of a request; false if there is none. */
bool crashes_remove(struct crashes *c, uint64_t fingerprint)
{
	struct crashes_entry *e =
		(struct crashes_entry *)crashes_find(c, fingerprint);

	if (!e)
		return false;
	*e = c->entries[--c->count];
	return true;
}

/* Removes the entries whose last end is CRASHES_TTL_MS ago. */
void crashes_expire(struct crashes *c, uint64_t now_ms)
{
	for (size_t i = c->count; i-- > 0;) {
		struct crashes_entry *e = &c->entries[i];

		if (now_ms >= e->last_ms &&
		    now_ms - e->last_ms >= CRASHES_TTL_MS)
			*e = c->entries[--c->count];
	}
}

/* True if the request has crashed CRASHES_LIMIT upstreams. */
bool crashes_refuses(const struct crashes *c, uint64_t fingerprint)
{
	const struct crashes_entry *e = crashes_find(c, fingerprint);

	return e && e->count >= CRASHES_LIMIT;
}

/* Returns the list as JSON, which the caller frees. */
char *crashes_format(const struct crashes *c)
{
	json_t *list = json_array();
	char *text;

	for (size_t i = 0; i < c->count; i++) {
		const struct crashes_entry *e = &c->entries[i];
		json_t *item = json_pack("[I,I]", (json_int_t)e->fingerprint,
					 (json_int_t)e->last_ms);

		for (uint32_t n = 0; n < e->count; n++)
			json_array_append_new(
				item, json_integer((json_int_t)e->ended[n]));
		json_array_append_new(list, item);
	}
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return text;
}

/* Reads a number of an entry; false if it is not an integer of 0 or more. */
static bool read_number(const json_t *item, size_t i, uint64_t *out)
{
	const json_t *n = json_array_get(item, i);

	if (!json_is_integer(n) || json_integer_value(n) < 0)
		return false;
	*out = (uint64_t)json_integer_value(n);
	return true;
}

/* Parses one entry; false if it is invalid. */
static bool parse_entry(const json_t *item, struct crashes_entry *e)
{
	size_t count = json_array_size(item);

	memset(e, 0, sizeof(*e));
	if (count < ENTRY_MEMBERS || count > ENTRY_MEMBERS + CRASHES_LIMIT ||
	    !read_number(item, 0, &e->fingerprint) ||
	    !read_number(item, 1, &e->last_ms))
		return false;
	while (e->count < count - ENTRY_MEMBERS) {
		if (!read_number(item, ENTRY_MEMBERS + e->count,
				 &e->ended[e->count]))
			return false;
		e->count++;
	}
	return true;
}

/*
 * Parses a list. Invalid entries, and those beyond CRASHES_MAX, are left out;
 * returns false if it is no list at all.
 */
bool crashes_parse(const char *text, size_t len, struct crashes *c)
{
	json_t *list = json_loadb(text, len, 0, NULL);
	bool ok = json_is_array(list);
	json_t *item;
	size_t i;

	c->count = 0;
	json_array_foreach(list, i, item) {
		if (c->count < CRASHES_MAX &&
		    parse_entry(item, &c->entries[c->count]))
			c->count++;
	}
	json_decref(list);
	return ok;
}
