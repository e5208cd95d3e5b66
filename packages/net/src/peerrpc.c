#include "peerrpc_int.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#define CODEC(type) ((xdrproc_t)xdr_peer_##type)

static const struct peerrpc_procedure procedures[] = {
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
const struct peerrpc_procedure *peerrpc_procedure_get(uint32_t procedure)
{
	if (procedure >= sizeof(procedures) / sizeof(procedures[0]))
		return NULL;
	return &procedures[procedure];
}

/*
 * Parses a numeric IPv4 or IPv6 address. Returns the length of the socket
 * address in bytes, or 0 if the address is invalid.
 */
socklen_t peerrpc_parse_address(const struct peerrpc_address *a,
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
int peerrpc_client_socket(const struct peerrpc_lws *l,
			  const struct sockaddr_storage *to)
{
	struct peerrpc_address own = l->bind;
	struct sockaddr_storage from;
	socklen_t len;
	int on = 1;
	int fd = socket(to->ss_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	own.port = 0;
	len = peerrpc_parse_address(&own, &from);
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
struct peerrpc_pending_call *peerrpc_call_first(const struct peerrpc_conn *c)
{
	return c->calls;
}

/* Returns the first incoming call of a connection, or NULL. */
struct peerrpc_question *peerrpc_question_first(const struct peerrpc_conn *c)
{
	return c->questions;
}

/* Removes an outgoing call from the list of its connection. */
void peerrpc_call_unlink(struct peerrpc_pending_call *w)
{
	if (w->conn)
		DL_DELETE(w->conn->calls, w);
	w->conn = NULL;
}

/* Removes an incoming call from the list of its connection. */
void peerrpc_question_unlink(struct peerrpc_question *q)
{
	DL_DELETE(q->conn->questions, q);
	q->conn->question_count--;
}

/* Returns the IP address of the peer that sent the call. */
const char *peerrpc_question_ip(const struct peerrpc_question *q)
{
	return q->conn->peer.ip;
}

/* Sets the opaque pointer of the handler. */
void peerrpc_question_set_user(struct peerrpc_question *q, void *user)
{
	q->user = user;
}

/* Returns the opaque pointer of the handler; initially NULL. */
void *peerrpc_question_user(const struct peerrpc_question *q)
{
	return q->user;
}

/* Sends a notice as a datagram, which may be lost. */
void peerrpc_notify(struct peerrpc *p, const struct peerrpc_address *to,
		    uint32_t procedure, const void *args)
{
	p->ops->notify(p, to, procedure, args);
}

/*
 * Calls a procedure of a peer with a timeout in microseconds. Returns a handle
 * for peerrpc_drop(), or 0 if the call was not started; fn is then not called.
 */
uint32_t peerrpc_call(struct peerrpc *p, const struct peerrpc_address *to,
		      uint32_t procedure, const void *args, uint64_t timeout_us,
		      peerrpc_reply_fn fn, void *arg)
{
	return p->ops->call(p, to, procedure, args, timeout_us, fn, arg);
}

/* Cancels a call; its callback is not called. */
void peerrpc_drop(struct peerrpc *p, uint32_t call)
{
	p->ops->drop(p, call);
}

/* Answers an incoming call, once. */
void peerrpc_reply(struct peerrpc *p, struct peerrpc_question *q,
		   const void *result)
{
	p->ops->reply(p, q, result);
}

/* Counts the connections whose peers have not acknowledged all replies. */
size_t peerrpc_unacked(const struct peerrpc *p)
{
	return p->ops->unacked(p);
}

/* Frees a transport without further callbacks; NULL is ignored. */
void peerrpc_destroy(struct peerrpc *p)
{
	if (p)
		p->ops->destroy(p);
}
