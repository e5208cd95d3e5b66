#ifndef ADM_H
#define ADM_H

/*
 * Admission control for the upstream of this instance: a limit on concurrent
 * requests that starts at 1 and adapts to the results, a share of the slots for
 * each kind of request, and bounded queues ordered by deadline. Does no I/O;
 * times are monotonic microseconds.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ADM_KINDS_MAX 64
#define ADM_QUEUE_MAX 1024 /* queued requests of all kinds */
#define ADM_WARM_SUCCESSES 8 /* to raise the limit by one slot */

struct adm;

struct adm_kind {
	uint32_t
		share_pct; /* guaranteed percentage of slots, 0 (none) to 100 */
	uint32_t queue_max; /* queued requests of this kind */
};

enum adm_verdict {
	ADM_RUN, /* has a slot; call adm_done() when it ends */
	ADM_QUEUED, /* ops.run or ops.drop will be called */
	ADM_SHED /* refused: no upstream, queue full or deadline too near */
};

struct adm_ops {
	/* Called when a queued request gets a slot. */
	void (*run)(void *arg, void *request);
	/* Called when a queued request is dropped and will not run. */
	void (*drop)(void *arg, void *request);
};

struct adm *adm_create(const struct adm_kind *kinds, size_t count,
		       const struct adm_ops *ops, void *arg);
void adm_destroy(struct adm *a);

/* Starts admitting to a new upstream with this many slots; the limit is 1. */
void adm_attach(struct adm *a, uint32_t slots, uint64_t now_us);

/* Changes the number of slots of the upstream. */
void adm_resize(struct adm *a, uint32_t slots);

/* Stops admitting and drops all queued requests. */
void adm_detach(struct adm *a, uint64_t now_us);

enum adm_verdict adm_enter(struct adm *a, uint32_t kind, uint64_t deadline_us,
			   void *request, uint64_t now_us);

/* Removes a queued request without calling ops; false if not queued. */
bool adm_leave(struct adm *a, void *request);

enum adm_result {
	ADM_OK,
	ADM_UPSTREAM_SHED,
	ADM_FAILED,
	ADM_CANCELLED
};

/* Frees the slot of a request that ran for service_us microseconds. */
void adm_done(struct adm *a, uint32_t kind, enum adm_result result,
	      uint64_t service_us, uint64_t now_us);

/* Sets the load and health that the upstream reports; over 1.0 is overload. */
void adm_report(struct adm *a, double load, bool healthy);

/*
 * Drops queued requests that can no longer meet their deadline and runs those
 * that may run; call about every 10 ms.
 */
void adm_tick(struct adm *a, uint64_t now_us);

/* Returns running requests divided by slots, averaged over seconds. */
double adm_load(const struct adm *a, uint64_t now_us);

uint32_t adm_running(const struct adm *a);
uint32_t adm_limit(const struct adm *a);

#endif
