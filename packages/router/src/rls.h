#ifndef RLS_H
#define RLS_H

/*
 * Queue of key ranges that the local upstream has released. Writes each release
 * into the key range map, so that the range can be granted to the next owner,
 * and retries until the map contains the release or no longer needs it.
 */

#include <stdint.h>

#include "krm.h"
#include "vew.h"

struct rls;

/* on_rows is called with each map that was written. */
struct rls *rls_create(struct evl *l, struct tbl tbl, struct vew *v,
		       vew_rows_fn on_rows, void *arg);
void rls_destroy(struct rls *r);

/* Adds a range that the incarnation has released; handover may be "". */
void rls_add(struct rls *r, const char *service, const struct life *life,
	     const struct krm_range *range, const char *handover);

#endif
