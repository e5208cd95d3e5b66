#include "httpsrv.h"

#include <stdlib.h>
#include <utlist.h>

#include "httpsrv_int.h"

#define SWEEP_US (500 * US_PER_MS)
#define DEFAULT_BODY_BYTES (64U << 20)
#define DEFAULT_BUFFERED_BYTES (96U << 20)
#define DEFAULT_HEADER_US (5 * US_PER_S)
#define DEFAULT_IDLE_US (60 * US_PER_S)

/* Sets up an accepted connection. */
static void on_accept(void *arg, int fd)
{
	httpclient_create(arg, fd);
}

/* Returns the request that a connection is receiving, or NULL. */
static const struct httpconn *find_incomplete(const struct httpclient *k)
{
	const struct httpconn *c = k->requests ? k->requests->prev : NULL;

	return c && c->phase == HTTPCONN_RECEIVING ? c : NULL;
}

/* Closes connections that exceed the idle or the request timeout. */
static void close_timed_out(void *arg, uint64_t now_us)
{
	struct httpsrv *s = arg;
	struct httpclient *k, *next;

	DL_FOREACH_SAFE(s->clients, k, next)
	{
		const struct httpconn *c = find_incomplete(k);

		if (k->closed)
			continue;
		if (c && clk_elapsed(now_us, c->start_us) > s->limits.header_us)
			httpclient_drop_incomplete(k);
		else if (!k->requests && clk_elapsed(now_us, k->idle_since_us) >
						 s->limits.idle_us)
			httpclient_close(k, true);
	}
}

/* Listens with default limits. Returns NULL and sets err (IO_*) on failure. */
struct httpsrv *httpsrv_create(struct evloop *l, const char *address,
			       const struct httpsrv_ops *ops, void *arg,
			       struct err *err)
{
	static const struct httpsrv_limits defaults = {
		HTTPMSG_HEAD_BYTES, DEFAULT_BODY_BYTES, DEFAULT_BUFFERED_BYTES,
		DEFAULT_HEADER_US, DEFAULT_IDLE_US
	};
	struct httpsrv *s = calloc(1, sizeof(*s));

	if (!s) {
		err_set(err, ERR_SYSTEM, IO_NO_MEMORY, "out of memory");
		return NULL;
	}
	s->loop = l;
	s->ops = ops;
	s->arg = arg;
	s->limits = defaults;
	s->listener = tcplisten_create(l, address, on_accept, s, err);
	if (!s->listener) {
		free(s);
		return NULL;
	}
	s->sweep_timer =
		tmr_every(evloop_timers(l), evloop_now_us(l) + SWEEP_US,
			  SWEEP_US, close_timed_out, s);
	return s;
}

void httpsrv_destroy(struct httpsrv *s)
{
	if (!s)
		return;
	tmr_cancel(evloop_timers(s->loop), s->sweep_timer);
	/* The analyzer does not follow the list of utlist. */
	while (s->clients)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		httpclient_destroy(s->clients);
	tcplisten_destroy(s->listener);
	httpguard_remove(s->guard, s);
	free(s);
}

void httpsrv_set_limits(struct httpsrv *s, const struct httpsrv_limits *limits)
{
	s->limits = *limits;
}

/* Sets the pacer, which several servers may share. */
void httpsrv_set_pacer(struct httpsrv *s, struct pacer *link)
{
	s->link = link;
}

void httpsrv_set_body_filter(struct httpsrv *s, httpsrv_body_fn is_needed)
{
	s->needs_body = is_needed;
}

void httpsrv_set_refusal(struct httpsrv *s, httpsrv_refusal_fn fn)
{
	s->write_refusal = fn;
}

void httpsrv_set_overlap(struct httpsrv *s, httpsrv_overlap_fn fn,
			 size_t held_bytes)
{
	s->overlaps = fn;
	s->budget.limit = held_bytes;
}

void httpsrv_set_expect(struct httpsrv *s, httpsrv_expect_fn fn)
{
	s->expect = fn;
}

void httpsrv_set_compact(struct httpsrv *s)
{
	s->compact = true;
}

/*
 * For a graceful shutdown: closes each connection after the requests that have
 * been read. One whose last response has begun closes with its next request.
 */
void httpsrv_drain(struct httpsrv *s)
{
	struct httpclient *k;

	s->draining = true;
	DL_FOREACH(s->clients, k)
	{
		struct httpconn *c = httpclient_last_request(k);

		if (k->closed || !c || c->open)
			continue;
		c->close_after = true;
		pipeline_set_last(k->order, c->place);
	}
}

/* True if an exit would cut off a response that has been sent. */
static bool is_sending(const struct httpclient *k)
{
	if (k->closed)
		return false;
	return k->expendable ? buf_len(tcpsock_output(k->socket)) > 0 :
			       tcpsock_has_unacked(k->socket);
}

/* Counts the connections whose requests or responses an exit would cut off. */
uint32_t httpsrv_busy_count(const struct httpsrv *s)
{
	const struct httpclient *k;
	uint32_t busy = 0;

	DL_FOREACH(s->clients, k)
	{
		busy += !k->closed && (k->requests || is_sending(k));
	}
	return busy;
}

/* Counts the connections whose responses an exit would cut off. */
uint32_t httpsrv_sending_count(const struct httpsrv *s)
{
	const struct httpclient *k;
	uint32_t sending = 0;

	DL_FOREACH(s->clients, k)
	{
		sending += is_sending(k);
	}
	return sending;
}
