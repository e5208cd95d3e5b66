#ifndef LEASE_H
#define LEASE_H

/*
 * Lease manager of one process. It decides ownership of all partitions whose
 * rows name the process: renewal, takeover, release and change of a row. Does
 * no I/O. Times are in microseconds of the monotonic clock of this process.
 *
 * The owner may act as long as one witness renews its term. The successor,
 * which is one of the witnesses, may take over with the fence reserved for it
 * after the promises to the owner have expired. See docs/design.md, section 2.
 */

#include "statechart.h"
#include "row.h"

struct lease_mgr;

struct lease_params {
	uint64_t renew_interval_us;
	uint64_t promise_us; /* from receipt of RENEW at the witness */
	uint64_t owner_term_us; /* from the send of RENEW at the owner */
	uint64_t claim_interval_us;
	uint64_t reassign_after_us;
};

/*
 * Renewal 600 ms, promise 1,500 ms, owner term 1,400 ms, claim 200 ms,
 * reassignment 5 s.
 */
extern const struct lease_params lease_default_params;

enum lease_msg_type {
	LEASE_RENEW, /* owner to witness */
	LEASE_GRANT, /* reply: promised */
	LEASE_REFUSE, /* reply: not promised, see claimed and sealed_below */
	LEASE_CLAIM, /* successor to the other witness and the owner */
	LEASE_CLAIM_GRANT,
	LEASE_CLAIM_REFUSE,
	LEASE_SEAL, /* new owner or successor to members of older sets */
	LEASE_SEALED,
	LEASE_SEAL_WAIT /* the former owner is still draining */
};

struct lease_msg {
	enum lease_msg_type type;
	uint64_t part;
	uint64_t version;
	uint64_t seq; /* send time of the request, echoed in its reply */
	bool active; /* RENEW: all sets before this version are sealed */
	/*
	 * Replies: the successor has claimed this version. RENEW: the owner has
	 * released this version; no reply is sent.
	 */
	bool claimed;
	uint64_t sealed_below; /* replies: versions below are sealed */
	struct proc promised_to; /* SEALED: the holder of an open promise */
	uint64_t promise_left_us; /* SEALED: remaining time of that promise */
};

/* Reason for requesting a new version of a row. */
enum lease_row_reason {
	LEASE_ROW_PROMOTE, /* successor acts: make it the owner */
	LEASE_ROW_NEW_WITNESS, /* a witness has ended or does not reply */
	LEASE_ROW_REASSIGN /* owner and the other witness are unreachable */
};

struct lease_callbacks {
	/* Sends a message to a process. Delivery is not guaranteed. */
	void (*send)(void *arg, const struct proc *to,
		     const struct lease_msg *msg);
	/* Called when this process may act for the partition. */
	void (*started)(void *arg, uint64_t part, uint64_t fence);
	/* Called when this process may no longer act; started() may follow. */
	void (*stopped)(void *arg, uint64_t part, uint64_t fence);
	/*
	 * Called when a newer version has another owner. Admit no new requests,
	 * finish the running ones, hand the duplicate window over, then call
	 * lease_drain_done().
	 */
	void (*drain)(void *arg, uint64_t part, const struct proc *new_owner);
	/*
	 * Requests a new version of the row. Repeated while the reason lasts.
	 */
	void (*request_row)(void *arg, uint64_t part,
			    enum lease_row_reason want);
};

/* Current term of the process that acts for a partition. */
struct lease_term {
	uint64_t fence;
	uint64_t version;
	uint64_t until_us; /* end of the term */
	bool draining; /* finish running requests, admit no new ones */
};

/*
 * Loads the state chart of a partition from a file such as charts/lease.yaml.
 * Returns NULL on an error. Errors: layer chart.
 */
struct statechart *lease_chart_load(const char *path, struct err *err);

/*
 * The chart is not copied and must outlive the result. Returns NULL when memory
 * is exhausted.
 */
struct lease_mgr *lease_create(const struct lease_params *params,
			       const struct statechart *chart,
			       const struct proc *self,
			       const struct lease_callbacks *ops, void *arg);
void lease_destroy(struct lease_mgr *mgr);

/*
 * Applies a version of a row; versions that are not newer are ignored.
 * takeover_extra_us is how long a successor waits beyond the end of the
 * promises before it acts, for upstreams that do not check fences. Returns
 * false when memory is exhausted.
 */
bool lease_update_row(struct lease_mgr *mgr, const struct row *row,
		      uint64_t takeover_extra_us, uint64_t now_us);

/* Handles a message from another process. */
void lease_receive(struct lease_mgr *mgr, const struct proc *from,
		   const struct lease_msg *msg, uint64_t now_us);

/*
 * Sends messages that are due and handles expired terms; call it at least every
 * 100 ms.
 */
void lease_tick(struct lease_mgr *mgr, uint64_t now_us);

/* Records proof that a process has ended. */
void lease_process_ended(struct lease_mgr *mgr, const struct proc *ended,
			 uint64_t now_us);

/*
 * Reports that the partition is drained, after ops.drain() or before
 * lease_release().
 */
void lease_drain_done(struct lease_mgr *mgr, uint64_t part, uint64_t now_us);

/*
 * Releases the current version permanently without a new row: the owner stops
 * acting and grants the claim of the successor at once. If a successor that
 * acts releases it, no process acts until a new version of the row is written.
 */
void lease_release(struct lease_mgr *mgr, uint64_t part, uint64_t now_us);

/*
 * True if this process may act for the partition now; fills *term. Call it
 * immediately before each send to the upstream.
 */
bool lease_may_act(const struct lease_mgr *mgr, uint64_t part, uint64_t now_us,
		   struct lease_term *term);

/*
 * True if all sets before the newest version known here are known to be sealed.
 * The next version of the row then lists only this set in prev.
 */
bool lease_is_active(const struct lease_mgr *mgr, uint64_t part);

/*
 * Sets whether this process has an upstream; the default is true. Without one
 * it claims no partition. Once it has one again, it requests a new version of
 * the rows that it has released.
 */
void lease_set_upstream_available(struct lease_mgr *mgr, bool able);

/*
 * After ops.stopped(): the time until which running requests may go on, because
 * this process only changes to a newer version that it owns. Returns 0 if they
 * may not.
 */
uint64_t lease_grace_end_us(const struct lease_mgr *mgr, uint64_t part);

/*
 * Returns the process that acts as far as this one knows; incarnation 0 if
 * unknown.
 */
struct proc lease_acting_process(const struct lease_mgr *mgr, uint64_t part,
				 uint64_t now_us);

/*
 * Iterates over the known partitions. Start with *pos 0; returns false at the
 * end.
 */
bool lease_next_part(const struct lease_mgr *mgr, size_t *pos, uint64_t *part);

#endif
