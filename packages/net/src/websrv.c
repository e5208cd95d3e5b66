#include "websrv_int.h"

#include "netaddr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that the kernel queues until they are accepted. */
#define BACKLOG 1024

/* Timeouts are checked this many times within the shortest of them. */
#define CHECKS_PER_TIMEOUT 4
#define CHECK_MIN_MS 10
#define CHECK_MAX_MS 1000

/* Opens the listening socket and stores the port that it is bound to. */
static bool open_listener(struct websrv *h, struct err *err)
{
	const struct websrv_params *p = &h->params;
	struct netaddr at;
	int on = 1;

	if (!netaddr_parse(p->address, p->port, &at))
		return err_set(err, ERR_HTTP, NET_BAD_ADDRESS,
			       "%s is not an IP address", p->address);
	h->listen_fd = socket(at.storage.ss_family,
			      SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (h->listen_fd < 0)
		return err_set(err, ERR_HTTP, NET_NO_LOOP, "socket: %s",
			       strerror(errno));
	setsockopt(h->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(h->listen_fd, (struct sockaddr *)&at.storage, at.len) < 0 ||
	    listen(h->listen_fd, BACKLOG) < 0)
		return err_set(err, ERR_HTTP, NET_IN_USE, "%s port %u: %s",
			       p->address, p->port, strerror(errno));
	getsockname(h->listen_fd, (struct sockaddr *)&at.storage, &at.len);
	h->port =
		ntohs(at.storage.ss_family == AF_INET6 ?
			      ((struct sockaddr_in6 *)&at.storage)->sin6_port :
			      ((struct sockaddr_in *)&at.storage)->sin_port);
	return true;
}

/*
 * Returns whether a timeout of the connection has expired: no bytes were sent
 * or received for the time limit that applies to its state.
 */
static bool is_timed_out(const struct websrv_conn *c, uint64_t now_us)
{
	const struct websrv_params *p = &c->server->params;
	uint64_t limit_ms = p->idle_timeout_ms;

	if (c->lingering)
		return false; /* has a timer of its own */
	if (!c->req) {
		if (!c->used)
			limit_ms = p->header_timeout_ms;
	} else if (!c->req->first && (c->req->body_done || c->req->paused)) {
		return false; /* waiting for the request handler */
	}
	return now_us > c->progress_us &&
	       now_us - c->progress_us > limit_ms * US_PER_MS;
}

/* Closes the connections whose timeout has expired. */
static void close_timed_out(void *arg, uint64_t now_us)
{
	struct websrv *h = arg;
	struct websrv_conn *next;

	for (struct websrv_conn *c = h->conns; c; c = next) {
		next = c->next;
		if (is_timed_out(c, now_us))
			websrv_conn_abort(c);
	}
}

/* Starts the periodic check of the timeouts. */
static bool start_timeout_checks(struct websrv *h)
{
	uint64_t ms = h->params.idle_timeout_ms;

	if (h->params.header_timeout_ms < ms)
		ms = h->params.header_timeout_ms;
	ms /= CHECKS_PER_TIMEOUT;
	if (ms < CHECK_MIN_MS)
		ms = CHECK_MIN_MS;
	if (ms > CHECK_MAX_MS)
		ms = CHECK_MAX_MS;
	h->timeout_timer = tmr_every(lwsloop_timers(h->loop),
				     lwsloop_now_us(h->loop) + ms * US_PER_MS,
				     ms * US_PER_MS, close_timed_out, h);
	return h->timeout_timer != 0;
}

/*
 * Opens the listening socket and serves it on the event loop. Timeouts are in
 * milliseconds. Returns NULL on failure; errors: layer http, a code of
 * enum net_error.
 */
struct websrv *websrv_create(struct lwsloop *l,
			     const struct websrv_params *params,
			     const struct websrv_ops *ops, void *arg,
			     struct err *err)
{
	struct websrv *h = calloc(1, sizeof(*h));

	if (!h) {
		err_set(err, ERR_HTTP, NET_NO_MEMORY, "out of memory");
		return NULL;
	}
	h->loop = l;
	h->params = *params;
	h->ops = ops;
	h->arg = arg;
	h->listen_fd = -1;
	if (!open_listener(h, err)) {
		websrv_destroy(h);
		return NULL;
	}
	if (!websrv_watch_open(h) || !start_timeout_checks(h)) {
		err_set(err, ERR_HTTP, NET_NO_LOOP,
			"the port cannot be watched");
		websrv_destroy(h);
		return NULL;
	}
	return h;
}

/* Closes all connections; requests in progress end as incomplete. */
void websrv_destroy(struct websrv *h)
{
	if (!h)
		return;
	tmr_cancel(lwsloop_timers(h->loop), h->timeout_timer);
	websrv_stop_listening(h);
	while (h->conns)
		websrv_conn_free(h->conns);
	websrv_watch_close(h);
	free(h);
}

/* Returns the port that the server listens on. */
uint16_t websrv_port(const struct websrv *h)
{
	return h->port;
}

/* Returns the number of open connections, including idle ones. */
size_t websrv_connections(const struct websrv *h)
{
	return h->conn_count;
}

/* Returns the number of connections with output that was not acknowledged. */
size_t websrv_unacked(const struct websrv *h)
{
	size_t count = 0;

	for (const struct websrv_conn *c = h->conns; c; c = c->next)
		count += tcplinger_unacked(c->fd) > 0;
	return count;
}

/* Returns the number of requests between head() and closed(). */
size_t websrv_in_progress(const struct websrv *h)
{
	return h->req_count;
}
