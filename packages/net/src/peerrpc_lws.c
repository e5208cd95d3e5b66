#include "peerrpc_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <unistd.h>

#include "ctr.h"
#include "log.h"
#include "tcplinger.h"

#define SWEEP_US (1 * US_PER_S)
#define LISTEN_BACKLOG 1024

/* Datagrams or connections handled per event. */
#define ITEMS_PER_EVENT 256

/* Receive buffer for simultaneous datagrams of many peers, in bytes. */
#define UDP_BUFFER_BYTES (1024 * 1024)

/* Adds a descriptor to the event loop as a raw file; closes it on failure. */
struct lws *peerrpc_add_descriptor(struct peerrpc_lws *l, int fd,
				   const char *protocol, void *user)
{
	lws_sock_file_fd_type desc;
	struct lws *wsi;

	desc.filefd = fd;
	wsi = lws_adopt_descriptor_vhost(l->vhost, LWS_ADOPT_RAW_FILE_DESC,
					 desc, protocol, NULL);
	if (wsi)
		lws_set_opaque_user_data(wsi, user);
	return wsi;
}

/* Formats a socket address as text. */
static void format_address(const struct sockaddr_storage *from,
			   struct peerrpc_address *out)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)from;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)from;

	memset(out, 0, sizeof(*out));
	if (from->ss_family == AF_INET) {
		inet_ntop(AF_INET, &v4->sin_addr, out->ip, sizeof(out->ip));
		out->port = ntohs(v4->sin_port);
	} else {
		inet_ntop(AF_INET6, &v6->sin6_addr, out->ip, sizeof(out->ip));
		out->port = ntohs(v6->sin6_port);
	}
}

/* Stops accepting until the next sweep if resources are exhausted. */
static void on_accept_error(struct peerrpc_lws *l, int error)
{
	if (error != EMFILE && error != ENFILE && error != ENOBUFS &&
	    error != ENOMEM)
		return;
	lws_rx_flow_control(l->listen_wsi, 0);
	log_emit(LOG_PEER_ACCEPT_STOPPED, "error=\"%s\"", strerror(error));
}

/* Accepts pending connections. */
static int listen_callback(struct lws *wsi, enum lws_callback_reasons reason,
			   void *user, void *in, size_t len)
{
	struct peerrpc_lws *l = lws_get_opaque_user_data(wsi);

	(void)user;
	(void)in;
	(void)len;
	if (!l || reason != LWS_CALLBACK_RAW_RX_FILE)
		return 0;
	for (int i = 0; i < ITEMS_PER_EVENT; i++) {
		struct sockaddr_storage from;
		socklen_t from_len = sizeof(from);
		struct peerrpc_address peer;
		int fd;

		memset(&from, 0, sizeof(from));
		fd = accept4(l->listen_fd, (struct sockaddr *)&from, &from_len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			on_accept_error(l, errno);
			return 0;
		}
		format_address(&from, &peer);
		peerrpc_conn_accept(l, fd, &peer);
	}
	return 0;
}

/* Passes a decoded notice to its handler. */
static void deliver_notice(struct peerrpc_lws *l, uint32_t procedure,
			   const union peerrpc_args *args)
{
	if (procedure == PEER_LEASE)
		l->events->lease(l->arg, &args->lease);
	else if (procedure == PEER_DIGEST)
		l->events->digest(l->arg, &args->digest);
	else
		l->events->strike(l->arg, &args->strike);
}

/* Decodes a datagram; one that is not a notice is counted and dropped. */
static void handle_datagram(struct peerrpc_lws *l, const uint8_t *buf,
			    size_t len)
{
	const struct peerrpc_procedure *proc = NULL;
	union peerrpc_args args;
	struct rpc_header head;

	if (len <= RPC_DATAGRAM_MAX &&
	    rpc_decode_header(buf, len, &head, NULL) && head.kind == RPC_CALL &&
	    head.program == PEER_PROGRAM && head.version == PEER_V1)
		proc = peerrpc_procedure_get(head.procedure);
	memset(&args, 0, sizeof(args));
	if (!proc || !proc->notice ||
	    !rpc_decode_body(buf, len, head.pos, proc->args, &args, NULL)) {
		ctr_add(CTR_PEER_MALFORMED, 1);
		return;
	}
	deliver_notice(l, head.procedure, &args);
	xdr_free(proc->args, &args);
}

/*
 * Reads pending datagrams. An error of recv() other than EAGAIN reports an
 * earlier datagram that a peer's machine refused, not a fault of this socket.
 */
static int udp_callback(struct lws *wsi, enum lws_callback_reasons reason,
			void *user, void *in, size_t len)
{
	struct peerrpc_lws *l = lws_get_opaque_user_data(wsi);
	uint8_t buf[RPC_DATAGRAM_MAX + 1];

	(void)user;
	(void)in;
	(void)len;
	if (!l || reason != LWS_CALLBACK_RAW_RX_FILE)
		return 0;
	for (int i = 0; i < ITEMS_PER_EVENT; i++) {
		ssize_t n = recv(l->udp_fd, buf, sizeof(buf), 0);

		if (n >= 0)
			handle_datagram(l, buf, (size_t)n);
		else if (errno == EAGAIN)
			return 0;
	}
	return 0;
}

static const struct lws_protocols protocols[] = {
	{ "per-conn", peerrpc_conn_callback, 0, 0, 0, NULL, 0 },
	{ "per-listen", listen_callback, 0, 0, 0, NULL, 0 },
	{ "per-udp", udp_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/* Closes stale connections and resumes accepting. */
static void on_sweep(void *arg, uint64_t now_us)
{
	struct peerrpc_lws *l = arg;

	(void)now_us;
	peerrpc_conn_sweep(l);
	lws_rx_flow_control(l->listen_wsi, 1);
}

/* Sends a datagram; on failure it is counted and dropped. */
static void lws_notify(struct peerrpc *p, const struct peerrpc_address *to,
		       uint32_t procedure, const void *args)
{
	struct peerrpc_lws *l = (struct peerrpc_lws *)p;
	const struct peerrpc_procedure *proc = peerrpc_procedure_get(procedure);
	struct sockaddr_storage addr;
	socklen_t addr_len = peerrpc_parse_address(to, &addr);
	size_t len = 0;

	if (proc && proc->notice && addr_len)
		len = rpc_encode_call(l->out, RPC_DATAGRAM_MAX, l->next_xid,
				      procedure, proc->args,
				      (void *)(uintptr_t)args, NULL);
	if (!len || sendto(l->udp_fd, l->out, len, MSG_NOSIGNAL | MSG_DONTWAIT,
			   (struct sockaddr *)&addr, addr_len) != (ssize_t)len)
		ctr_add(CTR_PEER_NOTICES_UNSENT, 1);
}

/* Counts accepted connections with replies that were not acknowledged. */
static size_t lws_unacked(const struct peerrpc *p)
{
	const struct peerrpc_lws *l = (const struct peerrpc_lws *)p;
	const struct peerrpc_conn *c;
	size_t count = 0;

	DL_FOREACH(l->conns, c)
	{
		count += !c->client && !c->broken &&
			 (c->out || tcplinger_unacked(c->fd) > 0);
	}
	return count;
}

/* Closes a descriptor, whether or not it was added to the event loop. */
static void close_descriptor(struct lws *wsi, int fd)
{
	if (wsi)
		lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
	else if (fd >= 0)
		close(fd);
}

/* Frees the transport; pending and incoming calls end without a callback. */
static void lws_destroy(struct peerrpc *p)
{
	struct peerrpc_lws *l = (struct peerrpc_lws *)p;

	l->destroying = true;
	tmr_cancel(lwsloop_timers(l->loop), l->sweep_timer);
	while (l->conns)
		peerrpc_conn_close_now(l->conns);
	while (l->waiting)
		peerrpc_lws_drop(p, l->waiting->xid);
	close_descriptor(l->listen_wsi, l->listen_fd);
	close_descriptor(l->udp_wsi, l->udp_fd);
	if (l->vhost)
		lws_vhost_destroy(l->vhost);
	free(l);
}

static const struct peerrpc_ops lws_ops = {
	.notify = lws_notify,
	.call = peerrpc_lws_call,
	.drop = peerrpc_lws_drop,
	.reply = peerrpc_lws_reply,
	.unacked = lws_unacked,
	.destroy = lws_destroy,
};

/* Opens a socket of the given type at the bind address; -1 on failure. */
static int open_bound(struct peerrpc_lws *l, int type, struct err *err)
{
	struct sockaddr_storage addr;
	socklen_t len = peerrpc_parse_address(&l->bind, &addr);
	int on = 1;
	int fd;

	if (!len) {
		err_set(err, ERR_PEER, NET_BAD_ADDRESS,
			"\"%s\" is not an IP address", l->bind.ip);
		return -1;
	}
	fd = socket(addr.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 && type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd >= 0 && bind(fd, (struct sockaddr *)&addr, len) == 0 &&
	    (type != SOCK_STREAM || listen(fd, LISTEN_BACKLOG) == 0))
		return fd;
	err_set(err, ERR_PEER,
		errno == EADDRINUSE ? NET_IN_USE : NET_BAD_ADDRESS,
		"%s port %u: %s", l->bind.ip, l->bind.port, strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Opens the UDP and TCP sockets and adds them to the event loop. */
static bool start(struct peerrpc_lws *l, struct err *err)
{
	int bytes = UDP_BUFFER_BYTES;
	uint64_t now_us = lwsloop_now_us(l->loop);

	l->udp_fd = open_bound(l, SOCK_DGRAM, err);
	if (l->udp_fd < 0)
		return false;
	setsockopt(l->udp_fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	l->listen_fd = open_bound(l, SOCK_STREAM, err);
	if (l->listen_fd < 0)
		return false;
	l->vhost = lwsloop_vhost(l->loop, "per", protocols, l);
	if (!l->vhost)
		return err_set(err, ERR_PEER, NET_NO_MEMORY, "no vhost");
	l->udp_wsi = peerrpc_add_descriptor(l, l->udp_fd, "per-udp", l);
	if (!l->udp_wsi)
		l->udp_fd = -1;
	l->listen_wsi =
		peerrpc_add_descriptor(l, l->listen_fd, "per-listen", l);
	if (!l->listen_wsi)
		l->listen_fd = -1;
	l->sweep_timer = tmr_every(lwsloop_timers(l->loop), now_us + SWEEP_US,
				   SWEEP_US, on_sweep, l);
	if (!l->udp_wsi || !l->listen_wsi || !l->sweep_timer)
		return err_set(err, ERR_PEER, NET_NO_MEMORY,
			       "the sockets cannot be watched");
	return true;
}

/*
 * Creates a transport over raw sockets that listens on TCP and UDP. The first
 * xid is random, so that a restarted daemon does not reuse recent ones. Returns
 * NULL on failure; errors: layer peer, a code of enum net_error.
 */
struct peerrpc *peerrpc_lws_create(struct lwsloop *l,
				   const struct peerrpc_address *bind,
				   const struct peerrpc_events *events,
				   void *arg, struct err *err)
{
	struct peerrpc_lws *p = calloc(1, sizeof(*p));

	if (!p) {
		err_set(err, ERR_PEER, NET_NO_MEMORY, "out of memory");
		return NULL;
	}
	p->base.ops = &lws_ops;
	p->loop = l;
	p->bind = *bind;
	p->events = events;
	p->arg = arg;
	p->udp_fd = -1;
	p->listen_fd = -1;
	p->next_xid = (uint32_t)clk_random(lwsloop_clock(l));
	if (start(p, err))
		return &p->base;
	lws_destroy(&p->base);
	return NULL;
}
