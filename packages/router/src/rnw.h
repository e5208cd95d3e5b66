#ifndef RNW_H
#define RNW_H

/*
 * Keeps the lease of this daemon in its row of the table. Keys are granted to
 * the upstream only while the lease lasts, by the clock of this machine.
 */

#include <stdbool.h>
#include <stdint.h>

#include "evl.h"
#include "lea.h"
#include "nrw.h"
#include "tbl.h"

struct rnw;

struct rnw_ops {
	/* The row that an earlier process of this instance left. */
	void (*on_found)(void *arg, const struct nrw *row);
	/* The lease has been renewed. */
	void (*on_renewed)(void *arg);
	/*
	 * The lease was taken away: keys may have been given to others, so
	 * the plan must be read after the next renewal and before a grant.
	 */
	void (*on_lapsed)(void *arg, const char *reason);
};

/* row holds node, data centre, addresses and process. */
struct rnw *rnw_create(struct evl *l, struct tbl tbl, const struct nrw *row,
		       const struct rnw_ops *ops, void *arg);
void rnw_destroy(struct rnw *r);

/* Sets what the row says of the upstream and writes it at once. */
void rnw_set_upstream(struct rnw *r, const struct life *life,
		      const char *service, uint32_t slots, bool takes_work);

/* End of the lease on the clock of the loop; 0 if there is none. */
uint64_t rnw_lease_end_us(const struct rnw *r);

/* True while the table service answers the calls of this daemon. */
bool rnw_is_reached(const struct rnw *r);

/* True once the row says what rnw_set_upstream() was given last. */
bool rnw_is_written(const struct rnw *r);

#endif
