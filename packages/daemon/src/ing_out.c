#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "ing_call.h"
#include "prb.h"
#include "syn.h"

/*
 * The other daemon answers at the deadline at the latest. Waiting a little
 * longer lets its "not run" arrive, which would be told as unknown otherwise.
 */
#define REPLY_MARGIN_US (50 * US_PER_MS)
#define READ_TIMEOUT_US (30 * US_PER_S) /* also of DATA and CANCEL */
#define ALIVE_TIMEOUT_US (100 * US_PER_MS) /* of a daemon that is asked */

static void read_more(struct call *c);

/* Queues bytes of the response; asks for more when there is room. */
static void pass_body(struct call *c, const void *data, size_t len, bool end)
{
	bool room = true;

	if (c->req)
		room = websrv_write(c->req, data, len, end);
	if (end) {
		c->stream = 0;
		c->finished = true;
		ctr_add(CTR_DONE, 1);
		tracer_end_span(c->ing->n->traces, &c->span, "route", "done",
				c->status);
		return;
	}
	if (room)
		read_more(c);
}

/* A chunk of the response has come, or the transfer is broken. */
static void chunk_read(void *arg, enum peerrpc_failure failure, void *result)
{
	struct call *c = arg;
	struct peer_chunk *chunk = result;

	c->read_call = 0;
	if (failure != PEERRPC_OK || chunk->status != PEER_OK) {
		ing_break(c);
		return;
	}
	pass_body(c, chunk->bytes.bytes_val, chunk->bytes.bytes_len,
		  chunk->end);
}

/* Asks for the next chunk. */
static void read_more(struct call *c)
{
	struct nod *n = c->ing->n;
	struct peer_read args = { .from = nod_to_peer(&n->self),
				  .stream = c->stream,
				  .max = PEER_CHUNK_MAX };

	if (c->read_call || !c->stream)
		return;
	c->read_call = peerrpc_call(n->peers, &c->target_address, PEER_READ,
				    &args, READ_TIMEOUT_US, chunk_read, c);
	if (!c->read_call)
		ing_break(c);
}

/* The caller's connection has room again. */
void ing_out_writable(struct call *c)
{
	if (c->remote_open)
		read_more(c);
}

/* The other daemon has room for the next piece of the body. */
static void data_sent(void *arg, enum peerrpc_failure failure, void *result)
{
	struct call *c = arg;
	struct peer_answer *answer = result;

	c->data_call = 0;
	if (failure != PEERRPC_OK || answer->status != PEER_OK)
		return;
	c->can_send = true;
	ing_send_body(c);
}

/* Sends one piece; the next one waits for the answer. */
void ing_out_data(struct call *c, const void *data, size_t len, bool end)
{
	struct nod *n = c->ing->n;
	struct peer_data args = { .from = nod_to_peer(&n->self),
				  .stream = c->stream,
				  .end = end };

	args.bytes.bytes_val = (char *)data;
	args.bytes.bytes_len = (u_int)len;
	c->data_call = peerrpc_call(n->peers, &c->target_address, PEER_DATA,
				    &args, READ_TIMEOUT_US, data_sent, c);
}

/* Passes the head and the first bytes of a response on. */
static void pass_head(struct call *c, const struct peer_opened *o)
{
	struct websrv_header headers[PEER_HEADERS_MAX];

	for (u_int i = 0; i < o->headers.headers_len; i++) {
		headers[i].name = o->headers.headers_val[i].name;
		headers[i].value = o->headers.headers_val[i].value;
	}
	c->remote_open = true;
	route_set_serving(c->ing->routes, c->part, o->row_version,
			  &c->target_proc);
	ing_respond(c, o->http_status, headers, o->headers.headers_len,
		    o->content_length);
	pass_body(c, o->first.first_val, o->first.first_len, o->end);
}

/* Puts a refusal of another daemon into the form of one from here. */
static void pass_refusal(struct call *c, const struct peer_opened *o)
{
	struct exe_refusal refusal = { .status = o->status,
				       .retry_after_ms = o->retry_after_ms };
	struct dedup_response stored = { .status = o->http_status,
					 .body = o->first.first_val,
					 .body_len = o->first.first_len };

	if (o->headers.headers_len)
		strncpy(stored.content_type, o->headers.headers_val[0].value,
			sizeof(stored.content_type) - 1);
	if (o->status == PEER_DUPLICATE && o->http_status)
		refusal.stored = &stored;
	if (o->status == PEER_MOVED && o->actor.incarnation) {
		c->route.hint = nod_from_peer(&o->actor);
		c->route.hint_version = o->row_version;
	}
	if (o->status == PEER_WRONG_PROCESS)
		syn_poll_soon(c->ing->n->syn);
	c->stream = 0;
	ing_refused(c, &refusal);
}

static void ignore_reply(void *arg, enum peerrpc_failure failure, void *result)
{
	(void)arg;
	(void)failure;
	(void)result;
}

/* Asks the other daemon to end the stream. */
static void cancel_stream(struct call *c)
{
	struct nod *n = c->ing->n;
	struct peer_cancel args = { .from = nod_to_peer(&n->self),
				    .stream = c->stream };

	if (c->stream)
		peerrpc_call(n->peers, &c->target_address, PEER_CANCEL, &args,
			     READ_TIMEOUT_US, ignore_reply, NULL);
	c->stream = 0;
}

/* Ends the check of the other daemon. */
static void stop_check(struct call *c)
{
	struct nod *n = c->ing->n;

	tmr_cancel(n->timers, c->timer);
	c->timer = 0;
	peerrpc_drop(n->peers, c->alive_call);
	c->alive_call = 0;
}

/* The attempt has failed without an answer of the other daemon. */
static void attempt_failed(struct call *c, enum peerrpc_failure failure)
{
	cancel_stream(c);
	prb_ask(c->ing->n->probes, &c->target_proc);
	route_invalidate(c->ing->routes, c->part, &c->target_proc);
	if (failure == PEERRPC_REFUSED || failure == PEERRPC_NOT_SENT) {
		route_skip(&c->route);
		ing_failed(c, RETRY_MOVED, 0);
	} else {
		ing_failed(c, RETRY_UNKNOWN, 0);
	}
}

/* The reply to OPEN. */
static void opened(void *arg, enum peerrpc_failure failure, void *result)
{
	struct call *c = arg;
	struct peer_opened *o = result;

	c->remote = 0;
	stop_check(c);
	if (failure != PEERRPC_OK) {
		attempt_failed(c, failure);
	} else if (o->status == PEER_OK) {
		pass_head(c, o);
	} else {
		c->forwards++;
		pass_refusal(c, o);
	}
}

/* The other daemon runs and its upstream is slow, or it is frozen. */
static void alive_checked(void *arg, enum peerrpc_failure failure, void *result)
{
	struct call *c = arg;

	(void)result;
	c->alive_call = 0;
	if (failure == PEERRPC_OK)
		return;
	peerrpc_drop(c->ing->n->peers, c->remote);
	c->remote = 0;
	attempt_failed(c, failure == PEERRPC_TIMEOUT ? PEERRPC_TIMEOUT :
						       PEERRPC_LOST);
}

/* Half of the time is over: asks whether the other daemon still runs. */
static void check_due(void *arg, uint64_t now_us)
{
	struct call *c = arg;
	struct nod *n = c->ing->n;
	struct peer_hello args = { .from = nod_to_peer(&n->self) };

	(void)now_us;
	c->timer = 0;
	c->alive_call = peerrpc_call(n->peers, &c->target_address, PEER_HELLO,
				     &args, ALIVE_TIMEOUT_US, alive_checked, c);
}

/*
 * A frozen owner must not use up the whole time of an idempotent request, and a
 * slow upstream may use all of it. So the other daemon is asked at half time,
 * early enough for another attempt.
 */
static void plan_check(struct call *c, uint64_t now_us, uint64_t left_us)
{
	if (c->retry.idempotent && left_us / 2 > ALIVE_TIMEOUT_US)
		c->timer = tmr_at(c->ing->n->timers, now_us + left_us / 2,
				  check_due, c);
}

static void fill_open(struct call *c, struct peer_open *args,
		      const struct proc *to)
{
	struct nod *n = c->ing->n;
	const struct row *row = replica_row(n->replica, c->part);

	args->from = nod_to_peer(&n->self);
	args->to = nod_to_peer(to);
	args->stream = c->stream;
	args->part = c->part;
	args->row_version = row ? row->set.version : 0;
	if (args->row_version < c->route.hint_version)
		args->row_version = c->route.hint_version;
	args->service = part_service(c->part);
	args->kind = c->kind;
	args->method = (char *)websrv_method(c->req);
	args->target = c->target;
	args->key = c->key;
	args->request_id = (char *)c->request_id;
	args->traceparent = c->traceparent;
	args->content_length = c->content_length;
	args->first.first_val = c->first;
	args->first.first_len = (u_int)c->first_len;
	args->end = c->body_end && !c->more_len;
}

/* Sends OPEN to the process that is believed to act. */
void ing_out_open(struct call *c, const struct proc *to)
{
	struct nod *n = c->ing->n;
	const struct member *m = replica_member(n->replica, to->instance);
	uint64_t now = nod_now_us(n);
	struct websrv_header headers[PEER_HEADERS_MAX];
	struct peer_header peer_headers[PEER_HEADERS_MAX];
	struct peer_open args = { 0 };
	uint64_t left = c->deadline_us > now ? c->deadline_us - now : 1;

	if (!m || !proc_equal(&m->proc, to)) {
		route_skip(&c->route);
		ing_failed(c, RETRY_MOVED, 0);
		return;
	}
	c->target_proc = *to;
	nod_peer_address(m, &c->target_address);
	c->stream = c->ing->next_stream++;
	fill_open(c, &args, to);
	args.headers.headers_len =
		(u_int)ing_headers(c, headers, PEER_HEADERS_MAX);
	args.headers.headers_val = peer_headers;
	for (u_int i = 0; i < args.headers.headers_len; i++) {
		peer_headers[i].name = (char *)headers[i].name;
		peer_headers[i].value = (char *)headers[i].value;
	}
	args.deadline_left_ms = (u_int)(left / US_PER_MS);
	c->sent_end = args.end;
	c->can_send = !args.end;
	ctr_add(CTR_FORWARDS, 1);
	c->remote = peerrpc_call(n->peers, &c->target_address, PEER_OPEN, &args,
				 left + REPLY_MARGIN_US, opened, c);
	if (!c->remote) {
		ing_failed(c, RETRY_NOT_RUN, 0);
		return;
	}
	plan_check(c, now, left);
	ing_send_body(c);
}

/* Tells the other daemon that the caller has gone. */
void ing_out_cancel(struct call *c)
{
	struct peerrpc *peers = c->ing->n->peers;

	stop_check(c);
	peerrpc_drop(peers, c->remote);
	peerrpc_drop(peers, c->read_call);
	peerrpc_drop(peers, c->data_call);
	cancel_stream(c);
}
