#include "peer_server.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "peer_headers.h"

/* Reading from the upstream pauses when the peer is this many bytes behind. */
#define BACKLOG_BYTES_MAX 262144

#define STATUS_BAD_REQUEST 400
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503

struct peersrv {
	struct evloop *loop;
	const struct plat *platform;
	struct reqrun *runner;
	const struct tblclock *clock;
};

/* A forwarded request and its connection. */
struct forwarded {
	struct peersrv *server;
	struct httpconn *connection;
	struct reqrun_job *job;
	struct peerhdr_request peer_request;
	uint64_t way_us; /* least time between the daemons */
	bool head_sent;
	bool reading_paused;
	bool *ended; /* set if the request ends during its start, or NULL */
};

/*
 * Sends a complete response without a body and frees its fields. The connection
 * must not be used after it.
 */
static void send_reply(struct forwarded *f, uint16_t status, struct buf *fields)
{
	struct httpconn *c = f->connection;
	struct reqrun_load load;

	reqrun_load(f->server->runner, &load);
	peerhdr_write_load(fields, &load);
	buf_add(fields, "", 1);
	httpconn_reply(c, status, buf_data(fields), "", 0);
	buf_free(fields);
}

/* Frees a request that has ended. */
static void free_request(struct forwarded *f)
{
	if (f->ended)
		*f->ended = true;
	free(f);
}

/* True for a field of daemons, which an upstream may have sent. */
static bool skip_field(const void *arg, struct span name)
{
	(void)arg;
	return peerhdr_is_field(name);
}

/* Sends the response head, with the load and times of the upstream. */
static void on_head(void *arg, const struct httpmsg *m)
{
	struct forwarded *f = arg;
	struct reqrun_load load;
	struct reqrun_times times;
	struct buf fields = { 0 };

	httpmsg_copy_fields(m, &fields, skip_field, NULL);
	reqrun_load(f->server->runner, &load);
	peerhdr_write_load(&fields, &load);
	reqrun_times(f->job, &times);
	peerhdr_write_times(&fields, &times);
	httpconn_begin(f->connection, m->status, buf_data(&fields),
		       buf_len(&fields), m->length);
	buf_free(&fields);
	f->head_sent = true;
}

/* Sends body bytes; pauses reading from the upstream if the peer is slow. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct forwarded *f = arg;

	httpconn_write(f->connection, bytes, len);
	if (!f->reading_paused &&
	    httpconn_unsent_bytes(f->connection) > BACKLOG_BYTES_MAX) {
		f->reading_paused = true;
		reqrun_pause(f->job, true);
	}
}

/* Completes the response. */
static void on_done(void *arg)
{
	struct forwarded *f = arg;
	struct httpconn *c = f->connection;

	free_request(f);
	httpconn_end(c);
}

/* True if the sender has closed the connection. */
static bool is_abandoned(void *arg)
{
	const struct forwarded *f = arg;

	return httpconn_client_has_left(f->connection);
}

/* Replies that the request has not run, if there is anyone to reply to. */
static void on_refused(void *arg, enum reqrun_rejection why, uint64_t wait_us)
{
	struct forwarded *f = arg;
	struct buf fields = { 0 };

	if (why == REQRUN_ABANDONED) {
		httpconn_abort(f->connection);
	} else {
		peerhdr_write_rejection(&fields, why, wait_us);
		send_reply(f, STATUS_UNAVAILABLE, &fields);
	}
	free_request(f);
}

/* Replies that the request may have run, or aborts its started response. */
static void on_failed(void *arg, enum reqrun_failure why)
{
	struct forwarded *f = arg;
	struct buf fields = { 0 };

	if (f->head_sent) {
		httpconn_abort(f->connection);
	} else {
		buf_printf(&fields, "%s: %d\r\n", PEERHDR_FAILED_FIELD,
			   (int)why);
		send_reply(f, STATUS_BAD_GATEWAY, &fields);
	}
	free_request(f);
}

static const struct reqrun_ops job_ops = {
	is_abandoned, on_head, on_body, on_done, on_refused, on_failed
};

/* Creates a server. Returns NULL when memory is exhausted. */
struct peersrv *peersrv_create(struct evloop *l, const struct plat *platform,
			       struct reqrun *runner,
			       const struct tblclock *clock)
{
	struct peersrv *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->loop = l;
	s->platform = platform;
	s->runner = runner;
	s->clock = clock;
	return s;
}

/* Frees the server; all requests must have ended. */
void peersrv_destroy(struct peersrv *s)
{
	free(s);
}

/*
 * Builds the request to run from the fields of the sending daemon. The time for
 * which it was on the way is no longer left to it.
 */
static void build_request(struct forwarded *f, const struct httpmsg *m,
			  const struct buf *body, struct reqrun_request *r)
{
	uint64_t now = evloop_now_us(f->server->loop);
	const struct peerhdr_request *p = &f->peer_request;

	f->way_us = tblclock_elapsed_us(f->server->clock, &p->sent, now);
	memset(r, 0, sizeof(*r));
	r->message = m;
	r->body = body;
	f->server->platform->ops->read_request(m, &r->request);
	if (!p->keyed)
		r->request.key = PLAT_NO_KEY;
	r->upstream_id = p->upstream_id;
	r->caller_service = p->caller_service;
	r->kind = p->kind;
	r->rank = p->rank;
	r->idempotent = p->idempotent;
	r->others_left = p->others_left;
	r->announced = httpmsg_find(m, "expect").text != NULL;
	r->deadline_us = now + clk_elapsed(p->left_us, f->way_us);
	r->objective_us = now + clk_elapsed(p->objective_left_us, f->way_us);
}

/* Decides on the head of a request whose sender holds the body back. */
uint16_t peersrv_expect(struct peersrv *s, const struct httpmsg *m,
			bool refusing, struct buf *fields)
{
	struct forwarded f = { .server = s };
	enum reqrun_rejection why = REQRUN_NO_UPSTREAM;
	struct reqrun_load load;
	struct reqrun_request r;
	uint64_t wait_us = 0;

	/* An invalid request is answered once it is complete. */
	if (!peerhdr_read_request(m, &f.peer_request))
		return 0;
	if (!refusing) {
		build_request(&f, m, NULL, &r);
		if (reqrun_would_admit(s->runner, &r, &why, &wait_us))
			return 0;
	}
	peerhdr_write_rejection(fields, why, wait_us);
	reqrun_load(s->runner, &load);
	peerhdr_write_load(fields, &load);
	return STATUS_UNAVAILABLE;
}

/*
 * Runs a forwarded request. Returns the handle for peersrv_peer_closed() and
 * peersrv_peer_drained(), or NULL if the request has been answered.
 */
void *peersrv_accept(struct peersrv *s, struct httpconn *c,
		     const struct httpmsg *m, const struct buf *body)
{
	struct forwarded *f = calloc(1, sizeof(*f));
	struct reqrun_request r;
	bool ended = false;

	if (!f || !peerhdr_read_request(m, &f->peer_request)) {
		free(f);
		httpconn_reply(c, STATUS_BAD_REQUEST, "", "", 0);
		return NULL;
	}
	f->server = s;
	f->connection = c;
	build_request(f, m, body, &r);
	if (f->peer_request.sender_stopping)
		httpconn_set_urgent(c);
	f->ended = &ended;
	reqrun_start(s->runner, &r, &job_ops, f, &f->job);
	if (ended)
		return NULL;
	f->ended = NULL;
	return f;
}

/* Rejects a request, as the local upstream accepts no more requests. */
void peersrv_reject(struct peersrv *s, struct httpconn *c)
{
	struct forwarded f = { .server = s, .connection = c };
	struct buf fields = { 0 };

	peerhdr_write_rejection(&fields, REQRUN_NO_UPSTREAM, 0);
	send_reply(&f, STATUS_UNAVAILABLE, &fields);
}

/* Logs how far a request had come, with times relative to the line's time. */
static void log_cancelled(const struct forwarded *f)
{
	struct evloop *l = f->server->loop;
	uint64_t now = evloop_now_us(l);
	struct reqrun_times t;

	reqrun_times(f->job, &t);
	log_emit(LOG_FORWARD_CANCELLED,
		 "request=%s queue_us=%llu run_us=%llu polled_us=%llu "
		 "told_left_us=%llu way_us=%llu",
		 reqrun_request_id(f->job), (unsigned long long)t.queue_us,
		 (unsigned long long)t.run_us,
		 (unsigned long long)clk_elapsed(now, evloop_polled_us(l)),
		 (unsigned long long)f->peer_request.left_us,
		 (unsigned long long)f->way_us);
}

/* Cancels a request whose sender has closed the connection. */
void peersrv_peer_closed(void *request)
{
	struct forwarded *f = request;

	log_cancelled(f);
	reqrun_cancel(f->job);
	free(f);
}

/* Resumes reading of the response when the peer's connection is drained. */
void peersrv_peer_drained(void *request)
{
	struct forwarded *f = request;

	if (!f->reading_paused)
		return;
	f->reading_paused = false;
	reqrun_pause(f->job, false);
}
