#ifndef LSE_H
#define LSE_H

/*
 * Ownership decisions of one process for all partitions in whose rows it is
 * named: renewal, takeover, release and change of a row. No I/O; time is an
 * argument in microseconds of the monotonic clock of this process.
 *
 * An owner and one witness are enough to act. The successor, which is one of
 * the witnesses, may act with the fence reserved for it once the owner's
 * promises have run out. See docs/design.md, section 2.
 */

#include "cht.h"
#include "row.h"

struct lse;

struct lse_params {
	uint64_t renew_interval_us;
	uint64_t promise_us; /* counted by a witness from receipt */
	uint64_t owner_term_us; /* counted by the owner from its send */
	uint64_t claim_interval_us;
	uint64_t reassign_after_us;
};

/* 600 ms, 1,500 ms, 1,400 ms, 200 ms and 5 s. */
extern const struct lse_params lse_default_params;

enum lse_type {
	LSE_RENEW, /* owner to witness */
	LSE_GRANT, /* answer: promised */
	LSE_REFUSE, /* answer: not promised; claimed and sealed tell why */
	LSE_CLAIM, /* successor to the other witness and the owner */
	LSE_CLAIM_GRANT,
	LSE_CLAIM_REFUSE,
	LSE_SEAL, /* owner or successor of a new version to the old sets */
	LSE_SEALED,
	LSE_SEAL_WAIT /* the old owner is still draining */
};

struct lse_msg {
	enum lse_type type;
	uint64_t part;
	uint64_t version;
	uint64_t seq; /* when the question was sent, echoed in its answer */
	bool active; /* RENEW: the sets before this version are sealed */
	/*
	 * Answers: this version has gone to the successor. RENEW: the owner has
	 * released this version; there is no answer.
	 */
	bool claimed;
	uint64_t sealed_below; /* answers */
	struct proc promised_to; /* SEALED: holder of an open promise */
	uint64_t promise_left_us; /* SEALED: what is left of it */
};

/* Why a new version of a row is wanted. */
enum lse_want {
	LSE_WANT_REARM, /* this process acts as successor; make it the owner */
	LSE_WANT_WITNESS, /* a witness has ended or has not answered long */
	LSE_WANT_REASSIGN /* neither owner nor successor has been heard */
};

struct lse_ops {
	/* Sends a message to a process; it may be lost. */
	void (*send)(void *arg, const struct proc *to,
		     const struct lse_msg *msg);
	/* This process has begun to act for the partition. */
	void (*started)(void *arg, uint64_t part, uint64_t fence);
	/* It no longer acts; a later started() may follow. */
	void (*stopped)(void *arg, uint64_t part, uint64_t fence);
	/*
	 * A newer version has another owner: admit nothing new, finish what
	 * runs, hand the duplicate window over, then call lse_drained().
	 */
	void (*drain)(void *arg, uint64_t part, const struct proc *new_owner);
	/* The row should be rewritten. Repeated while the reason lasts. */
	void (*want_row)(void *arg, uint64_t part, enum lse_want want);
};

/* What the holder of a partition may do now. */
struct lse_term {
	uint64_t fence;
	uint64_t version;
	uint64_t until_us; /* end of the term, monotonic */
	bool draining; /* running requests only, nothing new */
};

/*
 * Loads the chart of the phases of a partition at one process from a file such
 * as charts/lease.yaml. Errors: layer chart.
 */
struct cht *lse_chart_load(const char *path, struct err *err);

/* The chart is not copied and must outlive the result. */
struct lse *lse_create(const struct lse_params *params, const struct cht *chart,
		       const struct proc *self, const struct lse_ops *ops,
		       void *arg);
void lse_destroy(struct lse *l);

/*
 * Learns a version of a row; older ones than known are ignored. takeover_extra
 * is how long a successor waits beyond the end of the promises before it acts,
 * for upstreams that do not check fences. Returns false when memory is
 * exhausted.
 */
bool lse_learn(struct lse *l, const struct row *row, uint64_t takeover_extra_us,
	       uint64_t now_us);

/* Handles a message of another process. */
void lse_receive(struct lse *l, const struct proc *from,
		 const struct lse_msg *msg, uint64_t now_us);

/* Sends what is due and notices what has run out; call at least each 100 ms. */
void lse_tick(struct lse *l, uint64_t now_us);

/* A process is proved to have ended. */
void lse_ended(struct lse *l, const struct proc *ended, uint64_t now_us);

/* The partition is drained after ops.drain() or before lse_release(). */
void lse_drained(struct lse *l, uint64_t part, uint64_t now_us);

/*
 * Gives this version up for good without a new row: the owner stops acting and
 * grants the successor's claim at once. After the release of a successor that
 * acts nobody does until a new version of the row is written.
 */
void lse_release(struct lse *l, uint64_t part, uint64_t now_us);

/*
 * True if this process may act for the partition now; fills *term. It is
 * checked immediately before each send to the upstream.
 */
bool lse_may_act(const struct lse *l, uint64_t part, uint64_t now_us,
		 struct lse_term *term);

/*
 * True if the sets before the newest version known here are known to be sealed:
 * the next version of the row then needs only this one in prev.
 */
bool lse_is_active(const struct lse *l, uint64_t part);

/*
 * Without an upstream this process claims nothing. The default is able. A
 * process that is able again asks for a new version of what it has released.
 */
void lse_set_able(struct lse *l, bool able);

/*
 * After ops.stopped(): until when requests that run may go on, because the
 * process only takes up a newer version of its own; 0 if they may not.
 */
uint64_t lse_grace_us(const struct lse *l, uint64_t part);

/* Returns the process that this one believes acts; incarnation 0 if unknown. */
struct proc lse_actor(const struct lse *l, uint64_t part, uint64_t now_us);

/* Returns the partitions known here one after the other; start with *pos 0. */
bool lse_next_part(const struct lse *l, size_t *pos, uint64_t *part);

#endif
