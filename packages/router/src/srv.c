#include "srv.h"

#include <stdlib.h>
#include <string.h>

#include "fwl.h"

/* Bytes that wait for a slow peer until the upstream is read no further. */
#define BACKLOG_MAX 262144

#define STATUS_BAD_REQUEST 400
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503

struct srv {
	struct evl *loop;
	const struct plat *platform;
	struct exr *runner;
};

/* A forwarded request and its connection. */
struct forwarded {
	struct srv *server;
	struct hsc *connection;
	struct exr_job *job;
	struct fwl_request line;
	bool begun;
	bool held;
	bool *over; /* set when the request is over, while it is started */
};

/* Ends with a whole response; the connection is not touched after it. */
static void reply(struct forwarded *f, uint16_t status, struct buf *fields)
{
	struct hsc *c = f->connection;
	struct exr_load load;

	exr_load(f->server->runner, &load);
	fwl_write_load(fields, &load);
	buf_add(fields, "", 1);
	hsc_reply(c, status, buf_data(fields), "", 0);
	buf_free(fields);
}

/* Frees a request that is over. */
static void finish(struct forwarded *f)
{
	if (f->over)
		*f->over = true;
	free(f);
}

/* Sends the head on with the load of the upstream. */
static void on_head(void *arg, const struct hmg *m)
{
	struct forwarded *f = arg;
	struct exr_load load;
	struct exr_times times;
	struct buf fields = { 0 };

	hmg_copy_fields(m, &fields, NULL, NULL);
	exr_load(f->server->runner, &load);
	fwl_write_load(&fields, &load);
	exr_times(f->job, &times);
	fwl_write_times(&fields, &times);
	hsc_begin(f->connection, m->status, buf_data(&fields), buf_len(&fields),
		  m->length);
	buf_free(&fields);
	f->begun = true;
}

/* Sends bytes on; a slow reader holds the upstream back. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct forwarded *f = arg;

	hsc_body(f->connection, bytes, len);
	if (!f->held && hsc_backlog(f->connection) > BACKLOG_MAX) {
		f->held = true;
		exr_hold(f->job, true);
	}
}

/* Completes the response. */
static void on_done(void *arg)
{
	struct forwarded *f = arg;
	struct hsc *c = f->connection;

	finish(f);
	hsc_end(c);
}

/* Says that the request has not run. */
static void on_refused(void *arg, enum exr_refusal why, uint64_t wait_us)
{
	struct forwarded *f = arg;
	struct buf fields = { 0 };

	fwl_write_refusal(&fields, why, wait_us);
	reply(f, STATUS_UNAVAILABLE, &fields);
	finish(f);
}

/* Says that the request may have run, or cuts its response off. */
static void on_failed(void *arg, enum exr_failure why)
{
	struct forwarded *f = arg;
	struct buf fields = { 0 };

	if (f->begun) {
		hsc_abort(f->connection);
	} else {
		buf_printf(&fields, "%s: %d\r\n", FWL_FAILED_FIELD, (int)why);
		reply(f, STATUS_BAD_GATEWAY, &fields);
	}
	finish(f);
}

static const struct exr_ops job_ops = { on_head, on_body, on_done, on_refused,
					on_failed };

/* Makes the part. */
struct srv *srv_create(struct evl *l, const struct plat *platform,
		       struct exr *runner)
{
	struct srv *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->loop = l;
	s->platform = platform;
	s->runner = runner;
	return s;
}

/* Frees the part. */
void srv_destroy(struct srv *s)
{
	free(s);
}

/* Translates the line of the sending daemon into a job. */
static void fill_job(const struct forwarded *f, const struct hmg *m,
		     const struct buf *body, struct exr_request *r)
{
	uint64_t now = evl_now_us(f->server->loop);

	memset(r, 0, sizeof(*r));
	r->message = m;
	r->body = body;
	f->server->platform->ops->read_request(m, &r->request);
	if (!f->line.keyed)
		r->request.key = PLAT_NO_KEY;
	r->upstream_id = f->line.upstream_id;
	r->caller_service = f->line.caller_service;
	r->kind = f->line.kind;
	r->rank = f->line.rank;
	r->idempotent = f->line.idempotent;
	r->deadline_us = now + f->line.left_us;
	r->objective_us = now + f->line.objective_left_us;
}

/* Starts the job of a forwarded request. */
void *srv_request(struct srv *s, struct hsc *c, const struct hmg *m,
		  const struct buf *body)
{
	struct forwarded *f = calloc(1, sizeof(*f));
	struct exr_request r;
	bool over = false;

	if (!f || !fwl_read_request(m, &f->line)) {
		free(f);
		hsc_reply(c, STATUS_BAD_REQUEST, "", "", 0);
		return NULL;
	}
	f->server = s;
	f->connection = c;
	fill_job(f, m, body, &r);
	if (f->line.hurries)
		hsc_hurry(c);
	f->over = &over;
	exr_start(s->runner, &r, &job_ops, f, &f->job);
	if (over)
		return NULL;
	f->over = NULL;
	return f;
}

/* Refuses a request before it has a job. */
void srv_refuse(struct srv *s, struct hsc *c)
{
	struct forwarded f = { .server = s, .connection = c };
	struct buf fields = { 0 };

	fwl_write_refusal(&fields, EXR_NO_UPSTREAM, 0);
	reply(&f, STATUS_UNAVAILABLE, &fields);
}

/* The sending daemon has given up. */
void srv_gone(void *request)
{
	struct forwarded *f = request;

	exr_cancel(f->job);
	free(f);
}

/* The connection has room again. */
void srv_drained(void *request)
{
	struct forwarded *f = request;

	if (!f->held)
		return;
	f->held = false;
	exr_hold(f->job, false);
}
