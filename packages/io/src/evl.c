#include "evl.h"

#include <signal.h>
#include <stdlib.h>

#define SIGNALS 3

struct evl {
	const struct clk *clk;
	struct ev_loop *ev;
	struct tmr *timers;
	ev_prepare before_wait;
	ev_timer wake;
	ev_signal signals[SIGNALS];
	evl_signal_fn on_signal;
	void *signal_arg;
};

/* Runs the timers that are due; the next wait is set before it begins. */
static void run_timers(struct ev_loop *ev, ev_timer *w, int events)
{
	struct evl *l = w->data;

	(void)ev;
	(void)events;
	tmr_run(l->timers, clk_mono_us(l->clk));
}

/* Sets the wake-up to the next due time of the timer service. */
static void set_wake(struct ev_loop *ev, ev_prepare *w, int events)
{
	struct evl *l = w->data;
	uint64_t next = tmr_next(l->timers);
	uint64_t now;

	(void)events;
	ev_timer_stop(ev, &l->wake);
	if (next == TMR_NEVER)
		return;
	now = clk_mono_us(l->clk);
	ev_now_update(ev);
	ev_timer_set(&l->wake,
		     next > now ? (double)(next - now) / (double)US_PER_S : 0.0,
		     0.0);
	ev_timer_start(ev, &l->wake);
}

/* Makes the loop without any socket. */
struct evl *evl_create(const struct clk *clk, struct err *err)
{
	struct evl *l = calloc(1, sizeof(*l));

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
		evl_destroy(l);
		return NULL;
	}
	ev_init(&l->wake, run_timers);
	l->wake.data = l;
	ev_prepare_init(&l->before_wait, set_wake);
	l->before_wait.data = l;
	ev_prepare_start(l->ev, &l->before_wait);
	signal(SIGPIPE, SIG_IGN);
	return l;
}

/* Frees the loop; all its sockets must be closed. */
void evl_destroy(struct evl *l)
{
	if (!l)
		return;
	if (l->ev) {
		for (size_t i = 0; l->on_signal && i < SIGNALS; i++)
			ev_signal_stop(l->ev, &l->signals[i]);
		ev_prepare_stop(l->ev, &l->before_wait);
		ev_timer_stop(l->ev, &l->wake);
		ev_loop_destroy(l->ev);
	}
	tmr_destroy(l->timers);
	free(l);
}

/* Hands a signal to the subscriber. */
static void take_signal(struct ev_loop *ev, ev_signal *w, int events)
{
	struct evl *l = w->data;

	(void)ev;
	(void)events;
	l->on_signal(l->signal_arg, w->signum);
}

/* Subscribes to the signals that stop or reload the process. */
void evl_on_signal(struct evl *l, evl_signal_fn fn, void *arg)
{
	static const int numbers[SIGNALS] = { SIGTERM, SIGINT, SIGHUP };

	l->on_signal = fn;
	l->signal_arg = arg;
	for (size_t i = 0; i < SIGNALS; i++) {
		ev_signal_init(&l->signals[i], take_signal, numbers[i]);
		l->signals[i].data = l;
		ev_signal_start(l->ev, &l->signals[i]);
	}
}

/* Runs until evl_stop(). */
void evl_run(struct evl *l)
{
	ev_run(l->ev, 0);
}

/* Ends evl_run(). */
void evl_stop(struct evl *l)
{
	ev_break(l->ev, EVBREAK_ALL);
}

/* Only wakes the loop from its wait. */
static void end_step(void *arg, uint64_t now_us)
{
	(void)arg;
	(void)now_us;
}

/* Handles what is ready, after a wait of at most wait_us. */
void evl_step(struct evl *l, uint64_t wait_us)
{
	uint32_t end =
		tmr_at(l->timers, evl_now_us(l) + wait_us, end_step, NULL);

	ev_run(l->ev, EVRUN_ONCE);
	tmr_cancel(l->timers, end);
}

/* Returns the timer service. */
struct tmr *evl_timers(struct evl *l)
{
	return l->timers;
}

/* Returns the clock of the loop. */
const struct clk *evl_clock(struct evl *l)
{
	return l->clk;
}

/* Returns the loop of libev, for watchers of sockets. */
struct ev_loop *evl_ev(struct evl *l)
{
	return l->ev;
}

/* Reads the monotonic clock. */
uint64_t evl_now_us(struct evl *l)
{
	return clk_mono_us(l->clk);
}
