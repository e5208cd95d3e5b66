#ifndef TMR_H
#define TMR_H

/*
 * Timer service. Parts of the daemon subscribe with a function; the loop asks
 * for the next due time and runs what is due. Time is an argument, so a test
 * drives it without a clock.
 */

#include <stdint.h>

struct tmr;

/* Called when a timer is due. The timer service may be used from inside. */
typedef void (*tmr_fn)(void *arg, uint64_t now_us);

/* No timer is pending, see tmr_next(). */
#define TMR_NEVER UINT64_MAX

struct tmr *tmr_create(void);
void tmr_destroy(struct tmr *t);

/* Subscribes once at due_us. Returns a handle, 0 when memory is exhausted. */
uint32_t tmr_at(struct tmr *t, uint64_t due_us, tmr_fn fn, void *arg);

/*
 * Subscribes at first_us and then each period_us (over 0). A late run is not
 * made up for: the next one is due a period after the run.
 */
uint32_t tmr_every(struct tmr *t, uint64_t first_us, uint64_t period_us,
		   tmr_fn fn, void *arg);

/* Ends a subscription; a handle that is 0 or no longer in use is ignored. */
void tmr_cancel(struct tmr *t, uint32_t handle);

/* Returns when the next timer is due, TMR_NEVER if there is none. */
uint64_t tmr_next(const struct tmr *t);

/* Runs all timers that are due at now_us, in the order of their due times. */
void tmr_run(struct tmr *t, uint64_t now_us);

#endif
