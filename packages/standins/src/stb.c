#include "stb.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

struct entry {
	struct stb_row row; /* first, so that a row leads to its entry */
	char *key;
	char *value;
	struct entry *prev; /* in the order of the last writes */
	struct entry *next;
	UT_hash_handle hh;
};

struct object {
	char *name;
	void *body;
	size_t len;
	UT_hash_handle hh;
};

struct stb {
	struct entry *by_key;
	struct entry *by_seq;
	struct object *objects;
	uint64_t seq;
};

/* Makes an empty table. */
struct stb *stb_create(void)
{
	return calloc(1, sizeof(struct stb));
}

/* Frees the rows. */
static void free_rows(struct entry *e)
{
	while (e) {
		struct entry *next = e->next;

		free(e->key);
		free(e->value);
		free(e);
		e = next;
	}
}

/* Frees the rows and objects; their links outlive the hash tables. */
void stb_destroy(struct stb *t)
{
	struct object *o = t->objects;

	HASH_CLEAR(hh, t->by_key);
	HASH_CLEAR(hh, t->objects);
	free_rows(t->by_seq);
	while (o) {
		struct object *next = o->hh.next;

		free(o->name);
		free(o->body);
		free(o);
		o = next;
	}
	free(t);
}

/* Finds the entry of a key. */
static struct entry *find(const struct stb *t, const char *key)
{
	struct entry *e;

	HASH_FIND_STR(t->by_key, key, e);
	return e;
}

/* Finds a row by its key. */
const struct stb_row *stb_get(const struct stb *t, const char *key)
{
	struct entry *e = find(t, key);

	return e ? &e->row : NULL;
}

/* Adds an entry without a value. */
static struct entry *add(struct stb *t, const char *key)
{
	struct entry *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->key = strdup(key);
	if (!e->key) {
		free(e);
		return NULL;
	}
	e->row.key = e->key;
	HASH_ADD_KEYPTR(hh, t->by_key, e->key, strlen(e->key), e);
	DL_APPEND(t->by_seq, e);
	return e;
}

/* Checks the condition, then gives the row the next version and number. */
enum stb_result stb_put(struct stb *t, const char *key, uint64_t expect,
			const char *value)
{
	struct entry *e = find(t, key);
	char *copy;

	if (expect != STB_ANY_VERSION && expect != (e ? e->row.version : 0))
		return STB_CONFLICT;
	copy = strdup(value);
	if (copy && !e)
		e = add(t, key);
	if (!copy || !e) {
		free(copy);
		return STB_NO_MEMORY;
	}
	free(e->value);
	e->value = copy;
	e->row.value = copy;
	e->row.version++;
	e->row.seq = ++t->seq;
	DL_DELETE(t->by_seq, e);
	DL_APPEND(t->by_seq, e);
	return STB_WRITTEN;
}

/* Walks back from the latest write, since pollers ask for the latest ones. */
const struct stb_row *stb_next(const struct stb *t, uint64_t seq,
			       const struct stb_row *previous)
{
	const struct entry *e = (const struct entry *)previous;

	if (e)
		return e->next ? &e->next->row : NULL;
	if (!t->by_seq || t->seq <= seq)
		return NULL;
	e = t->by_seq->prev;
	while (e != t->by_seq && e->prev->row.seq > seq)
		e = e->prev;
	return &e->row;
}

/* Returns the number of the last write. */
uint64_t stb_seq(const struct stb *t)
{
	return t->seq;
}

/* Counts the rows. */
size_t stb_rows(const struct stb *t)
{
	return HASH_COUNT(t->by_key);
}

/* Stores an object in place of an older one of the name. */
bool stb_put_object(struct stb *t, const char *name, void *body, size_t len)
{
	struct object *o;

	HASH_FIND_STR(t->objects, name, o);
	if (!o) {
		o = calloc(1, sizeof(*o));
		if (!o)
			return false;
		o->name = strdup(name);
		if (!o->name) {
			free(o);
			return false;
		}
		HASH_ADD_KEYPTR(hh, t->objects, o->name, strlen(o->name), o);
	}
	free(o->body);
	o->body = body;
	o->len = len;
	return true;
}

/* Finds an object by its name. */
bool stb_get_object(const struct stb *t, const char *name,
		    struct stb_object *out)
{
	struct object *o;

	HASH_FIND_STR(t->objects, name, o);
	if (!o)
		return false;
	out->body = o->body;
	out->len = o->len;
	return true;
}
