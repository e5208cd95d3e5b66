#include "hsv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "skt.h"

#define SWEEP_US (500 * US_PER_MS)
/* Size of a chunk in hexadecimal digits, with the end of its line. */
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
/* Input behind a running request; more is left in the system's buffers. */
#define PIPELINE_BYTES 65536

enum phase {
	PHASE_READ, /* idle, or a request is being read */
	PHASE_ANSWER, /* the user has it */
	PHASE_CLOSED
};

struct hsc {
	struct hsc *prev, *next;
	struct hsv *server;
	struct skt *socket;
	struct hps *parser;
	struct buf body;
	struct pac_response paced; /* a long response on its way */
	void *request; /* of the user */
	enum phase phase;
	int64_t sent; /* bytes of the body */
	bool hurries; /* a long response goes before others */
	uint64_t since_us; /* idle since, or first byte of the request */
	uint16_t refuse; /* status for a request that is not taken */
	bool begun; /* the head of the response has been written */
	bool chunked;
	bool head_only; /* the request was HEAD */
	bool close_after;
};

struct hsv {
	struct evl *loop;
	struct skl *listener;
	struct pac *link; /* NULL if all is sent at once */
	const struct hsv_ops *ops;
	void *arg;
	struct hsv_limits limits;
	struct hsc *connections;
	uint32_t count;
	uint32_t busy;
	size_t buffered;
	uint32_t sweep;
	bool draining;
};

static void read_input(struct hsc *c);

/* Frees the memory of the body that was read. */
static void drop_body(struct hsc *c)
{
	c->server->buffered -= buf_len(&c->body);
	buf_free(&c->body);
}

/* Closes a connection; the user has let go of its request. */
static void close_connection(struct hsc *c, bool after_output)
{
	struct hsv *s = c->server;

	if (c->phase == PHASE_ANSWER)
		s->busy--;
	c->phase = PHASE_CLOSED;
	pac_stop(&c->paced);
	drop_body(c);
	DL_DELETE(s->connections, c);
	s->count--;
	if (after_output)
		skt_close_after_output(c->socket);
	else
		skt_close(c->socket);
	hps_destroy(c->parser);
	free(c);
}

/* The response has been written: the next request, or the end. */
static void finish(struct hsc *c)
{
	struct hsv *s = c->server;

	c->request = NULL;
	pac_stop(&c->paced);
	if (c->close_after) {
		close_connection(c, true);
		return;
	}
	drop_body(c);
	s->busy--;
	c->phase = PHASE_READ;
	c->begun = false;
	c->since_us = evl_now_us(s->loop);
	hps_next(c->parser);
	skt_hold_input(c->socket, false);
	read_input(c);
}

/* Refuses what is not HTTP or too large, and closes. */
static void refuse(struct hsc *c, uint16_t status)
{
	if (c->phase != PHASE_ANSWER) {
		c->phase = PHASE_ANSWER;
		c->server->busy++;
	}
	c->close_after = true;
	hsc_reply(c, status, "", "", 0);
}

/* Hands a whole request to the user. */
static void hand_over(struct hsc *c)
{
	struct hsv *s = c->server;
	struct hmg *m = hps_message(c->parser);
	void *request;

	c->phase = PHASE_ANSWER;
	c->hurries = false;
	s->busy++;
	c->close_after = !m->keep_alive || s->draining;
	c->head_only = strcmp(m->method, "HEAD") == 0;
	if (c->refuse) {
		refuse(c, c->refuse);
		return;
	}
	request = s->ops->on_request(s->arg, c, m, &c->body);
	if (request)
		c->request = request;
}

/* Parses what has come; stops while a request is being answered. */
static void read_input(struct hsc *c)
{
	struct buf *in = skt_input(c->socket);
	enum hps_state state = HPS_MORE;
	size_t taken = 0;

	if (c->phase != PHASE_READ || buf_len(in) == 0)
		return;
	if (!hps_is_inside(c->parser)) {
		c->since_us = evl_now_us(c->server->loop);
		c->refuse = 0;
	}
	state = hps_feed(c->parser, buf_data(in), buf_len(in), &taken);
	if (taken > buf_len(in))
		taken = buf_len(in);
	buf_take(in, taken);
	if (state == HPS_BROKEN)
		refuse(c, c->refuse ? c->refuse : STATUS_BAD_REQUEST);
	else if (state == HPS_DONE)
		hand_over(c);
}

/* Bytes have come; a client that sends too far ahead is not read. */
static void on_input(void *arg)
{
	struct hsc *c = arg;

	if (c->phase == PHASE_ANSWER) {
		if (buf_len(skt_input(c->socket)) > PIPELINE_BYTES)
			skt_hold_input(c->socket, true);
		return;
	}
	read_input(c);
}

/* The output has been sent; a response in pieces may go on. */
static void on_drained(void *arg)
{
	struct hsc *c = arg;

	if (c->paced.owner)
		pac_resume(&c->paced);
	else if (c->request && c->server->ops->on_drained)
		c->server->ops->on_drained(c->request);
}

/* All that the user has given of a long response has been sent. */
static void on_paced(void *arg)
{
	struct hsc *c = arg;

	if (c->paced.ended)
		finish(c);
	else if (c->request && c->server->ops->on_drained)
		c->server->ops->on_drained(c->request);
}

/* The client has closed its side or is lost. */
static void on_end(void *arg, enum skt_end why)
{
	struct hsc *c = arg;
	void *request = c->request;

	(void)why;
	c->request = NULL;
	if (request)
		c->server->ops->on_gone(request);
	close_connection(c, false);
}

static const struct skt_ops socket_ops = { on_input, on_drained, on_end };

/* Checks the size that a request announces and asks for its body. */
static bool on_head(void *arg, struct hmg *m)
{
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct hsc *c = arg;
	struct hsv *s = c->server;

	if (m->length > (int64_t)s->limits.body_bytes)
		c->refuse = STATUS_TOO_LARGE;
	if (!c->refuse && span_is_nocase(hmg_find(m, "expect"), "100-continue"))
		skt_send(c->socket, go_on, sizeof(go_on) - 1);
	return c->refuse == 0;
}

/* Keeps the body, within the limits. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct hsc *c = arg;
	struct hsv *s = c->server;

	if (c->refuse)
		return;
	if (buf_len(&c->body) + len > s->limits.body_bytes)
		c->refuse = STATUS_TOO_LARGE;
	else if (s->buffered + len > s->limits.buffered_bytes ||
		 !buf_add(&c->body, bytes, len))
		c->refuse = STATUS_UNAVAILABLE;
	else
		s->buffered += len;
}

static const struct hps_ops parser_ops = { on_head, on_body };

/* Takes a new connection. */
static void on_accept(void *arg, int fd)
{
	struct hsv *s = arg;
	struct hsc *c = calloc(1, sizeof(*c));

	if (!c)
		return;
	c->server = s;
	c->parser = hps_create(true, &parser_ops, c);
	c->socket = skt_adopt(s->loop, fd, &socket_ops, c);
	if (!c->socket || !c->parser) {
		if (c->socket)
			skt_close(c->socket);
		hps_destroy(c->parser);
		free(c);
		return;
	}
	c->since_us = evl_now_us(s->loop);
	DL_APPEND(s->connections, c);
	s->count++;
}

/* Closes connections that are idle or send too slowly. */
static void sweep(void *arg, uint64_t now_us)
{
	struct hsv *s = arg;
	struct hsc *c, *next;

	DL_FOREACH_SAFE(s->connections, c, next)
	{
		uint64_t limit = hps_is_inside(c->parser) ?
					 s->limits.header_us :
					 s->limits.idle_us;

		if (c->phase == PHASE_READ && now_us - c->since_us > limit)
			close_connection(c, true);
	}
}

/* Listens; see the header for errors. */
struct hsv *hsv_create(struct evl *l, const char *address,
		       const struct hsv_ops *ops, void *arg, struct err *err)
{
	static const struct hsv_limits defaults = { DEFAULT_BODY_BYTES,
						    DEFAULT_BUFFERED_BYTES,
						    DEFAULT_HEADER_US,
						    DEFAULT_IDLE_US };
	struct hsv *s = calloc(1, sizeof(*s));

	if (!s) {
		err_set(err, ERR_SYSTEM, IO_NO_MEMORY, "out of memory");
		return NULL;
	}
	s->loop = l;
	s->ops = ops;
	s->arg = arg;
	s->limits = defaults;
	s->listener = skl_create(l, address, on_accept, s, err);
	if (!s->listener) {
		free(s);
		return NULL;
	}
	s->sweep = tmr_every(evl_timers(l), evl_now_us(l) + SWEEP_US, SWEEP_US,
			     sweep, s);
	return s;
}

/* Closes the address and all connections. */
void hsv_destroy(struct hsv *s)
{
	if (!s)
		return;
	tmr_cancel(evl_timers(s->loop), s->sweep);
	/* The analyzer does not follow the list of utlist. */
	while (s->connections)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		on_end(s->connections, SKT_EOF);
	skl_destroy(s->listener);
	free(s);
}

/* Sets the limits for requests that come from now on. */
void hsv_set_limits(struct hsv *s, const struct hsv_limits *limits)
{
	s->limits = *limits;
}

/* Shares the link among the long responses of several servers. */
void hsv_set_link(struct hsv *s, struct pac *link)
{
	s->link = link;
}

/* Lets every connection end behind its response. */
void hsv_drain(struct hsv *s)
{
	struct hsc *c;

	s->draining = true;
	DL_FOREACH(s->connections, c)
	{
		if (c->phase == PHASE_ANSWER && !c->begun)
			c->close_after = true;
	}
}

/* Counts what would be cut if the process ended now. */
uint32_t hsv_busy(const struct hsv *s)
{
	uint32_t others = 0;
	struct hsc *c;

	DL_FOREACH(s->connections, c)
	{
		if (c->phase == PHASE_READ &&
		    (hps_is_inside(c->parser) || hsc_backlog(c) > 0))
			others++;
	}
	return s->busy + others;
}

/* Lets the response go before others. */
void hsc_hurry(struct hsc *c)
{
	c->hurries = true;
}

/* Writes the head; a response whose end only the close shows closes. */
void hsc_begin(struct hsc *c, uint16_t status, const char *fields,
	       size_t fields_len, int64_t length)
{
	struct buf *out = skt_output(c->socket);
	bool no_body =
		status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;

	c->begun = true;
	c->chunked = length < 0 && !no_body && !c->head_only &&
		     hps_message(c->parser)->minor > 0;
	if (length < 0 && !c->chunked && !no_body)
		c->close_after = true;
	buf_printf(out, "HTTP/1.1 %u %s\r\n", status, hmg_reason(status));
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
	    pac_is_long(c->server->link, length))
		pac_begin(c->server->link, &c->paced, c->socket, length,
			  c->hurries, on_paced, c);
	else if (c->server->link)
		pac_spend(c->server->link, fields_len);
}

/* Adds a long response to what waits for the link, or sends a short one. */
static void send_piece(struct hsc *c, const void *bytes, size_t len)
{
	struct pac *link = c->server->link;

	c->sent += (int64_t)len;
	/* Without a length it shows only on the way that a response is long. */
	if (link && !c->paced.owner && pac_is_long(link, c->sent))
		pac_begin(link, &c->paced, c->socket, -1, c->hurries, on_paced,
			  c);
	if (c->paced.owner) {
		pac_add(&c->paced, bytes, len);
		return;
	}
	buf_add(skt_output(c->socket), bytes, len);
	if (link)
		pac_spend(link, len);
}

/* Writes a piece of the body. */
void hsc_body(struct hsc *c, const void *bytes, size_t len)
{
	char size[CHUNK_LINE_MAX];

	if (len == 0 || c->head_only)
		return;
	if (c->chunked)
		send_piece(
			c, size,
			(size_t)snprintf(size, sizeof(size), "%zx\r\n", len));
	send_piece(c, bytes, len);
	if (c->chunked)
		send_piece(c, "\r\n", 2);
	if (!c->paced.owner)
		skt_flush(c->socket);
}

/* Completes the response. */
void hsc_end(struct hsc *c)
{
	static const char last[] = "0\r\n\r\n";

	/* The user is done; the connection is busy until all has been sent. */
	c->request = NULL;
	if (c->paced.owner) {
		skt_flush(c->socket);
		pac_end(&c->paced);
		if (c->chunked)
			pac_add(&c->paced, last, strlen(last));
		else if (buf_len(&c->paced.queue) == 0)
			finish(c);
		return;
	}
	if (c->chunked)
		buf_add_text(skt_output(c->socket), last);
	skt_flush(c->socket);
	finish(c);
}

/* Closes at once, so that the body stays short of its announced end. */
void hsc_abort(struct hsc *c)
{
	c->request = NULL;
	close_connection(c, false);
}

/* Writes a whole response. */
void hsc_reply(struct hsc *c, uint16_t status, const char *fields,
	       const char *body, size_t len)
{
	hsc_begin(c, status, fields, strlen(fields), (int64_t)len);
	if (!c->head_only)
		send_piece(c, body, len);
	c->chunked = false;
	hsc_end(c);
}

/* Returns the bytes that the system has not taken yet. */
size_t hsc_backlog(struct hsc *c)
{
	return buf_len(skt_output(c->socket)) + buf_len(&c->paced.queue);
}

/* Returns when the request began. */
uint64_t hsc_began_us(const struct hsc *c)
{
	return c->since_us;
}
