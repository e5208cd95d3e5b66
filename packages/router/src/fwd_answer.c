#include <string.h>
#include <strings.h>

#include "fwd_int.h"
#include "log.h"

/* Longer responses are sent on as they come and cannot be tried again. */
#define KEPT_MAX 65536
/* Bytes that wait for a slow caller until the response is read no further. */
#define BACKLOG_MAX 262144
#define STATUS_FAILURE_MIN 500

/* Fields between daemons begin with this. */
#define OWN_PREFIX "geranium-"

/* True for a field that callers do not get. */
static bool skip_field(const void *arg, struct span name)
{
	size_t len = strlen(OWN_PREFIX);

	(void)arg;
	return name.len >= len && strncasecmp(name.text, OWN_PREFIX, len) == 0;
}

/* Keeps the head of a response. */
void fwd_take_head(struct fwd *f, const struct hmg *m)
{
	f->status = m->status;
	f->length = m->length;
	hmg_copy_fields(m, &f->fields, skip_field, NULL);
}

/* Sends the head and what has been kept. */
static void begin(struct fwd *f, int64_t length)
{
	f->begun = true;
	hsc_begin(f->connection, f->status, buf_data(&f->fields),
		  buf_len(&f->fields), length);
	hsc_body(f->connection, buf_data(&f->pending), buf_len(&f->pending));
	buf_free(&f->pending);
}

/* Keeps a short body, sends a long one on. */
void fwd_take_body(struct fwd *f, const char *bytes, size_t len)
{
	if (!f->begun && buf_len(&f->pending) + len <= KEPT_MAX) {
		buf_add(&f->pending, bytes, len);
		return;
	}
	if (!f->begun)
		begin(f, f->length);
	hsc_body(f->connection, bytes, len);
	if (f->held || hsc_backlog(f->connection) <= BACKLOG_MAX)
		return;
	f->held = true;
	if (f->job)
		exr_hold(f->job, true);
	if (f->exchange)
		hxc_hold(f->exchange, true);
}

/* Forgets a response that is not sent. */
void fwd_drop_response(struct fwd *f)
{
	f->fields.start = f->fields.end = 0;
	f->pending.start = f->pending.end = 0;
	f->status = 0;
}

/* True if the failure of the upstream is worth another run. */
static bool is_worth_retry(struct fwd *f)
{
	struct ret_request r = {
		.idempotent = f->route.idempotent,
		.attempts = f->attempts,
		.body_replayable = true,
		.deadline_us = f->objective_us,
	};

	if (f->begun || f->status < STATUS_FAILURE_MIN ||
	    !f->route.idempotent || f->attempts >= f->route.attempts_max)
		return false;
	return ret_allows(f->owner->retries, &r, RET_UNKNOWN,
			  evl_now_us(f->owner->parts.loop));
}

/* Counts a whole response that goes to the caller. */
static void count_end(struct fwd *f)
{
	struct fwr *w = f->owner;
	uint64_t now = evl_now_us(w->parts.loop);
	enum rts_outcome outcome = RTS_UPSTREAM_FAILURE;

	if (f->status < STATUS_FAILURE_MIN)
		outcome = now <= f->objective_us ? RTS_ON_TIME : RTS_LATE;
	rts_end(w->stats, f->stats, outcome);
	rts_add_time(w->stats, f->stats, RTS_BODY, now - f->head_us);
	hst_add(&w->response_times, now - f->began_us);
}

/* The response is complete. */
void fwd_take_end(struct fwd *f)
{
	struct hsc *c = f->connection;

	f->attempts++;
	if (is_worth_retry(f)) {
		log_emit(LOG_REQUEST_RETRIED, "request=%s status=%u target=%s",
			 f->request.id, f->status,
			 f->target ? f->target->life.node : "-");
		f->may_have_run = true;
		fwd_stop_attempt(f);
		fwd_drop_response(f);
		fwd_try(f);
		return;
	}
	count_end(f);
	ctr_add(CTR_DONE, 1);
	if (!f->begun)
		begin(f, f->length >= 0 ? f->length :
					  (int64_t)buf_len(&f->pending));
	f->job = NULL;
	f->exchange = NULL;
	fwd_finish(f);
	hsc_end(c);
}
