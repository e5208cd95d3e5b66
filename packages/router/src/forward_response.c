#include <string.h>
#include <strings.h>

#include "forward_int.h"
#include "log.h"

/* A longer response body is streamed, and its request no longer retried. */
#define RETRY_BUFFER_BYTES_MAX 65536
/* Reading of the response pauses when the caller is this many bytes behind. */
#define BACKLOG_BYTES_MAX 262144
#define STATUS_FAILURE_MIN 500
/* Weight of the newest response in the means of its kind. */
#define MEAN_WEIGHT 0.05

/* Prefix of the header fields that daemons exchange. */
#define PEER_FIELD_PREFIX "geranium-"

/* True for a header field that is not passed to callers. */
static bool skip_field(const void *arg, struct span name)
{
	size_t len = strlen(PEER_FIELD_PREFIX);

	(void)arg;
	return name.len >= len &&
	       strncasecmp(name.text, PEER_FIELD_PREFIX, len) == 0;
}

/* Stores the status and header fields of a response. */
void fwd_on_response_head(struct fwd_request *f, const struct httpmsg *m)
{
	f->status = m->status;
	f->length = m->length;
	httpmsg_copy_fields(m, &f->fields, skip_field, NULL);
}

/* Sends the head and the buffered part of the body to the caller. */
static void send_head(struct fwd_request *f, int64_t length)
{
	f->head_sent = true;
	httpconn_begin(f->connection, f->status, buf_data(&f->fields),
		       buf_len(&f->fields), length);
	httpconn_write(f->connection, buf_data(&f->pending),
		       buf_len(&f->pending));
	buf_free(&f->pending);
}

/*
 * Buffers a short body and streams a long one. Pauses reading of the response
 * if the caller is slow.
 */
void fwd_on_response_body(struct fwd_request *f, const char *bytes, size_t len)
{
	f->bytes += len;
	if (!f->head_sent &&
	    buf_len(&f->pending) + len <= RETRY_BUFFER_BYTES_MAX) {
		buf_add(&f->pending, bytes, len);
		return;
	}
	if (!f->head_sent)
		send_head(f, f->length);
	httpconn_write(f->connection, bytes, len);
	if (f->reading_paused ||
	    httpconn_unsent_bytes(f->connection) <= BACKLOG_BYTES_MAX)
		return;
	f->reading_paused = true;
	if (f->job)
		reqrun_pause(f->job, true);
	if (f->exchange)
		httpcall_pause(f->exchange, true);
}

/* Discards a response that has not been sent to the caller. */
void fwd_discard_response(struct fwd_request *f)
{
	f->fields.start = f->fields.end = 0;
	f->pending.start = f->pending.end = 0;
	f->status = 0;
}

/* True if a response with a failure status allows another attempt. */
static bool should_retry(struct fwd_request *f)
{
	struct retry_request r = {
		.idempotent = f->policy.idempotent,
		.attempts = f->attempts,
		.body_replayable = true,
		.deadline_us = f->objective_us,
	};

	if (f->head_sent || f->status < STATUS_FAILURE_MIN ||
	    !f->policy.idempotent || f->attempts >= f->policy.attempts_max)
		return false;
	return svcretry_allow(f->owner->retries, f->retries, &r, RETRY_UNKNOWN,
			      evloop_now_us(f->owner->parts.loop));
}

/* Records the outcome and the latency of a complete response. */
static void record_response(struct fwd_request *f)
{
	struct fwd *w = f->owner;
	uint64_t now = evloop_now_us(w->parts.loop);
	enum rstats_outcome outcome = RSTATS_UPSTREAM_FAILURE;

	if (f->status < STATUS_FAILURE_MIN)
		outcome = now <= f->objective_us ? RSTATS_ON_TIME : RSTATS_LATE;
	rstats_count_outcome(w->stats, f->stats, outcome);
	rstats_add_duration(w->stats, f->stats, RSTATS_BODY, now - f->head_us);
	histogram_add(&w->response_times, now - f->arrival_us);
}

/* Updates a mean; the first value counts in full. */
static void update_mean(double *mean, double value)
{
	if (*mean == 0)
		*mean = value;
	*mean += (value - *mean) * MEAN_WEIGHT;
}

/* Updates the means of its kind, by which later requests are placed. */
static void record_size(struct fwd_request *f)
{
	uint32_t kind = fwd_request_kind(f) % FWD_KINDS;

	if (f->status >= STATUS_FAILURE_MIN)
		return;
	update_mean(&f->owner->kind_run_us[kind], (double)f->run_us);
	update_mean(&f->owner->kind_bytes[kind], (double)f->bytes);
}

/* Completes the response, or retries the request if its status allows. */
void fwd_on_response_end(struct fwd_request *f)
{
	struct httpconn *c = f->connection;

	fwd_count_attempt(f);
	if (should_retry(f)) {
		log_emit(LOG_REQUEST_RETRIED, "request=%s status=%u target=%s",
			 f->request.id, f->status,
			 f->target ? f->target->incarnation.node : "-");
		f->may_have_run = true;
		fwd_cancel_attempt(f);
		fwd_discard_response(f);
		fwd_start_attempt(f);
		return;
	}
	record_response(f);
	record_size(f);
	ctr_add(CTR_DONE, 1);
	if (httpconn_earlier_count(c) > 0)
		httpconn_set_id(c, f->request.id);
	if (!f->head_sent)
		send_head(f, f->length >= 0 ? f->length :
					      (int64_t)buf_len(&f->pending));
	f->job = NULL;
	f->exchange = NULL;
	fwd_free(f);
	httpconn_end(c);
}
