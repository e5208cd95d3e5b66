#ifndef LOP_H
#define LOP_H

/*
 * Event loop: a single-threaded libwebsockets context with a timer service and
 * the handling of termination signals.
 */

#include <stdbool.h>

#include <libwebsockets.h>

#include "clk.h"
#include "err.h"
#include "tmr.h"

enum net_error {
	NET_NO_LOOP = 1, /* the event loop cannot be created or used */
	NET_BAD_ADDRESS,
	NET_IN_USE, /* the address cannot be bound */
	NET_NO_MEMORY
};

struct lop;

/* Called on the thread of the event loop for SIGTERM and SIGINT. */
typedef void (*lop_signal_fn)(void *arg, int signo);

struct lop *lop_create(const struct clk *clk, unsigned int max_fds,
		       struct err *err);
void lop_destroy(struct lop *l);

bool lop_on_signal(struct lop *l, lop_signal_fn fn, void *arg, struct err *err);

void lop_run(struct lop *l);
void lop_stop(struct lop *l);

void lop_step(struct lop *l);

struct tmr *lop_timers(struct lop *l);
const struct clk *lop_clock(struct lop *l);
struct lws_context *lop_context(struct lop *l);

struct lws_vhost *lop_vhost(struct lop *l, const char *name,
			    const struct lws_protocols *protocols, void *user);

uint64_t lop_now_us(struct lop *l);

#endif
