#include "ups_int.h"

#include <stdlib.h>
#include <string.h>

/* How long an idle connection is kept, in seconds. */
#define KEEP_S 60

/* Copies the request headers into one block, see struct ups_call. */
static char *copy_headers(const struct ups_request *req)
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

static void time_over(void *arg, uint64_t now_us)
{
	struct ups_call *c = arg;

	(void)now_us;
	c->timer = 0;
	ups_call_hang_up(c);
	ups_call_fail(c, c->sent ? UPS_TIMEOUT : UPS_NOT_SENT);
}

/* Gives the call to libwebsockets. */
static void connect_call(struct ups_call *c, const struct ups_request *req)
{
	struct ups_lws *u = c->pool;
	struct lws_client_connect_info info;
	struct lws *wsi;

	memset(&info, 0, sizeof(info));
	info.context = lop_context(u->loop);
	info.vhost = c->slot->vhost;
	info.address = u->address;
	info.host = u->address; /* equal to address, else nothing is reused */
	info.port = u->port;
	info.path = req->target;
	info.method = c->method;
	info.protocol = "upstream";
	info.alpn = "http/1.1";
	info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
	info.opaque_user_data = c;
	info.keep_warm_secs = KEEP_S;
	c->starting = true;
	wsi = lws_client_connect_via_info(&info);
	if (wsi && !c->report)
		c->wsi = wsi;
	else if (!c->report)
		ups_call_fail(c, UPS_NOT_SENT);
	c->starting = false;
}

/* Fills a new call; false when memory is exhausted. */
static bool fill_call(struct ups_call *c, const struct ups_request *req)
{
	c->length_out = req->content_length;
	c->method = strdup(req->method);
	c->headers = copy_headers(req);
	if (!c->method || !c->headers)
		return false;
	if (c->length_out == 0)
		return true;
	return (!req->first_len && !req->end) ||
	       ups_call_queue(c, req->first, req->first_len, req->end);
}

static uint32_t start(struct ups *base, const struct ups_request *req,
		      const struct ups_events *events, void *arg)
{
	struct ups_lws *u = (struct ups_lws *)base;
	struct ups_slot *slot = ups_slot_take(u);
	struct ups_call *c = slot ? calloc(1, sizeof(*c)) : NULL;

	if (!c)
		return 0;
	c->pool = u;
	c->probe_fd = -1;
	c->slot = slot;
	c->events = events;
	c->arg = arg;
	slot->call = c;
	c->handle = slotmap_add(u->calls, c);
	c->timer = tmr_at(lop_timers(u->loop),
			  lop_now_us(u->loop) + req->timeout_us, time_over, c);
	if (!c->handle || !c->timer || !fill_call(c, req)) {
		ups_call_drop(c);
		return 0;
	}
	connect_call(c, req);
	return c->handle;
}

static bool write_body(struct ups *base, uint32_t call, const void *data,
		       size_t len, bool end)
{
	struct ups_call *c = slotmap_get(((struct ups_lws *)base)->calls, call);

	if (!c || c->body_end || !ups_call_queue(c, data, len, end))
		return false;
	c->blocked = c->queued > HTP_BUFFER_MAX;
	return !c->blocked;
}

static void pause_body(struct ups *base, uint32_t call, bool paused)
{
	struct ups_call *c = slotmap_get(((struct ups_lws *)base)->calls, call);

	if (c && c->wsi)
		lws_rx_flow_control(c->wsi, !paused);
}

static void cancel(struct ups *base, uint32_t call)
{
	struct ups_call *c = slotmap_get(((struct ups_lws *)base)->calls, call);

	if (c)
		ups_call_drop(c);
}

static void destroy(struct ups *base)
{
	struct ups_lws *u = (struct ups_lws *)base;
	struct ups_call *c;
	size_t pos = 0;

	while (u->calls && (c = slotmap_next(u->calls, &pos)))
		ups_call_drop(c);
	ups_slots_free(u);
	if (u->calls)
		slotmap_destroy(u->calls);
	free(u->address);
	free(u);
}

static const struct ups_ops ops = {
	.start = start,
	.write = write_body,
	.pause = pause_body,
	.cancel = cancel,
	.destroy = destroy,
};

/* Makes a pool without connections; they are opened as they are needed. */
struct ups *ups_lws_create(struct lop *l, const char *address, uint16_t port,
			   unsigned int max_connections, struct err *err)
{
	struct ups_lws *u = calloc(1, sizeof(*u));

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

/* Starts a request. */
uint32_t ups_start(struct ups *u, const struct ups_request *req,
		   const struct ups_events *events, void *arg)
{
	return u->ops->start(u, req, events, arg);
}

/* Queues more of the request body. */
bool ups_write(struct ups *u, uint32_t call, const void *data, size_t len,
	       bool end)
{
	return u->ops->write(u, call, data, len, end);
}

/* Stops and resumes the response body. */
void ups_pause(struct ups *u, uint32_t call, bool paused)
{
	u->ops->pause(u, call, paused);
}

/* Ends a request without any event. */
void ups_cancel(struct ups *u, uint32_t call)
{
	u->ops->cancel(u, call);
}

/* Frees the pool, ending its requests without any event. */
void ups_destroy(struct ups *u)
{
	u->ops->destroy(u);
}
