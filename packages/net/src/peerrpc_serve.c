#include "peerrpc_int.h"

#include <stdlib.h>

#include "ctr.h"
#include "log.h"

/* Sends an error reply; the connection stays open. */
static bool reply_error(struct peerrpc_conn *c, uint32_t xid,
			enum accept_stat why)
{
	size_t len =
		rpc_encode_error_reply(c->owner->out + RPC_RECORD_MARK_BYTES,
				       RPC_MESSAGE_MAX, xid, why, NULL);

	ctr_add(CTR_PEER_REFUSED_CALLS, 1);
	return len && peerrpc_conn_send(c, len, NULL);
}

/* Answers the null procedure, which only tests that the peer is reachable. */
static bool answer_null(struct peerrpc_conn *c, uint32_t xid)
{
	size_t len = rpc_encode_reply(c->owner->out + RPC_RECORD_MARK_BYTES,
				      RPC_MESSAGE_MAX, xid, rpc_xdr_void, NULL,
				      NULL);

	return len && peerrpc_conn_send(c, len, NULL);
}

/* Validates the header of a call; returns SUCCESS or the error to reply. */
static enum accept_stat check_call(const struct rpc_header *head)
{
	const struct peerrpc_procedure *proc;

	if (head->program != PEER_PROGRAM)
		return PROG_UNAVAIL;
	if (head->version != PEER_V1)
		return PROG_MISMATCH;
	proc = peerrpc_procedure_get(head->procedure);
	if (!proc || proc->notice)
		return PROC_UNAVAIL;
	return SUCCESS;
}

/* Records an incoming call and passes it to the handler. */
static bool deliver_call(struct peerrpc_conn *c, const struct rpc_header *head,
			 const union peerrpc_args *args)
{
	struct peerrpc_lws *l = c->owner;
	struct peerrpc_question *q = calloc(1, sizeof(*q));

	if (!q)
		return reply_error(c, head->xid, SYSTEM_ERR);
	q->conn = c;
	q->xid = head->xid;
	q->procedure = head->procedure;
	DL_APPEND(c->questions, q);
	c->question_count++;
	l->events->call(l->arg, q, head->procedure, args);
	return true;
}

/*
 * Handles a message from a client. Returns false, which closes the connection,
 * if the header is malformed or no reply can be sent.
 */
bool peerrpc_handle_call(struct peerrpc_conn *c, const uint8_t *buf, size_t len)
{
	union peerrpc_args args;
	struct rpc_header head;
	enum accept_stat stat;
	xdrproc_t codec;
	bool ok;

	if (!rpc_decode_header(buf, len, &head, NULL) || head.kind != RPC_CALL)
		return false;
	stat = check_call(&head);
	if (stat != SUCCESS)
		return reply_error(c, head.xid, stat);
	codec = peerrpc_procedure_get(head.procedure)->args;
	memset(&args, 0, sizeof(args));
	if (!rpc_decode_body(buf, len, head.pos, codec, &args, NULL)) {
		ctr_add(CTR_PEER_MALFORMED, 1);
		return reply_error(c, head.xid, GARBAGE_ARGS);
	}
	if (head.procedure == PEER_NULL)
		return answer_null(c, head.xid);
	ok = deliver_call(c, &head, &args);
	xdr_free(codec, &args);
	return ok;
}

/* Removes an incoming call from its connection and frees it. */
static void free_question(struct peerrpc_question *q)
{
	peerrpc_question_unlink(q);
	free(q);
}

/*
 * Answers an incoming call. A result that cannot be encoded is answered with
 * SYSTEM_ERR; a connection that cannot send or queue the reply is closed.
 */
void peerrpc_lws_reply(struct peerrpc *p, struct peerrpc_question *q,
		       const void *result)
{
	struct peerrpc_lws *l = (struct peerrpc_lws *)p;
	struct peerrpc_conn *c = q->conn;
	uint32_t xid = q->xid;
	xdrproc_t codec = peerrpc_procedure_get(q->procedure)->result;
	bool ok;
	size_t len;

	free_question(q);
	if (c->broken)
		return;
	len = rpc_encode_reply(l->out + RPC_RECORD_MARK_BYTES, RPC_MESSAGE_MAX,
			       xid, codec, (void *)(uintptr_t)result, NULL);
	if (c->out_bytes + len > PEERRPC_REPLY_QUEUE_MAX) {
		log_emit(LOG_PEER_QUEUE_FULL, "peer=%s port=%u", c->peer.ip,
			 c->peer.port);
		ok = false;
	} else {
		ok = len ? peerrpc_conn_send(c, len, NULL) :
			   reply_error(c, xid, SYSTEM_ERR);
	}
	if (!ok)
		peerrpc_conn_close(c);
	else
		peerrpc_conn_resume(c);
}

/* Reports the unanswered incoming calls of a closed connection. */
void peerrpc_end_questions(struct peerrpc_conn *c)
{
	struct peerrpc_lws *l = c->owner;
	struct peerrpc_question *q;

	while ((q = peerrpc_question_first(c)) != NULL) {
		if (!l->destroying)
			l->events->gone(l->arg, q);
		free_question(q);
	}
}
