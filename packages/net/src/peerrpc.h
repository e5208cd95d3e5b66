#ifndef PEERRPC_H
#define PEERRPC_H

/*
 * Transport between daemons: ONC RPC, over UDP for one-way notices and over TCP
 * for calls, behind a table of functions. The message types are those of
 * peer.x.
 */

#include <stdbool.h>
#include <stdint.h>

#include "lwsloop.h"
#include "peer.h"

struct peerrpc_address {
	char ip[46];
	uint16_t port;
};

enum peerrpc_failure {
	PEERRPC_OK,
	PEERRPC_REFUSED, /* connection refused: the process has ended */
	PEERRPC_NOT_SENT, /* no byte was sent, for another reason */
	PEERRPC_LOST, /* connection lost after bytes were sent */
	PEERRPC_TIMEOUT,
	PEERRPC_BAD_REPLY /* RPC error reply, or malformed result */
};

/* result is decoded, valid during the callback, and NULL unless PEERRPC_OK. */
typedef void (*peerrpc_reply_fn)(void *arg, enum peerrpc_failure failure,
				 void *result);

struct peerrpc;
struct peerrpc_question; /* an incoming call that has not been answered yet */

/* Handlers of incoming messages; all run on the thread of the event loop. */
struct peerrpc_events {
	void (*lease)(void *arg, const struct peer_lease *m);
	void (*digest)(void *arg, const struct peer_digest *m);
	void (*strike)(void *arg, const struct peer_strike *m);
	/*
	 * A call over TCP with its decoded arguments, which are valid during
	 * the callback. It is answered once with peerrpc_reply(), now or later.
	 */
	void (*call)(void *arg, struct peerrpc_question *q, uint32_t procedure,
		     const void *args);
	/*
	 * The connection of q was closed; q must not be answered and is freed
	 * after this callback.
	 */
	void (*gone)(void *arg, struct peerrpc_question *q);
};

struct peerrpc_ops {
	/* Sends a one-way datagram, which may be lost. */
	void (*notify)(struct peerrpc *p, const struct peerrpc_address *to,
		       uint32_t procedure, const void *args);
	/*
	 * Calls a procedure over a persistent connection. fn is called exactly
	 * once, and never inside this function. Returns a handle for drop(), or
	 * 0 if there are too many calls or memory is exhausted; fn is then not
	 * called.
	 */
	uint32_t (*call)(struct peerrpc *p, const struct peerrpc_address *to,
			 uint32_t procedure, const void *args,
			 uint64_t timeout_us, peerrpc_reply_fn fn, void *arg);
	/* Cancels a call; its callback is not called. */
	void (*drop)(struct peerrpc *p, uint32_t call);
	/* Answers a call; result is of the result type of its procedure. */
	void (*reply)(struct peerrpc *p, struct peerrpc_question *q,
		      const void *result);
	/*
	 * Counts the connections whose peers have not acknowledged all replies;
	 * the end of the process could lose these.
	 */
	size_t (*unacked)(const struct peerrpc *p);
	void (*destroy)(struct peerrpc *p);
};

/* First member of each implementation. */
struct peerrpc {
	const struct peerrpc_ops *ops;
};

struct peerrpc *peerrpc_lws_create(struct lwsloop *l,
				   const struct peerrpc_address *bind,
				   const struct peerrpc_events *events,
				   void *arg, struct err *err);

const char *peerrpc_question_ip(const struct peerrpc_question *q);

/* Opaque pointer of the handler; initially NULL. */
void peerrpc_question_set_user(struct peerrpc_question *q, void *user);
void *peerrpc_question_user(const struct peerrpc_question *q);

/* Wrappers of the functions in struct peerrpc_ops. */
void peerrpc_notify(struct peerrpc *p, const struct peerrpc_address *to,
		    uint32_t procedure, const void *args);
uint32_t peerrpc_call(struct peerrpc *p, const struct peerrpc_address *to,
		      uint32_t procedure, const void *args, uint64_t timeout_us,
		      peerrpc_reply_fn fn, void *arg);
void peerrpc_drop(struct peerrpc *p, uint32_t call);
void peerrpc_reply(struct peerrpc *p, struct peerrpc_question *q,
		   const void *result);
size_t peerrpc_unacked(const struct peerrpc *p);
void peerrpc_destroy(struct peerrpc *p);

#endif
