#ifndef OWN_INT_H
#define OWN_INT_H

/* What the files of the module own share. */

#include <uthash.h>

#include "own.h"

#define DESTINATIONS_MAX 16 /* processes that a step of the loop writes to */

/* When a process was last heard. */
struct heard {
	struct proc proc;
	uint64_t at_us;
	UT_hash_handle hh;
};

/* A partition that is being handed over, or was taken over with a window. */
struct transfer {
	uint64_t part;
	enum {
		TRANSFER_DRAINING,
		TRANSFER_SENDING,
		TRANSFER_IMPORTED
	} step;
	struct proc new_owner;
	bool release; /* given up to the successor, without a new row */
	struct own *own;
	UT_hash_handle hh;
};

/* A partition whose duplicate window this process keeps. */
struct window {
	uint64_t part;
	uint64_t fence; /* that it acted with last */
	uint64_t next_fence; /* of its own newer version, 0 if there is none */
	uint32_t timer; /* end of the time for requests that run on */
	struct own *own;
	UT_hash_handle hh;
};

/* Messages that leave together for one process. */
struct batch {
	struct proc to;
	u_int count;
	struct peer_lease_msg msgs[PEER_LEASE_MAX];
};

struct own {
	struct nod *n;
	struct statechart *chart;
	struct lease_mgr *lease;
	struct heard *heard;
	struct transfer *transfers;
	struct window *windows;
	struct batch batches[DESTINATIONS_MAX];
	size_t batch_count;
	size_t acting;
	bool flush_pending;
};

/* own_send.c: collects lease messages for datagrams */
void own_on_send(void *arg, const struct proc *to, const struct lease_msg *msg);

/* own_window.c: duplicate windows and their handover */
void own_free_windows(struct own *o);
void own_begin_release(struct own *o, uint64_t part);
bool own_is_handing_over(struct own *o, uint64_t part);
struct transfer *own_find_transfer(struct own *o, uint64_t part);
void own_drop_transfer(struct own *o, struct transfer *t);
struct window *own_find_window(struct own *o, uint64_t part);
void own_add_window(struct own *o, uint64_t part, uint64_t fence);
void own_drop_window(struct own *o, struct window *w);
bool own_keeps_window(struct own *o, uint64_t part, uint64_t fence);
void own_on_drain(void *arg, uint64_t part, const struct proc *new_owner);
void own_drain_check_due(void *arg, uint64_t now_us);
void own_close_window(struct own *o, uint64_t part);

#endif
