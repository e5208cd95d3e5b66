#include "ups_int.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHUNK_HEAD_MAX 16
#define HTTP_NO_CONTENT 204
#define HTTP_NOT_MODIFIED 304
#define NUMBER_MAX 24
#define VALUE_MAX 1024 /* bytes of a response header that is passed on */

/* Takes the call off its slot and frees it. */
void ups_call_destroy(struct call *c)
{
	tmr_cancel(lop_timers(c->pool->loop), c->timer);
	tab_remove(c->pool->calls, c->handle);
	if (c->slot->call == c)
		c->slot->call = NULL;
	free(c->body);
	free(c->head);
	free(c);
}

/* The connection is closed by the loop; the slot waits for that. */
void ups_call_detach(struct call *c)
{
	if (!c->wsi)
		return;
	lws_set_opaque_user_data(c->wsi, NULL);
	c->slot->dying = c->wsi;
	lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
	c->wsi = NULL;
}

static void deliver_failure(void *arg, uint64_t now_us)
{
	struct call *c = arg;
	const struct ups_events *events = c->events;
	enum ups_failure why = c->failure;
	void *user = c->arg;

	(void)now_us;
	c->timer = 0;
	ups_call_destroy(c);
	events->failed(user, why);
}

/* The event is delivered by a timer, as start() may be on the stack. */
void ups_call_fail(struct call *c, enum ups_failure why)
{
	struct tmr *timers = lop_timers(c->pool->loop);

	if (c->over)
		return;
	c->over = true;
	c->failure = why;
	ups_call_detach(c);
	tmr_cancel(timers, c->timer);
	c->timer =
		tmr_at(timers, lop_now_us(c->pool->loop), deliver_failure, c);
}

static bool add_header(struct lws *wsi, const char *name, const char *value,
		       unsigned char **at, unsigned char *end)
{
	return lws_add_http_header_by_name(wsi, (const unsigned char *)name,
					   (const unsigned char *)value,
					   (int)strlen(value), at, end) == 0;
}

/* Adds our headers to those of libwebsockets; a byte may leave from now on. */
static int append_headers(struct call *c, struct lws *wsi, void *in, size_t len)
{
	unsigned char **at = in;
	unsigned char *end = *at + len;
	const char *h = c->target + strlen(c->target) + 1;
	char number[NUMBER_MAX];
	bool has_body = c->request_length != 0;
	bool ok = true;

	for (size_t i = 0; i < c->header_count && ok; i++) {
		const char *value = h + strlen(h) + 1;

		ok = add_header(wsi, h, value, at, end);
		h = value + strlen(value) + 1;
	}
	if (c->request_length > 0 ||
	    (c->request_length == 0 && strcmp(c->method, "GET") != 0)) {
		snprintf(number, sizeof(number), "%lld", c->request_length);
		ok = ok && add_header(wsi, "content-length:", number, at, end);
	} else if (has_body) {
		ok = ok &&
		     add_header(wsi, "transfer-encoding:", "chunked", at, end);
	}
	if (!ok)
		return -1;
	c->sent = true;
	c->body_sent = !has_body;
	if (has_body) {
		lws_client_http_body_pending(wsi, 1);
		lws_callback_on_writable(wsi);
	}
	return 0;
}

/* Writes what waits of the body, framed as a chunk if it has no length. */
static int write_body(struct call *c, struct lws *wsi)
{
	bool chunked = c->request_length < 0;
	unsigned char small[LWS_PRE + CHUNK_HEAD_MAX];
	bool end = c->body_end;
	int n;

	if (c->body_sent)
		return 0;
	if (chunked && c->body_len) {
		n = snprintf((char *)small + LWS_PRE, CHUNK_HEAD_MAX, "%zx\r\n",
			     c->body_len);
		if (lws_write(wsi, small + LWS_PRE, (size_t)n, LWS_WRITE_HTTP) <
		    0)
			return -1;
	}
	if (c->body_len && lws_write(wsi, c->body + LWS_PRE, c->body_len,
				     LWS_WRITE_HTTP) < (int)c->body_len)
		return -1;
	if (chunked && (c->body_len || end)) {
		n = snprintf((char *)small + LWS_PRE, CHUNK_HEAD_MAX, "%s%s",
			     c->body_len ? "\r\n" : "", end ? "0\r\n\r\n" : "");
		if (lws_write(wsi, small + LWS_PRE, (size_t)n, LWS_WRITE_HTTP) <
		    0)
			return -1;
	}
	c->body_len = 0;
	if (end) {
		c->body_sent = true;
		lws_client_http_body_pending(wsi, 0);
	} else if (c->events->writable) {
		c->wants_room = false;
		c->events->writable(c->arg);
	}
	return 0;
}

/* Copies one response header; true if it is there. */
static bool copy_header(struct lws *wsi, const char *name, char *out,
			size_t size)
{
	char with_colon[64];
	int len = snprintf(with_colon, sizeof(with_colon), "%s:", name);

	for (int t = 0; t < WSI_TOKEN_COUNT; t++) {
		const unsigned char *known =
			lws_token_to_string((enum lws_token_indexes)t);

		if (known && strcmp((const char *)known, with_colon) == 0)
			return lws_hdr_copy(wsi, out, (int)size,
					    (enum lws_token_indexes)t) > 0;
	}
	return lws_hdr_custom_copy(wsi, out, (int)size, with_colon, len) > 0;
}

static void read_length(struct call *c, struct lws *wsi)
{
	char value[NUMBER_MAX];

	if (lws_hdr_copy(wsi, value, sizeof(value),
			 WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0)
		c->content_length = strtoll(value, NULL, 10);
	c->chunked =
		lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
}

/* The head of the response has arrived. */
static int take_head(struct call *c, struct lws *wsi)
{
	struct htp_header headers[UPS_HEADERS_MAX];
	char values[UPS_HEADERS_MAX][VALUE_MAX];
	struct ups_response response = { .headers = headers };
	uint32_t handle = c->handle;
	struct tab *calls = c->pool->calls;

	c->head_seen = true;
	c->status = (int)lws_http_client_http_response(wsi);
	read_length(c, wsi);
	for (int i = 0; ups_response_headers[i]; i++) {
		if (!copy_header(wsi, ups_response_headers[i],
				 values[response.header_count], VALUE_MAX))
			continue;
		headers[response.header_count].name = ups_response_headers[i];
		headers[response.header_count].value =
			values[response.header_count];
		response.header_count++;
	}
	response.status = c->status;
	response.content_length = c->content_length;
	c->events->head(c->arg, &response);
	if (!tab_get(calls, handle))
		return -1;
	if (c->paused)
		lws_rx_flow_control(wsi, 0);
	return 0;
}

/* Lets libwebsockets read; the data come back as another reason. */
static int read_body(struct call *c, struct lws *wsi)
{
	char *at = (char *)c->pool->read_buf + LWS_PRE;
	int len = UPS_READ_BYTES;

	if (c->paused)
		return 0;
	return lws_http_client_read(wsi, &at, &len) < 0 ? -1 : 0;
}

static int take_body(struct call *c, const void *data, size_t len)
{
	uint32_t handle = c->handle;
	struct tab *calls = c->pool->calls;

	c->received += (long long)len;
	c->events->body(c->arg, data, len);
	return tab_get(calls, handle) ? 0 : -1;
}

/*
 * True if the body is proved to be whole: by its length, by its last chunk, or
 * because there is none. A body that only ends with the connection may be cut.
 */
static bool is_whole(const struct call *c)
{
	if (c->is_head || c->status == HTTP_NO_CONTENT ||
	    c->status == HTTP_NOT_MODIFIED || c->chunked)
		return true;
	return c->received == c->content_length;
}

/* The transaction is complete; the connection may be kept. */
static int complete(struct call *c, struct lws *wsi)
{
	const struct ups_events *events = c->events;
	bool reusable = c->body_sent;
	void *arg = c->arg;

	if (c->over)
		return -1;
	if (!c->head_seen || !is_whole(c)) {
		ups_call_fail(c, c->head_seen ? UPS_BROKEN : UPS_LOST);
		return -1;
	}
	lws_set_opaque_user_data(wsi, NULL);
	c->wsi = NULL;
	c->slot->kept = reusable;
	if (!reusable)
		c->slot->dying = wsi;
	ups_call_destroy(c);
	events->end(arg);
	return reusable ? 0 : -1;
}

/* The connection failed before a head; in is the text of the reason. */
static void fail_connection(struct call *c, const char *reason)
{
	c->wsi = NULL;
	c->refused = errno == ECONNREFUSED ||
		     (reason && strstr(reason, "111") != NULL);
	if (c->sent)
		ups_call_fail(c, c->head_seen ? UPS_BROKEN : UPS_LOST);
	else
		ups_call_fail(c, c->refused ? UPS_REFUSED : UPS_NOT_SENT);
}

static void forget_connection(struct lws *wsi)
{
	struct lws_vhost *vhost = lws_get_vhost(wsi);
	struct slot *s = vhost ? lws_vhost_user(vhost) : NULL;

	if (s && s->dying == wsi)
		s->dying = NULL;
}

static void forget_vhost(struct lws *wsi)
{
	struct slot *s = lws_vhost_user(lws_get_vhost(wsi));

	ups_vhost_gone(s->pool);
}

static int call_event(struct call *c, struct lws *wsi,
		      enum lws_callback_reasons reason, void *in, size_t len)
{
	switch (reason) {
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
		c->wsi = wsi;
		return append_headers(c, wsi, in, len);
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
		return write_body(c, wsi);
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
		return take_head(c, wsi);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
		return read_body(c, wsi);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		return take_body(c, in, len);
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		return complete(c, wsi);
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
		fail_connection(c, in);
		return 0;
	default:
		return 0;
	}
}

/* The callback of libwebsockets for all connections of all pools. */
int ups_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
		 void *in, size_t len)
{
	struct call *c = wsi ? lws_get_opaque_user_data(wsi) : NULL;

	(void)user;
	switch (reason) {
	case LWS_CALLBACK_PROTOCOL_DESTROY:
		forget_vhost(wsi);
		return 0;
	case LWS_CALLBACK_WSI_DESTROY:
		forget_connection(wsi);
		return 0;
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		/* A connection whose call was cancelled is closed. */
		return c ? call_event(c, wsi, reason, in, len) : -1;
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
		return c ? call_event(c, wsi, reason, in, len) : 0;
	default:
		return 0;
	}
}
