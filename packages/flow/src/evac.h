#ifndef EVAC_H
#define EVAC_H

/*
 * The set of evacuated data centres, as a daemon knows it: from its own reads
 * of the table of the operator, and from the whole sets that other daemons
 * send. Does no I/O; times are monotonic, in microseconds.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "name.h"

/* Most data centres in a set. A whole set fits into a header field. */
#define EVAC_MAX 128

/* A whole set. */
struct evac_set {
	uint64_t version; /* of the table, as of which it is true; 0: unknown */
	size_t count;
	char names[EVAC_MAX][NAME_SIZE]; /* identifiers, in no order */
};

/* When a change of the set becomes known. */
struct evac_time {
	uint64_t now_us;
	/* The set before was known to be the newest then; 0 if it never was. */
	uint64_t current_us;
};

struct evac;

/* Creates an unknown set; NULL if out of memory. */
struct evac *evac_create(uint32_t evacuate_ms);
void evac_destroy(struct evac *e);

/* Changes the time of an evacuation; it applies to later ones. */
void evac_set_bound(struct evac *e, uint32_t evacuate_ms);

/*
 * Adds a row of an answer of the table: the data centre is evacuated, or no
 * longer if the row was removed. It takes effect with evac_end_answer(). False
 * if there is no room for it.
 */
bool evac_add_row(struct evac *e, const char *name, bool removed,
		  uint64_t version);

/*
 * Ends an answer of the table, which is complete up to a version. whole: it was
 * a snapshot, so that data centres without a row are not evacuated. Returns
 * true if the data centres of the set have changed.
 */
bool evac_end_answer(struct evac *e, bool whole, uint64_t version,
		     const struct evac_time *t);

/* Takes the set of another daemon if it is newer. True as before. */
bool evac_merge(struct evac *e, const struct evac_set *s,
		const struct evac_time *t);

/* Returns the set; it is valid until the next change. */
const struct evac_set *evac_current(const struct evac *e);

/* True once the set is known. In the functions below e may be NULL. */
bool evac_is_known(const struct evac *e);

/* True if both sets have the same data centres. */
bool evac_sets_equal(const struct evac_set *a, const struct evac_set *b);
bool evac_set_has(const struct evac_set *s, const char *data_centre);

bool evac_is_evacuated(const struct evac *e, const char *data_centre);

/* Since when this daemon knows that it is evacuated, 0 if it is not. */
uint64_t evac_since_us(const struct evac *e, const char *data_centre);

/*
 * From when on the daemons beside upstreams of the data centre send nothing
 * more to them, UINT64_MAX if it is not evacuated.
 */
uint64_t evac_refuse_us(const struct evac *e, const char *data_centre);
bool evac_must_refuse(const struct evac *e, const char *data_centre,
		      uint64_t now_us);

#endif
