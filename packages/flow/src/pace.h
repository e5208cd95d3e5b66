#ifndef PACE_H
#define PACE_H

/*
 * Limit of the concurrent requests at an upstream that recovers, found from how
 * it answers. It starts low, doubles per round of quick answers, and shrinks
 * when runs take clearly longer than at lower concurrency, or when the upstream
 * refuses or fails. A round has twice as many answers as the limit, all of
 * requests sent since the limit changed. Does no I/O and takes time as an
 * argument.
 *
 * Load that it responds to: more requests than a slow upstream can run at once.
 * Run times are compared with the usual ones of their kind in this recovery, as
 * requests of different kinds take different times.
 */

#include <stdbool.h>
#include <stdint.h>

/* Kinds of requests that are told apart. */
#define PACE_KINDS 64
/* Limit at the beginning. */
#define PACE_START 2

struct pace {
	bool active;
	bool doubling; /* no run has been slow so far */
	uint32_t limit, slots;
	/* Lowest run time as a multiple of the usual one, 0 before a round. */
	double best;
	double level; /* run time of the last round as a multiple of the best */
	uint32_t quick_rounds; /* in succession, with all slots allowed */
	/* Round. */
	uint64_t began_us;
	uint32_t answers, failures, peak;
	double run_us, usual_us; /* sums over the answers */
	double speed; /* of the machine, at the last answer; 1 is usual */
	uint32_t open; /* requests sent in the round and not answered */
	uint64_t open_sent_us; /* sum of their send times since its begin */
	/* Usual run times by kind, means of the first ones. */
	double kind_us[PACE_KINDS];
	uint32_t kind_runs[PACE_KINDS];
};

/* The upstream with these slots begins to recover. */
void pace_begin(struct pace *p, uint32_t slots, uint64_t now_us);

/* Returns the slots that may be used; at least one of them. */
uint32_t pace_usable(const struct pace *p, uint32_t slots);

/* A request was sent, the last of this many that run. */
void pace_sent(struct pace *p, uint32_t running, uint64_t now_us);

/* A request that was sent then was cancelled, or says nothing of run times. */
void pace_forget(struct pace *p, uint64_t sent_us);

/* Run of a request that was answered. */
struct pace_run {
	uint32_t kind;
	uint64_t sent_us, run_us;
	/* How long work took there meanwhile; 100 is usual, 0 is not known. */
	uint32_t slowdown_pct;
};
void pace_answered(struct pace *p, const struct pace_run *r, uint64_t now_us);

/* A request that was sent then was refused or failed. */
void pace_failed(struct pace *p, uint64_t sent_us, uint64_t now_us);

#endif
