#include "peerrpc_int.h"

#include <errno.h>
#include <stdlib.h>

#include "ctr.h"

/* Removes a call from all lists and frees it. */
static void free_call(struct peerrpc_pending_call *w)
{
	HASH_DEL(w->owner->waiting, w);
	if (w->out)
		peerrpc_conn_unqueue(w->conn, w->out);
	peerrpc_call_unlink(w);
	tmr_cancel(lwsloop_timers(w->owner->loop), w->timer);
	free(w);
}

/* Frees a call and runs its callback. */
static void complete_call(struct peerrpc_pending_call *w,
			  enum peerrpc_failure failure, void *result)
{
	peerrpc_reply_fn fn = w->fn;
	void *arg = w->arg;

	free_call(w);
	fn(arg, failure, result);
}

/*
 * The call timed out, or failed while it was started. A record of which no byte
 * was sent is removed from the queue, so the failure is then PEERRPC_NOT_SENT.
 */
static void on_timer(void *arg, uint64_t now_us)
{
	struct peerrpc_pending_call *w = arg;

	(void)now_us;
	w->timer = 0;
	if (w->failure != PEERRPC_OK)
		complete_call(w, w->failure, NULL);
	else
		complete_call(w, w->out ? PEERRPC_NOT_SENT : PEERRPC_TIMEOUT,
			      NULL);
}

/* Defers a failure, as no callback may run inside peerrpc_call(). */
static void defer_failure(struct peerrpc_pending_call *w,
			  enum peerrpc_failure why)
{
	struct peerrpc_lws *l = w->owner;

	w->failure = why;
	peerrpc_call_unlink(w);
	tmr_cancel(lwsloop_timers(l->loop), w->timer);
	w->timer = tmr_at(lwsloop_timers(l->loop), lwsloop_now_us(l->loop),
			  on_timer, w);
}

/* Returns the next xid that no pending call uses. */
static uint32_t next_xid(struct peerrpc_lws *l)
{
	struct peerrpc_pending_call *other;
	uint32_t xid;

	do {
		xid = l->next_xid++;
		HASH_FIND(hh, l->waiting, &xid, sizeof(xid), other);
	} while (!xid || other);
	return xid;
}

/* Creates a pending call with its timer; NULL at the limit or out of memory. */
static struct peerrpc_pending_call *
add_call(struct peerrpc_lws *l, uint32_t procedure, uint64_t timeout_us)
{
	struct peerrpc_pending_call *w;

	if (HASH_COUNT(l->waiting) >= PEERRPC_CALLS_MAX)
		return NULL;
	w = calloc(1, sizeof(*w));
	if (!w)
		return NULL;
	w->owner = l;
	w->procedure = procedure;
	w->timer = tmr_at(lwsloop_timers(l->loop),
			  lwsloop_now_us(l->loop) + timeout_us, on_timer, w);
	if (!w->timer) {
		free(w);
		return NULL;
	}
	w->xid = next_xid(l);
	HASH_ADD(hh, l->waiting, xid, sizeof(w->xid), w);
	return w;
}

/* Encodes a call and sends or queues it; returns false on failure. */
static bool send_call(struct peerrpc_conn *c, struct peerrpc_pending_call *w,
		      const void *args)
{
	const struct peerrpc_procedure *proc =
		peerrpc_procedure_get(w->procedure);
	struct peerrpc_lws *l = w->owner;
	size_t len;

	if (!proc || proc->notice || c->out_bytes > PEERRPC_CALL_QUEUE_MAX)
		return false;
	len = rpc_encode_call(l->out + RPC_RECORD_MARK_BYTES, RPC_MESSAGE_MAX,
			      w->xid, w->procedure, proc->args,
			      (void *)(uintptr_t)args, NULL);
	return len && peerrpc_conn_send(c, len, w);
}

/* Starts a call; once created, its failures are reported by the event loop. */
uint32_t peerrpc_lws_call(struct peerrpc *p, const struct peerrpc_address *to,
			  uint32_t procedure, const void *args,
			  uint64_t timeout_us, peerrpc_reply_fn fn, void *arg)
{
	struct peerrpc_lws *l = (struct peerrpc_lws *)p;
	struct peerrpc_pending_call *w = add_call(l, procedure, timeout_us);
	enum peerrpc_failure why = PEERRPC_NOT_SENT;
	struct peerrpc_conn *c;

	if (!w)
		return 0;
	w->fn = fn;
	w->arg = arg;
	ctr_add(CTR_PEER_CALLS, 1);
	c = peerrpc_conn_get(l, to, &why);
	if (!c) {
		defer_failure(w, why);
		return w->xid;
	}
	w->conn = c;
	DL_APPEND(c->calls, w);
	if (!send_call(c, w, args))
		defer_failure(w, PEERRPC_NOT_SENT);
	return w->xid;
}

/* Cancels a call; its record is not sent unless sending has begun. */
void peerrpc_lws_drop(struct peerrpc *p, uint32_t call)
{
	struct peerrpc_lws *l = (struct peerrpc_lws *)p;
	struct peerrpc_pending_call *w;

	HASH_FIND(hh, l->waiting, &call, sizeof(call), w);
	if (w)
		free_call(w);
}

/* Decodes the result of an accepted reply and completes the call. */
static void handle_result(struct peerrpc_pending_call *w,
			  const struct rpc_header *head, const uint8_t *buf,
			  size_t len)
{
	xdrproc_t codec = peerrpc_procedure_get(w->procedure)->result;
	union peerrpc_result result;

	memset(&result, 0, sizeof(result));
	if (!rpc_decode_body(buf, len, head->pos, codec, &result, NULL)) {
		ctr_add(CTR_PEER_MALFORMED, 1);
		complete_call(w, PEERRPC_BAD_REPLY, NULL);
		return;
	}
	complete_call(w, PEERRPC_OK, &result);
	xdr_free(codec, &result);
}

/*
 * Matches a reply to its call by xid. It is valid only on the connection that
 * the call was sent on; a late, duplicate or unknown reply is dropped. Returns
 * false if the message is malformed, which closes the connection.
 */
bool peerrpc_handle_reply(struct peerrpc_conn *c, const uint8_t *buf,
			  size_t len)
{
	struct peerrpc_pending_call *w;
	struct rpc_header head;

	if (!rpc_decode_header(buf, len, &head, NULL) || head.kind != RPC_REPLY)
		return false;
	HASH_FIND(hh, c->owner->waiting, &head.xid, sizeof(head.xid), w);
	if (!w || w->conn != c || w->out)
		ctr_add(CTR_PEER_LATE_REPLIES, 1);
	else if (head.accepted != SUCCESS)
		complete_call(w, PEERRPC_BAD_REPLY, NULL);
	else
		handle_result(w, &head, buf, len);
	return true;
}

/* Returns the failure of a call whose connection was closed. */
static enum peerrpc_failure closed_failure(const struct peerrpc_conn *c,
					   const struct peerrpc_pending_call *w)
{
	if (!w->out)
		return PEERRPC_LOST;
	if (c->connecting && c->error == ECONNREFUSED)
		return PEERRPC_REFUSED;
	return PEERRPC_NOT_SENT;
}

/*
 * Fails the calls of a closed connection; a callback may cancel further ones.
 */
void peerrpc_fail_calls(struct peerrpc_conn *c)
{
	struct peerrpc_pending_call *w;

	while ((w = peerrpc_call_first(c)) != NULL) {
		if (c->owner->destroying)
			free_call(w);
		else
			complete_call(w, closed_failure(c, w), NULL);
	}
}
