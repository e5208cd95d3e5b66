#include "tcplisten.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tcpsock.h"

/* Connections accepted per iteration of the event loop. */
#define ACCEPTS_MAX 32
#define BACKLOG 1024

struct tcplisten {
	struct evloop *loop;
	ev_io accept_watcher;
	tcplisten_accept_fn fn;
	void *arg;
	int fd;
};

/* Accepts up to ACCEPTS_MAX pending connections. */
static void on_accept(struct ev_loop *ev, ev_io *w, int events)
{
	struct tcplisten *s = w->data;

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

/*
 * Listens on "ADDRESS:PORT". Returns NULL and sets err (IO_BAD_ADDRESS or
 * IO_NO_SOCKET) on failure.
 */
struct tcplisten *tcplisten_create(struct evloop *l, const char *address,
				   tcplisten_accept_fn fn, void *arg,
				   struct err *err)
{
	struct tcplisten *s = calloc(1, sizeof(*s));
	struct sockaddr_in a;
	int on = 1;

	if (!s || !tcpsock_parse_address(address, &a)) {
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
	ev_io_init(&s->accept_watcher, on_accept, s->fd, EV_READ);
	s->accept_watcher.data = s;
	ev_io_start(evloop_libev(l), &s->accept_watcher);
	return s;
}

/* Closes the listening socket. */
void tcplisten_destroy(struct tcplisten *s)
{
	if (!s)
		return;
	ev_io_stop(evloop_libev(s->loop), &s->accept_watcher);
	close(s->fd);
	free(s);
}
