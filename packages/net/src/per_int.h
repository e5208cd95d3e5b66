#ifndef PER_INT_H
#define PER_INT_H

/* Parts of the peer transport that its own source files share. */

#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include <uthash.h>
#include <utlist.h>

#include "per.h"
#include "rpc.h"

/* Calls that wait for a reply in one transport; each holds a timer. */
#define PER_CALLS_MAX 16384

/* Accepted connections; the target size has 6,700 peers for each node. */
#define PER_ACCEPTED_MAX 12288

/* Unanswered questions of one connection before it is no longer read. */
#define PER_QUESTIONS_MAX 4096

/* Bytes that wait for one connection before calls are no longer taken. */
#define PER_CALL_QUEUE_MAX (8 * 1024 * 1024)

/* Bytes of replies that wait before a connection is no longer read. */
#define PER_REPLY_PAUSE (1024 * 1024)

/*
 * Bytes of replies that wait before a connection is closed: 64 KiB for each of
 * 256 streams that were asked for before reading stopped.
 */
#define PER_REPLY_QUEUE_MAX (16 * 1024 * 1024)

/* One attempt to connect; it covers a second SYN, which is sent after 1 s. */
#define PER_CONNECT_US (1500 * US_PER_MS)

/* A client connection is closed after this time without a call. */
#define PER_IDLE_US (60 * US_PER_S)

/* A record that has begun but brings no byte for this time ends its stream. */
#define PER_PARTIAL_US (30 * US_PER_S)

/* Data that the other side does not acknowledge ends a connection. */
#define PER_UNACKED_MS 5000

/* One read inside of a long record. */
#define PER_READ_BYTES 65536

/*
 * One read between records. A call has over 60 bytes and may be answered with
 * 64 KiB, so the calls of one read cause at most 4.5 MiB of replies before the
 * limit on waiting replies is looked at.
 */
#define PER_READ_SMALL_BYTES 4096

/* The codecs of a procedure; result is NULL for a notice. */
struct per_procedure {
	xdrproc_t args;
	xdrproc_t result;
	bool notice;
};

/* Room for the arguments of any procedure. */
union per_args {
	struct peer_lease lease;
	struct peer_digest digest;
	struct peer_strike strike;
	struct peer_hello hello;
	struct peer_open open;
	struct peer_data data;
	struct peer_read read;
	struct peer_cancel cancel;
	struct peer_sync sync;
	struct peer_fetch fetch;
	struct peer_handover handover;
};

/* Room for the result of any procedure. */
union per_result {
	struct peer_answer answer;
	struct peer_opened opened;
	struct peer_chunk chunk;
	struct peer_rows rows;
	struct peer_body body;
};

struct per_conn;
struct per_waiting;

/* A record that waits to be sent. */
struct per_out {
	struct per_out *prev;
	struct per_out *next;
	struct per_waiting *call; /* NULL once a byte has left */
	size_t len;
	size_t sent;
	uint8_t bytes[];
};

/* A call that waits for its reply. */
struct per_waiting {
	struct per_waiting *prev;
	struct per_waiting *next;
	UT_hash_handle hh;
	uint32_t xid;
	uint32_t procedure;
	struct per_lws *owner;
	struct per_conn *conn; /* NULL when the call has failed already */
	struct per_out *out; /* the record while no byte of it has left */
	uint32_t timer;
	enum per_failure failure; /* what the timer reports, or PER_OK */
	per_reply_fn fn;
	void *arg;
};

struct per_question {
	struct per_question *prev;
	struct per_question *next;
	struct per_conn *conn;
	uint32_t xid;
	uint32_t procedure;
	void *user;
};

struct per_conn {
	struct per_conn *prev;
	struct per_conn *next;
	UT_hash_handle hh; /* clients by address */
	struct per_lws *owner;
	struct lws *wsi;
	int fd;
	int error; /* of the attempt to connect */
	bool client;
	bool connecting;
	bool broken; /* is being closed */
	bool paused;
	struct per_address peer;
	struct rpc_stream *stream;
	struct per_out *out;
	size_t out_bytes;
	struct per_waiting *calls;
	struct per_question *questions;
	size_t question_count;
	uint64_t active_us;
	uint32_t connect_timer;
	uint32_t write_timer;
};

struct per_lws {
	struct per per;
	struct lop *loop;
	struct lws_vhost *vhost;
	const struct per_events *events;
	void *arg;
	struct per_address bind;
	struct lws *listen_wsi;
	struct lws *udp_wsi;
	int listen_fd;
	int udp_fd;
	uint32_t sweep_timer;
	bool destroying;
	struct per_conn *conns;
	struct per_conn *clients; /* by address */
	size_t accepted;
	struct per_waiting *waiting; /* by xid */
	uint32_t next_xid;
	uint8_t in[PER_READ_BYTES];
	uint8_t out[RPC_RECORD_MARK_BYTES + RPC_MESSAGE_MAX];
};

/* Returns NULL for an unknown procedure. */
const struct per_procedure *per_procedure_get(uint32_t procedure);

/* Reads an address; returns the length of the socket address, 0 on an error. */
socklen_t per_resolve(const struct per_address *a,
		      struct sockaddr_storage *out);

/* Makes a socket to connect to an address; -1 on an error. */
int per_client_socket(const struct per_lws *l,
		      const struct sockaddr_storage *to);

/* Watches a descriptor in the loop; it is closed when that fails. */
struct lws *per_watch(struct per_lws *l, int fd, const char *protocol,
		      void *user);

/* Callback of connections, for the protocol list of the vhost. */
int per_conn_callback(struct lws *wsi, enum lws_callback_reasons reason,
		      void *user, void *in, size_t len);

/* Takes an accepted socket over, which is closed if that fails. */
void per_conn_accept(struct per_lws *l, int fd, const struct per_address *peer);

/* Finds or opens the connection to a peer; NULL with why on an error. */
struct per_conn *per_conn_to(struct per_lws *l, const struct per_address *to,
			     enum per_failure *why);

/*
 * Sends the message of len bytes that lies in owner->out behind the room for
 * its mark. call may be NULL. Returns false when nothing was sent or queued.
 */
bool per_conn_send(struct per_conn *c, size_t len, struct per_waiting *call);

/* Takes an unsent record out of the queue. */
void per_conn_unqueue(struct per_conn *c, struct per_out *out);

/* Closes a connection from outside of its callback. */
void per_conn_break(struct per_conn *c);

/* Reads again if fewer questions and replies wait. */
void per_conn_resume(struct per_conn *c);

/* Closes a connection at once, without events; for per_destroy(). */
void per_conn_destroy(struct per_conn *c);

/* Closes connections that are idle or stuck. */
void per_conn_sweep(struct per_lws *l);

/* Handle a message; false closes the connection. */
bool per_take_call(struct per_conn *c, const uint8_t *buf, size_t len);
bool per_take_reply(struct per_conn *c, const uint8_t *buf, size_t len);

/* Ends the calls of a connection that has closed. */
void per_calls_closed(struct per_conn *c);

/* Ends the questions of a connection that has closed. */
void per_questions_closed(struct per_conn *c);

/* The first call or question of a connection, NULL if there is none. */
struct per_waiting *per_call_first(const struct per_conn *c);
struct per_question *per_question_first(const struct per_conn *c);

/* Take a call or a question out of the list of its connection. */
void per_call_unlink(struct per_waiting *w);
void per_question_unlink(struct per_question *q);

/* Entries of the table of functions. */
uint32_t per_lws_call(struct per *p, const struct per_address *to,
		      uint32_t procedure, const void *args, uint64_t timeout_us,
		      per_reply_fn fn, void *arg);
void per_lws_drop(struct per *p, uint32_t call);
void per_lws_reply(struct per *p, struct per_question *q, const void *result);

#endif
