#ifndef NODELEASE_H
#define NODELEASE_H

/*
 * Renews the lease of this daemon in its row of the nodes' table. Keys are
 * granted to the upstream only while the lease is valid by the local clock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "evloop.h"
#include "keylease.h"
#include "noderow.h"
#include "tbl.h"
#include "tblclock.h"

struct nodelease;

struct nodelease_ops {
	/* The row of an earlier process was read; NULL if there is none. */
	void (*on_found)(void *arg, const struct noderow *row);
	/* The lease has been renewed. */
	void (*on_renewed)(void *arg);
	/*
	 * The lease was lost and its keys may have been reassigned. The plan
	 * must be read after the next renewal and before the next grant.
	 */
	void (*on_lapsed)(void *arg, const char *reason);
	/* The table service answers again after a failed call. */
	void (*on_table_back)(void *arg);
	/*
	 * Passes the row on to be written on this version along with those of
	 * other daemons; nodelease_collected() brings the result. False if
	 * nobody collects now. May be NULL.
	 */
	bool (*collect)(void *arg, uint64_t expected, const char *text);
};

/* row contains node, data centre, peer address and process. */
struct nodelease *nodelease_create(struct evloop *l, struct tbl tbl,
				   const struct noderow *row,
				   const struct nodelease_ops *ops, void *arg);
void nodelease_destroy(struct nodelease *r);

/*
 * The row was written on the version expected, by a collector, and has this
 * version now; now_ms is the clock of the table at the write. Ignored if it
 * belongs to no renewal in progress.
 */
void nodelease_collected(struct nodelease *r, uint64_t expected,
			 uint64_t version, uint64_t now_ms);

/* Sets the upstream in the row and writes the row at once. */
void nodelease_set_upstream(struct nodelease *r,
			    const struct incarnation *incarnation,
			    const char *service, uint32_t slots,
			    bool takes_work, bool left);

/* Returns the end of the lease by the clock of the loop, 0 if it is lost. */
uint64_t nodelease_end_us(const struct nodelease *r);

/* True while the calls of the table service succeed. */
bool nodelease_table_reachable(const struct nodelease *r);

/* Era of the table service at the last renewal, 0 before it. */
uint64_t nodelease_era(const struct nodelease *r);

/* Returns the clock of the table service, as far as the renewals show it. */
const struct tblclock *nodelease_clock(const struct nodelease *r);

/* True once the row contains the last nodelease_set_upstream(). */
bool nodelease_is_written(const struct nodelease *r);

#endif
