#include "htp_int.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Small writes are gathered in pieces of this size, in bytes. */
#define PIECE_MIN 2048

/* Longest head of a response, in bytes. */
#define HEAD_MAX 16384

static const struct {
	int status;
	const char *text;
} reasons[] = {
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

static const char *reason_of(int status)
{
	for (size_t i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
		if (reasons[i].status == status)
			return reasons[i].text;
	}
	return "Status";
}

/* Adds an empty piece to the queue. */
static struct htp_piece *add_piece(struct htp_req *r, size_t len)
{
	size_t size = len < PIECE_MIN ? PIECE_MIN : len;
	struct htp_piece *p = malloc(sizeof(*p) + size);

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

/* Fills the last piece, then adds pieces of at most HTP_PIECE_MAX bytes. */
bool htp_out_queue(struct htp_req *r, const void *data, size_t len)
{
	const unsigned char *at = data;

	while (len > 0) {
		struct htp_piece *p = r->last;
		size_t n = len < HTP_PIECE_MAX ? len : HTP_PIECE_MAX;

		if (!p || p->len == p->size)
			p = add_piece(r, n);
		if (!p)
			return false;
		if (n > p->size - p->len)
			n = p->size - p->len;
		memcpy(p->bytes + p->len, at, n);
		p->len += n;
		r->queued += n;
		at += n;
		len -= n;
	}
	return true;
}

/* Frees what was not sent. */
void htp_out_free(struct htp_req *r)
{
	while (r->first) {
		struct htp_piece *p = r->first;

		r->first = p->next;
		free(p);
	}
	r->last = NULL;
	r->queued = 0;
}

/* Refuses values that would end the line and start another header. */
static bool is_safe(const char *text)
{
	return !strpbrk(text, "\r\n");
}

/* Appends formatted text to the head; false when it is full. */
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

/* Appends the headers that tell where the body ends. */
static bool append_framing(const struct htp_req *r, char *head, size_t *len,
			   int status, long long content_length)
{
	if (r->conn->close_after && !append(head, len, "connection: close\r\n"))
		return false;
	if (status == 204 || status == 304)
		return append(head, len, "\r\n");
	if (content_length == HTP_LENGTH_UNKNOWN)
		return append(head, len, "transfer-encoding: chunked\r\n\r\n");
	return append(head, len, "content-length: %lld\r\n\r\n",
		      content_length);
}

/* Queues the head of the response. */
static bool queue_head(struct htp_req *r, int status,
		       const struct htp_header *headers, size_t count,
		       long long content_length)
{
	char head[HEAD_MAX];
	size_t len = 0;
	bool ok;

	if (r->responded)
		return false;
	/* What is left of the request body is discarded by closing. */
	if (!r->body_done && r->content_length != 0 &&
	    content_length != HTP_LENGTH_UNKNOWN && status >= 400)
		r->conn->close_after = true;
	ok = append(head, &len, "HTTP/1.1 %d %s\r\n", status,
		    reason_of(status));
	for (size_t i = 0; i < count && ok; i++) {
		if (is_safe(headers[i].name) && is_safe(headers[i].value))
			ok = append(head, &len, "%s: %s\r\n", headers[i].name,
				    headers[i].value);
	}
	ok = ok && append_framing(r, head, &len, status, content_length) &&
	     htp_out_queue(r, head, len);
	r->responded = true;
	r->no_body_out = status == 204 || status == 304 ||
			 strcmp(r->method, "HEAD") == 0;
	r->chunked_out = content_length == HTP_LENGTH_UNKNOWN;
	r->left_out = content_length;
	if (!ok)
		htp_abort(r);
	return ok;
}

/* Removes bytes that have been sent from the queue. */
static void drop_sent(struct htp_req *r, size_t n)
{
	struct htp_piece *p = r->first;

	p->sent += n;
	r->queued -= n;
	if (p->sent < p->len)
		return;
	r->first = p->next;
	if (!r->first)
		r->last = NULL;
	free(p);
}

/*
 * Tells whether all of the response is queued and its end is still to come. A
 * caller that had the whole response would take the request for complete while
 * the user can still abort it.
 */
static bool is_end_due(const struct htp_req *r)
{
	return r->responded && !r->ended &&
	       (r->no_body_out || (!r->chunked_out && r->left_out == 0));
}

/* Number of bytes at the end of the queue that must wait for the end. */
static size_t held_bytes(const struct htp_req *r)
{
	return is_end_due(r) ? 1 : 0;
}

/* Sends what the socket takes. */
void htp_out_flush(struct htp_conn *c)
{
	struct htp_req *r = c->req;

	while (r->queued > held_bytes(r) && !c->aborted) {
		struct htp_piece *p = r->first;
		size_t len = p->len - p->sent;
		ssize_t n;

		if (len == r->queued)
			len -= held_bytes(r);
		n = send(c->fd, p->bytes + p->sent, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN)
			return;
		if (n < 0) {
			htp_conn_kill(c);
			return;
		}
		drop_sent(r, (size_t)n);
		c->progress_us = lop_now_us(c->server->loop);
	}
}

/* The request is ended outside the calls of the user, who may still use it. */
static void finish_later(struct htp_conn *c)
{
	c->finishing = true;
	htp_conn_wake(c);
}

/* Queues the head and sends what the socket takes. */
bool htp_respond(struct htp_req *r, int status,
		 const struct htp_header *headers, size_t count,
		 long long content_length)
{
	bool ok = queue_head(r, status, headers, count, content_length);

	htp_out_flush(r->conn);
	return ok;
}

/* Queues body bytes with the framing of the response. */
static bool queue_body(struct htp_req *r, const void *data, size_t len,
		       bool end)
{
	char size[24];

	if (!r->chunked_out) {
		r->left_out -= (long long)len;
		if (r->left_out < 0 || (end && r->left_out > 0))
			return false;
		return htp_out_queue(r, data, len);
	}
	if (len > 0) {
		int n = snprintf(size, sizeof(size), "%zx\r\n", len);

		if (!htp_out_queue(r, size, (size_t)n) ||
		    !htp_out_queue(r, data, len) ||
		    !htp_out_queue(r, "\r\n", 2))
			return false;
	}
	return !end || htp_out_queue(r, "0\r\n\r\n", 5);
}

/* A body that does not fit its declared length breaks the transfer. */
bool htp_write(struct htp_req *r, const void *data, size_t len, bool end)
{
	if (!r->responded || r->ended || r->conn->aborted)
		return false;
	if (!r->no_body_out && !queue_body(r, data, len, end)) {
		htp_abort(r);
		return false;
	}
	r->ended = end;
	if (end)
		finish_later(r->conn);
	else
		htp_out_flush(r->conn);
	r->blocked = r->queued > HTP_BUFFER_MAX;
	return !r->blocked;
}

/* Queues head and body; one piece holds both when they are small. */
void htp_reply(struct htp_req *r, int status, const struct htp_header *headers,
	       size_t count, const void *body, size_t len)
{
	if (queue_head(r, status, headers, count, (long long)len))
		htp_write(r, body, len, true);
}

/* Answers in the server's own name. */
void htp_refuse(struct htp_req *r, int status)
{
	static const struct htp_header headers[] = {
		{ "geranium-outcome", "invalid" },
	};

	r->conn->close_after = true;
	htp_reply(r, status, headers, 1, NULL, 0);
}

/* Goes on sending and lets the user go on writing. */
void htp_out_writable(struct htp_conn *c)
{
	struct htp_req *r = c->req;

	if (!r || c->aborted || !r->first)
		return;
	if (r->ended) {
		finish_later(c);
		return;
	}
	htp_out_flush(c);
	if (r->queued > held_bytes(r) || !r->blocked || c->aborted)
		return;
	r->blocked = false;
	c->server->ops->writable(c->server->arg, r);
}

/*
 * Sends the last bytes and makes the connection ready for the next request. The
 * rest of a request that was answered early is read and discarded for a while:
 * closing with unread bytes would reset the connection and could take the
 * response from the caller.
 */
void htp_out_finish(struct htp_conn *c)
{
	bool body_done = c->req->body_done;

	htp_out_flush(c);
	c->finishing = false;
	if (c->aborted || c->req->first)
		return;
	htp_req_close(c, true);
	if (!body_done) {
		c->lingering = true;
		shutdown(c->fd, SHUT_WR);
	} else if (c->close_after) {
		htp_conn_kill(c);
	} else {
		httpparse_reset(c->parser);
	}
}
