#ifndef PER_INT_H
#define PER_INT_H

/* Internal interface of the peer transport's source files. */

#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include <uthash.h>
#include <utlist.h>

#include "per.h"
#include "rpc.h"

/* Limit on pending calls of one transport; each uses a timer. */
#define PER_CALLS_MAX 16384

/* Limit on accepted connections; the target size is 6,700 peers per node. */
#define PER_ACCEPTED_MAX 12288

/* Unanswered incoming calls above which a connection is not read. */
#define PER_QUESTIONS_MAX 4096

/* Queued bytes of a connection above which new calls fail. */
#define PER_CALL_QUEUE_MAX (8 * 1024 * 1024)

/* Queued reply bytes above which a connection is not read. */
#define PER_REPLY_PAUSE_BYTES (1024 * 1024)

/*
 * Queued reply bytes above which a connection is closed: 64 KiB for each of 256
 * streams that were requested before reading stopped.
 */
#define PER_REPLY_QUEUE_MAX (16 * 1024 * 1024)

/* Connect timeout; allows for a SYN retransmission, which is sent after 1 s. */
#define PER_CONNECT_TIMEOUT_US (1500 * US_PER_MS)

/* Idle timeout of a client connection. */
#define PER_IDLE_TIMEOUT_US (60 * US_PER_S)

/* Timeout of an incomplete record that receives no further byte. */
#define PER_PARTIAL_RECORD_US (30 * US_PER_S)

/* Timeout of sent data that the peer does not acknowledge. */
#define PER_UNACKED_TIMEOUT_MS 5000

/* Largest read within a record, in bytes. */
#define PER_READ_BYTES 65536

/*
 * Largest read between records, in bytes. A call has over 60 bytes and may be
 * answered with 64 KiB, so the calls of one read cause at most 4.5 MiB of
 * replies before the limit on queued replies is checked.
 */
#define PER_READ_SMALL_BYTES 4096

/* XDR codecs of a procedure; result is NULL for a notice. */
struct per_procedure {
	xdrproc_t args;
	xdrproc_t result;
	bool notice;
};

/* Arguments of any procedure. */
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

/* Result of any procedure. */
union per_result {
	struct peer_answer answer;
	struct peer_opened opened;
	struct peer_chunk chunk;
	struct peer_rows rows;
	struct peer_body body;
};

struct per_conn;
struct per_pending_call;

/* Queued output record. */
struct per_out_record {
	struct per_out_record *prev;
	struct per_out_record *next;
	struct per_pending_call *call; /* NULL once a byte has been sent */
	size_t len;
	size_t sent;
	uint8_t bytes[];
};

/* Outgoing call without a reply yet. */
struct per_pending_call {
	struct per_pending_call *prev;
	struct per_pending_call *next;
	UT_hash_handle hh;
	uint32_t xid;
	uint32_t procedure;
	struct per_lws *owner;
	struct per_conn *conn; /* NULL if the call has already failed */
	struct per_out_record
		*out; /* its record until the first byte is sent */
	uint32_t timer;
	enum per_failure failure; /* reported by the timer, or PER_OK */
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
	int error; /* errno value of the connect */
	bool client;
	bool connecting;
	bool broken; /* closing */
	bool paused;
	struct per_address peer;
	struct rpc_stream *stream;
	struct per_out_record *out;
	size_t out_bytes;
	struct per_pending_call *calls;
	struct per_question *questions;
	size_t question_count;
	uint64_t active_us;
	uint32_t connect_timer;
	uint32_t write_timer;
};

struct per_lws {
	struct per base;
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
	struct per_pending_call *waiting; /* by xid */
	uint32_t next_xid;
	uint8_t in[PER_READ_BYTES];
	uint8_t out[RPC_RECORD_MARK_BYTES + RPC_MESSAGE_MAX];
};

const struct per_procedure *per_procedure_get(uint32_t procedure);

socklen_t per_parse_address(const struct per_address *a,
			    struct sockaddr_storage *out);

int per_client_socket(const struct per_lws *l,
		      const struct sockaddr_storage *to);

struct lws *per_add_descriptor(struct per_lws *l, int fd, const char *protocol,
			       void *user);

int per_conn_callback(struct lws *wsi, enum lws_callback_reasons reason,
		      void *user, void *in, size_t len);

void per_conn_accept(struct per_lws *l, int fd, const struct per_address *peer);

struct per_conn *per_conn_get(struct per_lws *l, const struct per_address *to,
			      enum per_failure *why);

bool per_conn_send(struct per_conn *c, size_t len,
		   struct per_pending_call *call);

void per_conn_unqueue(struct per_conn *c, struct per_out_record *out);

void per_conn_close(struct per_conn *c);

void per_conn_resume(struct per_conn *c);

void per_conn_close_now(struct per_conn *c);

void per_conn_sweep(struct per_lws *l);

bool per_handle_call(struct per_conn *c, const uint8_t *buf, size_t len);
bool per_handle_reply(struct per_conn *c, const uint8_t *buf, size_t len);

void per_fail_calls(struct per_conn *c);

void per_end_questions(struct per_conn *c);

struct per_pending_call *per_call_first(const struct per_conn *c);
struct per_question *per_question_first(const struct per_conn *c);

void per_call_unlink(struct per_pending_call *w);
void per_question_unlink(struct per_question *q);

/* Functions of struct per_ops. */
uint32_t per_lws_call(struct per *p, const struct per_address *to,
		      uint32_t procedure, const void *args, uint64_t timeout_us,
		      per_reply_fn fn, void *arg);
void per_lws_drop(struct per *p, uint32_t call);
void per_lws_reply(struct per *p, struct per_question *q, const void *result);

#endif
