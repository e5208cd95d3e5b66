#include <stdlib.h>

#include "att_int.h"
#include "log.h"
#include "skt.h"

/* Refused connections in a row that prove the end of the upstream. */
#define REFUSALS_MAX 2
/* Between two of them, so that a restart in between is seen. */
#define REFUSAL_GAP_US (60 * US_PER_MS)

/* A machine answers its own connections within this time. */
#define CONNECT_US (200 * US_PER_MS)

static void probe_again(void *arg, uint64_t now_us);

/* The upstream takes connections, so that it lives. */
static void on_connected(void *arg)
{
	struct att *a = arg;

	a->refusals = 0;
	att_stop_probe(a);
}

/* The upstream does not take the connection: it hangs or is cut off. */
static void on_connect_time(void *arg, uint64_t now_us)
{
	struct att *a = arg;

	(void)now_us;
	a->probe_limit = 0;
	att_stop_probe(a);
	att_set_silent(a, true, "it takes no connection");
}

/* An upstream sends nothing before a request. */
static void on_input(void *arg)
{
	on_connected(arg);
}

/* A refusal shows that no process listens; anything else shows nothing. */
static void on_end(void *arg, enum skt_end why)
{
	struct att *a = arg;

	att_stop_probe(a);
	if (why != SKT_REFUSED) {
		a->refusals = 0;
		return;
	}
	if (++a->refusals >= REFUSALS_MAX) {
		att_end_life(a, true, "its address refuses connections");
		a->ops->on_upstream(a->arg);
		a->ops->on_keys(a->arg);
		return;
	}
	tmr_at(evl_timers(a->parts.loop),
	       evl_now_us(a->parts.loop) + REFUSAL_GAP_US, probe_again, a);
}

static const struct skt_ops probe_ops = { on_input, on_connected, on_end };

/* Probes once more. */
static void probe_again(void *arg, uint64_t now_us)
{
	(void)now_us;
	att_start_probe(arg);
}

/* Opens a connection to the upstream, one at a time. */
void att_start_probe(struct att *a)
{
	struct sockaddr_in address;

	if (a->probe || a->life.id[0] == '\0' ||
	    !skt_parse(a->parts.settings->upstream_address, &address))
		return;
	a->probe = skt_connect(a->parts.loop, &address, &probe_ops, a);
	if (a->probe)
		a->probe_limit = tmr_at(evl_timers(a->parts.loop),
					evl_now_us(a->parts.loop) + CONNECT_US,
					on_connect_time, a);
	else
		log_emit(LOG_NO_DESCRIPTOR, "to=%s",
			 a->parts.settings->upstream_address);
}

/* Closes the connection. */
void att_stop_probe(struct att *a)
{
	tmr_cancel(evl_timers(a->parts.loop), a->probe_limit);
	a->probe_limit = 0;
	if (a->probe)
		skt_close(a->probe);
	a->probe = NULL;
}
