#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "request_runner_int.h"
#include "ctr.h"
#include "log.h"
#include "peer_headers.h"
#include "txt.h"

/* Weight of the newest measurement in a moving average. */
#define MEAN_WEIGHT 0.1
/*
 * The same for the mean that keys are placed by. Averaged over 50 requests it
 * varies by a tenth; over 10 requests it varies by a quarter, which would move
 * keys between upstreams without need.
 */
#define LONG_MEAN_WEIGHT 0.02
/* Longest idle time after which a connection is reused. */
#define REUSE_IDEMPOTENT_US (8 * US_PER_S)
/* Shorter, as a request on a connection that was dropped unnoticed is lost. */
#define REUSE_OTHERS_US (3 * US_PER_S)
/* Retry delay of a request that the upstream rejected or could not be sent. */
#define SHED_RETRY_AFTER_US (200 * US_PER_MS)
#define STATUS_FAILURE_MIN 500
#define TIMEOUT_MIN_MS 1
#define PERCENT 100

/* True for a header field that is not copied to the upstream. */
static bool skip_field(const void *arg, struct span name)
{
	const struct plat_ops *ops = arg;

	return peerhdr_is_field(name) || ops->is_forward_field(name);
}

/*
 * Returns the id of the upstream that the request is for. One that has ended is
 * named by its identifier, so that the present one rejects the request.
 */
static const char *expected_id(const struct reqrun_job *j)
{
	const struct upstr *u = j->owner->upstream;

	if (strcmp(j->request.upstream_id, upstr_incarnation(u)->id) != 0)
		return j->request.upstream_id;
	return upstr_id(u);
}

/* Writes the head of the request to the upstream. */
static void write_request_head(const struct reqrun_job *j, uint64_t now_us,
			       struct buf *out)
{
	const struct plat_ops *ops = j->owner->platform->ops;
	const struct httpmsg *m = j->request.message;
	struct span target = httpmsg_target(m);
	struct plat_forward f = {
		.upstream_id = expected_id(j),
		.caller_service = j->request.caller_service,
		.left_ms = TIMEOUT_MIN_MS,
	};

	if (j->request.deadline_us > now_us + US_PER_MS)
		f.left_ms = (j->request.deadline_us - now_us) / US_PER_MS;
	buf_add_text(out, m->method);
	buf_add(out, " ", 1);
	buf_add(out, target.text, target.len);
	buf_add_text(out, " HTTP/1.1\r\n");
	httpmsg_copy_fields(m, out, skip_field, ops);
	ops->write_forward(out, &f);
	if (buf_len(j->request.body) > 0 || m->length != 0 ||
	    !span_is_nocase((struct span){ m->method, strlen(m->method) },
			    "GET"))
		buf_printf(out, "Content-Length: %zu\r\n",
			   buf_len(j->request.body));
	buf_add_text(out, "\r\n");
}

/*
 * A refusal without an id is that of this request only if the connection has
 * carried no other: a faulty upstream may write an earlier one once more.
 */
enum httpcall_match reqrun_match(const struct plat_response *r, bool reused)
{
	if (r->has_id && !r->id_matches)
		return HTTPCALL_MISMATCH;
	if (r->not_run || r->other_upstream)
		return r->has_id || !reused ? HTTPCALL_MATCH : HTTPCALL_INVALID;
	if (!r->has_id || !r->is_signed)
		return HTTPCALL_INVALID;
	return HTTPCALL_MATCH;
}

/* Checks whether a response belongs to the request and is valid. */
static enum httpcall_match match_response(void *arg, const struct httpmsg *m)
{
	struct reqrun_job *j = arg;
	struct plat_response r;

	j->owner->platform->ops->read_response(m, j->request.request.id, &r);
	return reqrun_match(&r, httpcall_is_reused(j->exchange));
}

/*
 * Records what the upstream says of itself in a response. A response that may
 * be that of another upstream says nothing.
 */
static void record_state(struct reqrun_job *j, const struct plat_response *r)
{
	struct reqrun *x = j->owner;
	double before = x->limit.active ? x->limit.per_s : -1;
	double after;

	if (r->other_upstream)
		return;
	txt_copy(x->heard_id, sizeof(x->heard_id), j->request.upstream_id);
	if (r->has_slowdown)
		x->slowdown_pct = r->slowdown_pct;
	if (r->has_limit)
		ratelimit_set(&x->limit, r->limit_per_s,
			      evloop_now_us(x->loop));
	else
		ratelimit_clear(&x->limit);
	after = x->limit.active ? x->limit.per_s : -1;
	if (before != after)
		log_emit(LOG_UPSTREAM_LIMIT,
			 "id=%s limited=%d limit_per_s=%.2f request=%s",
			 j->request.upstream_id, r->has_limit, r->limit_per_s,
			 j->request.request.id);
	if (r->leaving && !upstr_has_left(x->upstream)) {
		log_emit(LOG_UPSTREAM_LEAVING, "id=%s request=%s",
			 j->request.upstream_id, j->request.request.id);
		upstr_record_leave(x->upstream, j->request.upstream_id);
	}
}

/* Passes the response head on, unless the upstream rejected the request. */
static void on_head(void *arg, const struct httpmsg *m)
{
	struct reqrun_job *j = arg;
	struct plat_response r;

	j->owner->platform->ops->read_response(m, j->request.request.id, &r);
	j->owner->last_response_us = evloop_now_us(j->owner->loop);
	reqrun_clear_expected(j);
	record_state(j, &r);
	j->head_us = j->owner->last_response_us;
	j->slowdown_pct = r.has_slowdown ? r.slowdown_pct : 0;
	if (r.other_upstream)
		coldrate_take_back(j->owner->recovery.sent, j->started_us);
	j->refused = r.not_run || r.other_upstream;
	j->not_owner = r.other_upstream;
	j->failed_status = m->status >= STATUS_FAILURE_MIN;
	if (!j->refused)
		j->ops->on_head(j->arg, m);
}

/* Passes bytes of the response body on. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct reqrun_job *j = arg;

	j->bytes += len;
	if (!j->refused)
		j->ops->on_body(j->arg, bytes, len);
}

/* Sets the watch for requests that crash their upstream. */
void reqrun_set_crashwatch(struct reqrun *x, struct crashwatch *w)
{
	x->crashes = w;
}

/* Updates the mean run time and response length, and the counts. */
static void update_estimates(struct reqrun_job *j)
{
	struct reqrun *x = j->owner;
	double run_us = (double)(evloop_now_us(x->loop) - j->started_us);
	double usual_us = run_us;
	double *kind = &x->kind_run_us[j->request.kind % REQRUN_KINDS];
	double *bytes = &x->kind_bytes[j->request.kind % REQRUN_KINDS];

	if (j->slowdown_pct > 0)
		usual_us = run_us * PERCENT / j->slowdown_pct;
	x->mean_us += (usual_us - x->mean_us) * MEAN_WEIGHT;
	x->long_mean_us += (run_us - x->long_mean_us) * LONG_MEAN_WEIGHT;
	if (*kind == 0)
		*kind = usual_us;
	*kind += (usual_us - *kind) * MEAN_WEIGHT;
	if (*bytes == 0)
		*bytes = (double)j->bytes;
	*bytes += ((double)j->bytes - *bytes) * MEAN_WEIGHT;
	x->finished++;
	x->total_run_us += (uint64_t)run_us;
	if (j->failed_status)
		x->failed++;
}

static uint64_t hash_id(const struct reqrun_job *j)
{
	return XXH3_64bits(j->request.request.id,
			   strlen(j->request.request.id));
}

/* Remembers a request that may be sent again. */
static void remember_rejected(struct reqrun_job *j)
{
	struct reqrun *x = j->owner;

	x->rejected_ids[x->next_rejected++ % REQRUN_REJECTED_MAX] = hash_id(j);
}

/*
 * True if the upstream has answered this request before. A copy of that answer,
 * which a faulty upstream may write once more on its connection, would be taken
 * for the answer to this attempt.
 */
static bool was_rejected(const struct reqrun_job *j)
{
	uint64_t hash = hash_id(j);

	for (size_t i = 0; i < REQRUN_REJECTED_MAX; i++) {
		if (j->owner->rejected_ids[i] == hash)
			return true;
	}
	return false;
}

/* Completes a job after its whole response. */
static void on_done(void *arg)
{
	struct reqrun_job *j = arg;
	struct reqrun *x = j->owner;
	const struct reqrun_ops *ops = j->ops;
	void *user = j->arg;

	j->exchange = NULL;
	reqrun_remove_job(j);
	/*
	 * An upstream that gets no more than its slots refuses or fails requests
	 * for another reason than their number.
	 */
	if (j->refused || j->failed_status)
		pace_forget(&x->recovery.pace, j->started_us);
	else
		reqrun_pace_answered(j, evloop_now_us(x->loop));
	if (j->refused || j->failed_status)
		remember_rejected(j);
	if (j->refused) {
		log_emit(LOG_UPSTREAM_SHED,
			 "request=%s not_owner=%d running=%u",
			 j->request.request.id, j->not_owner, x->running_count);
		/* It reached the upstream, so it counts as an attempt
		 * even if the upstream does not hold the key. */
		reqrun_reject(j, REQRUN_SHED, SHED_RETRY_AFTER_US);
	} else {
		update_estimates(j);
		if (x->crashes)
			crashwatch_run_completed(x->crashes, j->request.message,
						 j->request.body);
		free(j);
		ops->on_done(user);
	}
	reqrun_dispatch(x);
}

/* Ends a job whose exchange failed; a request never sent has not run. */
static void on_failed(void *arg, enum httpcall_failure failure)
{
	struct reqrun_job *j = arg;
	struct reqrun *x = j->owner;
	const struct reqrun_ops *ops = j->ops;
	void *user = j->arg;

	j->exchange = NULL;
	reqrun_remove_job(j);
	reqrun_pace_failed(j, evloop_now_us(x->loop));
	if (failure == HTTPCALL_REFUSED)
		upstr_forget_warm(x->upstream);
	upstr_check_health(x->upstream);
	log_emit(LOG_UPSTREAM_FAILED, "request=%s failure=%d ran_us=%llu",
		 j->request.request.id, failure,
		 (unsigned long long)(evloop_now_us(x->loop) - j->started_us));
	if (failure == HTTPCALL_REFUSED || failure == HTTPCALL_NOT_SENT) {
		reqrun_reject(j, REQRUN_NO_UPSTREAM, SHED_RETRY_AFTER_US);
	} else {
		x->finished++;
		x->failed++;
		if (x->crashes)
			crashwatch_run_lost(x->crashes, j->request.message,
					    j->request.body, j->ran_at);
		free(j);
		ops->on_failed(user, failure == HTTPCALL_TRUNCATED ?
					     REQRUN_TRUNCATED :
					     REQRUN_NO_RESPONSE);
	}
	reqrun_dispatch(x);
}

static const struct httpcall_ops exchange_ops = { match_response, on_head,
						  on_body, on_done, on_failed };

/* Sends a job that is in no list to the upstream. */
void reqrun_send(struct reqrun_job *j)
{
	struct reqrun *x = j->owner;
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head };

	j->started_us = evloop_now_us(x->loop);
	j->state = REQRUN_RUNNING;
	j->ran_at = crashes_hash_incarnation(upstr_incarnation(x->upstream));
	DL_APPEND(x->running, j);
	x->running_count++;
	pace_sent(&x->recovery.pace, x->running_count, j->started_us);
	coldrate_record(x->recovery.sent, j->started_us);
	x->recovery.bound_waited += j->waits_for_bound;
	ctr_add(CTR_BOUND_WAITED, j->waits_for_bound);
	write_request_head(j, j->started_us, &head);
	if (buf_len(j->request.body) > 0)
		r.body = buf_data(j->request.body);
	r.body_len = buf_len(j->request.body);
	r.body_stays = true;
	r.expect_no_body = strcmp(j->request.message->method, "HEAD") == 0;
	r.reuse_us =
		j->request.idempotent ? REUSE_IDEMPOTENT_US : REUSE_OTHERS_US;
	if (was_rejected(j))
		r.reuse_us = 0;
	j->exchange = httpcall_start(x->pool, &r, &exchange_ops, j);
	buf_free(&head);
	if (!j->exchange) {
		log_emit(LOG_NO_DESCRIPTOR, "to=upstream");
		pace_forget(&x->recovery.pace, j->started_us);
		reqrun_remove_job(j);
		reqrun_reject(j, REQRUN_NO_UPSTREAM, SHED_RETRY_AFTER_US);
	}
}

/* Pauses or resumes reading of the response. */
void reqrun_pause(struct reqrun_job *j, bool held)
{
	if (j->exchange)
		httpcall_pause(j->exchange, held);
}

/* True if any byte of the request may have reached the upstream. */
bool reqrun_was_sent(const struct reqrun_job *j)
{
	return j->exchange && httpcall_has_sent(j->exchange);
}

/* Reports the queueing and run times of a running job, in microseconds. */
void reqrun_times(const struct reqrun_job *j, struct reqrun_times *out)
{
	uint64_t now = evloop_now_us(j->owner->loop);
	uint64_t started = j->started_us ? j->started_us : now;

	out->queue_us = started - j->arrival_us;
	out->run_us = now - started;
}

/* Returns the id that the caller has given the request. */
const char *reqrun_request_id(const struct reqrun_job *j)
{
	return j->request.request.id;
}
