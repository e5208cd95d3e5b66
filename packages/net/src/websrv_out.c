#include "websrv_int.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Smallest buffer of the output queue, in bytes; gathers small writes. */
#define OUTBUF_MIN 2048

/* Longest status line with headers, in bytes. */
#define HEAD_MAX 16384

static const struct {
	int status;
	const char *text;
} reason_phrases[] = {
	{ 200, "OK" },
	{ 201, "Created" },
	{ 204, "No Content" },
	{ 304, "Not Modified" },
	{ 400, "Bad Request" },
	{ 403, "Forbidden" },
	{ 404, "Not Found" },
	{ 405, "Method Not Allowed" },
	{ 409, "Conflict" },
	{ 412, "Precondition Failed" },
	{ 413, "Content Too Large" },
	{ 414, "URI Too Long" },
	{ 422, "Unprocessable Content" },
	{ 500, "Internal Server Error" },
	{ 501, "Not Implemented" },
	{ 502, "Bad Gateway" },
	{ 503, "Service Unavailable" },
	{ 504, "Gateway Timeout" },
	{ 505, "HTTP Version Not Supported" },
};

static const char *reason_phrase(int status)
{
	for (size_t i = 0;
	     i < sizeof(reason_phrases) / sizeof(reason_phrases[0]); i++) {
		if (reason_phrases[i].status == status)
			return reason_phrases[i].text;
	}
	return "Status";
}

/* Appends an empty buffer of at least len bytes to the output queue. */
static struct websrv_outbuf *add_outbuf(struct websrv_req *r, size_t len)
{
	size_t size = len < OUTBUF_MIN ? OUTBUF_MIN : len;
	struct websrv_outbuf *p = malloc(sizeof(*p) + size);

	if (!p)
		return NULL;
	p->next = NULL;
	p->sent = 0;
	p->len = 0;
	p->size = size;
	if (r->last)
		r->last->next = p;
	else
		r->first = p;
	r->last = p;
	return p;
}

/*
 * Copies data to the output queue without framing: fills the last buffer, then
 * adds buffers of at most WEBSRV_OUTBUF_MAX bytes. Returns false when out of
 * memory.
 */
bool websrv_out_queue(struct websrv_req *r, const void *data, size_t len)
{
	const unsigned char *at = data;

	while (len > 0) {
		struct websrv_outbuf *p = r->last;
		size_t n = len < WEBSRV_OUTBUF_MAX ? len : WEBSRV_OUTBUF_MAX;

		if (!p || p->len == p->size)
			p = add_outbuf(r, n);
		if (!p)
			return false;
		if (n > p->size - p->len)
			n = p->size - p->len;
		memcpy(p->bytes + p->len, at, n);
		p->len += n;
		r->queued_bytes += n;
		at += n;
		len -= n;
	}
	return true;
}

/* Frees the output queue. */
void websrv_out_free(struct websrv_req *r)
{
	while (r->first) {
		struct websrv_outbuf *p = r->first;

		r->first = p->next;
		free(p);
	}
	r->last = NULL;
	r->queued_bytes = 0;
}

/* Returns whether text is free of line breaks, which inject further headers. */
static bool has_no_line_break(const char *text)
{
	return !strpbrk(text, "\r\n");
}

/* Appends formatted text to the head; returns false if it does not fit. */
__attribute__((format(printf, 3, 4))) static bool
append(char *head, size_t *len, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(head + *len, HEAD_MAX - *len, fmt, ap);
	va_end(ap);
	if (n < 0 || (size_t)n >= HEAD_MAX - *len)
		return false;
	*len += (size_t)n;
	return true;
}

/* Appends the headers that frame the body, and the end of the head. */
static bool append_framing(const struct websrv_req *r, char *head, size_t *len,
			   int status, long long content_length)
{
	if (r->conn->close_after && !append(head, len, "connection: close\r\n"))
		return false;
	if (status == 204 || status == 304)
		return append(head, len, "\r\n");
	if (content_length == WEBSRV_LENGTH_UNKNOWN)
		return append(head, len, "transfer-encoding: chunked\r\n\r\n");
	return append(head, len, "content-length: %lld\r\n\r\n",
		      content_length);
}

/* Queues the status line and the headers; returns false on failure. */
static bool queue_head(struct websrv_req *r, int status,
		       const struct websrv_header *headers, size_t count,
		       long long content_length)
{
	char head[HEAD_MAX];
	size_t len = 0;
	bool ok;

	if (r->responded)
		return false;
	/* Closing saves reading the rest of a refused request body. */
	if (!r->body_done && r->content_length != 0 &&
	    content_length != WEBSRV_LENGTH_UNKNOWN && status >= 400)
		r->conn->close_after = true;
	ok = append(head, &len, "HTTP/1.1 %d %s\r\n", status,
		    reason_phrase(status));
	for (size_t i = 0; i < count && ok; i++) {
		if (has_no_line_break(headers[i].name) &&
		    has_no_line_break(headers[i].value))
			ok = append(head, &len, "%s: %s\r\n", headers[i].name,
				    headers[i].value);
	}
	ok = ok && append_framing(r, head, &len, status, content_length) &&
	     websrv_out_queue(r, head, len);
	r->responded = true;
	r->no_body_out = status == 204 || status == 304 ||
			 strcmp(r->method, "HEAD") == 0;
	r->chunked_out = content_length == WEBSRV_LENGTH_UNKNOWN;
	r->body_left = content_length;
	if (!ok)
		websrv_abort(r);
	return ok;
}

/* Removes sent bytes from the output queue. */
static void remove_sent(struct websrv_req *r, size_t n)
{
	struct websrv_outbuf *p = r->first;

	p->sent += n;
	r->queued_bytes -= n;
	if (p->sent < p->len)
		return;
	r->first = p->next;
	if (!r->first)
		r->last = NULL;
	free(p);
}

/*
 * Returns whether the whole response is queued but the handler has not ended
 * it. A caller that received all of it would regard the request as complete
 * while the handler can still abort it.
 */
static bool is_end_pending(const struct websrv_req *r)
{
	return r->responded && !r->ended &&
	       (r->no_body_out || (!r->chunked_out && r->body_left == 0));
}

/* Returns the number of queued bytes that must not be sent before the end. */
static size_t withheld_bytes(const struct websrv_req *r)
{
	return is_end_pending(r) ? 1 : 0;
}

/* Sends queued bytes until the socket buffer is full. */
void websrv_out_flush(struct websrv_conn *c)
{
	struct websrv_req *r = c->req;

	while (r->queued_bytes > withheld_bytes(r) && !c->aborted) {
		struct websrv_outbuf *p = r->first;
		size_t len = p->len - p->sent;
		ssize_t n;

		if (len == r->queued_bytes)
			len -= withheld_bytes(r);
		n = send(c->fd, p->bytes + p->sent, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN)
			return;
		if (n < 0) {
			websrv_conn_abort(c);
			return;
		}
		remove_sent(r, (size_t)n);
		c->progress_us = lwsloop_now_us(c->server->loop);
	}
}

/* Defers the end of the request, as the handler may still be using it. */
static void defer_finish(struct websrv_conn *c)
{
	c->finishing = true;
	websrv_conn_schedule(c);
}

/*
 * Sends the status line and the headers, once per request. content_length is in
 * bytes; with WEBSRV_LENGTH_UNKNOWN the body is sent chunked. On failure the
 * connection is closed and false returned.
 */
bool websrv_respond(struct websrv_req *r, int status,
		    const struct websrv_header *headers, size_t count,
		    long long content_length)
{
	bool ok = queue_head(r, status, headers, count, content_length);

	websrv_out_flush(r->conn);
	return ok;
}

/*
 * Queues body data with the framing of the response; returns false if it does
 * not match the declared length or memory is exhausted.
 */
static bool queue_body(struct websrv_req *r, const void *data, size_t len,
		       bool end)
{
	char size[24];

	if (!r->chunked_out) {
		r->body_left -= (long long)len;
		if (r->body_left < 0 || (end && r->body_left > 0))
			return false;
		return websrv_out_queue(r, data, len);
	}
	if (len > 0) {
		int n = snprintf(size, sizeof(size), "%zx\r\n", len);

		if (!websrv_out_queue(r, size, (size_t)n) ||
		    !websrv_out_queue(r, data, len) ||
		    !websrv_out_queue(r, "\r\n", 2))
			return false;
	}
	return !end || websrv_out_queue(r, "0\r\n\r\n", 5);
}

/*
 * Queues a copy of body data; end marks the last call. Returns false when more
 * than WEBSRV_BUFFER_MAX bytes are queued: wait for writable(). A body that
 * differs from the declared length aborts the response.
 */
bool websrv_write(struct websrv_req *r, const void *data, size_t len, bool end)
{
	if (!r->responded || r->ended || r->conn->aborted)
		return false;
	if (!r->no_body_out && !queue_body(r, data, len, end)) {
		websrv_abort(r);
		return false;
	}
	r->ended = end;
	if (end)
		defer_finish(r->conn);
	else
		websrv_out_flush(r->conn);
	r->blocked = r->queued_bytes > WEBSRV_BUFFER_MAX;
	return !r->blocked;
}

/* Sends a whole response; a small one fits a single buffer. */
void websrv_reply(struct websrv_req *r, int status,
		  const struct websrv_header *headers, size_t count,
		  const void *body, size_t len)
{
	if (queue_head(r, status, headers, count, (long long)len))
		websrv_write(r, body, len, true);
}

/* Refuses a request without the handler, then closes the connection. */
void websrv_refuse(struct websrv_req *r, int status)
{
	static const struct websrv_header headers[] = {
		{ "geranium-outcome", "invalid" },
	};

	r->conn->close_after = true;
	websrv_reply(r, status, headers, 1, NULL, 0);
}

/* Resumes sending when the socket is writable, then calls writable(). */
void websrv_out_writable(struct websrv_conn *c)
{
	struct websrv_req *r = c->req;

	if (!r || c->aborted || !r->first)
		return;
	if (r->ended) {
		defer_finish(c);
		return;
	}
	websrv_out_flush(c);
	if (r->queued_bytes > withheld_bytes(r) || !r->blocked || c->aborted)
		return;
	r->blocked = false;
	c->server->ops->writable(c->server->arg, r);
}

/*
 * Sends the last bytes and prepares the connection for the next request, or
 * closes it. If the request was answered before its whole body was received,
 * the rest is not read as a request.
 */
void websrv_out_finish(struct websrv_conn *c)
{
	bool body_done = c->req->body_done;

	websrv_out_flush(c);
	c->finishing = false;
	if (c->aborted || c->req->first)
		return;
	websrv_req_close(c, true);
	if (!body_done || c->close_after)
		websrv_conn_linger(c, !body_done);
	else
		httpparse_reset(c->parser);
}
