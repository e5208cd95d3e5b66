#include "per_int.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#define CODEC(type) ((xdrproc_t)xdr_peer_##type)

static const struct per_procedure procedures[] = {
	[PEER_NULL] = { rpc_xdr_void, rpc_xdr_void, false },
	[PEER_LEASE] = { CODEC(lease), NULL, true },
	[PEER_DIGEST] = { CODEC(digest), NULL, true },
	[PEER_STRIKE] = { CODEC(strike), NULL, true },
	[PEER_HELLO] = { CODEC(hello), CODEC(answer), false },
	[PEER_OPEN] = { CODEC(open), CODEC(opened), false },
	[PEER_DATA] = { CODEC(data), CODEC(answer), false },
	[PEER_READ] = { CODEC(read), CODEC(chunk), false },
	[PEER_CANCEL] = { CODEC(cancel), CODEC(answer), false },
	[PEER_SYNC] = { CODEC(sync), CODEC(rows), false },
	[PEER_FETCH] = { CODEC(fetch), CODEC(body), false },
	[PEER_HANDOVER] = { CODEC(handover), CODEC(answer), false },
};

/* Returns the codecs of a procedure, or NULL if it is unknown. */
const struct per_procedure *per_procedure_get(uint32_t procedure)
{
	if (procedure >= sizeof(procedures) / sizeof(procedures[0]))
		return NULL;
	return &procedures[procedure];
}

/*
 * Parses a numeric IPv4 or IPv6 address. Returns the length of the socket
 * address in bytes, or 0 if the address is invalid.
 */
socklen_t per_parse_address(const struct per_address *a,
			    struct sockaddr_storage *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, a->ip, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(a->port);
		return sizeof(*v4);
	}
	if (inet_pton(AF_INET6, a->ip, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(a->port);
		return sizeof(*v6);
	}
	return 0;
}

/*
 * Creates a TCP socket bound to the address by which peers know this daemon.
 * Returns -1 on failure.
 */
int per_client_socket(const struct per_lws *l,
		      const struct sockaddr_storage *to)
{
	struct per_address own = l->bind;
	struct sockaddr_storage from;
	socklen_t len;
	int on = 1;
	int fd = socket(to->ss_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	own.port = 0;
	len = per_parse_address(&own, &from);
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	if (from.ss_family == to->ss_family &&
	    bind(fd, (struct sockaddr *)&from, len) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Returns the first outgoing call of a connection, or NULL. The list functions
 * are separate from the code that frees entries, as the static analyzer cannot
 * track a list across loop iterations.
 */
struct per_pending_call *per_call_first(const struct per_conn *c)
{
	return c->calls;
}

/* Returns the first incoming call of a connection, or NULL. */
struct per_question *per_question_first(const struct per_conn *c)
{
	return c->questions;
}

/* Removes an outgoing call from the list of its connection. */
void per_call_unlink(struct per_pending_call *w)
{
	if (w->conn)
		DL_DELETE(w->conn->calls, w);
	w->conn = NULL;
}

/* Removes an incoming call from the list of its connection. */
void per_question_unlink(struct per_question *q)
{
	DL_DELETE(q->conn->questions, q);
	q->conn->question_count--;
}

/* Returns the IP address of the peer that sent the call. */
const char *per_question_ip(const struct per_question *q)
{
	return q->conn->peer.ip;
}

/* Sets the opaque pointer of the handler. */
void per_question_set_user(struct per_question *q, void *user)
{
	q->user = user;
}

/* Returns the opaque pointer of the handler; initially NULL. */
void *per_question_user(const struct per_question *q)
{
	return q->user;
}

/* Sends a notice as a datagram, which may be lost. */
void per_notify(struct per *p, const struct per_address *to, uint32_t procedure,
		const void *args)
{
	p->ops->notify(p, to, procedure, args);
}

/*
 * Calls a procedure of a peer with a timeout in microseconds. Returns a handle
 * for per_drop(), or 0 if the call was not started; fn is then not called.
 */
uint32_t per_call(struct per *p, const struct per_address *to,
		  uint32_t procedure, const void *args, uint64_t timeout_us,
		  per_reply_fn fn, void *arg)
{
	return p->ops->call(p, to, procedure, args, timeout_us, fn, arg);
}

/* Cancels a call; its callback is not called. */
void per_drop(struct per *p, uint32_t call)
{
	p->ops->drop(p, call);
}

/* Answers an incoming call, once. */
void per_reply(struct per *p, struct per_question *q, const void *result)
{
	p->ops->reply(p, q, result);
}

/* Frees a transport without further callbacks; NULL is ignored. */
void per_destroy(struct per *p)
{
	if (p)
		p->ops->destroy(p);
}
