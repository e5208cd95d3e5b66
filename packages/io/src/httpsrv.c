#include "httpsrv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "tcpsock.h"

#define SWEEP_US (500 * US_PER_MS)
/* Bytes for the size line of a chunk: hexadecimal digits, CRLF and NUL. */
#define CHUNK_LINE_MAX 24
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503
#define DEFAULT_BODY_BYTES (64U << 20)
#define DEFAULT_BUFFERED_BYTES (96U << 20)
#define DEFAULT_HEADER_US (5 * US_PER_S)
#define DEFAULT_IDLE_US (60 * US_PER_S)
/* Input buffered while a request is answered; the rest stays in the kernel. */
#define PIPELINE_BYTES 65536

enum phase {
	PHASE_RECEIVING, /* idle or receiving a request */
	PHASE_RESPONDING, /* the request is with the user */
	PHASE_CLOSED
};

struct httpconn {
	struct httpconn *prev, *next;
	struct httpsrv *server;
	struct tcpsock *socket;
	struct httpparse *parser;
	struct buf body;
	struct pacer_response paced; /* a long response being sent */
	void *request; /* context of the user */
	enum phase phase;
	int64_t sent; /* body bytes written so far */
	bool urgent; /* priority among long responses */
	uint64_t start_us; /* start of the idle time or of the request */
	uint16_t error; /* status to reject the request with, or 0 */
	bool begun; /* the response header has been written */
	bool chunked;
	bool head_only; /* the request was HEAD */
	bool close_after;
};

struct httpsrv {
	struct evloop *loop;
	struct tcplisten *listener;
	struct pacer *link; /* NULL if responses are not paced */
	const struct httpsrv_ops *ops;
	void *arg;
	struct httpsrv_limits limits;
	struct httpconn *connections;
	uint32_t count, busy;
	size_t buffered;
	uint32_t sweep_timer;
	bool draining;
};

static void read_input(struct httpconn *c);

/* Frees the request body and returns its bytes to the limit. */
static void free_body(struct httpconn *c)
{
	c->server->buffered -= buf_len(&c->body);
	buf_free(&c->body);
}

/* Closes a connection whose request the user no longer references. */
static void close_connection(struct httpconn *c, bool after_output)
{
	struct httpsrv *s = c->server;

	if (c->phase == PHASE_RESPONDING)
		s->busy--;
	c->phase = PHASE_CLOSED;
	pacer_cancel(&c->paced);
	free_body(c);
	DL_DELETE(s->connections, c);
	s->count--;
	if (after_output)
		tcpsock_close_after_output(c->socket);
	else
		tcpsock_close(c->socket);
	httpparse_destroy(c->parser);
	free(c);
}

/* Response written: continues with the next request or closes. */
static void finish_response(struct httpconn *c)
{
	struct httpsrv *s = c->server;

	c->request = NULL;
	pacer_cancel(&c->paced);
	if (c->close_after) {
		close_connection(c, true);
		return;
	}
	free_body(c);
	s->busy--;
	c->phase = PHASE_RECEIVING;
	c->begun = false;
	c->start_us = evloop_now_us(s->loop);
	httpparse_reset(c->parser);
	tcpsock_pause_input(c->socket, false);
	read_input(c);
}

/* Rejects a malformed or oversized request and closes the connection. */
static void reject(struct httpconn *c, uint16_t status)
{
	if (c->phase != PHASE_RESPONDING) {
		c->phase = PHASE_RESPONDING;
		c->server->busy++;
	}
	c->close_after = true;
	httpconn_reply(c, status, "", "", 0);
}

/* Passes a complete request to the user. */
static void deliver_request(struct httpconn *c)
{
	struct httpsrv *s = c->server;
	struct httpmsg *m = httpparse_message(c->parser);
	void *request;

	c->phase = PHASE_RESPONDING;
	c->urgent = false;
	s->busy++;
	c->close_after = !m->keep_alive || s->draining;
	c->head_only = strcmp(m->method, "HEAD") == 0;
	if (c->error) {
		reject(c, c->error);
		return;
	}
	request = s->ops->on_request(s->arg, c, m, &c->body);
	if (request)
		c->request = request;
}

/* Parses buffered input; does nothing while a request is being answered. */
static void read_input(struct httpconn *c)
{
	struct buf *in = tcpsock_input(c->socket);
	enum httpparse_state state = HTTPPARSE_INCOMPLETE;
	size_t consumed = 0;

	if (c->phase != PHASE_RECEIVING || buf_len(in) == 0)
		return;
	if (!httpparse_in_message(c->parser)) {
		c->start_us = evloop_now_us(c->server->loop);
		c->error = 0;
		httpparse_set_head_bytes(c->parser,
					 c->server->limits.head_bytes);
	}
	state = httpparse_feed(c->parser, buf_data(in), buf_len(in), &consumed);
	if (consumed > buf_len(in))
		consumed = buf_len(in);
	buf_consume(in, consumed);
	if (state == HTTPPARSE_ERROR)
		reject(c, c->error ? c->error : STATUS_BAD_REQUEST);
	else if (state == HTTPPARSE_DONE)
		deliver_request(c);
}

/* Stops reading from a client that pipelines more than PIPELINE_BYTES. */
static void on_input(void *arg)
{
	struct httpconn *c = arg;

	if (c->phase == PHASE_RESPONDING) {
		if (buf_len(tcpsock_input(c->socket)) > PIPELINE_BYTES)
			tcpsock_pause_input(c->socket, true);
		return;
	}
	read_input(c);
}

/* The output has been sent: continues a response that is in progress. */
static void on_drained(void *arg)
{
	struct httpconn *c = arg;

	if (c->paced.owner)
		pacer_resume(&c->paced);
	else if (c->request && c->server->ops->on_drained)
		c->server->ops->on_drained(c->request);
}

/* All bytes queued so far of a paced response have been sent. */
static void on_paced(void *arg)
{
	struct httpconn *c = arg;

	if (c->paced.ended)
		finish_response(c);
	else if (c->request && c->server->ops->on_drained)
		c->server->ops->on_drained(c->request);
}

/* The client has closed the connection, or the connection failed. */
static void on_end(void *arg, enum tcpsock_end_reason why)
{
	struct httpconn *c = arg;
	void *request = c->request;

	(void)why;
	c->request = NULL;
	if (request)
		c->server->ops->on_disconnect(request);
	close_connection(c, false);
}

static const struct tcpsock_ops socket_ops = { on_input, on_drained, on_end };

/* Checks Content-Length and answers Expect: 100-continue. */
static bool on_head(void *arg, struct httpmsg *m)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct httpconn *c = arg;
	struct httpsrv *s = c->server;

	if (m->length > (int64_t)s->limits.body_bytes)
		c->error = STATUS_TOO_LARGE;
	if (!c->error &&
	    span_is_nocase(httpmsg_find(m, "expect"), "100-continue"))
		tcpsock_send(c->socket, interim, sizeof(interim) - 1);
	return c->error == 0;
}

/* Buffers the body, within the limits. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct httpconn *c = arg;
	struct httpsrv *s = c->server;

	if (c->error)
		return;
	if (buf_len(&c->body) + len > s->limits.body_bytes)
		c->error = STATUS_TOO_LARGE;
	else if (s->buffered + len > s->limits.buffered_bytes ||
		 !buf_add(&c->body, bytes, len))
		c->error = STATUS_UNAVAILABLE;
	else
		s->buffered += len;
}

static const struct httpparse_ops parser_ops = { on_head, on_body };

/* Sets up an accepted connection. */
static void on_accept(void *arg, int fd)
{
	struct httpsrv *s = arg;
	struct httpconn *c = calloc(1, sizeof(*c));

	if (!c)
		return;
	c->server = s;
	c->parser = httpparse_create(true, &parser_ops, c);
	c->socket = tcpsock_from_fd(s->loop, fd, &socket_ops, c);
	if (!c->socket || !c->parser) {
		if (c->socket)
			tcpsock_close(c->socket);
		httpparse_destroy(c->parser);
		free(c);
		return;
	}
	c->start_us = evloop_now_us(s->loop);
	DL_APPEND(s->connections, c);
	s->count++;
}

/* Closes connections that exceed the idle or the request timeout. */
static void close_timed_out(void *arg, uint64_t now_us)
{
	struct httpsrv *s = arg;
	struct httpconn *c, *next;

	DL_FOREACH_SAFE(s->connections, c, next)
	{
		uint64_t limit = httpparse_in_message(c->parser) ?
					 s->limits.header_us :
					 s->limits.idle_us;

		if (c->phase == PHASE_RECEIVING && now_us - c->start_us > limit)
			close_connection(c, true);
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
	while (s->connections)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		on_end(s->connections, TCPSOCK_EOF);
	tcplisten_destroy(s->listener);
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

/* Closes each connection after its response, for a graceful shutdown. */
void httpsrv_drain(struct httpsrv *s)
{
	struct httpconn *c;

	s->draining = true;
	DL_FOREACH(s->connections, c)
	{
		if (c->phase == PHASE_RESPONDING && !c->begun)
			c->close_after = true;
	}
}

/* Counts the connections that an exit of the process would cut off. */
uint32_t httpsrv_busy_count(const struct httpsrv *s)
{
	uint32_t others = 0;
	struct httpconn *c;

	DL_FOREACH(s->connections, c)
	{
		if (c->phase == PHASE_RECEIVING &&
		    (httpparse_in_message(c->parser) ||
		     httpconn_unsent_bytes(c) > 0))
			others++;
	}
	return s->busy + others;
}

/* Gives the response priority over other long responses. */
void httpconn_set_urgent(struct httpconn *c)
{
	c->urgent = true;
}

/* Writes the header. Closes later if only a close can mark the body's end. */
void httpconn_begin(struct httpconn *c, uint16_t status, const char *fields,
		    size_t fields_len, int64_t length)
{
	struct buf *out = tcpsock_output(c->socket);
	bool no_body =
		status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;

	c->begun = true;
	c->chunked = length < 0 && !no_body && !c->head_only &&
		     httpparse_message(c->parser)->minor > 0;
	if (length < 0 && !c->chunked && !no_body)
		c->close_after = true;
	buf_printf(out, "HTTP/1.1 %u %s\r\n", status,
		   httpmsg_reason_phrase(status));
	buf_add(out, fields, fields_len);
	if (c->chunked)
		buf_add_text(out, "Transfer-Encoding: chunked\r\n");
	else if (length >= 0 && !no_body)
		buf_printf(out, "Content-Length: %lld\r\n", (long long)length);
	if (c->close_after)
		buf_add_text(out, "Connection: close\r\n");
	buf_add_text(out, "\r\n");
	c->sent = 0;
	if (c->server->link && !c->head_only && !no_body && length >= 0 &&
	    pacer_is_long(c->server->link, length))
		pacer_begin(c->server->link, &c->paced, c->socket, length,
			    c->urgent, on_paced, c);
	else if (c->server->link)
		pacer_charge(c->server->link, fields_len);
}

/* Queues bytes of a long response with the pacer, or buffers a short one. */
static void send_part(struct httpconn *c, const void *bytes, size_t len)
{
	struct pacer *link = c->server->link;

	c->sent += (int64_t)len;
	/* With unknown length, pacing starts once enough has been written. */
	if (link && !c->paced.owner && pacer_is_long(link, c->sent))
		pacer_begin(link, &c->paced, c->socket, -1, c->urgent, on_paced,
			    c);
	if (c->paced.owner) {
		pacer_add(&c->paced, bytes, len);
		return;
	}
	buf_add(tcpsock_output(c->socket), bytes, len);
	if (link)
		pacer_charge(link, len);
}

/* Sends a part of the body, as one chunk if the response is chunked. */
void httpconn_write(struct httpconn *c, const void *bytes, size_t len)
{
	char size[CHUNK_LINE_MAX];

	if (len == 0 || c->head_only)
		return;
	if (c->chunked)
		send_part(c, size,
			  (size_t)snprintf(size, sizeof(size), "%zx\r\n", len));
	send_part(c, bytes, len);
	if (c->chunked)
		send_part(c, "\r\n", 2);
	if (!c->paced.owner)
		tcpsock_flush(c->socket);
}

void httpconn_end(struct httpconn *c)
{
	static const char last[] = "0\r\n\r\n";

	/* The connection stays busy until everything has been sent. */
	c->request = NULL;
	if (c->paced.owner) {
		tcpsock_flush(c->socket);
		pacer_end(&c->paced);
		if (c->chunked)
			pacer_add(&c->paced, last, strlen(last));
		else if (buf_len(&c->paced.queue) == 0)
			finish_response(c);
		return;
	}
	if (c->chunked)
		buf_add_text(tcpsock_output(c->socket), last);
	tcpsock_flush(c->socket);
	finish_response(c);
}

/* Closes immediately, so that the body is shorter than announced. */
void httpconn_abort(struct httpconn *c)
{
	c->request = NULL;
	close_connection(c, false);
}

/* Sends a complete response with a body of len bytes. */
void httpconn_reply(struct httpconn *c, uint16_t status, const char *fields,
		    const char *body, size_t len)
{
	httpconn_begin(c, status, fields, strlen(fields), (int64_t)len);
	if (!c->head_only)
		send_part(c, body, len);
	c->chunked = false;
	httpconn_end(c);
}

size_t httpconn_unsent_bytes(struct httpconn *c)
{
	return buf_len(tcpsock_output(c->socket)) + buf_len(&c->paced.queue);
}

/* Returns the arrival of the first byte of the request, monotonic time. */
uint64_t httpconn_start_us(const struct httpconn *c)
{
	return c->start_us;
}
