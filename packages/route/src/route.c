#include "route.h"

#include <stdlib.h>
#include <uthash.h>

/*
 * Only partitions that are served by another process than the owner in the row
 * have an entry, so there are few except after the loss of a data centre.
 */
#define CACHE_ENTRIES_MAX 65536

/* The process that was last seen to serve a partition. */
struct cache_entry {
	uint64_t part;
	uint64_t version;
	struct proc proc;
	UT_hash_handle hh;
};

struct route_cache {
	const struct table_replica *table_replica;
	struct cache_entry *entries;
};

/* The replica must outlive the result. Returns NULL without memory. */
struct route_cache *
route_cache_create(const struct table_replica *table_replica)
{
	struct route_cache *r = calloc(1, sizeof(*r));

	if (r)
		r->table_replica = table_replica;
	return r;
}

static void remove_entry(struct route_cache *r, struct cache_entry *s)
{
	HASH_DEL(r->entries, s);
	free(s);
}

/* r may be NULL. */
void route_cache_destroy(struct route_cache *r)
{
	struct cache_entry *s, *next;

	if (!r)
		return;
	s = r->entries;
	HASH_CLEAR(hh, r->entries);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
	free(r);
}

static struct cache_entry *find(const struct route_cache *r, uint64_t part)
{
	struct cache_entry *s = NULL;

	HASH_FIND(hh, r->entries, &part, sizeof(part), s);
	return s;
}

/* Returns NULL when the cache is full or memory is exhausted. */
static struct cache_entry *add(struct route_cache *r, uint64_t part)
{
	struct cache_entry *s;

	if (HASH_COUNT(r->entries) >= CACHE_ENTRIES_MAX)
		return NULL;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->part = part;
	HASH_ADD(hh, r->entries, part, sizeof(s->part), s);
	return s;
}

/*
 * Keeps no entry if the row is newer or already names the process as owner. A
 * delayed answer of an older version does not replace a newer entry.
 */
void route_set_serving(struct route_cache *r, uint64_t part, uint64_t version,
		       const struct proc *p)
{
	const struct row *row = replica_row(r->table_replica, part);
	struct cache_entry *s = find(r, part);

	if (s && s->version > version)
		return;
	if (row &&
	    (row->set.version > version || proc_equal(&row->set.owner, p))) {
		if (s)
			remove_entry(r, s);
		return;
	}
	if (!s)
		s = add(r, part);
	if (!s)
		return;
	s->version = version;
	s->proc = *p;
}

/* Removes the entry, so that the owner in the row is tried first again. */
void route_invalidate(struct route_cache *r, uint64_t part,
		      const struct proc *p)
{
	struct cache_entry *s = find(r, part);

	if (s && proc_equal(&s->proc, p))
		remove_entry(r, s);
}

/* Returns false if p is unset or has been tried for this request. */
static bool try_process(struct route_search *t, const struct proc *p,
			struct proc *out)
{
	if (p->incarnation == 0)
		return false;
	for (uint32_t i = 0; i < t->count; i++) {
		if (proc_equal(&t->tried[i], p))
			return false;
	}
	t->tried[t->count++] = *p;
	*out = *p;
	return true;
}

/* Removes an entry that is older than the row, as the row has changed since. */
bool route_next(struct route_cache *r, struct route_search *t, struct proc *out)
{
	const struct row *row = replica_row(r->table_replica, t->part);
	struct cache_entry *s = find(r, t->part);

	if (t->count - t->skipped >= ROUTE_FORWARDS_MAX ||
	    t->count >= ROUTE_TRIED_MAX)
		return false;
	if (s && row && s->version < row->set.version) {
		remove_entry(r, s);
		s = NULL;
	}
	if (try_process(t, &t->hint, out))
		return true;
	if (s && try_process(t, &s->proc, out))
		return true;
	if (!row)
		return false;
	return try_process(t, &row->set.owner, out) ||
	       try_process(t, &row->set.witness[ROW_SUCCESSOR], out);
}

/* The process stays in the list of those tried. */
void route_skip(struct route_search *t)
{
	t->skipped++;
}
