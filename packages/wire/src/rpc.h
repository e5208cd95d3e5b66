#ifndef RPC_H
#define RPC_H

/*
 * ONC RPC messages (RFC 5531) in memory: calls and replies with the codecs of
 * libtirpc, and record marking for byte streams. No I/O.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

#include "err.h"

/* Largest message in bytes; a longer record ends the connection. */
#define RPC_MESSAGE_MAX (1024 * 1024 + 65536)

/* Largest message in a datagram. */
#define RPC_DATAGRAM_MAX 8192

/* Bytes of the record mark before a message on a byte stream. */
#define RPC_MARK_BYTES 4

enum rpc_error {
	RPC_TOO_LONG = 1, /* over RPC_MESSAGE_MAX or the buffer */
	RPC_MALFORMED, /* cannot be decoded, or bytes are left over */
	RPC_NO_MEMORY
};

enum rpc_kind {
	RPC_CALL,
	RPC_REPLY
};

/* Codec of a message without arguments or results. */
bool_t rpc_no_body(XDR *x, ...);

/* The head of a message; pos is where its arguments or results begin. */
struct rpc_head {
	enum rpc_kind kind;
	uint32_t xid;
	uint32_t program; /* calls */
	uint32_t version; /* calls */
	uint32_t procedure; /* calls */
	enum accept_stat accepted; /* replies; SYSTEM_ERR if denied */
	size_t pos;
};

/*
 * Encode a message into buf. Return its length, 0 with an error of layer wire.
 * args may be NULL with rpc_no_body().
 */
size_t rpc_encode_call(uint8_t *buf, size_t size, uint32_t xid,
		       uint32_t procedure, xdrproc_t codec, void *args,
		       struct err *err);
size_t rpc_encode_reply(uint8_t *buf, size_t size, uint32_t xid,
			xdrproc_t codec, void *result, struct err *err);

/*
 * Encodes a reply that refuses: PROG_UNAVAIL, PROG_MISMATCH, PROC_UNAVAIL,
 * GARBAGE_ARGS or SYSTEM_ERR.
 */
size_t rpc_encode_refusal(uint8_t *buf, size_t size, uint32_t xid,
			  enum accept_stat why, struct err *err);

/*
 * Reads the head of a message. The caller compares xid, program and version:
 * the head of a call with another program or version is well-formed. A call
 * with credentials other than AUTH_NONE is malformed.
 */
bool rpc_decode_head(const uint8_t *buf, size_t len, struct rpc_head *head,
		     struct err *err);

/*
 * Decodes the arguments or the result behind the head into *out, which is zero
 * before and freed with xdr_free(). All bytes have to be used. On an error
 * nothing is left to free.
 */
bool rpc_decode_body(const uint8_t *buf, size_t len, size_t pos,
		     xdrproc_t codec, void *out, struct err *err);

/* Writes the record mark of a message of len bytes in one fragment. */
void rpc_write_mark(uint8_t out[RPC_MARK_BYTES], size_t len);

/* Assembles records from a byte stream. */
struct rpc_stream;

/* Called with each whole message; valid during the call. */
typedef bool (*rpc_message_fn)(void *arg, const uint8_t *buf, size_t len);

struct rpc_stream *rpc_stream_create(rpc_message_fn fn, void *arg);
void rpc_stream_destroy(struct rpc_stream *s);

/*
 * Takes bytes. Returns false when the connection has to be closed: a record is
 * too long or empty, memory is exhausted, or fn returned false.
 */
bool rpc_stream_feed(struct rpc_stream *s, const uint8_t *buf, size_t len,
		     struct err *err);

/* Bytes that the current fragment still lacks, 0 between fragments. */
size_t rpc_stream_wanted(const struct rpc_stream *s);

/* True while a record is incomplete. */
bool rpc_stream_is_partial(const struct rpc_stream *s);

#endif
