#include "websrv_int.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ctr.h"

/*
 * The event loop polls two descriptors of the server: the listening socket, and
 * an epoll instance that reports the events of the connections.
 */

/* Events per call of epoll_wait(). */
#define EVENTS_PER_WAIT 64

/* Adds an accepted socket, or closes it if there are too many connections. */
static void add_connection(struct websrv *h, int fd, const char *peer)
{
	struct websrv_conn *c;
	int on = 1;

	if (h->conn_count >= h->params.max_connections) {
		ctr_add(CTR_HTTP_CONNECTIONS_REFUSED, 1);
		close(fd);
		return;
	}
	/* Nagle's algorithm would delay a body until its head is acked. */
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c = websrv_conn_add(h, fd, peer);
	if (!c)
		close(fd);
	else if (!websrv_watch_add(c))
		websrv_conn_free(c);
}

/* Accepts all pending connections; those over the limit are closed. */
void websrv_accept(struct websrv *h)
{
	struct sockaddr_storage from = { 0 };
	const void *ip;
	char peer[INET6_ADDRSTRLEN];
	socklen_t len;
	int fd;

	for (;;) {
		len = sizeof(from);
		fd = accept4(h->listen_fd, (struct sockaddr *)&from, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		if (from.ss_family == AF_INET6)
			ip = &((struct sockaddr_in6 *)&from)->sin6_addr;
		else
			ip = &((struct sockaddr_in *)&from)->sin_addr;
		if (!inet_ntop(from.ss_family, ip, peer, sizeof(peer)))
			peer[0] = '\0';
		add_connection(h, fd, peer);
	}
}

/*
 * Handles the events of the connections. A caller that has shut down its side
 * for sending is treated as disconnected, even if its request is in progress.
 */
static void handle_events(struct websrv *h)
{
	struct epoll_event events[EVENTS_PER_WAIT];
	int n = epoll_wait(h->events_fd, events, EVENTS_PER_WAIT, 0);

	for (int i = 0; i < n; i++) {
		struct websrv_conn *c = events[i].data.ptr;

		if (events[i].events & EPOLLOUT)
			websrv_out_writable(c);
		if (events[i].events & EPOLLIN) {
			c->readable = true;
			websrv_conn_read(c);
		}
		if (events[i].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
			websrv_conn_abort(c);
	}
}

/* Handles a readable descriptor. */
static int watch_callback(struct lws *wsi, enum lws_callback_reasons reason,
			  void *user, void *in, size_t len)
{
	struct websrv *h;

	(void)user;
	(void)in;
	(void)len;
	if (reason != LWS_CALLBACK_RAW_RX_FILE)
		return 0;
	h = lws_get_opaque_user_data(wsi);
	if (h && wsi == h->listener)
		websrv_accept(h);
	else if (h)
		handle_events(h);
	return 0;
}

static const struct lws_protocols watch_protocols[] = {
	{ "watch", watch_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/* Adds a descriptor to the event loop. */
static struct lws *watch(struct websrv *h, int fd)
{
	lws_sock_file_fd_type desc;
	struct lws *wsi;

	desc.filefd = fd;
	wsi = lws_adopt_descriptor_vhost(h->fd_vhost, LWS_ADOPT_RAW_FILE_DESC,
					 desc, "watch", NULL);
	if (wsi)
		lws_set_opaque_user_data(wsi, h);
	return wsi;
}

/* Adds the listening socket and a new epoll instance to the event loop. */
bool websrv_watch_open(struct websrv *h)
{
	h->fd_vhost = lwsloop_vhost(h->loop, "watch", watch_protocols, NULL);
	h->events_fd = epoll_create1(EPOLL_CLOEXEC);
	if (!h->fd_vhost || h->events_fd < 0)
		return false;
	h->listener = watch(h, h->listen_fd);
	h->events = watch(h, h->events_fd);
	return h->listener && h->events;
}

/* Registers a connection, edge-triggered; closing the socket removes it. */
bool websrv_watch_add(struct websrv_conn *c)
{
	struct epoll_event event = { .events = EPOLLIN | EPOLLOUT | EPOLLRDHUP |
					       EPOLLET };

	event.data.ptr = c;
	return epoll_ctl(c->server->events_fd, EPOLL_CTL_ADD, c->fd, &event) ==
	       0;
}

/* Closes a descriptor, whether or not it was added to the event loop. */
static void unwatch(struct lws **wsi, int *fd)
{
	if (*wsi) {
		lws_set_opaque_user_data(*wsi, NULL);
		lws_set_timeout(*wsi, PENDING_TIMEOUT_CLOSE_SEND,
				LWS_TO_KILL_SYNC);
	} else if (*fd >= 0) {
		close(*fd);
	}
	*wsi = NULL;
	*fd = -1;
}

/*
 * Closes the listening socket; the kernel then refuses new connections.
 * Requests in progress continue.
 */
void websrv_stop_listening(struct websrv *h)
{
	unwatch(&h->listener, &h->listen_fd);
}

/* Removes the server's descriptors from the event loop and closes them. */
void websrv_watch_close(struct websrv *h)
{
	websrv_stop_listening(h);
	unwatch(&h->events, &h->events_fd);
	if (h->fd_vhost)
		lws_vhost_destroy(h->fd_vhost);
}
