#ifndef RPC_H
#define RPC_H

/*
 * ONC RPC messages (RFC 5531): encodes and decodes calls and replies in memory
 * with the XDR routines of libtirpc, and splits byte streams into records. Does
 * no I/O.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

#include "err.h"

/* Largest message in bytes; a longer record is a stream error. */
#define RPC_MESSAGE_MAX (1024 * 1024 + 65536)

/* Largest message in a datagram, in bytes. */
#define RPC_DATAGRAM_MAX 8192

/* Size of the record mark in front of a message on a byte stream. */
#define RPC_RECORD_MARK_BYTES 4

enum rpc_error {
	RPC_TOO_LONG = 1, /* exceeds RPC_MESSAGE_MAX or the buffer */
	RPC_MALFORMED, /* cannot be decoded, or has trailing bytes */
	RPC_NO_MEMORY
};

enum rpc_kind {
	RPC_CALL,
	RPC_REPLY
};

/* XDR routine of a message without arguments or results. */
bool_t rpc_xdr_void(XDR *x, ...);

/* Decoded header of a message. */
struct rpc_header {
	enum rpc_kind kind;
	uint32_t xid;
	uint32_t program; /* calls only */
	uint32_t version; /* calls only */
	uint32_t procedure; /* calls only */
	enum accept_stat accepted; /* replies only; SYSTEM_ERR if denied */
	size_t pos; /* offset of the arguments or results in bytes */
};

/*
 * Encode a message into buf of size bytes. Return its length in bytes, or 0
 * with an error of layer ERR_WIRE and code RPC_TOO_LONG. args and result may be
 * NULL with rpc_xdr_void().
 */
size_t rpc_encode_call(uint8_t *buf, size_t size, uint32_t xid,
		       uint32_t procedure, xdrproc_t codec, void *args,
		       struct err *err);
size_t rpc_encode_reply(uint8_t *buf, size_t size, uint32_t xid,
			xdrproc_t codec, void *result, struct err *err);

/*
 * Encodes an error reply: PROG_UNAVAIL, PROG_MISMATCH, PROC_UNAVAIL,
 * GARBAGE_ARGS or SYSTEM_ERR. Returns its length in bytes, or 0 with an error
 * like rpc_encode_reply().
 */
size_t rpc_encode_error_reply(uint8_t *buf, size_t size, uint32_t xid,
			      enum accept_stat stat, struct err *err);

/*
 * Decodes the header of a message. The caller has to check xid, program and
 * version: a call to another program or version is well-formed. A call with
 * credentials other than AUTH_NONE is malformed. Returns false with an error of
 * layer ERR_WIRE, RPC_TOO_LONG or RPC_MALFORMED.
 */
bool rpc_decode_header(const uint8_t *buf, size_t len, struct rpc_header *head,
		       struct err *err);

/*
 * Decodes the arguments or results at offset pos into *out, which must be
 * zeroed before the call and released with xdr_free() after it. Trailing bytes
 * are an error. Returns false with an error of layer ERR_WIRE, RPC_TOO_LONG or
 * RPC_MALFORMED; *out then needs no xdr_free().
 */
bool rpc_decode_body(const uint8_t *buf, size_t len, size_t pos,
		     xdrproc_t codec, void *out, struct err *err);

/* Writes the record mark of a message of len bytes sent as one fragment. */
void rpc_write_record_mark(uint8_t out[RPC_RECORD_MARK_BYTES], size_t len);

/* Reassembles records from a byte stream. */
struct rpc_stream;

/*
 * Called with each complete message; buf is valid only during the call. Returns
 * false to end the stream.
 */
typedef bool (*rpc_message_fn)(void *arg, const uint8_t *buf, size_t len);

struct rpc_stream *rpc_stream_create(rpc_message_fn fn, void *arg);
void rpc_stream_destroy(struct rpc_stream *s);

/*
 * Processes received bytes. Returns false with an error of layer ERR_WIRE if
 * the connection has to be closed: a record is too long or has an empty
 * fragment, memory is exhausted, or fn returned false.
 */
bool rpc_stream_feed(struct rpc_stream *s, const uint8_t *buf, size_t len,
		     struct err *err);

/*
 * Returns the missing bytes of the current fragment, which can be read without
 * passing its end; 0 between fragments.
 */
size_t rpc_stream_fragment_left(const struct rpc_stream *s);

/* Returns true while a record is incomplete. */
bool rpc_stream_is_partial(const struct rpc_stream *s);

#endif
