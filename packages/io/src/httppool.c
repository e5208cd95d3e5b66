#include "httppool.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "httppool_int.h"

/* Closes this much before the idle timeout that the server announces. */
#define KEEP_ALIVE_MARGIN_US (1 * US_PER_S)
#define KEEP_ALIVE_MAX_S 3600
#define SWEEP_US (1 * US_PER_S)
/* Of a body that is sent from its own memory, copied at a time. */
#define PIECE_BYTES 65536

/* Closes the connection and frees the call. */
static void free_call(struct httpcall *x)
{
	DL_DELETE(x->pool->all, x);
	x->pool->open--;
	httpcall_count_sent(x);
	tcpsock_close(x->socket);
	httpparse_destroy(x->parser);
	headcodec_destroy(x->codec);
	free(x);
}

/* Closes the connection and reports a failure; how tells what ended it. */
static void fail_call(struct httpcall *x, enum httpcall_failure failure,
		      enum httpend how)
{
	const struct httpcall_ops *ops = x->ops;
	void *arg = x->arg;

	if (failure == HTTPCALL_NO_RESPONSE || failure == HTTPCALL_TRUNCATED)
		httpcall_record_end(x, how);
	free_call(x);
	if (ops)
		ops->on_failed(arg, failure);
}

/* Applies the idle timeout of the server's Keep-Alive header. */
static void apply_keep_alive_timeout(struct httpcall *x,
				     const struct httpmsg *m)
{
	static const char name[] = "timeout=";
	struct span v = httpmsg_find(m, "keep-alive");
	const char *at =
		v.text ? memmem(v.text, v.len, name, strlen(name)) : NULL;
	uint64_t seconds = 0;

	if (!at)
		return;
	at += strlen(name);
	while (at < v.text + v.len && *at >= '0' && *at <= '9' &&
	       seconds < KEEP_ALIVE_MAX_S)
		seconds = seconds * 10 + (uint64_t)(*at++ - '0');
	seconds *= US_PER_S;
	seconds = seconds > KEEP_ALIVE_MARGIN_US ?
			  seconds - KEEP_ALIVE_MARGIN_US :
			  0;
	if (seconds < x->idle_limit_us)
		x->idle_limit_us = seconds;
}

/* Matches the response to the request and passes its head to the user. */
static bool on_head(void *arg, struct httpmsg *m)
{
	struct httpcall *x = arg;
	enum httpcall_match match = HTTPCALL_MATCH;

	if (x->ops && x->ops->match)
		match = x->ops->match(x->arg, m);
	x->skip_response = match == HTTPCALL_MISMATCH;
	x->invalid = match == HTTPCALL_INVALID;
	if (!m->keep_alive)
		x->close_after = true;
	if (x->codec && span_is(httpmsg_find(m, HEADCODEC_FIELD), "1"))
		x->compact = true;
	if (x->invalid)
		return false;
	if (x->skip_response || !x->ops)
		return true;
	apply_keep_alive_timeout(x, m);
	x->reported_head = true;
	x->ops->on_head(x->arg, m);
	return true;
}

/* Passes body bytes to the user. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct httpcall *x = arg;

	x->body_received += len;
	x->body_total += len;
	if (!x->skip_response && x->ops)
		x->ops->on_body(x->arg, bytes, len);
}

static const struct httpparse_ops parser_ops = { on_head, on_body };

/* Adds the body to the request; a long one that stays is not copied at once. */
static void add_body(struct httpcall *x, const void *body, size_t len)
{
	if (x->body_stays && len > PIECE_BYTES) {
		x->body = body;
		x->body_len = len;
		return;
	}
	x->uncounted_body += len;
	buf_add(tcpsock_output(x->socket), body, len);
}

/* Passes the body on in pieces, as far as the kernel takes them. */
static void send_body(struct httpcall *x)
{
	struct buf *out = tcpsock_output(x->socket);

	while (x->body_len > 0 && buf_len(out) == 0) {
		size_t len =
			x->body_len < PIECE_BYTES ? x->body_len : PIECE_BYTES;

		if (!buf_add(out, x->body, len))
			return;
		x->body += len;
		x->body_len -= len;
		x->uncounted_body += len;
		tcpsock_flush(x->socket);
	}
}

/*
 * Sends the body once the server has asked for it, unless nobody waits for the
 * response any more: the user then cancels the call.
 */
static void send_held_body(struct httpcall *x)
{
	if (!x->continued || !x->held_body ||
	    (x->is_abandoned && x->is_abandoned(x->arg)))
		return;
	add_body(x, x->held_body, x->held_len);
	x->held_body = NULL;
	tcpsock_flush(x->socket);
	send_body(x);
}

/* Returns what completed a response whose connection has not ended. */
static enum httpend end_of_message(const struct httpcall *x)
{
	return httpparse_message(x->parser)->chunked ? HTTPEND_LAST_CHUNK :
						       HTTPEND_LENGTH;
}

/* Response complete: keeps the connection as idle or closes it. */
static void complete_call(struct httpcall *x, enum httpend how)
{
	const struct httpcall_ops *ops = x->ops;
	void *arg = x->arg;
	/* Bytes behind the response, or a response before the request was sent
	 * completely, make the connection unusable. A body that was not asked
	 * for is no part of it. */
	bool usable = !x->close_after && x->body_len == 0 &&
		      !(x->held_body && x->continued) &&
		      buf_len(tcpsock_input(x->socket)) == 0 &&
		      buf_len(tcpsock_output(x->socket)) == 0;

	httpcall_record_end(x, how);
	x->ops = NULL;
	x->held_body = NULL;
	x->body_len = 0;
	httpcall_count_sent(x);
	if (usable) {
		x->idle_since_us = evloop_now_us(x->pool->loop);
		x->used = true;
		tcpsock_pause_input(x->socket, false);
		httpparse_reset(x->parser);
	} else {
		free_call(x);
	}
	if (ops)
		ops->on_done(arg);
}

/* Returns how a call without a whole response has failed. */
static enum httpcall_failure failure_of(const struct httpcall *x)
{
	if (x->reported_head)
		return HTTPCALL_TRUNCATED;
	return httpcall_may_have_run(x) ? HTTPCALL_NO_RESPONSE :
					  HTTPCALL_NOT_SENT;
}

/*
 * Parses received data. The user may cancel the call inside a callback for the
 * head or the body; the call is then freed after the parser returns.
 */
static void on_input(void *arg)
{
	struct httpcall *x = arg;
	struct buf *in = tcpsock_input(x->socket);
	enum httpparse_state state;
	size_t consumed;

	if (!x->ops) {
		free_call(x);
		return;
	}
	while (buf_len(in) > 0) {
		x->parsing = true;
		state = httpcall_feed(x, &consumed);
		x->parsing = false;
		httpcall_count_received(
			x, consumed < buf_len(in) ? consumed : buf_len(in));
		if (!x->ops) {
			free_call(x);
			return;
		}
		if (state == HTTPPARSE_ERROR) {
			fail_call(x, failure_of(x), HTTPEND_INVALID);
			return;
		}
		buf_consume(in, consumed);
		if (state == HTTPPARSE_INTERIM) {
			send_held_body(x);
			continue;
		}
		if (state == HTTPPARSE_INCOMPLETE) {
			if (consumed == 0)
				return;
			continue;
		}
		if (!x->skip_response) {
			complete_call(x, end_of_message(x));
			return;
		}
		httpparse_reset(x->parser);
		httpparse_expect_no_body(x->parser, x->no_body);
	}
}

/* Returns what ended a connection before the end of the response. */
static enum httpend end_of_connection(const struct httpcall *x,
				      enum tcpsock_end_reason why)
{
	if (why == TCPSOCK_EOF)
		return HTTPEND_CUT;
	return tcpsock_send_error(x->socket) ? HTTPEND_WRITE_ERROR :
					       HTTPEND_RESET;
}

/* The connection has ended; an orderly close may complete a response. */
static void on_end(void *arg, enum tcpsock_end_reason why)
{
	struct httpcall *x = arg;

	if (!x->ops) {
		free_call(x);
		return;
	}
	if (why == TCPSOCK_EOF && x->reported_head &&
	    httpparse_eof(x->parser) == HTTPPARSE_DONE) {
		x->close_after = true;
		complete_call(x, HTTPEND_CLOSE);
		return;
	}
	if (!x->reported_head && why == TCPSOCK_REFUSED)
		fail_call(x, HTTPCALL_REFUSED, HTTPEND_RESET);
	else
		fail_call(x, failure_of(x), end_of_connection(x, why));
}

/* The connect is complete, or more of the body can be sent. */
static void on_drained(void *arg)
{
	send_body(arg);
}

static const struct tcpsock_ops socket_ops = {
	.on_input = on_input,
	.on_drained = on_drained,
	.on_end = on_end,
	.input_first = true,
};

/* Closes connections that exceed their idle limit. */
static void close_idle(void *arg, uint64_t now_us)
{
	struct httppool *p = arg;
	struct httpcall *x, *next;

	DL_FOREACH_SAFE(p->all, x, next)
	{
		if (!x->ops && now_us - x->idle_since_us > x->idle_limit_us)
			free_call(x);
	}
}

/*
 * Creates an empty pool that closes connections after idle_us microseconds of
 * idle time. Returns NULL if out of memory.
 */
struct httppool *httppool_create(struct evloop *l,
				 const struct sockaddr_in *address,
				 uint64_t idle_us)
{
	struct httppool *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->loop = l;
	p->address = *address;
	p->idle_us = idle_us;
	p->sweep_timer =
		tmr_every(evloop_timers(l), evloop_now_us(l) + SWEEP_US,
			  SWEEP_US, close_idle, p);
	return p;
}

void httppool_set_compact(struct httppool *p)
{
	p->compact = true;
}

/* Closes all connections; pending calls end without a callback. */
void httppool_destroy(struct httppool *p)
{
	if (!p)
		return;
	tmr_cancel(evloop_timers(p->loop), p->sweep_timer);
	/* The analyzer does not follow the list of utlist. */
	while (p->all)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		free_call(p->all);
	free(p);
}

/* Opens a connection. Returns NULL without a file descriptor or memory. */
static struct httpcall *open_connection(struct httppool *p)
{
	struct httpcall *x = calloc(1, sizeof(*x));

	if (!x)
		return NULL;
	x->parser = httpparse_create(false, &parser_ops, x);
	x->socket = x->parser ? tcpsock_connect(p->loop, &p->address,
						&socket_ops, x) :
				NULL;
	if (!x->socket) {
		httpparse_destroy(x->parser);
		free(x);
		return NULL;
	}
	/* Without memory for it, heads are sent as plain text. */
	x->codec = p->compact ? headcodec_create() : NULL;
	x->pool = p;
	x->idle_limit_us = p->idle_us;
	DL_APPEND(p->all, x);
	p->opened++;
	p->open++;
	return x;
}

/*
 * Finds the most recently used idle connection, the least likely to be stale.
 */
static struct httpcall *find_idle_connection(struct httppool *p,
					     uint64_t reuse_us)
{
	uint64_t now = evloop_now_us(p->loop);
	struct httpcall *best = NULL;
	struct httpcall *x;

	DL_FOREACH(p->all, x)
	{
		uint64_t limit = x->idle_limit_us < reuse_us ?
					 x->idle_limit_us :
					 reuse_us;

		if (!x->ops && x->used && now - x->idle_since_us < limit &&
		    (!best || x->idle_since_us > best->idle_since_us))
			best = x;
	}
	return best;
}

/*
 * Sends a request on an idle connection or a new one. Returns NULL without a
 * file descriptor or memory; later failures are reported through on_failed.
 */
struct httpcall *httpcall_start(struct httppool *p,
				const struct httpcall_request *r,
				const struct httpcall_ops *ops, void *arg)
{
	struct httpcall *x =
		r->reuse_us ? find_idle_connection(p, r->reuse_us) : NULL;

	if (!x)
		x = open_connection(p);
	if (!x)
		return NULL;
	x->ops = ops;
	x->arg = arg;
	x->reported_head = false;
	x->skip_response = false;
	x->close_after = false;
	x->invalid = false;
	x->no_body = r->expect_no_body;
	x->refusal = false;
	x->counters = r->counters;
	x->uncounted_body = 0;
	x->body_total = 0;
	x->held_body = r->await_continue ? r->body : NULL;
	x->held_len = r->body_len;
	x->is_abandoned = r->is_abandoned;
	x->continued = false;
	httpparse_expect_no_body(x->parser, x->no_body);
	x->body_len = 0;
	x->body_stays = r->body_stays;
	x->uncounted_head = httpcall_write_packed(x, r);
	if (x->uncounted_head == 0) {
		x->uncounted_head = httpcall_write_head(x, r->head);
		if (r->body_len > 0 && !r->await_continue)
			add_body(x, r->body, r->body_len);
	}
	tcpsock_flush(x->socket);
	send_body(x);
	return x;
}

/*
 * Cancels a call without a callback. Closes its connection, so that the server
 * stops working on the request; inside a parser callback, the close is delayed
 * until the parser returns.
 */
void httpcall_cancel(struct httpcall *x)
{
	x->ops = NULL;
	x->held_body = NULL;
	x->body_len = 0;
	x->used = false;
	tcpsock_reset_on_close(x->socket);
	if (!x->parsing)
		free_call(x);
}

/* Pauses or resumes reading of the response. */
void httpcall_pause(struct httpcall *x, bool paused)
{
	tcpsock_pause_input(x->socket, paused);
}

/* Marks the response as a refusal of the request, for the counters. */
void httpcall_mark_refusal(struct httpcall *x)
{
	x->refusal = true;
}

/* True if the connection has carried another call before. */
bool httpcall_is_reused(const struct httpcall *x)
{
	return x->used;
}

/* True if bytes of this request may have been sent. */
bool httpcall_has_sent(const struct httpcall *x)
{
	return x->used || tcpsock_has_sent(x->socket);
}

/* True if the server may run the request. */
bool httpcall_may_have_run(const struct httpcall *x)
{
	return httpcall_has_sent(x) && !x->held_body;
}

/* Returns the number of connections opened since creation. */
uint64_t httppool_opened_count(const struct httppool *p)
{
	return p->opened;
}

/* Returns the number of open connections. */
uint32_t httppool_open_count(const struct httppool *p)
{
	return p->open;
}
