#ifndef LOP_H
#define LOP_H

/*
 * The event loop: one libwebsockets context on one thread, the timer service
 * in step with it, and the signals that ask the process to stop.
 */

#include <stdbool.h>

#include <libwebsockets.h>

#include "clk.h"
#include "err.h"
#include "tmr.h"

enum net_error {
	NET_NO_LOOP = 1, /* the loop cannot be made */
	NET_BAD_ADDRESS,
	NET_IN_USE, /* the address cannot be bound */
	NET_NO_MEMORY
};

struct lop;

/* Called in the loop for SIGTERM and SIGINT. */
typedef void (*lop_signal_fn)(void *arg, int signo);

/*
 * Makes the loop; max_fds bounds its sockets, 0 takes the limit of the
 * process. Errors: layer system, a code of enum net_error.
 */
struct lop *lop_create(const struct clk *clk, unsigned int max_fds,
		       struct err *err);
void lop_destroy(struct lop *l);

/* Blocks SIGTERM and SIGINT and gives them to fn instead. SIGPIPE is ignored. */
bool lop_on_signal(struct lop *l, lop_signal_fn fn, void *arg, struct err *err);

/* Runs until lop_stop(). */
void lop_run(struct lop *l);
void lop_stop(struct lop *l);

/* Waits for events and timers once and handles them; at most a second. */
void lop_step(struct lop *l);

struct tmr *lop_timers(struct lop *l);
const struct clk *lop_clock(struct lop *l);
struct lws_context *lop_context(struct lop *l);

/*
 * Creates a vhost without a listening socket, on which raw sockets and clients
 * run with the given protocols (ended by an entry without a name).
 */
struct lws_vhost *lop_vhost(struct lop *l, const char *name,
			    const struct lws_protocols *protocols, void *user);

/* Reads the monotonic clock, in microseconds. */
uint64_t lop_now_us(struct lop *l);

#endif
