#include "upclient_int.h"

#include <stdlib.h>
#include <string.h>

/* Interval of the search for idle connections. */
#define SWEEP_US (10 * US_PER_S)

/* Fails a call whose timeout has expired, and stops its work at the server. */
static void on_timeout(void *arg, uint64_t now_us)
{
	struct upclient_call *c = arg;

	(void)now_us;
	c->timer = 0;
	upclient_conn_close(c->conn, true);
	upclient_call_fail(c, c->sent ? UPCLIENT_TIMEOUT : UPCLIENT_NOT_SENT);
}

static uint32_t start(struct upclient *base, const struct upclient_request *req,
		      const struct upclient_events *events, void *arg)
{
	struct upclient_pool *u = (struct upclient_pool *)base;
	struct upclient_conn *conn = upclient_conn_acquire(u);
	struct upclient_call *c = conn ? calloc(1, sizeof(*c)) : NULL;

	if (!c)
		return 0;
	c->pool = u;
	c->conn = conn;
	c->events = events;
	c->arg = arg;
	conn->call = c;
	c->handle = slotmap_add(u->calls, c);
	c->timer = tmr_at(lwsloop_timers(u->loop),
			  lwsloop_now_us(u->loop) + req->timeout_us, on_timeout,
			  c);
	if (!c->handle || !c->timer || !upclient_call_begin(c, req)) {
		upclient_call_drop(c);
		return 0;
	}
	upclient_conn_flush(conn);
	return c->handle;
}

static bool write_body(struct upclient *base, uint32_t call, const void *data,
		       size_t len, bool end)
{
	struct upclient_call *c =
		slotmap_get(((struct upclient_pool *)base)->calls, call);

	if (!c || c->body_end || !upclient_call_queue(c, data, len, end))
		return false;
	upclient_conn_flush(c->conn);
	c->blocked = buf_len(&c->conn->out) > WEBSRV_BUFFER_MAX;
	return !c->blocked;
}

static void pause_body(struct upclient *base, uint32_t call, bool paused)
{
	struct upclient_call *c =
		slotmap_get(((struct upclient_pool *)base)->calls, call);

	if (!c)
		return;
	c->paused = paused;
	upclient_conn_schedule(c->conn);
}

static void cancel(struct upclient *base, uint32_t call)
{
	struct upclient_call *c =
		slotmap_get(((struct upclient_pool *)base)->calls, call);

	if (c)
		upclient_call_drop(c);
}

static void destroy(struct upclient *base)
{
	struct upclient_pool *u = (struct upclient_pool *)base;
	struct upclient_call *c;
	size_t pos = 0;

	while (u->calls && (c = slotmap_next(u->calls, &pos)))
		upclient_call_drop(c);
	upclient_conns_free(u);
	tmr_cancel(lwsloop_timers(u->loop), u->idle_timer);
	fdwatch_destroy(u->watch);
	if (u->calls)
		slotmap_destroy(u->calls);
	free(u->host);
	free(u);
}

static const struct upclient_ops ops = {
	.start = start,
	.write = write_body,
	.pause = pause_body,
	.cancel = cancel,
	.destroy = destroy,
};

static void sweep(void *arg, uint64_t now_us)
{
	upclient_conns_sweep(arg, now_us);
}

/*
 * Creates an empty pool; connections are opened on demand. No callback runs
 * inside start(), and destroy() must not be called by one. Returns NULL on
 * failure; errors: layer upstream, a code of enum net_error.
 */
struct upclient *upclient_pool_create(struct lwsloop *l, const char *address,
				      uint16_t port,
				      unsigned int max_connections,
				      struct err *err)
{
	struct upclient_pool *u = calloc(1, sizeof(*u));

	if (!u) {
		err_set(err, ERR_UPSTREAM, NET_NO_MEMORY, "out of memory");
		return NULL;
	}
	u->base.ops = &ops;
	u->loop = l;
	u->max = max_connections;
	u->host = strdup(address);
	u->calls = slotmap_create(SLOTMAP_MAX_ENTRIES);
	u->watch = fdwatch_create(l, upclient_conn_on_event);
	if (!u->host || !u->calls || !u->watch) {
		err_set(err, ERR_UPSTREAM, NET_NO_MEMORY, "out of memory");
		destroy(&u->base);
		return NULL;
	}
	if (!netaddr_parse(address, port, &u->address)) {
		err_set(err, ERR_UPSTREAM, NET_BAD_ADDRESS,
			"%s is not an IP address", address);
		destroy(&u->base);
		return NULL;
	}
	u->idle_timer =
		tmr_every(lwsloop_timers(l), lwsloop_now_us(l) + SWEEP_US,
			  SWEEP_US, sweep, u);
	return &u->base;
}

/* Starts a request; returns a handle, or 0 if no connection is available. */
uint32_t upclient_start(struct upclient *u, const struct upclient_request *req,
			const struct upclient_events *events, void *arg)
{
	return u->ops->start(u, req, events, arg);
}

/* Queues request body data; after false, wait for writable(). */
bool upclient_write(struct upclient *u, uint32_t call, const void *data,
		    size_t len, bool end)
{
	return u->ops->write(u, call, data, len, end);
}

/* Pauses or resumes reading the response body. */
void upclient_pause(struct upclient *u, uint32_t call, bool paused)
{
	u->ops->pause(u, call, paused);
}

/* Cancels a request and closes its connection; no callback follows. */
void upclient_cancel(struct upclient *u, uint32_t call)
{
	u->ops->cancel(u, call);
}

/* Frees the pool and cancels its requests without a callback. */
void upclient_destroy(struct upclient *u)
{
	u->ops->destroy(u);
}
