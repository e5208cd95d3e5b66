#ifndef FED_H
#define FED_H

/*
 * Follows one table: reads it whole, then takes its changes in order. Reads it
 * again when the feed no longer reaches back or the user asks for it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "evl.h"
#include "tbl.h"

struct fed;

struct fed_ops {
	/* A row has a new value, or is gone if r->removed. */
	void (*on_row)(void *arg, const struct tbl_row *r);
	/* All rows up to now have been given; whole: after a read of all. */
	void (*on_synced)(void *arg, bool whole);
	/* A call failed; called once until the next success. */
	void (*on_lost)(void *arg, const char *reason);
};

/* gather_us: pause between two answers, so that changes share a call. */
struct fed *fed_create(struct evl *l, struct tbl tbl, const char *table,
		       uint64_t gather_us, const struct fed_ops *ops,
		       void *arg);
void fed_destroy(struct fed *f);

/* Changes gather_us, from the next answer on. */
void fed_set_gather(struct fed *f, uint64_t gather_us);

/*
 * Reads the whole table again, besides the feed. Returns a ticket: the table has
 * been read since this call once fed_ticket() is not below it.
 */
uint64_t fed_read_again(struct fed *f);
uint64_t fed_ticket(const struct fed *f);

#endif
