#include "tcpsock_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "membud.h"

#define READ_BYTES 16384
/*
 * A connection fails if data stays unacknowledged for this long, slightly more
 * than the longest brief network outage.
 */
#define USER_TIMEOUT_MS 4000
/* TCP keepalive probes detect a dead peer on an idle connection. */
#define KEEPALIVE_IDLE_S 3
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 3
#define ADDRESS_TEXT_MAX 32
#define PORT_MAX 65535

/* An idle socket keeps output buffers up to this size. */
#define KEPT_OUTPUT_BYTES 2048

/* Open sockets of the process, without those that listen. */
static size_t open_count;

/* Parses "ADDRESS:PORT" with an IPv4 address. Returns false if invalid. */
bool tcpsock_parse_address(const char *text, struct sockaddr_in *address)
{
	char host[ADDRESS_TEXT_MAX];
	const char *colon = strrchr(text, ':');
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtol(colon + 1, NULL, 10);
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	return port > 0 && port <= PORT_MAX &&
	       inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

/* Frees a closed socket unless it is inside a callback. */
static void free_if_closed(struct tcpsock *s)
{
	if (!s->closed || s->in_callback)
		return;
	buf_free(&s->in);
	buf_free(&s->out);
	membud_change(sizeof(*s), 0);
	free(s);
}

/* Leaves a callback; frees the socket if it was closed meanwhile. */
static void end_callback(struct tcpsock *s)
{
	s->in_callback = false;
	buf_shrink(&s->in, 0);
	free_if_closed(s);
}

/* Closes the socket and discards unsent output. */
void tcpsock_close(struct tcpsock *s)
{
	if (s->closed)
		return;
	if (s->closing)
		tcpsock_end_closing(s);
	s->closed = true;
	open_count--;
	ev_io_stop(evloop_libev(s->loop), &s->read_watcher);
	ev_io_stop(evloop_libev(s->loop), &s->write_watcher);
	close(s->fd);
	free_if_closed(s);
}

/* With a linger time of 0, close() and the end of the process reset. */
void tcpsock_set_resets(struct tcpsock *s, bool resets)
{
	const struct linger linger = { .l_onoff = resets, .l_linger = 0 };

	if (s->resets != resets)
		setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	s->resets = resets;
}

/* Makes the close a reset. */
void tcpsock_reset_on_close(struct tcpsock *s)
{
	tcpsock_set_resets(s, true);
}

/* Reports the end once, or closes a socket that has no user any more. */
static void report_end(struct tcpsock *s, enum tcpsock_end_reason why)
{
	ev_io_stop(evloop_libev(s->loop), &s->read_watcher);
	ev_io_stop(evloop_libev(s->loop), &s->write_watcher);
	if (s->closing) {
		tcpsock_close(s);
		return;
	}
	s->ops->on_end(s->arg, why);
}

/* Sends until the kernel would block. Returns false once it has failed. */
static bool send_output(struct tcpsock *s)
{
	if (s->send_error != 0)
		return false;
	while (buf_len(&s->out) > 0) {
		ssize_t n = send(s->fd, buf_data(&s->out), buf_len(&s->out),
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return true;
		if (n < 0) {
			s->send_error = errno;
			return false;
		}
		s->sent = true;
		s->moved += (uint64_t)n;
		if (s->closing)
			s->sent_us = evloop_now_us(s->loop);
		buf_consume(&s->out, (size_t)n);
	}
	buf_shrink(&s->out, KEPT_OUTPUT_BYTES);
	return true;
}

/* Sending has failed: reports the end, or leaves that to the read event. */
static void end_output(struct tcpsock *s)
{
	struct ev_loop *ev = evloop_libev(s->loop);

	if (!s->ops->input_first || s->closing) {
		report_end(s, TCPSOCK_RESET);
		return;
	}
	ev_io_stop(ev, &s->write_watcher);
	if (ev_is_active(&s->read_watcher))
		ev_feed_event(ev, &s->read_watcher, EV_READ);
}

/* Handles writability; the first event completes the connect. */
static void on_writable(struct ev_loop *ev, ev_io *w, int events)
{
	struct tcpsock *s = w->data;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)events;
	s->in_callback = true;
	if (!s->connected) {
		getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &len);
		error = s->connect_error ? s->connect_error : error;
		s->connected = error == 0;
		if (s->connected)
			ev_io_start(ev, &s->read_watcher);
	}
	if (error != 0) {
		report_end(s, error == ECONNREFUSED ? TCPSOCK_REFUSED :
						      TCPSOCK_RESET);
	} else if (!send_output(s)) {
		end_output(s);
	} else if (buf_len(&s->out) == 0) {
		ev_io_stop(ev, &s->write_watcher);
		if (s->closing)
			tcpsock_begin_linger(s);
		else if (s->ops->on_drained)
			s->ops->on_drained(s->arg);
	}
	/* The analyzer misses that a socket in a callback is not freed. */
	end_callback(s); /* NOLINT(clang-analyzer-unix.Malloc) */
}

/*
 * Returns how a connection without further input has ended. The kernel reports
 * an error once only: after a send that failed, recv() returns 0 as if the
 * connection had been closed in order. EPIPE is that of a reset behind an
 * orderly close, the end of the input.
 */
static enum tcpsock_end_reason end_of_input(const struct tcpsock *s, ssize_t n)
{
	if (n == 0 && (s->send_error == 0 || s->send_error == EPIPE))
		return TCPSOCK_EOF;
	return TCPSOCK_RESET;
}

/* Reads once and reports the data or the end of the connection. */
static void on_readable(struct ev_loop *ev, ev_io *w, int events)
{
	struct tcpsock *s = w->data;
	char *space = buf_reserve(&s->in, READ_BYTES);
	ssize_t n;

	(void)ev;
	(void)events;
	if (!space)
		return;
	n = recv(s->fd, space, READ_BYTES, 0);
	if (n < 0 &&
	    (errno == EINTR || (errno == EAGAIN && s->send_error == 0))) {
		buf_shrink(&s->in, 0);
		return;
	}
	s->in_callback = true;
	if (n > 0) {
		buf_commit(&s->in, (size_t)n);
		s->moved += (uint64_t)n;
		if (s->closing)
			tcpsock_discard_input(s);
		else
			s->ops->on_input(s->arg);
	} else if (n == 0 && s->closing && s->send_error == 0) {
		tcpsock_end_input(s);
	} else {
		report_end(s, end_of_input(s, n));
	}
	/* The analyzer misses that a socket in a callback is not freed. */
	end_callback(s); /* NOLINT(clang-analyzer-unix.Malloc) */
}

/* Sets socket options that bound how long a dead connection stays open. */
static void set_options(int fd)
{
	int on = 1;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int count = KEEPALIVE_COUNT;
	unsigned int timeout = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
}

/* Creates the socket object for fd. Closes fd and returns NULL on failure. */
static struct tcpsock *create_socket(struct evloop *l, int fd,
				     const struct tcpsock_ops *ops, void *arg)
{
	struct tcpsock *s = calloc(1, sizeof(*s));

	if (!s) {
		close(fd);
		return NULL;
	}
	set_options(fd);
	membud_change(0, sizeof(*s));
	open_count++;
	s->loop = l;
	s->fd = fd;
	s->ops = ops;
	s->arg = arg;
	ev_io_init(&s->read_watcher, on_readable, fd, EV_READ);
	ev_io_init(&s->write_watcher, on_writable, fd, EV_WRITE);
	s->read_watcher.data = s;
	s->write_watcher.data = s;
	return s;
}

/*
 * Starts a non-blocking connect. Returns NULL without a file descriptor or
 * memory; all other errors are reported through on_end.
 */
struct tcpsock *tcpsock_connect(struct evloop *l,
				const struct sockaddr_in *address,
				const struct tcpsock_ops *ops, void *arg)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct tcpsock *s;

	if (fd < 0)
		return NULL;
	s = create_socket(l, fd, ops, arg);
	if (!s)
		return NULL;
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) <
		    0 &&
	    errno != EINPROGRESS) {
		/* Reported from the event loop, never before returning. */
		s->connect_error = errno;
		ev_feed_event(evloop_libev(l), &s->write_watcher, EV_WRITE);
	}
	/* Reads start once connected: a read would consume SO_ERROR. */
	ev_io_start(evloop_libev(l), &s->write_watcher);
	return s;
}

/* Takes ownership of an accepted fd. Closes it and returns NULL on failure. */
struct tcpsock *tcpsock_from_fd(struct evloop *l, int fd,
				const struct tcpsock_ops *ops, void *arg)
{
	struct tcpsock *s = create_socket(l, fd, ops, arg);

	if (!s)
		return NULL;
	s->connected = true;
	ev_io_start(evloop_libev(l), &s->read_watcher);
	return s;
}

size_t tcpsock_open_count(void)
{
	return open_count;
}

uint64_t tcpsock_moved_bytes(const struct tcpsock *s)
{
	return s->moved;
}

/* Returns the received data that has not been consumed. */
struct buf *tcpsock_input(struct tcpsock *s)
{
	return &s->in;
}

/* Returns the output buffer. */
struct buf *tcpsock_output(struct tcpsock *s)
{
	return &s->out;
}

/* Sends the output; the rest follows when the socket is writable. */
void tcpsock_flush(struct tcpsock *s)
{
	if (s->closed || !s->connected)
		return;
	if (!send_output(s) || buf_len(&s->out) > 0)
		ev_io_start(evloop_libev(s->loop), &s->write_watcher);
}

/* Appends bytes to the output and sends. Drops them if out of memory. */
void tcpsock_send(struct tcpsock *s, const void *bytes, size_t len)
{
	if (!buf_add(&s->out, bytes, len))
		return;
	tcpsock_flush(s);
}

/* Pauses or resumes reading. */
void tcpsock_pause_input(struct tcpsock *s, bool paused)
{
	if (s->closed)
		return;
	if (paused) {
		ev_io_stop(evloop_libev(s->loop), &s->read_watcher);
		return;
	}
	ev_io_start(evloop_libev(s->loop), &s->read_watcher);
	if (s->send_error != 0)
		ev_feed_event(evloop_libev(s->loop), &s->read_watcher, EV_READ);
}

bool tcpsock_is_connected(const struct tcpsock *s)
{
	return s->connected;
}

/* Asks the kernel, as the event may be among those not handled yet. */
bool tcpsock_peer_has_closed(const struct tcpsock *s)
{
	struct pollfd p = { .fd = s->fd, .events = POLLRDHUP };

	return s->closed || (poll(&p, 1, 0) > 0 &&
			     (p.revents & (POLLRDHUP | POLLHUP | POLLERR)));
}

/* Reports whether any byte has been passed to the kernel. */
bool tcpsock_has_sent(const struct tcpsock *s)
{
	return s->sent;
}

/* Returns the errno of the first send that failed, or 0. */
int tcpsock_send_error(const struct tcpsock *s)
{
	return s->send_error;
}
