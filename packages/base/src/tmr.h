#ifndef TMR_H
#define TMR_H

/*
 * One-shot and periodic timers with callbacks. The event loop asks for the next
 * due time and runs the timers that are due. The current time is an argument,
 * so that tests need no clock. All times are in microseconds.
 */

#include <stdint.h>

struct tmr;

/* Called when a timer is due; may add and cancel timers. */
typedef void (*tmr_fn)(void *arg, uint64_t now_us);

/* Result of tmr_next_due() if no timer is pending. */
#define TMR_NEVER UINT64_MAX

struct tmr *tmr_create(void);
void tmr_destroy(struct tmr *t);

/*
 * Adds a one-shot timer. Returns its handle, 0 if memory is exhausted or if
 * SLOTMAP_MAX_ENTRIES timers are pending.
 */
uint32_t tmr_at(struct tmr *t, uint64_t due_us, tmr_fn fn, void *arg);

/*
 * Adds a periodic timer that is first due at first_us; period_us must not be 0.
 * Missed periods are skipped: the next run is due one period after the last
 * one. Returns a handle like tmr_at().
 */
uint32_t tmr_every(struct tmr *t, uint64_t first_us, uint64_t period_us,
		   tmr_fn fn, void *arg);

/* Cancels a timer; a handle that is 0 or no longer in use is ignored. */
void tmr_cancel(struct tmr *t, uint32_t handle);

/* Returns the earliest due time, TMR_NEVER if no timer is pending. */
uint64_t tmr_next_due(const struct tmr *t);

/* Runs all timers that are due at now_us in the order of their due times. */
void tmr_run_due(struct tmr *t, uint64_t now_us);

#endif
