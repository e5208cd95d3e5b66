#include "websrv_int.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ctr.h"

/*
 * Closes the oldest connection that lingers; the kernel goes on sending what it
 * has taken. False if there is none.
 */
static bool drop_lingering(struct websrv *h)
{
	struct websrv_conn *oldest = NULL;

	for (struct websrv_conn *c = h->conns; c; c = c->next) {
		if (c->lingering)
			oldest = c;
	}
	if (oldest)
		websrv_conn_free(oldest);
	return oldest != NULL;
}

/* Adds an accepted socket, or closes it if there are too many connections. */
static void add_connection(struct websrv *h, int fd, const char *peer)
{
	struct websrv_conn *c;
	int on = 1;

	if (h->conn_count >= h->params.max_connections)
		drop_lingering(h);
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
	else if (!fdwatch_add(h->watch, fd, c))
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
 * Handles the events of a connection. A caller that has shut down its side for
 * sending is treated as disconnected, even if its request is in progress; one
 * that arrives with the close is not started. A connection that lingers is read
 * to its end, as a close with unread input is a reset.
 */
static void on_event(void *entry, uint32_t events)
{
	struct websrv_conn *c = entry;
	uint32_t ends = EPOLLRDHUP | EPOLLHUP | EPOLLERR;

	if (!c->lingering && (events & ends)) {
		websrv_conn_abort(c);
		return;
	}
	if (events & EPOLLOUT)
		websrv_out_writable(c);
	if (events & (EPOLLIN | ends)) {
		c->readable = true;
		websrv_conn_read(c);
	}
}

/* Handles the readable listening socket. */
static int listen_callback(struct lws *wsi, enum lws_callback_reasons reason,
			   void *user, void *in, size_t len)
{
	struct websrv *h;

	(void)user;
	(void)in;
	(void)len;
	if (reason != LWS_CALLBACK_RAW_RX_FILE)
		return 0;
	h = lws_get_opaque_user_data(wsi);
	if (h)
		websrv_accept(h);
	return 0;
}

static const struct lws_protocols listen_protocols[] = {
	{ "listen", listen_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/* Adds the listening socket to the event loop, and watches connections. */
bool websrv_watch_open(struct websrv *h)
{
	lws_sock_file_fd_type desc;

	h->listen_vhost =
		lwsloop_vhost(h->loop, "listen", listen_protocols, NULL);
	h->watch = fdwatch_create(h->loop, on_event);
	if (!h->listen_vhost || !h->watch)
		return false;
	desc.filefd = h->listen_fd;
	h->listener = lws_adopt_descriptor_vhost(
		h->listen_vhost, LWS_ADOPT_RAW_FILE_DESC, desc, "listen", NULL);
	if (h->listener)
		lws_set_opaque_user_data(h->listener, h);
	return h->listener != NULL;
}

/*
 * Closes the listening socket; the kernel then refuses new connections.
 * Requests in progress continue.
 */
void websrv_stop_listening(struct websrv *h)
{
	if (h->listener) {
		lws_set_opaque_user_data(h->listener, NULL);
		lws_set_timeout(h->listener, PENDING_TIMEOUT_CLOSE_SEND,
				LWS_TO_KILL_SYNC);
	} else if (h->listen_fd >= 0) {
		close(h->listen_fd);
	}
	h->listener = NULL;
	h->listen_fd = -1;
}

/* Removes the server's descriptors from the event loop and closes them. */
void websrv_watch_close(struct websrv *h)
{
	websrv_stop_listening(h);
	fdwatch_destroy(h->watch);
	if (h->listen_vhost)
		lws_vhost_destroy(h->listen_vhost);
}
