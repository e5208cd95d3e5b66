#ifndef TBLWATCH_H
#define TBLWATCH_H

/*
 * Watches one table: reads a snapshot, then the changes in order. Reads a new
 * snapshot when the changes since the last one have been compacted, or on
 * request.
 */

#include <stdbool.h>
#include <stdint.h>

#include "evloop.h"
#include "tbl.h"

struct tblwatch;

struct tblwatch_ops {
	/* A row has changed, or was removed if r->removed. */
	void (*on_row)(void *arg, const struct tbl_row *r);
	/* All rows of an answer were passed to on_row(); whole: a snapshot. */
	void (*on_synced)(void *arg, bool whole);
	/* A call failed; not repeated until a call has succeeded. */
	void (*on_lost)(void *arg, const char *reason);
};

/* delay_us: pause after an answer, which batches changes into one call. */
struct tblwatch *tblwatch_create(struct evloop *l, struct tbl tbl,
				 const char *table, uint64_t delay_us,
				 const struct tblwatch_ops *ops, void *arg);
void tblwatch_destroy(struct tblwatch *f);

/* Changes delay_us, from the next answer on. */
void tblwatch_set_delay(struct tblwatch *f, uint64_t delay_us);

/* Changes how long a poll waits for a change, from the next call on. */
void tblwatch_set_wait(struct tblwatch *f, uint32_t wait_ms);

/*
 * Replaces a poll that waits for a change by one that is answered at once. Has
 * no effect while an answer is arriving, during other calls and while a retry
 * is scheduled.
 */
void tblwatch_restart(struct tblwatch *f);

/*
 * Ends the pause after an answer; has no effect at any other time. With
 * snapshot, the rows are read instead of their changes: a row that changes
 * often is sent once and not in each of its versions.
 */
void tblwatch_end_pause(struct tblwatch *f, bool snapshot);

/*
 * Reads a new snapshot while the watch goes on. Returns a ticket: the read is
 * complete once tblwatch_ticket() is equal to it or greater.
 */
uint64_t tblwatch_request_read(struct tblwatch *f);
uint64_t tblwatch_ticket(const struct tblwatch *f);

/* Version as of which all changes are known. */
uint64_t tblwatch_version(const struct tblwatch *f);

/*
 * Time as of which the last answer is known to be complete, and how long the
 * call in progress has waited.
 */
uint64_t tblwatch_answered_us(const struct tblwatch *f);
uint64_t tblwatch_waited_us(const struct tblwatch *f);

#endif
