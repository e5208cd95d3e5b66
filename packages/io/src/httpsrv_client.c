#include "httpsrv_int.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "membud.h"

#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LARGE 413
#define STATUS_NOT_IMPLEMENTED 501
#define STATUS_UNAVAILABLE 503
/* Input buffered while no request is read; the rest stays in the kernel. */
#define PIPELINE_BYTES 65536
/*
 * The next response goes out once the connection has at most this many bytes
 * left to send, so that a client that does not read cannot fill the memory.
 */
#define SEND_AHEAD_BYTES 65536

/* Frees the request body and returns its bytes to the limit. */
static void free_body(struct httpconn *c)
{
	c->client->server->buffered -= buf_len(&c->body);
	buf_free(&c->body);
}

static void free_request(struct httpconn *c)
{
	if (!c)
		return;
	free_body(c);
	buf_free(&c->head);
	buf_free(&c->held);
	buf_free(&c->id);
	buf_free(&c->refusal_fields);
	httpparse_destroy(c->parser);
	free(c);
}

/* Memory of a head that is not refused when memory is short. */
#define LARGE_HEAD_BYTES 16384

/* Gives up a request whose body cannot be received. */
static void refuse_body(struct httpconn *c, uint16_t status)
{
	c->error = status;
	free_body(c);
	httpparse_stop(c->parser);
}

/* Checks Content-Length; answers Expect: 100-continue when it is its turn. */
static bool on_head(void *arg, struct httpmsg *m)
{
	struct httpconn *c = arg;
	const struct httpsrv *s = c->client->server;

	httpclient_read_offer(c->client, m);
	c->discards_body =
		m->length != 0 && s->needs_body && !s->needs_body(s->arg, m);
	if (m->other_coding)
		c->error = STATUS_NOT_IMPLEMENTED;
	else if (m->length > (int64_t)s->limits.body_bytes)
		c->error = STATUS_TOO_LARGE;
	else if (m->length != 0 && !c->discards_body &&
		 !httpguard_may_begin(s->guard,
				      m->length > 0 ? (uint64_t)m->length : 0))
		c->error = STATUS_UNAVAILABLE;
	c->expects_continue =
		!c->error &&
		span_is_nocase(httpmsg_find(m, "expect"), "100-continue");
	return c->error == 0;
}

/* Buffers the body, within the limits. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct httpconn *c = arg;
	struct httpsrv *s = c->client->server;

	int64_t length = httpparse_message(c->parser)->length;
	size_t most = length > 0 ? (size_t)length : 0;

	if (c->error)
		return;
	if (buf_len(&c->body) + c->discarded + len > s->limits.body_bytes)
		refuse_body(c, STATUS_TOO_LARGE);
	else if (c->discards_body)
		c->discarded += len;
	else if (s->buffered + len > s->limits.buffered_bytes ||
		 !httpguard_may_grow(s->guard,
				     buf_growth(&c->body, len, most)) ||
		 !buf_add_within(&c->body, bytes, len, most))
		refuse_body(c, STATUS_UNAVAILABLE);
	else
		s->buffered += len;
}

static const struct httpparse_ops parser_ops = { on_head, on_body };

/* Makes a request that was answered ready for the next one. */
static void recycle_request(struct httpconn *c)
{
	struct httpclient *k = c->client;
	struct httpparse *parser = c->parser;

	if (k->spare) {
		free_request(c);
		return;
	}
	free_body(c);
	buf_free(&c->head);
	buf_free(&c->held);
	buf_free(&c->id);
	buf_free(&c->refusal_fields);
	httpparse_reset(parser);
	memset(c, 0, sizeof(*c));
	c->client = k;
	c->parser = parser;
	k->spare = c;
}

/* Begins to receive a request. Returns NULL if out of memory. */
static struct httpconn *begin_request(struct httpclient *k)
{
	struct httpconn *c = k->spare;

	k->spare = NULL;
	if (!c) {
		c = calloc(1, sizeof(*c));
		if (!c)
			return NULL;
		c->client = k;
		c->parser = httpparse_create(true, &parser_ops, c);
		if (!c->parser) {
			free(c);
			return NULL;
		}
	}
	c->start_us = evloop_now_us(k->server->loop);
	httpparse_set_head_bytes(c->parser, k->server->limits.head_bytes);
	DL_APPEND(k->requests, c);
	return c;
}

/* Puts a request that was read in its place behind the earlier ones. */
static void add_request(struct httpconn *c)
{
	struct httpsrv *s = c->client->server;
	struct httpmsg *m = httpparse_message(c->parser);
	struct pipeline_request r = { 0 };

	c->phase = HTTPCONN_WAITING;
	c->close_after = c->error || !m->keep_alive || s->draining;
	c->head_only = m->method && strcmp(m->method, "HEAD") == 0;
	r.last = c->close_after;
	r.overlaps = !c->error && s->overlaps && buf_len(&c->body) == 0 &&
		     s->overlaps(s->arg, m);
	r.bytes = sizeof(*c) + httpparse_held_bytes(c->parser) + c->body.size;
	c->place = pipeline_add(c->client->order, &r);
}

/* Returns the request to feed with input; NULL if none may be read now. */
static struct httpconn *find_receiver(struct httpclient *k)
{
	if (k->requests && k->requests->prev->phase == HTTPCONN_RECEIVING)
		return k->requests->prev;
	return pipeline_may_read(k->order) ? begin_request(k) : NULL;
}

/*
 * Answers Expect: 100-continue of the first request. One that is refused is
 * complete without its body, unless some of it has arrived already.
 */
static void answer_expect(struct httpconn *c)
{
	struct httpsrv *s = c->client->server;

	if (!c->expects_continue)
		return;
	c->expects_continue = false;
	if (s->expect && buf_len(&c->body) == 0)
		c->refusal = s->expect(s->arg, httpparse_message(c->parser),
				       &c->refusal_fields);
	if (c->refusal)
		add_request(c);
	else
		httpclient_send_continue(c->client);
}

/* Refuses a request before its body. */
static void refuse_request(struct httpconn *c)
{
	struct buf fields = c->refusal_fields;

	memset(&c->refusal_fields, 0, sizeof(c->refusal_fields));
	buf_add(&fields, "", 1);
	httpconn_reply(c, c->refusal, buf_data(&fields), "", 0);
	buf_free(&fields);
}

/*
 * Refuses a request whose head takes much when memory is all but used up, and
 * frees it at once: its body is not there yet, or it is about to be started.
 */
static bool refuse_head(struct httpconn *c)
{
	if (c->error || httpparse_held_bytes(c->parser) <= LARGE_HEAD_BYTES ||
	    httpguard_may_grow(c->client->server->guard, 1))
		return false;
	free_body(c);
	httpparse_reset(c->parser);
	c->error = STATUS_UNAVAILABLE;
	return true;
}

/* Parses buffered input, as far as the pipeline allows. */
static void read_requests(struct httpclient *k)
{
	struct buf *in;
	struct httpconn *c = NULL;
	bool pause, is_short;

	if (k->closed)
		return;
	httpguard_check(k->server->guard);
	in = tcpsock_input(k->socket);
	while (buf_len(in) > 0 && (c = find_receiver(k))) {
		enum httpparse_state state = httpclient_feed(k, c);

		if (k->closed)
			return;
		if (refuse_head(c))
			state = HTTPPARSE_ERROR;
		if (state == HTTPPARSE_INCOMPLETE) {
			if (c == k->requests)
				answer_expect(c);
			break;
		}
		if (state == HTTPPARSE_ERROR && !c->error)
			c->error = STATUS_BAD_REQUEST;
		add_request(c);
	}
	is_short = httpguard_is_short_of_memory(k->server->guard);
	pause = !c && buf_len(in) > (is_short ? 0 : PIPELINE_BYTES);
	if (pause != k->input_paused)
		tcpsock_pause_input(k->socket, pause);
	k->input_paused = pause;
}

/* Passes a request to the user. */
static void start_request(struct httpconn *c)
{
	struct httpsrv *s = c->client->server;
	void *request;

	c->phase = HTTPCONN_RUNNING;
	if (c->error) {
		httpconn_reject(c, c->error);
		return;
	}
	if (c->refusal) {
		refuse_request(c);
		return;
	}
	request = s->ops->on_request(s->arg, c, httpparse_message(c->parser),
				     &c->body);
	if (request && c->phase == HTTPCONN_RUNNING)
		c->request = request;
}

/* Starts the requests that need not wait. */
static void start_requests(struct httpclient *k)
{
	struct httpconn *c = k->requests;
	uint32_t place;

	while (!k->closed &&
	       (place = pipeline_next_start(k->order)) != PIPELINE_NONE) {
		while (c->place != place)
			c = c->next;
		pipeline_start(k->order, place);
		start_request(c);
	}
}

/* Removes the first request, which has been answered. */
static void remove_first(struct httpclient *k)
{
	struct httpconn *c = k->requests;

	DL_DELETE(k->requests, c);
	pipeline_remove_first(k->order);
	k->idle_since_us = evloop_now_us(k->server->loop);
	k->expendable = c->expendable;
	recycle_request(c);
}

/* Sends of the first response what is there. True if it is complete. */
static bool send_first(struct httpclient *k)
{
	struct httpconn *c = k->requests;
	struct buf *out;

	if (k->closed || !c)
		return false;
	if (c->phase == HTTPCONN_RECEIVING)
		answer_expect(c);
	out = tcpsock_output(k->socket);
	if (!c->begun || (!c->open && buf_len(out) > SEND_AHEAD_BYTES) ||
	    !httpconn_send_held(c))
		return false;
	if (c->close_after) {
		httpclient_close(k, true);
		return false;
	}
	if (buf_len(out) > SEND_AHEAD_BYTES)
		return false;
	remove_first(k);
	return true;
}

/* Tells the user of the first request that its output has been sent. */
static void notify_drained(struct httpclient *k)
{
	struct httpconn *c = k->requests;

	if (!k->drained)
		return;
	k->drained = false;
	if (c && c->request && k->server->ops->on_drained)
		k->server->ops->on_drained(c->request);
}

/* True if the user still references a request of the connection. */
static bool is_referenced(const struct httpclient *k)
{
	const struct httpconn *c;

	DL_FOREACH(k->requests, c)
	{
		if (c->request)
			return true;
	}
	return false;
}

static void on_closed(void *arg, uint64_t now_us)
{
	struct httpclient *k = arg;

	(void)now_us;
	k->free_timer = 0;
	httpclient_destroy(k);
}

/*
 * Frees a closed connection. Requests of the user end from a timer, as the
 * close may be part of one of the user's own calls.
 */
static void free_closed(struct httpclient *k)
{
	struct evloop *l = k->server->loop;

	if (k->running || k->free_timer)
		return;
	if (is_referenced(k))
		k->free_timer = tmr_at(evloop_timers(l), evloop_now_us(l),
				       on_closed, k);
	else
		httpclient_destroy(k);
}

/* Sends, reads and starts until nothing changes any more. */
void httpclient_run(struct httpclient *k)
{
	k->run_again = true;
	if (k->running)
		return;
	k->running = true;
	while (k->run_again && !k->closed) {
		k->run_again = false;
		notify_drained(k);
		while (send_first(k))
			;
		read_requests(k);
		start_requests(k);
	}
	k->running = false;
	if (k->closed)
		free_closed(k);
}

/* Closes the socket and frees the connection when it is not in use. */
void httpclient_close(struct httpclient *k, bool after_output)
{
	k->closed = true;
	pacer_cancel(&k->paced);
	if (after_output)
		tcpsock_close_after_output(k->socket,
					   k->requests && k->requests->error);
	else
		tcpsock_close(k->socket);
	k->socket = NULL;
	free_closed(k);
}

/* Ends the requests of a connection and frees it. */
void httpclient_destroy(struct httpclient *k)
{
	struct httpsrv *s = k->server;
	struct httpconn *c, *next;

	/* From here on, calls of the user for its requests have no effect. */
	k->closed = true;
	DL_FOREACH(k->requests, c)
	{
		void *request = c->request;

		c->request = NULL;
		if (request)
			s->ops->on_disconnect(request);
	}
	tmr_cancel(evloop_timers(s->loop), k->free_timer);
	pacer_cancel(&k->paced);
	if (k->socket)
		tcpsock_close(k->socket);
	DL_FOREACH_SAFE(k->requests, c, next)
	free_request(c);
	free_request(k->spare);
	headcodec_destroy(k->codec);
	pipeline_destroy(k->order);
	DL_DELETE(s->clients, k);
	membud_change(HTTPCLIENT_BYTES, 0);
	if (s->guards_descriptors)
		httpguard_count_client(s->guard, -1);
	free(k);
}

struct httpconn *httpclient_last_request(const struct httpclient *k)
{
	struct httpconn *c = k->requests ? k->requests->prev : NULL;

	if (!c || c->phase != HTTPCONN_RECEIVING)
		return c;
	return c == k->requests ? NULL : c->prev;
}

/*
 * Closes the connection behind the requests that have been received; what the
 * client has sent of the next one is discarded.
 */
void httpclient_drop_incomplete(struct httpclient *k)
{
	struct httpconn *c = k->requests->prev;
	struct httpconn *last = httpclient_last_request(k);

	if (!last) {
		httpclient_close(k, true);
		return;
	}
	last->close_after = true;
	pipeline_set_last(k->order, last->place);
	DL_DELETE(k->requests, c);
	free_request(c);
}

static void on_input(void *arg)
{
	httpclient_run(arg);
}

/* The output has been sent: continues a response that is in progress. */
static void on_drained(void *arg)
{
	struct httpclient *k = arg;

	if (k->paced.owner) {
		pacer_resume(&k->paced);
		return;
	}
	k->drained = true;
	httpclient_run(k);
}

/* The client has closed the connection, or the connection failed. */
static void on_end(void *arg, enum tcpsock_end_reason why)
{
	(void)why;
	httpclient_destroy(arg);
}

static const struct tcpsock_ops socket_ops = {
	.on_input = on_input,
	.on_drained = on_drained,
	.on_end = on_end,
};

/* Takes over an accepted connection; closes it if it cannot be kept. */
void httpclient_create(struct httpsrv *s, int fd)
{
	struct httpclient *k = NULL;

	if (!s->guards_descriptors || httpguard_may_accept(s->guard))
		k = calloc(1, sizeof(*k));
	if (k) {
		k->server = s;
		k->order = pipeline_create(&s->budget);
	}
	if (!k || !k->order) {
		free(k);
		close(fd);
		return;
	}
	k->socket = tcpsock_from_fd(s->loop, fd, &socket_ops, k);
	if (!k->socket) {
		pipeline_destroy(k->order);
		free(k);
		return;
	}
	k->idle_since_us = evloop_now_us(s->loop);
	membud_change(0, HTTPCLIENT_BYTES);
	if (s->guards_descriptors)
		httpguard_count_client(s->guard, 1);
	DL_APPEND(s->clients, k);
}
