#include "per_int.h"

#include <errno.h>
#include <stdlib.h>

#include "ctr.h"

/* Takes a call out of all lists and frees it. */
static void forget(struct per_waiting *w)
{
	HASH_DEL(w->owner->waiting, w);
	if (w->out)
		per_conn_unqueue(w->conn, w->out);
	per_call_unlink(w);
	tmr_cancel(lop_timers(w->owner->loop), w->timer);
	free(w);
}

/* Ends a call with its function. */
static void finish(struct per_waiting *w, enum per_failure failure,
		   void *result)
{
	per_reply_fn fn = w->fn;
	void *arg = w->arg;

	forget(w);
	fn(arg, failure, result);
}

/*
 * The time is over, or the call failed while it was started. A record of which
 * no byte has left is taken back, so its failure is PER_NOT_SENT.
 */
static void on_timer(void *arg, uint64_t now_us)
{
	struct per_waiting *w = arg;

	(void)now_us;
	w->timer = 0;
	if (w->failure != PER_OK)
		finish(w, w->failure, NULL);
	else
		finish(w, w->out ? PER_NOT_SENT : PER_TIMEOUT, NULL);
}

/* Lets the loop report a failure, since no function is called from a call. */
static void fail_later(struct per_waiting *w, enum per_failure why)
{
	struct per_lws *l = w->owner;

	w->failure = why;
	per_call_unlink(w);
	tmr_cancel(lop_timers(l->loop), w->timer);
	w->timer =
		tmr_at(lop_timers(l->loop), lop_now_us(l->loop), on_timer, w);
}

/* Draws the next number that no waiting call has. */
static uint32_t next_xid(struct per_lws *l)
{
	struct per_waiting *other;
	uint32_t xid;

	do {
		xid = l->next_xid++;
		HASH_FIND(hh, l->waiting, &xid, sizeof(xid), other);
	} while (!xid || other);
	return xid;
}

/* Makes the record of a call with its timer. */
static struct per_waiting *add_call(struct per_lws *l, uint32_t procedure,
				    uint64_t timeout_us)
{
	struct per_waiting *w;

	if (HASH_COUNT(l->waiting) >= PER_CALLS_MAX)
		return NULL;
	w = calloc(1, sizeof(*w));
	if (!w)
		return NULL;
	w->owner = l;
	w->procedure = procedure;
	w->timer = tmr_at(lop_timers(l->loop), lop_now_us(l->loop) + timeout_us,
			  on_timer, w);
	if (!w->timer) {
		free(w);
		return NULL;
	}
	w->xid = next_xid(l);
	HASH_ADD(hh, l->waiting, xid, sizeof(w->xid), w);
	return w;
}

/* Encodes the call and hands it to the connection. */
static bool send_call(struct per_conn *c, struct per_waiting *w,
		      const void *args)
{
	const struct per_procedure *proc = per_procedure_get(w->procedure);
	struct per_lws *l = w->owner;
	size_t len;

	if (!proc || proc->notice || c->out_bytes > PER_CALL_QUEUE_MAX)
		return false;
	len = rpc_encode_call(l->out + RPC_RECORD_MARK_BYTES, RPC_MESSAGE_MAX,
			      w->xid, w->procedure, proc->args,
			      (void *)(uintptr_t)args, NULL);
	return len && per_conn_send(c, len, w);
}

/* Starts a call; every failure after this point is reported by the loop. */
uint32_t per_lws_call(struct per *p, const struct per_address *to,
		      uint32_t procedure, const void *args, uint64_t timeout_us,
		      per_reply_fn fn, void *arg)
{
	struct per_lws *l = (struct per_lws *)p;
	struct per_waiting *w = add_call(l, procedure, timeout_us);
	enum per_failure why = PER_NOT_SENT;
	struct per_conn *c;

	if (!w)
		return 0;
	w->fn = fn;
	w->arg = arg;
	ctr_add(CTR_PEER_CALLS, 1);
	c = per_conn_to(l, to, &why);
	if (!c) {
		fail_later(w, why);
		return w->xid;
	}
	w->conn = c;
	DL_APPEND(c->calls, w);
	if (!send_call(c, w, args))
		fail_later(w, PER_NOT_SENT);
	return w->xid;
}

/* Forgets a call; a record that has not begun to leave never leaves. */
void per_lws_drop(struct per *p, uint32_t call)
{
	struct per_lws *l = (struct per_lws *)p;
	struct per_waiting *w;

	HASH_FIND(hh, l->waiting, &call, sizeof(call), w);
	if (w)
		forget(w);
}

/* Decodes the result of an accepted reply and ends the call. */
static void take_result(struct per_waiting *w, const struct rpc_header *head,
			const uint8_t *buf, size_t len)
{
	xdrproc_t codec = per_procedure_get(w->procedure)->result;
	union per_result result;

	memset(&result, 0, sizeof(result));
	if (!rpc_decode_body(buf, len, head->pos, codec, &result, NULL)) {
		ctr_add(CTR_PEER_MALFORMED, 1);
		finish(w, PER_BAD_REPLY, NULL);
		return;
	}
	finish(w, PER_OK, &result);
	xdr_free(codec, &result);
}

/*
 * Matches a reply by its xid. It counts only on the connection that the call
 * went out on; a late, duplicate or unknown one is dropped.
 */
bool per_take_reply(struct per_conn *c, const uint8_t *buf, size_t len)
{
	struct per_waiting *w;
	struct rpc_header head;

	if (!rpc_decode_header(buf, len, &head, NULL) || head.kind != RPC_REPLY)
		return false;
	HASH_FIND(hh, c->owner->waiting, &head.xid, sizeof(head.xid), w);
	if (!w || w->conn != c || w->out)
		ctr_add(CTR_PEER_LATE_REPLIES, 1);
	else if (head.accepted != SUCCESS)
		finish(w, PER_BAD_REPLY, NULL);
	else
		take_result(w, &head, buf, len);
	return true;
}

/* Tells why a call on a closed connection failed. */
static enum per_failure closed_failure(const struct per_conn *c,
				       const struct per_waiting *w)
{
	if (!w->out)
		return PER_LOST;
	if (c->connecting && c->error == ECONNREFUSED)
		return PER_REFUSED;
	return PER_NOT_SENT;
}

/* Ends the calls one by one, since a function may drop others of them. */
void per_calls_closed(struct per_conn *c)
{
	struct per_waiting *w;

	while ((w = per_call_first(c)) != NULL) {
		if (c->owner->destroying)
			forget(w);
		else
			finish(w, closed_failure(c, w), NULL);
	}
}
