#include "evloop.h"

#include <signal.h>
#include <stdlib.h>

#define SIGNAL_COUNT 3

struct evloop {
	const struct clk *clk;
	struct ev_loop *ev;
	struct tmr *timers;
	ev_prepare prepare;
	ev_check check;
	ev_timer wakeup;
	ev_signal signals[SIGNAL_COUNT];
	evloop_signal_fn on_signal;
	void *signal_arg;
	uint64_t polled_us; /* when the present round began */
	uint64_t longest_round_us;
};

/* Runs the timers that are due. end_round() arms the next wait. */
static void run_timers(struct ev_loop *ev, ev_timer *w, int events)
{
	struct evloop *l = w->data;

	(void)ev;
	(void)events;
	tmr_run_due(l->timers, clk_mono_us(l->clk));
}

/* Begins a round, before the callback of any event that the poll has found. */
static void begin_round(struct ev_loop *ev, ev_check *w, int events)
{
	struct evloop *l = w->data;

	(void)ev;
	(void)events;
	l->polled_us = clk_mono_us(l->clk);
}

/* Ends a round: arms the wakeup timer for the next expiry of a timer. */
static void end_round(struct ev_loop *ev, ev_prepare *w, int events)
{
	struct evloop *l = w->data;
	uint64_t next = tmr_next_due(l->timers);
	uint64_t now = clk_mono_us(l->clk);
	uint64_t round = clk_elapsed(now, l->polled_us);

	(void)events;
	if (round > l->longest_round_us)
		l->longest_round_us = round;
	ev_timer_stop(ev, &l->wakeup);
	if (next == TMR_NEVER)
		return;
	ev_now_update(ev);
	ev_timer_set(&l->wakeup,
		     next > now ? (double)(next - now) / (double)US_PER_S : 0.0,
		     0.0);
	ev_timer_start(ev, &l->wakeup);
}

/*
 * Creates an event loop. Returns NULL and sets err (IO_NO_MEMORY or IO_NO_LOOP)
 * on failure.
 */
struct evloop *evloop_create(const struct clk *clk, struct err *err)
{
	struct evloop *l = calloc(1, sizeof(*l));

	if (!l) {
		err_set(err, ERR_SYSTEM, IO_NO_MEMORY, "out of memory");
		return NULL;
	}
	l->clk = clk;
	l->timers = tmr_create();
	l->ev = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOENV);
	if (!l->timers || !l->ev) {
		err_set(err, ERR_SYSTEM, IO_NO_LOOP,
			"the event loop cannot be created");
		evloop_destroy(l);
		return NULL;
	}
	ev_init(&l->wakeup, run_timers);
	l->wakeup.data = l;
	l->polled_us = clk_mono_us(clk);
	ev_prepare_init(&l->prepare, end_round);
	l->prepare.data = l;
	ev_prepare_start(l->ev, &l->prepare);
	ev_check_init(&l->check, begin_round);
	ev_set_priority(&l->check, EV_MAXPRI);
	l->check.data = l;
	ev_check_start(l->ev, &l->check);
	signal(SIGPIPE, SIG_IGN);
	return l;
}

/* Frees the loop. All sockets that use it must have been closed. */
void evloop_destroy(struct evloop *l)
{
	if (!l)
		return;
	if (l->ev) {
		for (size_t i = 0; l->on_signal && i < SIGNAL_COUNT; i++)
			ev_signal_stop(l->ev, &l->signals[i]);
		ev_prepare_stop(l->ev, &l->prepare);
		ev_check_stop(l->ev, &l->check);
		ev_timer_stop(l->ev, &l->wakeup);
		ev_loop_destroy(l->ev);
	}
	tmr_destroy(l->timers);
	free(l);
}

/* Passes a signal to the registered callback. */
static void dispatch_signal(struct ev_loop *ev, ev_signal *w, int events)
{
	struct evloop *l = w->data;

	(void)ev;
	(void)events;
	l->on_signal(l->signal_arg, w->signum);
}

/* Registers the callback for SIGTERM, SIGINT and SIGHUP. */
void evloop_on_signal(struct evloop *l, evloop_signal_fn fn, void *arg)
{
	static const int numbers[SIGNAL_COUNT] = { SIGTERM, SIGINT, SIGHUP };

	l->on_signal = fn;
	l->signal_arg = arg;
	for (size_t i = 0; i < SIGNAL_COUNT; i++) {
		ev_signal_init(&l->signals[i], dispatch_signal, numbers[i]);
		l->signals[i].data = l;
		ev_signal_start(l->ev, &l->signals[i]);
	}
}

/* Runs the loop until evloop_stop() is called. */
void evloop_run(struct evloop *l)
{
	ev_run(l->ev, 0);
}

/* Makes evloop_run() return after the current iteration. */
void evloop_stop(struct evloop *l)
{
	ev_break(l->ev, EVBREAK_ALL);
}

/* Empty timer callback: the expiry alone ends the wait of evloop_run_once(). */
static void end_step(void *arg, uint64_t now_us)
{
	(void)arg;
	(void)now_us;
}

/* Runs one iteration, which blocks for at most wait_us microseconds. */
void evloop_run_once(struct evloop *l, uint64_t wait_us)
{
	uint32_t end =
		tmr_at(l->timers, evloop_now_us(l) + wait_us, end_step, NULL);

	ev_run(l->ev, EVRUN_ONCE);
	tmr_cancel(l->timers, end);
}

struct tmr *evloop_timers(struct evloop *l)
{
	return l->timers;
}

const struct clk *evloop_clock(struct evloop *l)
{
	return l->clk;
}

/* Returns the underlying libev loop, for registering socket watchers. */
struct ev_loop *evloop_libev(struct evloop *l)
{
	return l->ev;
}

/* Reads the monotonic clock, in microseconds. */
uint64_t evloop_now_us(struct evloop *l)
{
	return clk_mono_us(l->clk);
}

/* Returns when the present round began, in microseconds. */
uint64_t evloop_polled_us(const struct evloop *l)
{
	return l->polled_us;
}

/* Returns the longest round and begins to measure anew. */
uint64_t evloop_take_longest_round_us(struct evloop *l)
{
	uint64_t longest = l->longest_round_us;

	l->longest_round_us = 0;
	return longest;
}
