#ifndef PEERRPC_INT_H
#define PEERRPC_INT_H

/* Internal interface of the peer transport's source files. */

#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include <uthash.h>
#include <utlist.h>

#include "peerrpc.h"
#include "rpc.h"

/* Limit on pending calls of one transport; each uses a timer. */
#define PEERRPC_CALLS_MAX 16384

/* Limit on accepted connections; the target size is 6,700 peers per node. */
#define PEERRPC_ACCEPTED_MAX 12288

/* Unanswered incoming calls above which a connection is not read. */
#define PEERRPC_QUESTIONS_MAX 4096

/* Queued bytes of a connection above which new calls fail. */
#define PEERRPC_CALL_QUEUE_MAX (8 * 1024 * 1024)

/* Queued reply bytes above which a connection is not read. */
#define PEERRPC_REPLY_PAUSE_BYTES (1024 * 1024)

/*
 * Queued reply bytes above which a connection is closed: 64 KiB for each of 256
 * streams that were requested before reading stopped.
 */
#define PEERRPC_REPLY_QUEUE_MAX (16 * 1024 * 1024)

/* Connect timeout; allows for a SYN retransmission, which is sent after 1 s. */
#define PEERRPC_CONNECT_TIMEOUT_US (1500 * US_PER_MS)

/* Idle timeout of a client connection. */
#define PEERRPC_IDLE_TIMEOUT_US (60 * US_PER_S)

/* Timeout of an incomplete record that receives no further byte. */
#define PEERRPC_PARTIAL_RECORD_US (30 * US_PER_S)

/* Timeout of sent data that the peer does not acknowledge. */
#define PEERRPC_UNACKED_TIMEOUT_MS 5000

/* Largest read within a record, in bytes. */
#define PEERRPC_READ_BYTES 65536

/*
 * Largest read between records, in bytes. A call has over 60 bytes and may be
 * answered with 64 KiB, so the calls of one read cause at most 4.5 MiB of
 * replies before the limit on queued replies is checked.
 */
#define PEERRPC_READ_SMALL_BYTES 4096

/* XDR codecs of a procedure; result is NULL for a notice. */
struct peerrpc_procedure {
	xdrproc_t args;
	xdrproc_t result;
	bool notice;
};

/* Arguments of any procedure. */
union peerrpc_args {
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
union peerrpc_result {
	struct peer_answer answer;
	struct peer_opened opened;
	struct peer_chunk chunk;
	struct peer_rows rows;
	struct peer_body body;
};

struct peerrpc_conn;
struct peerrpc_pending_call;

/* Queued output record. */
struct peerrpc_out_record {
	struct peerrpc_out_record *prev;
	struct peerrpc_out_record *next;
	struct peerrpc_pending_call *call; /* NULL once a byte has been sent */
	size_t len;
	size_t sent;
	uint8_t bytes[];
};

/* Outgoing call without a reply yet. */
struct peerrpc_pending_call {
	struct peerrpc_pending_call *prev;
	struct peerrpc_pending_call *next;
	UT_hash_handle hh;
	uint32_t xid;
	uint32_t procedure;
	struct peerrpc_lws *owner;
	struct peerrpc_conn *conn; /* NULL if the call has already failed */
	/* Its record until the first byte is sent. */
	struct peerrpc_out_record *out;
	uint32_t timer;
	enum peerrpc_failure failure; /* reported by the timer, or PEERRPC_OK */
	peerrpc_reply_fn fn;
	void *arg;
};

struct peerrpc_question {
	struct peerrpc_question *prev;
	struct peerrpc_question *next;
	struct peerrpc_conn *conn;
	uint32_t xid;
	uint32_t procedure;
	void *user;
};

struct peerrpc_conn {
	struct peerrpc_conn *prev;
	struct peerrpc_conn *next;
	UT_hash_handle hh; /* clients by address */
	struct peerrpc_lws *owner;
	struct lws *wsi;
	int fd;
	int error; /* errno value of the connect */
	bool client;
	bool connecting;
	bool broken; /* closing */
	bool malformed; /* its input is invalid from here on */
	bool paused;
	struct peerrpc_address peer;
	struct rpc_stream *stream;
	struct peerrpc_out_record *out;
	size_t out_bytes;
	struct peerrpc_pending_call *calls;
	struct peerrpc_question *questions;
	size_t question_count;
	uint64_t active_us;
	uint32_t connect_timer;
	uint32_t write_timer;
};

struct peerrpc_lws {
	struct peerrpc base;
	struct lwsloop *loop;
	struct lws_vhost *vhost;
	const struct peerrpc_events *events;
	void *arg;
	struct peerrpc_address bind;
	struct lws *listen_wsi;
	struct lws *udp_wsi;
	int listen_fd;
	int udp_fd;
	uint32_t sweep_timer;
	bool destroying;
	struct peerrpc_conn *conns;
	struct peerrpc_conn *clients; /* by address */
	size_t accepted;
	struct peerrpc_pending_call *waiting; /* by xid */
	uint32_t next_xid;
	uint8_t in[PEERRPC_READ_BYTES];
	uint8_t out[RPC_RECORD_MARK_BYTES + RPC_MESSAGE_MAX];
};

const struct peerrpc_procedure *peerrpc_procedure_get(uint32_t procedure);

socklen_t peerrpc_parse_address(const struct peerrpc_address *a,
				struct sockaddr_storage *out);

int peerrpc_client_socket(const struct peerrpc_lws *l,
			  const struct sockaddr_storage *to);

struct lws *peerrpc_add_descriptor(struct peerrpc_lws *l, int fd,
				   const char *protocol, void *user);

int peerrpc_conn_callback(struct lws *wsi, enum lws_callback_reasons reason,
			  void *user, void *in, size_t len);

void peerrpc_conn_accept(struct peerrpc_lws *l, int fd,
			 const struct peerrpc_address *peer);

struct peerrpc_conn *peerrpc_conn_get(struct peerrpc_lws *l,
				      const struct peerrpc_address *to,
				      enum peerrpc_failure *why);

bool peerrpc_conn_send(struct peerrpc_conn *c, size_t len,
		       struct peerrpc_pending_call *call);

void peerrpc_conn_unqueue(struct peerrpc_conn *c,
			  struct peerrpc_out_record *out);

void peerrpc_conn_close(struct peerrpc_conn *c);

void peerrpc_conn_resume(struct peerrpc_conn *c);

void peerrpc_conn_close_now(struct peerrpc_conn *c);

void peerrpc_conn_sweep(struct peerrpc_lws *l);

bool peerrpc_handle_call(struct peerrpc_conn *c, const uint8_t *buf,
			 size_t len);
bool peerrpc_handle_reply(struct peerrpc_conn *c, const uint8_t *buf,
			  size_t len);

void peerrpc_fail_calls(struct peerrpc_conn *c);

void peerrpc_end_questions(struct peerrpc_conn *c);

struct peerrpc_pending_call *peerrpc_call_first(const struct peerrpc_conn *c);
struct peerrpc_question *peerrpc_question_first(const struct peerrpc_conn *c);

void peerrpc_call_unlink(struct peerrpc_pending_call *w);
void peerrpc_question_unlink(struct peerrpc_question *q);

/* Functions of struct peerrpc_ops. */
uint32_t peerrpc_lws_call(struct peerrpc *p, const struct peerrpc_address *to,
			  uint32_t procedure, const void *args,
			  uint64_t timeout_us, peerrpc_reply_fn fn, void *arg);
void peerrpc_lws_drop(struct peerrpc *p, uint32_t call);
void peerrpc_lws_reply(struct peerrpc *p, struct peerrpc_question *q,
		       const void *result);

#endif
