#include "upclient_int.h"

#include <stdlib.h>
#include <string.h>

const char *const upclient_response_headers[] = { "content-type",
						  "content-encoding",
						  "etag",
						  "last-modified",
						  "location",
						  "cache-control",
						  "retry-after",
						  "geranium-refused",
						  "geranium-outcome",
						  NULL };

#define HEADERS_MAX                          \
	(sizeof(upclient_response_headers) / \
	 sizeof(upclient_response_headers[0]))

/* Frees a call; its connection is reusable if good is true. */
static void free_call(struct upclient_call *c, bool good)
{
	struct upclient_pool *u = c->pool;

	tmr_cancel(lwsloop_timers(u->loop), c->timer);
	slotmap_remove(u->calls, c->handle);
	upclient_conn_release(c->conn, good);
	free(c);
}

/* Counts and logs how the response ended. */
static void record_end(const struct upclient_call *c, enum httpend how)
{
	struct httpend_details d = {
		.server = (const struct sockaddr *)&c->pool->address.storage,
		.server_len = c->pool->address.len,
		.received = c->received,
		.unsent = buf_len(&c->conn->out),
		.send_error = c->conn->send_error,
	};

	if (c->established)
		d.status = httpparse_message(c->conn->parser)->status;
	httpend_record(how, &d);
}

/* Ends a call whose response is complete; excess: bytes follow behind it. */
void upclient_call_complete(struct upclient_call *c, bool excess)
{
	const struct upclient_events *events = c->events;
	const struct httpmsg *m = httpparse_message(c->conn->parser);
	void *arg = c->arg;

	record_end(c, m->chunked ? HTTPEND_LAST_CHUNK : HTTPEND_LENGTH);
	free_call(c, !excess && m->keep_alive && c->body_end &&
			     buf_len(&c->conn->out) == 0 &&
			     c->conn->send_error == 0);
	events->end(arg);
}

/* Ends a call whose connection has ended or carries no valid response. */
void upclient_call_lose(struct upclient_call *c, enum httpend how)
{
	if (c->sent)
		record_end(c, how);
	if (c->established)
		upclient_call_fail(c, UPCLIENT_BROKEN);
	else
		upclient_call_fail(c,
				   c->sent ? UPCLIENT_LOST : UPCLIENT_NOT_SENT);
}

/* Reports a failure and frees the call. */
void upclient_call_fail(struct upclient_call *c, enum upclient_failure why)
{
	const struct upclient_events *events = c->events;
	void *arg = c->arg;

	free_call(c, false);
	events->failed(arg, why);
}

/* Cancels the work of the server and frees the call without a callback. */
void upclient_call_drop(struct upclient_call *c)
{
	upclient_conn_close(c->conn, true);
	free_call(c, false);
}

/* Queues the head of the request. */
static bool queue_head(struct upclient_call *c,
		       const struct upclient_request *req)
{
	struct buf *out = &c->conn->out;
	bool ok = buf_add_text(out, req->method) && buf_add_text(out, " ") &&
		  buf_add_text(out, req->target) &&
		  buf_add_text(out, " HTTP/1.1\r\nhost: ") &&
		  buf_add_text(out, c->pool->host) && buf_add_text(out, "\r\n");

	for (size_t i = 0; ok && i < req->header_count; i++)
		ok = buf_add_text(out, req->headers[i].name) &&
		     buf_add_text(out, ": ") &&
		     buf_add_text(out, req->headers[i].value) &&
		     buf_add_text(out, "\r\n");
	if (ok && req->content_length == WEBSRV_LENGTH_UNKNOWN)
		ok = buf_add_text(out, "transfer-encoding: chunked\r\n");
	else if (ok && req->content_length > 0)
		ok = buf_printf(out, "content-length: %lld\r\n",
				req->content_length);
	return ok && buf_add_text(out, "\r\n");
}

/* Queues head and start of the body; returns false when out of memory. */
bool upclient_call_begin(struct upclient_call *c,
			 const struct upclient_request *req)
{
	c->request_length = req->content_length;
	c->body_end = c->request_length == 0;
	httpparse_expect_no_body(c->conn->parser,
				 strcmp(req->method, "HEAD") == 0);
	if (!queue_head(c, req))
		return false;
	return c->body_end || (!req->first_len && !req->end) ||
	       upclient_call_queue(c, req->first, req->first_len, req->end);
}

/* Queues request body data, with chunk framing if the length is unknown. */
bool upclient_call_queue(struct upclient_call *c, const void *data, size_t len,
			 bool end)
{
	struct buf *out = &c->conn->out;
	bool chunked = c->request_length == WEBSRV_LENGTH_UNKNOWN;
	bool ok = true;

	if (chunked && len > 0)
		ok = buf_printf(out, "%zx\r\n", len);
	if (len > 0)
		ok = ok && buf_add(out, data, len);
	if (chunked && len > 0)
		ok = ok && buf_add_text(out, "\r\n");
	if (chunked && end)
		ok = ok && buf_add_text(out, "0\r\n\r\n");
	c->body_end = end;
	return ok;
}

/* Copies the headers that are passed to head(); returns their number. */
static size_t copy_headers(const struct httpmsg *m,
			   struct websrv_header *headers)
{
	size_t count = 0;

	for (size_t i = 0; upclient_response_headers[i]; i++) {
		struct span value =
			httpmsg_find(m, upclient_response_headers[i]);

		if (!value.text)
			continue;
		headers[count].name = upclient_response_headers[i];
		headers[count].value = strndup(value.text, value.len);
		count += headers[count].value != NULL;
	}
	return count;
}

/* Reports the response head; returns false if the call was cancelled. */
static bool on_head(void *arg, struct httpmsg *m)
{
	struct websrv_header headers[HEADERS_MAX];
	struct upclient_conn *conn = arg;
	struct upclient_call *c = conn->call;
	struct upclient_response r = { .status = m->status,
				       .content_length = m->length,
				       .headers = headers };

	if (m->length < 0)
		r.content_length = WEBSRV_LENGTH_UNKNOWN;
	r.header_count = copy_headers(m, headers);
	c->established = true;
	c->events->head(c->arg, &r);
	for (size_t i = 0; i < r.header_count; i++)
		free((char *)headers[i].value);
	return conn->call == c;
}

/* Reports body data. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct upclient_conn *conn = arg;
	struct upclient_call *c = conn->call;

	c->received += len;
	c->events->body(c->arg, bytes, len);
	if (conn->call != c)
		httpparse_stop(conn->parser);
}

const struct httpparse_ops upclient_parser_ops = { on_head, on_body };
