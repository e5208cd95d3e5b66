#include "ups_int.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLS_MAX 65536
/* Shorter than the keep-alive time of usual servers, which would close first. */
#define KEEP_WARM_S 4

static const struct lws_protocols protocols[] = {
	{ "upstream", ups_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/* Finds a slot that may start a request, one with a kept connection first. */
static struct slot *find_slot(struct pool *p)
{
	struct slot *found = NULL;

	for (size_t i = 0; i < p->slot_count; i++) {
		struct slot *s = &p->slots[i];

		if (s->call || s->dying)
			continue;
		if (s->kept)
			return s;
		if (!found || (s->vhost && !found->vhost))
			found = s;
	}
	return found;
}

static bool open_slot(struct slot *s)
{
	if (s->vhost)
		return true;
	s->vhost = lop_vhost(s->pool->loop, "upstream", protocols, s);
	s->pool->vhost_count += s->vhost != NULL;
	return s->vhost != NULL;
}

static char *put(char **at, const char *text)
{
	size_t len = strlen(text) + 1;
	char *copy = *at;

	memcpy(copy, text, len);
	*at += len;
	return copy;
}

/* Copies method, target and headers into one block. */
static bool copy_head(struct call *c, const struct ups_request *req)
{
	size_t size = strlen(req->method) + strlen(req->target) + 2;
	char *at;

	for (size_t i = 0; i < req->header_count; i++)
		size += strlen(req->headers[i].name) +
			strlen(req->headers[i].value) + 3;
	at = malloc(size);
	c->head = at;
	if (!at)
		return false;
	c->method = put(&at, req->method);
	c->target = put(&at, req->target);
	for (size_t i = 0; i < req->header_count; i++) {
		size_t len = strlen(req->headers[i].name);

		/* libwebsockets wants names with their colon. */
		memcpy(at, req->headers[i].name, len);
		at[len] = ':';
		at[len + 1] = '\0';
		at += len + 2;
		put(&at, req->headers[i].value);
	}
	c->header_count = req->header_count;
	return true;
}

/* Appends to what waits of the body. */
static bool add_body(struct call *c, const void *data, size_t len)
{
	size_t capacity = c->body_capacity ? c->body_capacity : 1024;
	unsigned char *body;

	while (capacity < c->body_len + len)
		capacity *= 2;
	if (capacity != c->body_capacity) {
		body = realloc(c->body, LWS_PRE + capacity);
		if (!body)
			return false;
		c->body = body;
		c->body_capacity = capacity;
	}
	memcpy(c->body + LWS_PRE + c->body_len, data, len);
	c->body_len += len;
	return true;
}

static void timed_out(void *arg, uint64_t now_us)
{
	struct call *c = arg;

	(void)now_us;
	c->timer = 0;
	ups_call_fail(c, c->sent ? UPS_TIMEOUT : UPS_NOT_SENT);
}

/* Hands the request to libwebsockets. */
static void connect_call(struct call *c)
{
	struct pool *p = c->pool;
	struct lws_client_connect_info info;

	memset(&info, 0, sizeof(info));
	info.context = lop_context(p->loop);
	info.vhost = c->slot->vhost;
	info.address = p->address;
	info.host = p->address;
	info.port = p->port;
	info.path = c->target;
	info.method = c->method;
	info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
	info.local_protocol_name = "upstream";
	info.keep_warm_secs = KEEP_WARM_S;
	info.opaque_user_data = c;
	info.pwsi = &c->wsi;
	c->slot->kept = false;
	if (!lws_client_connect_via_info(&info)) {
		c->wsi = NULL;
		ups_call_fail(c, c->refused ? UPS_REFUSED : UPS_NOT_SENT);
	}
}

/* Makes a call on a slot. */
static struct call *create_call(struct pool *p, struct slot *s,
				const struct ups_request *req)
{
	struct call *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->pool = p;
	if (!copy_head(c, req) ||
	    (req->first_len && !add_body(c, req->first, req->first_len))) {
		free(c->head);
		free(c);
		return NULL;
	}
	c->handle = tab_add(p->calls, c);
	if (!c->handle) {
		free(c->body);
		free(c->head);
		free(c);
		return NULL;
	}
	c->slot = s;
	s->call = c;
	c->body_end = req->end;
	c->request_length = req->content_length;
	if (req->end && req->content_length < 0)
		c->request_length = (long long)req->first_len;
	c->is_head = strcmp(req->method, "HEAD") == 0;
	c->content_length = HTP_LENGTH_UNKNOWN;
	return c;
}

static uint32_t start(struct ups *u, const struct ups_request *req,
		      const struct ups_events *events, void *arg)
{
	struct pool *p = (struct pool *)u;
	struct slot *s = find_slot(p);
	uint64_t now = lop_now_us(p->loop);
	struct call *c;

	if (!s || !open_slot(s))
		return 0;
	c = create_call(p, s, req);
	if (!c)
		return 0;
	c->events = events;
	c->arg = arg;
	c->timer = tmr_at(lop_timers(p->loop), now + req->timeout_us, timed_out,
			  c);
	connect_call(c);
	return c->handle;
}

static bool write_body(struct ups *u, uint32_t call, const void *data,
		       size_t len, bool end)
{
	struct pool *p = (struct pool *)u;
	struct call *c = tab_get(p->calls, call);

	if (!c || c->over)
		return true;
	if (!add_body(c, data, len)) {
		ups_call_fail(c, UPS_LOST);
		return true;
	}
	c->body_end = end;
	if (c->wsi && c->sent)
		lws_callback_on_writable(c->wsi);
	c->wants_room = !end && c->body_len > UPS_BUFFER_MAX;
	return !c->wants_room;
}

static void pause_body(struct ups *u, uint32_t call, bool paused)
{
	struct pool *p = (struct pool *)u;
	struct call *c = tab_get(p->calls, call);

	if (!c || c->paused == paused)
		return;
	c->paused = paused;
	if (c->wsi && c->head_seen)
		lws_rx_flow_control(c->wsi, !paused);
}

static void cancel(struct ups *u, uint32_t call)
{
	struct pool *p = (struct pool *)u;
	struct call *c = tab_get(p->calls, call);

	if (!c)
		return;
	ups_call_detach(c);
	ups_call_destroy(c);
}

static void free_pool(struct pool *p)
{
	tab_destroy(p->calls);
	free(p->slots);
	free(p);
}

/*
 * Connections are closed by the loop later and refer to their slot until then,
 * so that the pool outlives them.
 */
void ups_vhost_gone(struct pool *p)
{
	p->vhost_count--;
	if (p->closed && !p->vhost_count)
		free_pool(p);
}

static void destroy(struct ups *u)
{
	struct pool *p = (struct pool *)u;
	struct call *c;
	size_t pos = 0;

	while ((c = tab_next(p->calls, &pos))) {
		ups_call_detach(c);
		ups_call_destroy(c);
	}
	p->closed = true;
	p->vhost_count++;
	for (size_t i = 0; i < p->slot_count; i++) {
		if (p->slots[i].vhost)
			lws_vhost_destroy(p->slots[i].vhost);
	}
	ups_vhost_gone(p);
}

static const struct ups_ops lws_ops = {
	.start = start,
	.write = write_body,
	.pause = pause_body,
	.cancel = cancel,
	.destroy = destroy,
};

/* Makes a pool; connections are opened when they are needed. */
struct ups *ups_lws_create(struct lop *l, const char *address, uint16_t port,
			   unsigned int max_connections, struct err *err)
{
	unsigned char binary[sizeof(struct in6_addr)];
	struct pool *p;

	if (inet_pton(AF_INET, address, binary) != 1 &&
	    inet_pton(AF_INET6, address, binary) != 1) {
		err_set(err, ERR_UPSTREAM, NET_BAD_ADDRESS,
			"%s is not an IP address", address);
		return NULL;
	}
	p = calloc(1, sizeof(*p));
	if (p) {
		p->calls = tab_create(CALLS_MAX);
		p->slots = calloc(max_connections, sizeof(*p->slots));
	}
	if (!p || !p->calls || !p->slots) {
		err_set(err, ERR_UPSTREAM, NET_NO_MEMORY, "out of memory");
		if (p)
			tab_destroy(p->calls);
		free(p);
		return NULL;
	}
	p->base.ops = &lws_ops;
	p->loop = l;
	p->port = port;
	p->slot_count = max_connections;
	snprintf(p->address, sizeof(p->address), "%s", address);
	for (size_t i = 0; i < p->slot_count; i++)
		p->slots[i].pool = p;
	return &p->base;
}
