#include "upclient_int.h"

#include <stdlib.h>
#include <string.h>

/* Idle timeout of a persistent connection, in seconds. */
#define IDLE_TIMEOUT_S 60

/* Copies the request headers in the format of struct upclient_call. */
static char *copy_headers(const struct upclient_request *req)
{
	size_t size = 1;
	char *block;
	char *at;

	for (size_t i = 0; i < req->header_count; i++)
		size += strlen(req->headers[i].name) +
			strlen(req->headers[i].value) + 3;
	block = malloc(size);
	at = block;
	for (size_t i = 0; at && i < req->header_count; i++) {
		at = stpcpy(at, req->headers[i].name);
		at = stpcpy(at, ":") + 1;
		at = stpcpy(at, req->headers[i].value) + 1;
	}
	if (block)
		*at = '\0';
	return block;
}

/* Fails a call whose timeout has expired. */
static void on_timeout(void *arg, uint64_t now_us)
{
	struct upclient_call *c = arg;

	(void)now_us;
	c->timer = 0;
	upclient_call_shutdown(c);
	upclient_call_fail(c, c->sent ? UPCLIENT_TIMEOUT : UPCLIENT_NOT_SENT);
}

/* Starts the request in libwebsockets. */
static void connect_call(struct upclient_call *c,
			 const struct upclient_request *req)
{
	struct upclient_lws *u = c->pool;
	struct lws_client_connect_info info;
	struct lws *wsi;

	memset(&info, 0, sizeof(info));
	info.context = lwsloop_context(u->loop);
	info.vhost = c->pool_conn->vhost;
	info.address = u->address;
	info.host = u->address; /* must equal address for connection reuse */
	info.port = u->port;
	info.path = req->target;
	info.method = c->method;
	info.protocol = "upstream";
	info.alpn = "http/1.1";
	info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
	info.opaque_user_data = c;
	info.keep_warm_secs = IDLE_TIMEOUT_S;
	c->starting = true;
	wsi = lws_client_connect_via_info(&info);
	if (wsi && !c->report_timer)
		c->wsi = wsi;
	else if (!c->report_timer)
		upclient_call_fail(c, UPCLIENT_NOT_SENT);
	c->starting = false;
}

/* Initialises a call from its request; returns false when out of memory. */
static bool fill_call(struct upclient_call *c,
		      const struct upclient_request *req)
{
	c->request_length = req->content_length;
	c->method = strdup(req->method);
	c->headers = copy_headers(req);
	if (!c->method || !c->headers)
		return false;
	if (c->request_length == 0)
		return true;
	return (!req->first_len && !req->end) ||
	       upclient_call_queue(c, req->first, req->first_len, req->end);
}

static uint32_t start(struct upclient *base, const struct upclient_request *req,
		      const struct upclient_events *events, void *arg)
{
	struct upclient_lws *u = (struct upclient_lws *)base;
	struct upclient_conn *pool_conn = upclient_acquire(u);
	struct upclient_call *c = pool_conn ? calloc(1, sizeof(*c)) : NULL;

	if (!c)
		return 0;
	c->pool = u;
	c->probe_fd = -1;
	c->pool_conn = pool_conn;
	c->events = events;
	c->arg = arg;
	pool_conn->call = c;
	c->handle = slotmap_add(u->calls, c);
	c->timer = tmr_at(lwsloop_timers(u->loop),
			  lwsloop_now_us(u->loop) + req->timeout_us, on_timeout,
			  c);
	if (!c->handle || !c->timer || !fill_call(c, req)) {
		upclient_call_drop(c);
		return 0;
	}
	connect_call(c, req);
	return c->handle;
}

static bool write_body(struct upclient *base, uint32_t call, const void *data,
		       size_t len, bool end)
{
	struct upclient_call *c =
		slotmap_get(((struct upclient_lws *)base)->calls, call);

	if (!c || c->body_end || !upclient_call_queue(c, data, len, end))
		return false;
	c->blocked = c->queued_bytes > WEBSRV_BUFFER_MAX;
	return !c->blocked;
}

static void pause_body(struct upclient *base, uint32_t call, bool paused)
{
	struct upclient_call *c =
		slotmap_get(((struct upclient_lws *)base)->calls, call);

	if (c && c->wsi)
		lws_rx_flow_control(c->wsi, !paused);
}

static void cancel(struct upclient *base, uint32_t call)
{
	struct upclient_call *c =
		slotmap_get(((struct upclient_lws *)base)->calls, call);

	if (c)
		upclient_call_drop(c);
}

static void destroy(struct upclient *base)
{
	struct upclient_lws *u = (struct upclient_lws *)base;
	struct upclient_call *c;
	size_t pos = 0;

	while (u->calls && (c = slotmap_next(u->calls, &pos)))
		upclient_call_drop(c);
	upclient_conns_free(u);
	if (u->calls)
		slotmap_destroy(u->calls);
	free(u->address);
	free(u);
}

static const struct upclient_ops ops = {
	.start = start,
	.write = write_body,
	.pause = pause_body,
	.cancel = cancel,
	.destroy = destroy,
};

/*
 * Creates an empty pool; connections are opened on demand. No callback runs
 * inside start(). Returns NULL on failure; errors: layer upstream, a code of
 * enum net_error.
 */
struct upclient *upclient_lws_create(struct lwsloop *l, const char *address,
				     uint16_t port,
				     unsigned int max_connections,
				     struct err *err)
{
	struct upclient_lws *u = calloc(1, sizeof(*u));

	if (!u) {
		err_set(err, ERR_UPSTREAM, NET_NO_MEMORY, "out of memory");
		return NULL;
	}
	u->base.ops = &ops;
	u->loop = l;
	u->port = port;
	u->max = max_connections;
	u->address = strdup(address);
	u->calls = slotmap_create(SLOTMAP_MAX_ENTRIES);
	if (!u->address || !u->calls) {
		err_set(err, ERR_UPSTREAM, NET_NO_MEMORY, "out of memory");
		destroy(&u->base);
		return NULL;
	}
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
