#ifndef ADM_H
#define ADM_H

/*
 * Admission to the upstream of this instance: slots, shares of slots for each
 * kind, bounded queues ordered by deadline, slow start, and a limit that
 * follows what is measured. No I/O; time is monotonic microseconds.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ADM_KINDS_MAX 64
#define ADM_QUEUE_MAX 1024 /* requests that wait, over all kinds */
#define ADM_WARM_SUCCESSES 8 /* successes for each further slot */

struct adm;

struct adm_kind {
	uint32_t share_pct; /* of the slots, 0 to 100; 0 is no reserved share */
	uint32_t queue_max; /* requests of this kind that wait */
};

enum adm_verdict {
	ADM_RUN, /* a slot is taken; call adm_done() */
	ADM_QUEUED, /* wait for the call of ops.run or ops.drop */
	ADM_SHED /* refused: queue full or the deadline cannot be met */
};

struct adm_ops {
	/* The queued request has a slot now. */
	void (*run)(void *arg, void *request);
	/* The queued request cannot meet its deadline and has been dropped. */
	void (*drop)(void *arg, void *request);
};

struct adm *adm_create(const struct adm_kind *kinds, size_t count,
		       const struct adm_ops *ops, void *arg);
void adm_destroy(struct adm *a);

/* An upstream has announced itself: cold, with this many slots. */
void adm_attach(struct adm *a, uint32_t slots, uint64_t now_us);

/* Its number of slots has changed. */
void adm_resize(struct adm *a, uint32_t slots);

/* The upstream has gone: everything queued is dropped, nothing is admitted. */
void adm_detach(struct adm *a, uint64_t now_us);

enum adm_verdict adm_enter(struct adm *a, uint32_t kind, uint64_t deadline_us,
			   void *request, uint64_t now_us);

/* Removes a queued request whose caller has gone; false if not queued. */
bool adm_leave(struct adm *a, void *request);

enum adm_result {
	ADM_OK,
	ADM_UPSTREAM_SHED,
	ADM_FAILED,
	ADM_CANCELLED
};

/* A running request has ended after service_us; frees its slot. */
void adm_done(struct adm *a, uint32_t kind, enum adm_result result,
	      uint64_t service_us, uint64_t now_us);

/* The load and health that the upstream reports; a hint only. */
void adm_report(struct adm *a, double load, bool healthy);

/* Drops what can no longer meet its deadline; call each 10 ms or so. */
void adm_tick(struct adm *a, uint64_t now_us);

/* Measured load: running over slots, smoothed over some seconds. */
double adm_load(const struct adm *a, uint64_t now_us);

uint32_t adm_running(const struct adm *a);
uint32_t adm_limit(const struct adm *a);

#endif
