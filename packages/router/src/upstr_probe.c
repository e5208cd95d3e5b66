#include <stdlib.h>

#include "upstr_int.h"
#include "log.h"
#include "tcpsock.h"

/* Consecutive refused connections that prove the end of the upstream. */
#define REFUSALS_REQUIRED 2
/* Interval between two attempts, in which a restart can complete. */
#define REFUSAL_GAP_US (60 * US_PER_MS)

/* Time limit of a connection attempt, which stays on this instance. */
#define CONNECT_TIMEOUT_US (200 * US_PER_MS)

static void probe_again(void *arg, uint64_t now_us);

/* The upstream accepts connections: it is up. */
static void on_connected(void *arg)
{
	struct upstr *a = arg;

	a->refusals = 0;
	upstr_stop_probe(a);
}

/* The upstream neither accepts nor refuses: it hangs or is unreachable. */
static void on_connect_timeout(void *arg, uint64_t now_us)
{
	struct upstr *a = arg;

	(void)now_us;
	a->connect_timer = 0;
	upstr_stop_probe(a);
	upstr_set_silent(a, true, "connection attempt timed out");
}

/* Input proves a connection, though an upstream sends nothing unasked. */
static void on_input(void *arg)
{
	on_connected(arg);
}

/* Only a refusal proves that no process listens; other errors do not. */
static void on_end(void *arg, enum tcpsock_end_reason why)
{
	struct upstr *a = arg;

	upstr_stop_probe(a);
	if (why != TCPSOCK_REFUSED) {
		a->refusals = 0;
		return;
	}
	upstr_forget_warm(a);
	if (++a->refusals >= REFUSALS_REQUIRED) {
		upstr_end_incarnation(a, true,
				      "its address refuses connections");
		a->ops->on_upstream(a->arg);
		a->ops->on_keys(a->arg);
		return;
	}
	a->repeat_timer = tmr_at(evloop_timers(a->parts.loop),
				 evloop_now_us(a->parts.loop) + REFUSAL_GAP_US,
				 probe_again, a);
}

static const struct tcpsock_ops probe_ops = {
	.on_input = on_input,
	.on_drained = on_connected,
	.on_end = on_end,
};

/* Repeats the probe. */
static void probe_again(void *arg, uint64_t now_us)
{
	struct upstr *a = arg;

	(void)now_us;
	a->repeat_timer = 0;
	upstr_start_probe(a);
}

/* Opens a connection to the upstream unless one is open already. */
void upstr_start_probe(struct upstr *a)
{
	struct sockaddr_in address;

	if (a->probe || a->incarnation.id[0] == '\0' ||
	    !tcpsock_parse_address(a->parts.settings->upstream_address,
				   &address))
		return;
	a->probe = tcpsock_connect(a->parts.loop, &address, &probe_ops, a);
	if (a->probe)
		a->connect_timer = tmr_at(evloop_timers(a->parts.loop),
					  evloop_now_us(a->parts.loop) +
						  CONNECT_TIMEOUT_US,
					  on_connect_timeout, a);
	else
		log_emit(LOG_NO_DESCRIPTOR, "to=%s",
			 a->parts.settings->upstream_address);
}

/* Probes whether the upstream still accepts connections. */
void upstr_check_health(struct upstr *a)
{
	if (a->incarnation.id[0] != '\0')
		upstr_start_probe(a);
}

/* Closes the connection of the probe. */
void upstr_stop_probe(struct upstr *a)
{
	tmr_cancel(evloop_timers(a->parts.loop), a->connect_timer);
	tmr_cancel(evloop_timers(a->parts.loop), a->repeat_timer);
	a->connect_timer = 0;
	a->repeat_timer = 0;
	if (a->probe)
		tcpsock_close(a->probe);
	a->probe = NULL;
}
