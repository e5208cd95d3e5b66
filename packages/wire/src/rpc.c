#include "rpc.h"

#include <stdlib.h>
#include <string.h>

#include "peer.h"

/* Top bit of a record mark: this is the last fragment of the record. */
#define LAST_FRAGMENT 0x80000000U

/* A record buffer larger than this is freed after the record. */
#define STREAM_KEEP_BYTES 4096

struct rpc_stream {
	rpc_message_fn fn;
	void *arg;
	uint8_t mark[RPC_RECORD_MARK_BYTES];
	size_t mark_len;
	size_t left; /* bytes of the fragment not yet received */
	bool last; /* the fragment is the last one of its record */
	bool in_fragment;
	uint8_t *record;
	size_t len;
	size_t capacity;
};

/* XDR routine of a message without arguments or results; always succeeds. */
bool_t rpc_xdr_void(XDR *x, ...)
{
	(void)x;
	return TRUE;
}

/* Destroys the encoder; returns the length in bytes, 0 with an error. */
static size_t finish_encoder(XDR *x, bool ok, struct err *err)
{
	size_t len = ok ? xdr_getpos(x) : 0;

	xdr_destroy(x);
	if (!ok)
		err_set(err, ERR_WIRE, RPC_TOO_LONG,
			"the message exceeds the buffer or a limit in peer.x");
	return len;
}

/* Initializes an encoder; libtirpc takes the size as an unsigned int. */
static void init_encoder(XDR *x, uint8_t *buf, size_t size)
{
	if (size > RPC_MESSAGE_MAX)
		size = RPC_MESSAGE_MAX;
	xdrmem_create(x, (char *)buf, (u_int)size, XDR_ENCODE);
}

/* Encodes a call: header with AUTH_NONE, then arguments. Returns 0 on error. */
size_t rpc_encode_call(uint8_t *buf, size_t size, uint32_t xid,
		       uint32_t procedure, xdrproc_t codec, void *args,
		       struct err *err)
{
	struct rpc_msg msg;
	XDR x;
	bool ok;

	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = PEER_PROGRAM;
	msg.rm_call.cb_vers = PEER_V1;
	msg.rm_call.cb_proc = procedure;
	msg.rm_call.cb_cred = _null_auth;
	msg.rm_call.cb_verf = _null_auth;
	init_encoder(&x, buf, size);
	ok = xdr_callmsg(&x, &msg) && codec(&x, args);
	return finish_encoder(&x, ok, err);
}

/* Fills in the header of an accepted reply with the given status. */
static void init_accepted_reply(struct rpc_msg *msg, uint32_t xid,
				enum accept_stat stat)
{
	memset(msg, 0, sizeof(*msg));
	msg->rm_xid = xid;
	msg->rm_direction = REPLY;
	msg->rm_reply.rp_stat = MSG_ACCEPTED;
	msg->acpted_rply.ar_verf = _null_auth;
	msg->acpted_rply.ar_stat = stat;
	if (stat == SUCCESS) {
		msg->acpted_rply.ar_results.proc = rpc_xdr_void;
	} else if (stat == PROG_MISMATCH) {
		msg->acpted_rply.ar_vers.low = PEER_V1;
		msg->acpted_rply.ar_vers.high = PEER_V1;
	}
}

/* Encodes a successful reply: header, then results. Returns 0 on error. */
size_t rpc_encode_reply(uint8_t *buf, size_t size, uint32_t xid,
			xdrproc_t codec, void *result, struct err *err)
{
	struct rpc_msg msg;
	XDR x;
	bool ok;

	init_accepted_reply(&msg, xid, SUCCESS);
	init_encoder(&x, buf, size);
	ok = xdr_replymsg(&x, &msg) && codec(&x, result);
	return finish_encoder(&x, ok, err);
}

/*
 * Encodes a reply without results; PROG_MISMATCH carries the only supported
 * version. Returns 0 on error.
 */
size_t rpc_encode_error_reply(uint8_t *buf, size_t size, uint32_t xid,
			      enum accept_stat stat, struct err *err)
{
	struct rpc_msg msg;
	XDR x;
	bool ok;

	init_accepted_reply(&msg, xid, stat);
	init_encoder(&x, buf, size);
	ok = xdr_replymsg(&x, &msg);
	return finish_encoder(&x, ok, err);
}

/* Initializes a decoder; len must fit the unsigned int of libtirpc. */
static void init_decoder(XDR *x, const uint8_t *buf, size_t len)
{
	xdrmem_create(x, (char *)(uintptr_t)buf, (u_int)len, XDR_DECODE);
}

/* Decodes a call header; rejects credentials other than AUTH_NONE. */
static bool decode_call(XDR *x, struct rpc_header *head)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;

	memset(&msg, 0, sizeof(msg));
	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(x, &msg))
		return false;
	if (msg.rm_call.cb_rpcvers != RPC_MSG_VERSION ||
	    msg.rm_call.cb_cred.oa_flavor != AUTH_NONE ||
	    msg.rm_call.cb_verf.oa_flavor != AUTH_NONE)
		return false;
	head->kind = RPC_CALL;
	head->xid = (uint32_t)msg.rm_xid;
	head->program = (uint32_t)msg.rm_call.cb_prog;
	head->version = (uint32_t)msg.rm_call.cb_vers;
	head->procedure = (uint32_t)msg.rm_call.cb_proc;
	return true;
}

/* Decodes a reply header; a denied call is reported as SYSTEM_ERR. */
static bool decode_reply(XDR *x, struct rpc_header *head)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;

	memset(&msg, 0, sizeof(msg));
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.proc = rpc_xdr_void;
	if (!xdr_replymsg(x, &msg))
		return false;
	head->kind = RPC_REPLY;
	head->xid = (uint32_t)msg.rm_xid;
	head->accepted = SYSTEM_ERR;
	if (msg.rm_reply.rp_stat == MSG_DENIED)
		return true;
	if ((unsigned int)msg.acpted_rply.ar_stat > SYSTEM_ERR)
		return false;
	head->accepted = msg.acpted_rply.ar_stat;
	return true;
}

/*
 * Decodes the header of a message. Reads xid and direction first, as calls and
 * replies have different headers. Returns false with an error of layer
 * ERR_WIRE.
 */
bool rpc_decode_header(const uint8_t *buf, size_t len, struct rpc_header *head,
		       struct err *err)
{
	uint32_t xid;
	uint32_t direction;
	bool ok = false;
	XDR x;

	memset(head, 0, sizeof(*head));
	if (len > RPC_MESSAGE_MAX)
		return err_set(err, ERR_WIRE, RPC_TOO_LONG,
			       "a message of %zu bytes is too long", len);
	init_decoder(&x, buf, len);
	if (xdr_uint32_t(&x, &xid) && xdr_uint32_t(&x, &direction) &&
	    xdr_setpos(&x, 0)) {
		if (direction == CALL)
			ok = decode_call(&x, head);
		else if (direction == REPLY)
			ok = decode_reply(&x, head);
	}
	head->pos = xdr_getpos(&x);
	xdr_destroy(&x);
	if (!ok)
		return err_set(
			err, ERR_WIRE, RPC_MALFORMED,
			"the header of a message of %zu bytes is malformed",
			len);
	return true;
}

/*
 * Decodes the arguments or results that start at pos. On an error, memory that
 * the XDR routine has allocated is freed.
 */
bool rpc_decode_body(const uint8_t *buf, size_t len, size_t pos,
		     xdrproc_t codec, void *out, struct err *err)
{
	bool decoded;
	bool whole;
	XDR x;

	if (len > RPC_MESSAGE_MAX || pos > len)
		return err_set(err, ERR_WIRE, RPC_TOO_LONG,
			       "a message of %zu bytes has no body at %zu", len,
			       pos);
	init_decoder(&x, buf + pos, len - pos);
	decoded = codec(&x, out);
	whole = decoded && xdr_getpos(&x) == len - pos;
	xdr_destroy(&x);
	if (whole)
		return true;
	xdr_free(codec, out);
	return err_set(err, ERR_WIRE, RPC_MALFORMED,
		       decoded ? "the body of a message has trailing bytes" :
				 "the body of a message is malformed");
}

/* Writes the record mark of a record with a single fragment. */
void rpc_write_record_mark(uint8_t out[RPC_RECORD_MARK_BYTES], size_t len)
{
	uint32_t mark = LAST_FRAGMENT | (uint32_t)len;

	out[0] = (uint8_t)(mark >> 24);
	out[1] = (uint8_t)(mark >> 16);
	out[2] = (uint8_t)(mark >> 8);
	out[3] = (uint8_t)mark;
}

/*
 * Creates a stream that expects a record mark; fn is called with each record.
 * Returns NULL if memory is exhausted.
 */
struct rpc_stream *rpc_stream_create(rpc_message_fn fn, void *arg)
{
	struct rpc_stream *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->fn = fn;
	s->arg = arg;
	return s;
}

/* Frees the stream and discards an incomplete record. */
void rpc_stream_destroy(struct rpc_stream *s)
{
	if (!s)
		return;
	free(s->record);
	free(s);
}

/* Reads bytes of the record mark and validates it when it is complete. */
static bool read_record_mark(struct rpc_stream *s, const uint8_t **buf,
			     size_t *len, struct err *err)
{
	uint32_t mark;

	while (*len && s->mark_len < RPC_RECORD_MARK_BYTES) {
		s->mark[s->mark_len++] = *(*buf)++;
		--*len;
	}
	if (s->mark_len < RPC_RECORD_MARK_BYTES)
		return true;
	s->mark_len = 0;
	mark = (uint32_t)s->mark[0] << 24 | (uint32_t)s->mark[1] << 16 |
	       (uint32_t)s->mark[2] << 8 | s->mark[3];
	s->last = mark & LAST_FRAGMENT;
	s->left = mark & ~LAST_FRAGMENT;
	s->in_fragment = true;
	if (!s->left)
		return err_set(err, ERR_WIRE, RPC_MALFORMED,
			       "a record has an empty fragment");
	if (s->left > RPC_MESSAGE_MAX - s->len)
		return err_set(err, ERR_WIRE, RPC_TOO_LONG,
			       "a record of %zu bytes exceeds the limit of %d",
			       s->len + s->left, RPC_MESSAGE_MAX);
	return true;
}

/*
 * Appends bytes to the record. The buffer grows with the bytes received, not to
 * the length in the record mark, so a peer cannot make this process allocate
 * memory by sending marks alone.
 */
static bool append_to_record(struct rpc_stream *s, const uint8_t *buf, size_t n,
			     struct err *err)
{
	size_t capacity = s->capacity ? s->capacity : STREAM_KEEP_BYTES;
	uint8_t *record;

	while (capacity < s->len + n)
		capacity *= 2;
	if (capacity > s->capacity) {
		record = realloc(s->record, capacity);
		if (!record)
			return err_set(err, ERR_WIRE, RPC_NO_MEMORY,
				       "out of memory for a record");
		s->record = record;
		s->capacity = capacity;
	}
	memcpy(s->record + s->len, buf, n);
	s->len += n;
	return true;
}

/* Passes the reassembled record to the callback and starts the next one. */
static bool deliver_record(struct rpc_stream *s)
{
	bool keep_open = s->fn(s->arg, s->record, s->len);

	s->len = 0;
	if (s->capacity > STREAM_KEEP_BYTES) {
		free(s->record);
		s->record = NULL;
		s->capacity = 0;
	}
	return keep_open;
}

/*
 * Reads bytes of a fragment. A record that is completely in buf is passed to
 * the callback without a copy.
 */
static bool read_fragment(struct rpc_stream *s, const uint8_t **buf,
			  size_t *len, struct err *err)
{
	const uint8_t *from = *buf;
	size_t n = *len < s->left ? *len : s->left;
	bool keep_open = true;

	*buf += n;
	*len -= n;
	s->left -= n;
	s->in_fragment = s->left > 0;
	if (!s->left && s->last && !s->len)
		keep_open = s->fn(s->arg, from, n);
	else if (!append_to_record(s, from, n, err))
		return false;
	else if (!s->left && s->last)
		keep_open = deliver_record(s);
	if (!keep_open)
		err_set(err, ERR_WIRE, RPC_MALFORMED,
			"a message was rejected by its handler");
	return keep_open;
}

/*
 * Processes received bytes: alternates between record marks and fragments. On
 * false the connection has to be closed.
 */
bool rpc_stream_feed(struct rpc_stream *s, const uint8_t *buf, size_t len,
		     struct err *err)
{
	while (len) {
		if (!s->in_fragment && !read_record_mark(s, &buf, &len, err))
			return false;
		if (s->in_fragment && len && !read_fragment(s, &buf, &len, err))
			return false;
	}
	return true;
}

/* Returns the missing bytes of the current fragment, 0 between fragments. */
size_t rpc_stream_fragment_left(const struct rpc_stream *s)
{
	return s->in_fragment ? s->left : 0;
}

/* A record is incomplete from the first byte of its record mark. */
bool rpc_stream_is_partial(const struct rpc_stream *s)
{
	return s->mark_len || s->in_fragment || s->len;
}
