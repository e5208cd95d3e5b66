#ifndef ADMISSION_H
#define ADMISSION_H

/*
 * Admission control for the upstream of this instance: a limit on concurrent
 * requests that starts at 1 and adapts to the results, a share of the slots for
 * each kind of request, and bounded queues ordered by deadline. Does no I/O;
 * times are monotonic microseconds.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ADMIT_KINDS_MAX 64
#define ADMIT_QUEUE_MAX 1024 /* queued requests of all kinds */
#define ADMIT_SUCCESSES_PER_SLOT 8 /* to raise the limit by one slot */

struct admitter;

struct admit_kind {
	/* Guaranteed percentage of slots, 0 (none) to 100. */
	uint32_t share_pct;
	uint32_t queue_max; /* queued requests of this kind */
};

enum admit_verdict {
	ADMIT_RUN, /* has a slot; call admit_done() when it ends */
	ADMIT_QUEUED, /* ops.run or ops.drop will be called */
	ADMIT_SHED /* refused: no upstream, queue full or deadline too near */
};

struct admit_ops {
	/* Called when a queued request gets a slot. */
	void (*run)(void *arg, void *request);
	/* Called when a queued request is dropped and will not run. */
	void (*drop)(void *arg, void *request);
};

struct admitter *admit_create(const struct admit_kind *kinds, size_t count,
			      const struct admit_ops *ops, void *arg);
void admit_destroy(struct admitter *a);

/* Starts admitting to a new upstream with this many slots; the limit is 1. */
void admit_attach(struct admitter *a, uint32_t slots, uint64_t now_us);

/* Changes the number of slots of the upstream. */
void admit_resize(struct admitter *a, uint32_t slots);

/* Stops admitting and drops all queued requests. */
void admit_detach(struct admitter *a, uint64_t now_us);

enum admit_verdict admit_enter(struct admitter *a, uint32_t kind,
			       uint64_t deadline_us, void *request,
			       uint64_t now_us);

/* Removes a queued request without calling ops; false if not queued. */
bool admit_cancel(struct admitter *a, void *request);

enum admit_result {
	ADMIT_OK,
	ADMIT_UPSTREAM_SHED,
	ADMIT_FAILED,
	ADMIT_CANCELLED
};

/* Frees the slot of a request that ran for service_us microseconds. */
void admit_done(struct admitter *a, uint32_t kind, enum admit_result result,
		uint64_t service_us, uint64_t now_us);

/* Sets the load and health that the upstream reports; over 1.0 is overload. */
void admit_set_report(struct admitter *a, double load, bool healthy);

/*
 * Drops queued requests that can no longer meet their deadline and runs those
 * that may run; call about every 10 ms.
 */
void admit_tick(struct admitter *a, uint64_t now_us);

/* Returns running requests divided by slots, averaged over seconds. */
double admit_load(const struct admitter *a, uint64_t now_us);

uint32_t admit_running(const struct admitter *a);
uint32_t admit_limit(const struct admitter *a);

#endif
