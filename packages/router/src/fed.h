#ifndef FED_H
#define FED_H

/*
 * Watches one table: reads a snapshot, then the changes in order. Reads a new
 * snapshot when the changes since the last one have been compacted, or on
 * request.
 */

#include <stdbool.h>
#include <stdint.h>

#include "evl.h"
#include "tbl.h"

struct fed;

struct fed_ops {
	/* A row has changed, or was removed if r->removed. */
	void (*on_row)(void *arg, const struct tbl_row *r);
	/* All rows of an answer were passed to on_row(); whole: a snapshot. */
	void (*on_synced)(void *arg, bool whole);
	/* A call failed; not repeated until a call has succeeded. */
	void (*on_lost)(void *arg, const char *reason);
};

/* gather_us: pause after an answer, which batches changes into one call. */
struct fed *fed_create(struct evl *l, struct tbl tbl, const char *table,
		       uint64_t gather_us, const struct fed_ops *ops,
		       void *arg);
void fed_destroy(struct fed *f);

/* Changes gather_us, from the next answer on. */
void fed_set_gather(struct fed *f, uint64_t gather_us);

/*
 * Reads a new snapshot while the watch goes on. Returns a ticket: the read is
 * complete once fed_ticket() is equal to it or greater.
 */
uint64_t fed_read_again(struct fed *f);
uint64_t fed_ticket(const struct fed *f);

#endif
