#include "skt.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384
/* A held-up connection ends after this; a bit over the longest short cut. */
#define USER_TIMEOUT_MS 4000
/* Silent connections are found by probes after IDLE, each INTERVAL, COUNT. */
#define PROBE_IDLE_S 3
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 3
/* Descriptors accepted in one turn of the loop. */
#define ACCEPTS_MAX 32
#define BACKLOG 1024
#define ADDRESS_TEXT_MAX 32
#define PORT_MAX 65535

struct skt {
	struct evl *loop;
	const struct skt_ops *ops;
	void *arg;
	ev_io reads;
	ev_io writes;
	struct buf in;
	struct buf out;
	int fd;
	bool busy; /* one of its callbacks is running */
	int connect_error; /* errno of a connect() that failed at once */
	bool connected;
	bool sent;
	bool closing; /* waits for the output, reports nothing */
	bool dead;
};

/* Sockets that nobody knows any more, but that still have output. */
static size_t closing_count;

/* Splits an address with its port. */
bool skt_parse(const char *text, struct sockaddr_in *address)
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

/* Frees a closed socket unless one of its callbacks is running. */
static void free_if_dead(struct skt *s)
{
	if (!s->dead || s->busy)
		return;
	buf_free(&s->in);
	buf_free(&s->out);
	free(s);
}

/* Ends a callback; a socket that was closed inside is freed now. */
static void leave_callback(struct skt *s)
{
	s->busy = false;
	free_if_dead(s);
}

/* Closes the descriptor and stops all events. */
void skt_close(struct skt *s)
{
	if (s->dead)
		return;
	s->dead = true;
	closing_count -= s->closing;
	ev_io_stop(evl_ev(s->loop), &s->reads);
	ev_io_stop(evl_ev(s->loop), &s->writes);
	close(s->fd);
	free_if_dead(s);
}

/* Reports the end once; a socket that only sends its rest is closed. */
static void report_end(struct skt *s, enum skt_end why)
{
	ev_io_stop(evl_ev(s->loop), &s->reads);
	ev_io_stop(evl_ev(s->loop), &s->writes);
	if (s->closing) {
		skt_close(s);
		return;
	}
	s->ops->on_end(s->arg, why);
}

/* Sends what the system takes. Returns false when the connection is broken. */
static bool send_output(struct skt *s)
{
	while (buf_len(&s->out) > 0) {
		ssize_t n = send(s->fd, buf_data(&s->out), buf_len(&s->out),
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		s->sent = true;
		buf_take(&s->out, (size_t)n);
	}
	return true;
}

/* Handles writable room; the first one completes a connection. */
static void on_writable(struct ev_loop *ev, ev_io *w, int events)
{
	struct skt *s = w->data;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)events;
	s->busy = true;
	if (!s->connected) {
		getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &len);
		error = s->connect_error ? s->connect_error : error;
		s->connected = error == 0;
		if (s->connected)
			ev_io_start(ev, &s->reads);
	}
	if (error != 0) {
		report_end(s, error == ECONNREFUSED ? SKT_REFUSED : SKT_RESET);
	} else if (!send_output(s)) {
		report_end(s, SKT_RESET);
	} else if (buf_len(&s->out) == 0) {
		ev_io_stop(ev, &s->writes);
		if (s->closing)
			skt_close(s);
		else if (s->ops->on_drained)
			s->ops->on_drained(s->arg);
	}
	/* The analyzer does not see that a busy socket is never freed. */
	leave_callback(s); /* NOLINT(clang-analyzer-unix.Malloc) */
}

/* Reads once and reports the bytes or the end. */
static void on_readable(struct ev_loop *ev, ev_io *w, int events)
{
	struct skt *s = w->data;
	char *room = buf_reserve(&s->in, READ_BYTES);
	ssize_t n;

	(void)ev;
	(void)events;
	if (!room)
		return;
	n = recv(s->fd, room, READ_BYTES, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	s->busy = true;
	if (n > 0) {
		buf_commit(&s->in, (size_t)n);
		if (s->closing)
			buf_take(&s->in, buf_len(&s->in));
		else
			s->ops->on_input(s->arg);
	} else {
		report_end(s, n == 0 ? SKT_EOF : SKT_RESET);
	}
	/* The analyzer does not see that a busy socket is never freed. */
	leave_callback(s); /* NOLINT(clang-analyzer-unix.Malloc) */
}

/* Bounds how long a silent or cut connection stays open. */
static void set_options(int fd)
{
	int on = 1;
	int idle = PROBE_IDLE_S;
	int interval = PROBE_INTERVAL_S;
	int count = PROBE_COUNT;
	unsigned int timeout = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
}

/* Makes the socket object around a descriptor. */
static struct skt *wrap(struct evl *l, int fd, const struct skt_ops *ops,
			void *arg)
{
	struct skt *s = calloc(1, sizeof(*s));

	if (!s) {
		close(fd);
		return NULL;
	}
	set_options(fd);
	s->loop = l;
	s->fd = fd;
	s->ops = ops;
	s->arg = arg;
	ev_io_init(&s->reads, on_readable, fd, EV_READ);
	ev_io_init(&s->writes, on_writable, fd, EV_WRITE);
	s->reads.data = s;
	s->writes.data = s;
	return s;
}

/* Starts a connection. */
struct skt *skt_connect(struct evl *l, const struct sockaddr_in *address,
			const struct skt_ops *ops, void *arg)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct skt *s;

	if (fd < 0)
		return NULL;
	s = wrap(l, fd, ops, arg);
	if (!s)
		return NULL;
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) <
		    0 &&
	    errno != EINPROGRESS) {
		/* The end is reported from the loop, never from here. */
		s->connect_error = errno;
		ev_feed_event(evl_ev(l), &s->writes, EV_WRITE);
	}
	/* Reading begins with the connection: a read would take the error. */
	ev_io_start(evl_ev(l), &s->writes);
	return s;
}

/* Takes over an accepted descriptor. */
struct skt *skt_adopt(struct evl *l, int fd, const struct skt_ops *ops,
		      void *arg)
{
	struct skt *s = wrap(l, fd, ops, arg);

	if (!s)
		return NULL;
	s->connected = true;
	ev_io_start(evl_ev(l), &s->reads);
	return s;
}

/* Lets the socket send its rest and close by itself. */
void skt_close_after_output(struct skt *s)
{
	if (buf_len(&s->out) == 0) {
		shutdown(s->fd, SHUT_WR);
		skt_close(s);
		return;
	}
	s->closing = true;
	closing_count++;
	skt_hold_input(s, false);
}

/* Returns how many are closing. */
size_t skt_closing(void)
{
	return closing_count;
}

/* Returns the bytes that were read and not taken. */
struct buf *skt_input(struct skt *s)
{
	return &s->in;
}

/* Returns the bytes that wait to be sent. */
struct buf *skt_output(struct skt *s)
{
	return &s->out;
}

/* Sends the output; what does not fit goes when there is room. */
void skt_flush(struct skt *s)
{
	if (s->dead || !s->connected)
		return;
	if (!send_output(s) || buf_len(&s->out) > 0)
		ev_io_start(evl_ev(s->loop), &s->writes);
}

/* Adds bytes to the output and sends. */
void skt_send(struct skt *s, const void *bytes, size_t len)
{
	if (!buf_add(&s->out, bytes, len))
		return;
	skt_flush(s);
}

/* Stops or resumes reading. */
void skt_hold_input(struct skt *s, bool held)
{
	if (s->dead)
		return;
	if (held)
		ev_io_stop(evl_ev(s->loop), &s->reads);
	else
		ev_io_start(evl_ev(s->loop), &s->reads);
}

/* True once connected. */
bool skt_is_connected(const struct skt *s)
{
	return s->connected;
}

/* True if any byte has been handed to the system. */
bool skt_has_sent(const struct skt *s)
{
	return s->sent;
}

struct skl {
	struct evl *loop;
	ev_io accepts;
	skl_accept_fn fn;
	void *arg;
	int fd;
};

/* Accepts what waits, some at a time. */
static void on_accept(struct ev_loop *ev, ev_io *w, int events)
{
	struct skl *s = w->data;

	(void)ev;
	(void)events;
	for (int i = 0; i < ACCEPTS_MAX; i++) {
		int fd = accept4(s->fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		s->fn(s->arg, fd);
	}
}

/* Binds and listens; the address is "ADDRESS:PORT". */
struct skl *skl_create(struct evl *l, const char *address, skl_accept_fn fn,
		       void *arg, struct err *err)
{
	struct skl *s = calloc(1, sizeof(*s));
	struct sockaddr_in a;
	int on = 1;

	if (!s || !skt_parse(address, &a)) {
		err_set(err, ERR_SYSTEM, IO_BAD_ADDRESS,
			"%s is not an address with a port", address);
		free(s);
		return NULL;
	}
	s->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (s->fd < 0 || bind(s->fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
	    listen(s->fd, BACKLOG) < 0) {
		err_set(err, ERR_SYSTEM, IO_NO_SOCKET, "%s cannot be bound: %s",
			address, strerror(errno));
		if (s->fd >= 0)
			close(s->fd);
		free(s);
		return NULL;
	}
	s->loop = l;
	s->fn = fn;
	s->arg = arg;
	ev_io_init(&s->accepts, on_accept, s->fd, EV_READ);
	s->accepts.data = s;
	ev_io_start(evl_ev(l), &s->accepts);
	return s;
}

/* Closes the listening socket. */
void skl_destroy(struct skl *s)
{
	if (!s)
		return;
	ev_io_stop(evl_ev(s->loop), &s->accepts);
	close(s->fd);
	free(s);
}
