#ifndef PER_H
#define PER_H

/*
 * Transport between daemons: ONC RPC, over UDP for one-way notices and over TCP
 * for calls, behind a table of functions. The message types are those of
 * peer.x.
 */

#include <stdbool.h>
#include <stdint.h>

#include "lop.h"
#include "peer.h"

struct per_address {
	char ip[46];
	uint16_t port;
};

enum per_failure {
	PER_OK,
	PER_REFUSED, /* connection refused: the process has ended */
	PER_NOT_SENT, /* no byte was sent, for another reason */
	PER_LOST, /* connection lost after bytes were sent */
	PER_TIMEOUT,
	PER_BAD_REPLY /* RPC error reply, or malformed result */
};

/* result is decoded, valid during the callback, and NULL unless PER_OK. */
typedef void (*per_reply_fn)(void *arg, enum per_failure failure, void *result);

struct per;
struct per_question; /* an incoming call that has not been answered yet */

/* Handlers of incoming messages; all run on the thread of the event loop. */
struct per_events {
	void (*lease)(void *arg, const struct peer_lease *m);
	void (*digest)(void *arg, const struct peer_digest *m);
	void (*strike)(void *arg, const struct peer_strike *m);
	/*
	 * A call over TCP with its decoded arguments, which are valid during
	 * the callback. It is answered once with per_reply(), now or later.
	 */
	void (*call)(void *arg, struct per_question *q, uint32_t procedure,
		     const void *args);
	/*
	 * The connection of q was closed; q must not be answered and is freed
	 * after this callback.
	 */
	void (*gone)(void *arg, struct per_question *q);
};

struct per_ops {
	/* Sends a one-way datagram, which may be lost. */
	void (*notify)(struct per *p, const struct per_address *to,
		       uint32_t procedure, const void *args);
	/*
	 * Calls a procedure over a persistent connection. fn is called exactly
	 * once, and never inside this function. Returns a handle for drop(), or
	 * 0 if there are too many calls or memory is exhausted; fn is then not
	 * called.
	 */
	uint32_t (*call)(struct per *p, const struct per_address *to,
			 uint32_t procedure, const void *args,
			 uint64_t timeout_us, per_reply_fn fn, void *arg);
	/* Cancels a call; its callback is not called. */
	void (*drop)(struct per *p, uint32_t call);
	/* Answers a call; result is of the result type of its procedure. */
	void (*reply)(struct per *p, struct per_question *q,
		      const void *result);
	void (*destroy)(struct per *p);
};

/* First member of each implementation. */
struct per {
	const struct per_ops *ops;
};

struct per *per_lws_create(struct lop *l, const struct per_address *bind,
			   const struct per_events *events, void *arg,
			   struct err *err);

const char *per_question_ip(const struct per_question *q);

/* Opaque pointer of the handler; initially NULL. */
void per_question_set_user(struct per_question *q, void *user);
void *per_question_user(const struct per_question *q);

/* Wrappers of the functions in struct per_ops. */
void per_notify(struct per *p, const struct per_address *to, uint32_t procedure,
		const void *args);
uint32_t per_call(struct per *p, const struct per_address *to,
		  uint32_t procedure, const void *args, uint64_t timeout_us,
		  per_reply_fn fn, void *arg);
void per_drop(struct per *p, uint32_t call);
void per_reply(struct per *p, struct per_question *q, const void *result);
void per_destroy(struct per *p);

#endif
