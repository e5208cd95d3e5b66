#ifndef EVL_H
#define EVL_H

/*
 * Event loop: runs libev and the timer service on one thread, and delivers the
 * signals that stop or reload the process.
 */

#include <stdint.h>

#include <ev.h>

#include "clk.h"
#include "err.h"
#include "tmr.h"

enum io_error {
	IO_NO_LOOP = 1, /* the event loop cannot be created */
	IO_BAD_ADDRESS, /* not ADDRESS:PORT with an IPv4 address */
	IO_NO_SOCKET, /* no file descriptor, or bind() or listen() failed */
	IO_NO_MEMORY
};

struct evl;

typedef void (*evl_signal_fn)(void *arg, int signo);

/* Returns NULL on failure, with layer ERR_SYSTEM and a code of enum io_error. */
struct evl *evl_create(const struct clk *clk, struct err *err);
void evl_destroy(struct evl *l);

/* Calls fn for SIGTERM, SIGINT and SIGHUP. SIGPIPE is ignored. */
void evl_on_signal(struct evl *l, evl_signal_fn fn, void *arg);

/* Blocks until evl_stop() is called. */
void evl_run(struct evl *l);
void evl_stop(struct evl *l);

/* Runs one iteration that blocks for at most wait_us microseconds. For tests. */
void evl_step(struct evl *l, uint64_t wait_us);

struct tmr *evl_timers(struct evl *l);
const struct clk *evl_clock(struct evl *l);
struct ev_loop *evl_ev(struct evl *l);

/* Reads the monotonic clock, in microseconds. */
uint64_t evl_now_us(struct evl *l);

#endif
