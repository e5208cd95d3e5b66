#ifndef RNW_H
#define RNW_H

/*
 * Renews the lease of this daemon in its row of the nodes' table. Keys are
 * granted to the upstream only while the lease is valid by the local clock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "evl.h"
#include "lea.h"
#include "nrw.h"
#include "tbl.h"

struct rnw;

struct rnw_ops {
	/* The row of an earlier process was read; NULL if there is none. */
	void (*on_found)(void *arg, const struct nrw *row);
	/* The lease has been renewed. */
	void (*on_renewed)(void *arg);
	/*
	 * The lease was lost and its keys may have been reassigned. The plan
	 * must be read after the next renewal and before the next grant.
	 */
	void (*on_lapsed)(void *arg, const char *reason);
};

/* row contains node, data centre, peer address and process. */
struct rnw *rnw_create(struct evl *l, struct tbl tbl, const struct nrw *row,
		       const struct rnw_ops *ops, void *arg);
void rnw_destroy(struct rnw *r);

/* Sets the upstream in the row and writes the row at once. */
void rnw_set_upstream(struct rnw *r, const struct life *life,
		      const char *service, uint32_t slots, bool takes_work);

/* Returns the end of the lease by the clock of the loop, 0 if it is lost. */
uint64_t rnw_lease_end_us(const struct rnw *r);

/* True while the calls of the table service succeed. */
bool rnw_is_reached(const struct rnw *r);

/* True once the row contains the last rnw_set_upstream(). */
bool rnw_is_written(const struct rnw *r);

#endif
