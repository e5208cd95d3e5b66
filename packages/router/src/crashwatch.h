#ifndef CRASHWATCH_H
#define CRASHWATCH_H

/*
 * Watches for requests that crash their upstreams. Tells the leader which
 * requests the local upstream ran when it ended, and which it has completed
 * after all, until the plan has both; refuses the requests that the plan lists.
 */

#include "buf.h"
#include "crashes.h"
#include "evloop.h"
#include "httpmsg.h"
#include "planview.h"

struct crashwatch;

/* A change of the list: an incarnation ended, or 0 if a run was completed. */
struct crashwatch_change {
	uint64_t fingerprint;
	uint64_t ended;
};

struct crashwatch_ops {
	/* Sends changes to the leader; they may be sent more than once. */
	void (*on_changes)(void *arg, const struct crashwatch_change *changes,
			   size_t count);
};

struct crashwatch *crashwatch_create(struct evloop *l,
				     const struct planview *view,
				     const struct crashwatch_ops *ops,
				     void *arg);
void crashwatch_destroy(struct crashwatch *w);

void crashwatch_run_lost(struct crashwatch *w, const struct httpmsg *m,
			 const struct buf *body, uint64_t incarnation);
void crashwatch_run_completed(struct crashwatch *w, const struct httpmsg *m,
			      const struct buf *body);
void crashwatch_upstream_ended(struct crashwatch *w,
			       const struct incarnation *ended);
bool crashwatch_refuses(const struct crashwatch *w, const struct httpmsg *m,
			const struct buf *body);

uint64_t crashwatch_fingerprint(const struct httpmsg *m,
				const struct buf *body);

#endif
