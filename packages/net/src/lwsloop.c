#include "lwsloop.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* Longest wait of one iteration when no timer is due. */
#define IDLE_WAKE_US (1 * US_PER_S)

/*
 * libwebsockets rounds its poll timeout down to whole milliseconds, and would
 * busy-poll for the remainder. Waits are therefore rounded up, with a margin
 * for the time that passes until it reads the clock.
 */
#define POLL_RESOLUTION_US (1 * US_PER_MS)
#define POLL_MARGIN_US 300

struct lwsloop {
	const struct clk *clk;
	struct tmr *timers;
	struct lws_context *context;
	struct lws_vhost *signal_vhost;
	lws_sorted_usec_list_t wake;
	lwsloop_signal_fn on_signal;
	void *signal_arg;
	int signal_fd;
	bool stopped;
};

/*
 * libwebsockets may call this just before it polls, and would then wait until
 * its own next timer; the cancel event makes the poll return at once.
 */
static void on_wake(lws_sorted_usec_list_t *sul)
{
	struct lwsloop *l = lws_container_of(sul, struct lwsloop, wake);

	lws_cancel_service(l->context);
}

/* Schedules a wake-up of libwebsockets for when the next timer is due. */
static void schedule_wake(struct lwsloop *l)
{
	uint64_t next = tmr_next_due(l->timers);
	uint64_t now = clk_mono_us(l->clk);
	uint64_t wait = IDLE_WAKE_US;

	if (next <= now)
		wait = 1;
	else if (next - now < wait)
		wait = (next - now + POLL_RESOLUTION_US - 1) /
			       POLL_RESOLUTION_US * POLL_RESOLUTION_US +
		       POLL_MARGIN_US;
	lws_sul_schedule(l->context, 0, &l->wake, on_wake, (lws_usec_t)wait);
}

/* Reads the pending signals and passes them to the signal handler. */
static int signal_callback(struct lws *wsi, enum lws_callback_reasons reason,
			   void *user, void *in, size_t len)
{
	struct lwsloop *l = lws_context_user(lws_get_context(wsi));
	struct signalfd_siginfo info;

	(void)user;
	(void)in;
	(void)len;
	if (reason != LWS_CALLBACK_RAW_RX_FILE)
		return 0;
	while (read(l->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		if (l->on_signal)
			l->on_signal(l->signal_arg, (int)info.ssi_signo);
	}
	return 0;
}

static const struct lws_protocols signal_protocols[] = {
	{ "signal", signal_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/*
 * Log output of libwebsockets is disabled, as callbacks report every failure.
 */
static struct lws_context *create_context(struct lwsloop *l,
					  unsigned int max_fds)
{
	struct lws_context_creation_info info;

	lws_set_log_level(0, NULL);
	memset(&info, 0, sizeof(info));
	info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
	info.fd_limit_per_thread = max_fds;
	info.user = l;
	info.gid = (gid_t)-1;
	info.uid = (uid_t)-1;
	return lws_create_context(&info);
}

/*
 * Creates an event loop without sockets. max_fds limits its descriptors; 0 uses
 * the limit of the process. Returns NULL on failure; errors: layer system, a
 * code of enum net_error.
 */
struct lwsloop *lwsloop_create(const struct clk *clk, unsigned int max_fds,
			       struct err *err)
{
	struct lwsloop *l = calloc(1, sizeof(*l));

	if (!l) {
		err_set(err, ERR_SYSTEM, NET_NO_MEMORY, "out of memory");
		return NULL;
	}
	l->clk = clk;
	l->signal_fd = -1;
	l->timers = tmr_create();
	l->context = l->timers ? create_context(l, max_fds) : NULL;
	if (!l->context) {
		err_set(err, ERR_SYSTEM, NET_NO_LOOP,
			"the event loop cannot be created");
		lwsloop_destroy(l);
		return NULL;
	}
	return l;
}

/*
 * Frees the event loop and closes its remaining connections; NULL is ignored.
 */
void lwsloop_destroy(struct lwsloop *l)
{
	if (!l)
		return;
	if (l->context) {
		lws_sul_cancel(&l->wake);
		lws_context_destroy(l->context);
	}
	if (l->timers)
		tmr_destroy(l->timers);
	free(l);
}

/*
 * Blocks SIGTERM and SIGINT and reports them to fn through a signalfd. SIGPIPE
 * is ignored. Returns false on failure; errors: layer system, NET_NO_LOOP.
 */
bool lwsloop_on_signal(struct lwsloop *l, lwsloop_signal_fn fn, void *arg,
		       struct err *err)
{
	lws_sock_file_fd_type fd;
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	l->on_signal = fn;
	l->signal_arg = arg;
	l->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (l->signal_fd < 0)
		return err_set(err, ERR_SYSTEM, NET_NO_LOOP, "signalfd: %s",
			       strerror(errno));
	l->signal_vhost = lwsloop_vhost(l, "signal", signal_protocols, l);
	fd.filefd = l->signal_fd;
	if (!l->signal_vhost ||
	    !lws_adopt_descriptor_vhost(l->signal_vhost,
					LWS_ADOPT_RAW_FILE_DESC, fd, "signal",
					NULL))
		return err_set(err, ERR_SYSTEM, NET_NO_LOOP,
			       "the signal descriptor cannot be watched");
	return true;
}

/* Waits up to one second for events and handles them, then runs due timers. */
void lwsloop_run_once(struct lwsloop *l)
{
	schedule_wake(l);
	lws_service(l->context, 0);
	tmr_run_due(l->timers, clk_mono_us(l->clk));
}

/* Runs until lwsloop_stop() is called. */
void lwsloop_run(struct lwsloop *l)
{
	l->stopped = false;
	while (!l->stopped)
		lwsloop_run_once(l);
}

/* Makes lwsloop_run() return after the current iteration. */
void lwsloop_stop(struct lwsloop *l)
{
	l->stopped = true;
	lws_cancel_service(l->context);
}

/* Returns the timer service of the event loop. */
struct tmr *lwsloop_timers(struct lwsloop *l)
{
	return l->timers;
}

/* Returns the clock that the event loop was created with. */
const struct clk *lwsloop_clock(struct lwsloop *l)
{
	return l->clk;
}

struct lws_context *lwsloop_context(struct lwsloop *l)
{
	return l->context;
}

/*
 * Creates a vhost without a listening socket, for raw sockets and clients with
 * the given protocols, which end with an entry without a name. Returns NULL on
 * failure.
 */
struct lws_vhost *lwsloop_vhost(struct lwsloop *l, const char *name,
				const struct lws_protocols *protocols,
				void *user)
{
	struct lws_context_creation_info info;

	memset(&info, 0, sizeof(info));
	/*
	 * Differs from the port of vhosts for servers: libwebsockets moves a
	 * request to the first vhost with the same port.
	 */
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.vhost_name = name;
	info.protocols = protocols;
	info.user = user;
	return lws_create_vhost(l->context, &info);
}

/* Returns the current monotonic time, in microseconds; not cached. */
uint64_t lwsloop_now_us(struct lwsloop *l)
{
	return clk_mono_us(l->clk);
}
