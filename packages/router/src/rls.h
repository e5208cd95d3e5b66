#ifndef RLS_H
#define RLS_H

/*
 * Writes into the key range maps what the upstream beside this daemon has
 * released, so that the next owner may be granted it. A release is written
 * until the map shows it or shows that it is no longer needed.
 */

#include <stdint.h>

#include "krm.h"
#include "vew.h"

struct rls;

/* on_rows is called with each map that has been written. */
struct rls *rls_create(struct evl *l, struct tbl tbl, struct vew *v,
		       vew_rows_fn on_rows, void *arg);
void rls_destroy(struct rls *r);

/* The life has released a range; handover may be "". */
void rls_add(struct rls *r, const char *service, const struct life *life,
	     const struct krm_range *range, const char *handover);

#endif
