#include "upclient_int.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#define READ_BYTES 16384
/* Consecutive reads before other connections are served. */
#define READS_PER_TURN 4
/* Idle connections are closed after this time. */
#define IDLE_US (60 * US_PER_S)

/* Frees the connections that have been closed. */
static void purge(void *arg, uint64_t now_us)
{
	struct upclient_pool *u = arg;
	struct upclient_conn **at = &u->conns;

	(void)now_us;
	u->purge_timer = 0;
	while (*at) {
		struct upclient_conn *c = *at;

		if (c->fd >= 0 || c->call) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		httpparse_destroy(c->parser);
		buf_free(&c->out);
		free(c);
	}
}

/* Frees closed connections later, as they may be in use further up. */
static void schedule_purge(struct upclient_pool *u)
{
	struct lwsloop *l = u->loop;

	if (!u->purge_timer)
		u->purge_timer =
			tmr_at(lwsloop_timers(l), lwsloop_now_us(l), purge, u);
}

/* Closes the connection, by a reset if the server is to stop its work. */
void upclient_conn_close(struct upclient_conn *c, bool reset)
{
	const struct linger none = { .l_onoff = 1, .l_linger = 0 };

	if (c->fd < 0)
		return;
	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	close(c->fd);
	c->fd = -1;
	c->pool->conn_count--;
	tmr_cancel(lwsloop_timers(c->pool->loop), c->turn_timer);
	c->turn_timer = 0;
	schedule_purge(c->pool);
}

/* Opens a socket and starts to connect it; returns false without one. */
static bool start_connect(struct upclient_conn *c)
{
	const struct netaddr *to = &c->pool->address;
	int on = 1;

	c->fd = socket(to->storage.ss_family,
		       SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return false;
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->connecting = true;
	if (connect(c->fd, (const struct sockaddr *)&to->storage, to->len) <
		    0 &&
	    errno != EINPROGRESS)
		c->connect_error = errno;
	if (fdwatch_add(c->pool->watch, c->fd, c))
		return true;
	close(c->fd);
	return false;
}

static struct upclient_conn *open_conn(struct upclient_pool *u)
{
	struct upclient_conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->pool = u;
	c->parser = httpparse_create(false, &upclient_parser_ops, c);
	if (!c->parser || !start_connect(c)) {
		httpparse_destroy(c->parser);
		free(c);
		return NULL;
	}
	c->next = u->conns;
	u->conns = c;
	u->conn_count++;
	return c;
}

/* True if nothing has arrived on an idle connection, not even its end. */
static bool is_quiet(const struct upclient_conn *c)
{
	char byte;

	return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

/*
 * Returns the idle connection used last, which is most likely still open, or a
 * new one.
 */
struct upclient_conn *upclient_conn_acquire(struct upclient_pool *u)
{
	struct upclient_conn *best = NULL;

	for (struct upclient_conn *c = u->conns; c; c = c->next) {
		if (c->fd < 0 || c->call ||
		    (best && c->used_us <= best->used_us))
			continue;
		if (is_quiet(c))
			best = c;
		else
			upclient_conn_close(c, false);
	}
	if (best || u->conn_count >= u->max)
		return best;
	return open_conn(u);
}

/* Makes the connection idle, or closes it unless it is good. */
void upclient_conn_release(struct upclient_conn *c, bool good)
{
	c->call = NULL;
	c->used_us = lwsloop_now_us(c->pool->loop);
	if (!good || c->fd < 0) {
		upclient_conn_close(c, false);
		schedule_purge(c->pool);
		return;
	}
	httpparse_reset(c->parser);
	upclient_conn_schedule(c);
}

/* True if input may be read now. */
static bool wants_input(const struct upclient_conn *c)
{
	return c->fd >= 0 && !c->connecting && c->readable &&
	       (!c->call || !c->call->paused);
}

/*
 * Ends a connection without further input. The kernel reports an error once
 * only: after a send that failed, recv() returns 0 as if the connection had
 * been closed in order. EPIPE is that of a reset behind an orderly close.
 */
static void end_input(struct upclient_conn *c, ssize_t n)
{
	bool in_order =
		n == 0 && (c->send_error == 0 || c->send_error == EPIPE);

	if (!c->call)
		upclient_conn_close(c, false);
	else if (in_order)
		upclient_call_lose(c->call, HTTPEND_CUT);
	else
		upclient_call_lose(c->call, c->send_error ?
						    HTTPEND_WRITE_ERROR :
						    HTTPEND_RESET);
}

/* Parses input of a call, which may be cancelled in a callback. */
static void feed(struct upclient_conn *c, const char *bytes, size_t len)
{
	struct upclient_call *call = c->call;
	size_t taken;

	if (!call) {
		upclient_conn_close(c, false);
		return;
	}
	while (len > 0) {
		enum httpparse_state state =
			httpparse_feed(c->parser, bytes, len, &taken);

		if (c->call != call)
			return;
		if (state == HTTPPARSE_ERROR) {
			upclient_call_lose(call, HTTPEND_INVALID);
			return;
		}
		bytes += taken;
		len -= taken;
		if (state == HTTPPARSE_DONE) {
			upclient_call_complete(call, len > 0);
			return;
		}
	}
}

/* Reads until the socket is empty or no more input is wanted. */
static void read_socket(struct upclient_conn *c)
{
	char bytes[READ_BYTES];
	ssize_t n;

	for (int i = 0; i < READS_PER_TURN && wants_input(c); i++) {
		n = recv(c->fd, bytes, sizeof(bytes), 0);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN && c->send_error == 0) {
			c->readable = false;
			return;
		}
		if (n <= 0)
			end_input(c, n);
		else
			feed(c, bytes, (size_t)n);
	}
	upclient_conn_schedule(c);
}

static void on_turn(void *arg, uint64_t now_us)
{
	struct upclient_conn *c = arg;

	(void)now_us;
	c->turn_timer = 0;
	read_socket(c);
}

/* Reads in the next iteration of the event loop, if there may be input. */
void upclient_conn_schedule(struct upclient_conn *c)
{
	struct lwsloop *l = c->pool->loop;

	if (wants_input(c) && !c->turn_timer)
		c->turn_timer = tmr_at(lwsloop_timers(l), lwsloop_now_us(l),
				       on_turn, c);
}

/*
 * Sends what is queued, as far as the kernel takes it. After a failure the
 * input is read to its end: a whole response may have arrived before.
 */
void upclient_conn_flush(struct upclient_conn *c)
{
	while (buf_len(&c->out) > 0 && c->fd >= 0 && !c->connecting &&
	       c->send_error == 0) {
		ssize_t n = send(c->fd, buf_data(&c->out), buf_len(&c->out),
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return;
		if (n < 0) {
			c->send_error = errno;
			c->readable = true;
			upclient_conn_schedule(c);
			return;
		}
		c->call->sent = true;
		buf_consume(&c->out, (size_t)n);
	}
}

/* Completes the connect; fails the call if it was not successful. */
static bool finish_connect(struct upclient_conn *c)
{
	int error = c->connect_error;
	socklen_t len = sizeof(error);

	if (!error)
		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	c->connecting = false;
	if (!error)
		return true;
	if (c->call)
		upclient_call_fail(c->call, error == ECONNREFUSED ?
						    UPCLIENT_REFUSED :
						    UPCLIENT_NOT_SENT);
	return false;
}

/* Continues sending, then asks for more of the request body. */
static void on_writable(struct upclient_conn *c)
{
	struct upclient_call *call = c->call;

	upclient_conn_flush(c);
	if (!call || !call->blocked || call->body_end || buf_len(&c->out) > 0)
		return;
	call->blocked = false;
	if (call->events->writable)
		call->events->writable(call->arg);
}

void upclient_conn_on_event(void *entry, uint32_t events)
{
	struct upclient_conn *c = entry;

	/* An earlier event of the same batch may have closed it. */
	if (c->fd < 0)
		return;
	if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		c->readable = true;
	if (c->connecting && !finish_connect(c))
		return;
	if (events & EPOLLOUT)
		on_writable(c);
	read_socket(c);
}

/* Closes connections that have been idle for long. */
void upclient_conns_sweep(struct upclient_pool *u, uint64_t now_us)
{
	for (struct upclient_conn *c = u->conns; c; c = c->next) {
		if (c->fd >= 0 && !c->call && now_us > c->used_us + IDLE_US)
			upclient_conn_close(c, false);
	}
}

/* Closes and frees all connections. */
void upclient_conns_free(struct upclient_pool *u)
{
	for (struct upclient_conn *c = u->conns; c; c = c->next)
		upclient_conn_close(c, false);
	tmr_cancel(lwsloop_timers(u->loop), u->purge_timer);
	purge(u, 0);
}
