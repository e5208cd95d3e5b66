#ifndef RELQUEUE_H
#define RELQUEUE_H

/*
 * Queue of key ranges that the local upstream has released. Writes each release
 * into the key range map, so that the range can be granted to the next owner,
 * and retries until the map contains the release or no longer needs it.
 */

#include <stdint.h>

#include "keymap.h"
#include "planview.h"

struct relqueue;

/* on_rows is called with each map that was written. */
struct relqueue *relqueue_create(struct evloop *l, struct tbl tbl,
				 struct planview *v, planview_rows_fn on_rows,
				 void *arg);
void relqueue_destroy(struct relqueue *r);

/* Adds a range that the incarnation has released; handover may be "". */
void relqueue_add(struct relqueue *r, const char *service,
		  const struct incarnation *incarnation,
		  const struct keymap_range *range, const char *handover);

#endif
