#ifndef LWSLOOP_H
#define LWSLOOP_H

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

struct lwsloop;

/* Called on the thread of the event loop for SIGTERM and SIGINT. */
typedef void (*lwsloop_signal_fn)(void *arg, int signo);

struct lwsloop *lwsloop_create(const struct clk *clk, unsigned int max_fds,
			       struct err *err);
void lwsloop_destroy(struct lwsloop *l);

bool lwsloop_on_signal(struct lwsloop *l, lwsloop_signal_fn fn, void *arg,
		       struct err *err);

void lwsloop_run(struct lwsloop *l);
void lwsloop_stop(struct lwsloop *l);

void lwsloop_run_once(struct lwsloop *l);

struct tmr *lwsloop_timers(struct lwsloop *l);
const struct clk *lwsloop_clock(struct lwsloop *l);
struct lws_context *lwsloop_context(struct lwsloop *l);

struct lws_vhost *lwsloop_vhost(struct lwsloop *l, const char *name,
				const struct lws_protocols *protocols,
				void *user);

uint64_t lwsloop_now_us(struct lwsloop *l);

#endif
