#ifndef PER_H
#define PER_H

/*
 * Transport between daemons: ONC RPC over UDP for notices and over TCP for
 * calls, behind a table of functions. Typed messages are those of peer.x.
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
	PER_REFUSED, /* nothing listens there: the process has ended */
	PER_NOT_SENT, /* no byte left, for another reason */
	PER_LOST, /* the connection broke after bytes had left */
	PER_TIMEOUT,
	PER_BAD_REPLY /* refused by the RPC layer or cannot be decoded */
};

/* result is decoded, valid during the call, and NULL unless PER_OK. */
typedef void (*per_reply_fn)(void *arg, enum per_failure failure, void *result);

struct per;
struct per_question; /* a call from a peer that waits for its reply */

/* What the daemon does with what peers send; all run in the loop. */
struct per_events {
	void (*lease)(void *arg, const struct peer_lease *m);
	void (*digest)(void *arg, const struct peer_digest *m);
	void (*strike)(void *arg, const struct peer_strike *m);
	/*
	 * A call of a TCP procedure with its decoded arguments, valid during
	 * the call. It is answered once with per_reply(), now or later.
	 */
	void (*call)(void *arg, struct per_question *q, uint32_t procedure,
		     const void *args);
	/*
	 * The connection on which q came has closed; q is no longer valid and
	 * must not be answered.
	 */
	void (*gone)(void *arg, struct per_question *q);
};

struct per_ops {
	/* Sends a datagram without a reply; it may be lost. */
	void (*notify)(struct per *p, const struct per_address *to,
		       uint32_t procedure, const void *args);
	/*
	 * Calls over a kept connection. fn is called exactly once, never from
	 * inside. Returns a handle for drop(), 0 when memory is exhausted and
	 * fn will not be called.
	 */
	uint32_t (*call)(struct per *p, const struct per_address *to,
			 uint32_t procedure, const void *args,
			 uint64_t timeout_us, per_reply_fn fn, void *arg);
	/* Forgets a call; its function is not called. */
	void (*drop)(struct per *p, uint32_t call);
	/* Answers with the result type of the procedure. */
	void (*reply)(struct per *p, struct per_question *q,
		      const void *result);
	void (*destroy)(struct per *p);
};

/* First member of each implementation. */
struct per {
	const struct per_ops *ops;
};

/*
 * The implementation over raw sockets of libwebsockets; it listens on TCP and
 * UDP. Errors: layer peer, a code of enum net_error.
 */
struct per *per_lws_create(struct lop *l, const struct per_address *bind,
			   const struct per_events *events, void *arg,
			   struct err *err);

/* The address a question came from. */
const char *per_question_ip(const struct per_question *q);

/* A pointer for the user, NULL at first. */
void per_question_set_user(struct per_question *q, void *user);
void *per_question_user(const struct per_question *q);

/* Short forms of the calls through the table. */
void per_notify(struct per *p, const struct per_address *to, uint32_t procedure,
		const void *args);
uint32_t per_call(struct per *p, const struct per_address *to,
		  uint32_t procedure, const void *args, uint64_t timeout_us,
		  per_reply_fn fn, void *arg);
void per_drop(struct per *p, uint32_t call);
void per_reply(struct per *p, struct per_question *q, const void *result);
void per_destroy(struct per *p);

#endif
