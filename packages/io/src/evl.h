#ifndef EVL_H
#define EVL_H

/*
 * Event loop of the range router: libev on one thread, with the timer service
 * in step and the signals that stop or reload the process.
 */

#include <stdint.h>

#include <ev.h>

#include "clk.h"
#include "err.h"
#include "tmr.h"

enum io_error {
	IO_NO_LOOP = 1, /* the loop cannot be made */
	IO_BAD_ADDRESS,
	IO_NO_SOCKET, /* no descriptor, or the address cannot be bound */
	IO_NO_MEMORY
};

struct evl;

typedef void (*evl_signal_fn)(void *arg, int signo);

/* Errors: layer system, a code of enum io_error. */
struct evl *evl_create(const struct clk *clk, struct err *err);
void evl_destroy(struct evl *l);

/* Gives SIGTERM, SIGINT and SIGHUP to fn. SIGPIPE is ignored. */
void evl_on_signal(struct evl *l, evl_signal_fn fn, void *arg);

/* Runs until evl_stop(). */
void evl_run(struct evl *l);
void evl_stop(struct evl *l);

/* Handles what is ready; waits at most wait_us, and for timers. For tests. */
void evl_step(struct evl *l, uint64_t wait_us);

struct tmr *evl_timers(struct evl *l);
const struct clk *evl_clock(struct evl *l);
struct ev_loop *evl_ev(struct evl *l);

/* Reads the monotonic clock, in microseconds. */
uint64_t evl_now_us(struct evl *l);

#endif
