#ifndef EVLOOP_H
#define EVLOOP_H

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

struct evloop;

typedef void (*evloop_signal_fn)(void *arg, int signo);

/*
 * Returns NULL on failure, with layer ERR_SYSTEM and a code of enum io_error.
 */
struct evloop *evloop_create(const struct clk *clk, struct err *err);
void evloop_destroy(struct evloop *l);

/* Calls fn for SIGTERM, SIGINT and SIGHUP. SIGPIPE is ignored. */
void evloop_on_signal(struct evloop *l, evloop_signal_fn fn, void *arg);

/* Blocks until evloop_stop() is called. */
void evloop_run(struct evloop *l);
void evloop_stop(struct evloop *l);

/*
 * Runs one iteration that blocks for at most wait_us microseconds. For tests.
 */
void evloop_run_once(struct evloop *l, uint64_t wait_us);

struct tmr *evloop_timers(struct evloop *l);
const struct clk *evloop_clock(struct evloop *l);
struct ev_loop *evloop_libev(struct evloop *l);

/* Reads the monotonic clock, in microseconds. */
uint64_t evloop_now_us(struct evloop *l);

/*
 * A round handles all events that one poll has found. Returns the time of the
 * last poll; the events in hand had occurred by then.
 */
uint64_t evloop_polled_us(const struct evloop *l);

/* Returns the longest round since the last call, in microseconds. */
uint64_t evloop_take_longest_round_us(struct evloop *l);

#endif
