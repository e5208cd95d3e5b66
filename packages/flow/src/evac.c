#include "evac.h"

#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "txt.h"

#define PERCENT 100
/*
 * Share of the time of an evacuation after which a daemon that has just learned
 * of it refuses requests. Up to then keys move with handover, which takes about
 * a second; the rest covers the way of the news and of requests already sent.
 */
#define REFUSE_PCT 40
/*
 * The same, counted from the time at which the set before was known to be the
 * newest: the row was written after it. It binds a daemon that learns late.
 */
#define LATE_REFUSE_PCT 80

/* A row of an answer that has not ended. */
struct row {
	char name[NAME_SIZE];
	bool removed;
	uint64_t version;
};

struct evac {
	uint64_t bound_us;
	bool has_snapshot; /* of the table, which may have been empty */
	struct evac_set set;
	/* Of the data centres of the set, at the same positions. */
	uint64_t since_us[EVAC_MAX];
	uint64_t refuse_us[EVAC_MAX];
	struct row rows[EVAC_MAX];
	size_t row_count;
};

/* Creates an unknown set. */
struct evac *evac_create(uint32_t evacuate_ms)
{
	struct evac *e = calloc(1, sizeof(*e));

	if (e)
		evac_set_bound(e, evacuate_ms);
	return e;
}

void evac_destroy(struct evac *e)
{
	free(e);
}

/* Sets the time of later evacuations. */
void evac_set_bound(struct evac *e, uint32_t evacuate_ms)
{
	e->bound_us = (uint64_t)evacuate_ms * US_PER_MS;
}

/* Returns the position of a name in a set, its count if it has none. */
static size_t find(const struct evac_set *s, const char *name)
{
	size_t i = 0;

	while (i < s->count && strcmp(s->names[i], name) != 0)
		i++;
	return i;
}

/* Adds a name that is not in the set; false if the set is full. */
static bool add(struct evac_set *s, const char *name)
{
	if (s->count == EVAC_MAX)
		return false;
	return txt_copy(s->names[s->count++], NAME_SIZE, name);
}

/* Removes the name at a position. */
static void remove_at(struct evac_set *s, size_t i)
{
	s->count--;
	if (i < s->count)
		memcpy(s->names[i], s->names[s->count], NAME_SIZE);
}

/* Keeps the row until the answer ends; a later one of the same name counts. */
bool evac_add_row(struct evac *e, const char *name, bool removed,
		  uint64_t version)
{
	struct row *r = &e->rows[e->row_count];

	if (e->row_count == EVAC_MAX)
		return false;
	txt_copy(r->name, sizeof(r->name), name);
	r->removed = removed;
	r->version = version;
	e->row_count++;
	return true;
}

/*
 * Returns when a data centre that is new in the set gets no more requests. A
 * daemon that knew no set, as it has just started, refuses at once: it can't
 * know how old the row is.
 */
static uint64_t first_refusal_us(const struct evac *e,
				 const struct evac_time *t)
{
	uint64_t at = t->now_us + e->bound_us * REFUSE_PCT / PERCENT;
	uint64_t late = t->current_us + e->bound_us * LATE_REFUSE_PCT / PERCENT;

	if (e->set.version == 0 || t->current_us == 0)
		return t->now_us;
	if (late < at)
		at = late;
	return at > t->now_us ? at : t->now_us;
}

/*
 * Replaces the set by a newer one. Data centres of both keep their times. True
 * if the data centres have changed.
 */
static bool replace(struct evac *e, const struct evac_set *s,
		    const struct evac_time *t)
{
	uint64_t since_us[EVAC_MAX], refuse_us[EVAC_MAX];
	uint64_t refuse = first_refusal_us(e, t);
	bool changed = !evac_sets_equal(&e->set, s);

	for (size_t i = 0; i < s->count; i++) {
		size_t known = find(&e->set, s->names[i]);
		bool is_new = known == e->set.count;

		since_us[i] = is_new ? t->now_us : e->since_us[known];
		refuse_us[i] = is_new ? refuse : e->refuse_us[known];
	}
	memcpy(e->since_us, since_us, s->count * sizeof(since_us[0]));
	memcpy(e->refuse_us, refuse_us, s->count * sizeof(refuse_us[0]));
	e->set = *s;
	return changed;
}

/*
 * A snapshot is a set of its own. Of changes only those after the version of
 * the set count, which may come from another daemon that was ahead.
 */
bool evac_end_answer(struct evac *e, bool whole, uint64_t version,
		     const struct evac_time *t)
{
	size_t count = e->row_count;
	struct evac_set s;

	e->row_count = 0;
	e->has_snapshot = e->has_snapshot || whole;
	if (version <= e->set.version ||
	    (e->set.version == 0 && !e->has_snapshot))
		return false;
	s = e->set;
	if (whole)
		s.count = 0;
	s.version = version;
	for (size_t i = 0; i < count; i++) {
		const struct row *r = &e->rows[i];
		size_t at = find(&s, r->name);

		if (!whole && r->version <= e->set.version)
			continue;
		if (r->removed && at < s.count)
			remove_at(&s, at);
		else if (!r->removed && at == s.count)
			add(&s, r->name);
	}
	return replace(e, &s, t);
}

/* Takes a newer set as a whole. */
bool evac_merge(struct evac *e, const struct evac_set *s,
		const struct evac_time *t)
{
	return s->version > e->set.version && replace(e, s, t);
}

const struct evac_set *evac_current(const struct evac *e)
{
	return &e->set;
}

/* Versions of the table begin at 1. */
bool evac_is_known(const struct evac *e)
{
	return !e || e->set.version > 0;
}

/* Compares the data centres; their order and the versions may differ. */
bool evac_sets_equal(const struct evac_set *a, const struct evac_set *b)
{
	if (a->count != b->count)
		return false;
	for (size_t i = 0; i < a->count; i++) {
		if (!evac_set_has(b, a->names[i]))
			return false;
	}
	return true;
}

bool evac_set_has(const struct evac_set *s, const char *data_centre)
{
	return find(s, data_centre) < s->count;
}

bool evac_is_evacuated(const struct evac *e, const char *data_centre)
{
	return e && evac_set_has(&e->set, data_centre);
}

uint64_t evac_since_us(const struct evac *e, const char *data_centre)
{
	return evac_is_evacuated(e, data_centre) ?
		       e->since_us[find(&e->set, data_centre)] :
		       0;
}

uint64_t evac_refuse_us(const struct evac *e, const char *data_centre)
{
	return evac_is_evacuated(e, data_centre) ?
		       e->refuse_us[find(&e->set, data_centre)] :
		       UINT64_MAX;
}

bool evac_must_refuse(const struct evac *e, const char *data_centre,
		      uint64_t now_us)
{
	return now_us >= evac_refuse_us(e, data_centre);
}
