#include "rte.h"

#include <stdlib.h>
#include <uthash.h>

/*
 * Entries exist only for partitions whose acting process is not the owner of
 * the row, so their number is small except after the loss of a data centre.
 */
#define SEEN_MAX 65536

/* Who was last seen to act for a partition. */
struct seen {
	uint64_t part;
	uint64_t version;
	struct proc proc;
	UT_hash_handle hh;
};

struct rte {
	const struct mir *mir;
	struct seen *seen;
};

/* Creates route decisions over the rows of a mirror, which outlives them. */
struct rte *rte_create(const struct mir *mir)
{
	struct rte *r = calloc(1, sizeof(*r));

	if (r)
		r->mir = mir;
	return r;
}

static void forget(struct rte *r, struct seen *s)
{
	HASH_DEL(r->seen, s);
	free(s);
}

/* Frees all that was remembered. */
void rte_destroy(struct rte *r)
{
	struct seen *s, *next;

	if (!r)
		return;
	s = r->seen;
	HASH_CLEAR(hh, r->seen);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
	free(r);
}

static struct seen *find(const struct rte *r, uint64_t part)
{
	struct seen *s = NULL;

	HASH_FIND(hh, r->seen, &part, sizeof(part), s);
	return s;
}

/* Adds an entry; NULL when there are too many or memory is exhausted. */
static struct seen *add(struct rte *r, uint64_t part)
{
	struct seen *s;

	if (HASH_COUNT(r->seen) >= SEEN_MAX)
		return NULL;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->part = part;
	HASH_ADD(hh, r->seen, part, sizeof(s->part), s);
	return s;
}

/*
 * Remembers the process unless the row names it as owner in this version or a
 * later one. An answer that was on its way for long does not replace a newer
 * one.
 */
void rte_seen(struct rte *r, uint64_t part, uint64_t version,
	      const struct proc *p)
{
	const struct row *row = mir_row(r->mir, part);
	struct seen *s = find(r, part);

	if (s && s->version > version)
		return;
	if (row &&
	    (row->set.version > version || proc_equal(&row->set.owner, p))) {
		if (s)
			forget(r, s);
		return;
	}
	if (!s)
		s = add(r, part);
	if (!s)
		return;
	s->version = version;
	s->proc = *p;
}

/* Forgets the process, so that the order of the row applies again. */
void rte_failed(struct rte *r, uint64_t part, const struct proc *p)
{
	struct seen *s = find(r, part);

	if (s && proc_equal(&s->proc, p))
		forget(r, s);
}

/* Takes a process unless it is none or was tried before. */
static bool take(struct rte_try *t, const struct proc *p, struct proc *out)
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

/*
 * Gives the next process. What was seen in an older version than that of the
 * row is dropped, as the row has changed since.
 */
bool rte_next(struct rte *r, struct rte_try *t, struct proc *out)
{
	const struct row *row = mir_row(r->mir, t->part);
	struct seen *s = find(r, t->part);

	if (t->count - t->skipped >= RTE_FORWARDS_MAX ||
	    t->count >= RTE_TRIED_MAX)
		return false;
	if (s && row && s->version < row->set.version) {
		forget(r, s);
		s = NULL;
	}
	if (take(t, &t->hint, out))
		return true;
	if (s && take(t, &s->proc, out))
		return true;
	if (!row)
		return false;
	return take(t, &row->set.owner, out) ||
	       take(t, &row->set.witness[ROW_SUCCESSOR], out);
}

/* Leaves the process among those that were tried. */
void rte_skip(struct rte_try *t)
{
	t->skipped++;
}
