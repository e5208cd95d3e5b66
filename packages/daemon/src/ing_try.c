#include "ing.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "ing_call.h"
#include "own.h"
#include "prb.h"

#define ROUND_PAUSE_US (50 * US_PER_MS) /* before candidates are tried again */
#define CLOSE_TO_DEADLINE_US (20 * US_PER_MS)
#define TEXT_MAX 256
#define NOT_RUN_RETRY_MS 1000

static const char *const outcome_names[] = { "done",	   "not-run",
					     "unknown",	   "shed",
					     "invalid",	   "forbidden",
					     "quarantined" };

static const enum ctr outcome_counters[] = { CTR_DONE,
					     CTR_NOT_RUN,
					     CTR_UNKNOWN,
					     CTR_SHED_ANSWERS,
					     CTR_INVALID,
					     CTR_FORBIDDEN,
					     CTR_QUARANTINED_ANSWERS };

/* Request headers of callers that are passed on to the upstream. */
static const char *const passed_headers[] = {
	"content-type",	     "accept",	      "accept-language",
	"accept-encoding",   "authorization", "if-none-match",
	"if-modified-since", "if-match",      "range",
	"user-agent",	     "tracestate",    NULL
};

static void finish(struct call *c, enum outcome outcome, int status)
{
	c->finished = true;
	c->status = status;
	ctr_add(outcome_counters[outcome], 1);
	tracer_end_span(c->ing->n->traces, &c->span, "route",
			outcome_names[outcome], status);
}

/*
 * A refusal is held back until a short body has arrived: some clients do not
 * read a response that comes while they still send, and the connection can be
 * kept. Returns true if it is held back.
 */
static bool waits_for_body(struct call *c, enum outcome outcome, int status,
			   uint32_t retry_after_ms, const char *text)
{
	if (c->started || c->body_end || c->content_length <= 0 ||
	    c->content_length > PEER_FIRST_MAX)
		return false;
	c->early.text = text;
	c->early.outcome = outcome;
	c->early.status = status;
	c->early.retry_after_ms = retry_after_ms;
	return true;
}

/* Sends a response of our own. */
void ing_tell(struct call *c, enum outcome outcome, int status,
	      uint32_t retry_after_ms, const char *text)
{
	char body[TEXT_MAX];
	char retry_after[16];
	struct websrv_header headers[] = {
		{ "content-type", "text/plain" },
		{ "geranium-outcome", outcome_names[outcome] },
		{ "retry-after", retry_after },
	};
	int len = snprintf(body, sizeof(body), "%s: %s\n",
			   outcome_names[outcome], text);

	if (c->finished ||
	    waits_for_body(c, outcome, status, retry_after_ms, text))
		return;
	snprintf(retry_after, sizeof(retry_after), "%" PRIu64,
		 (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	finish(c, outcome, status);
	if (c->req)
		websrv_reply(c->req, status, headers, retry_after_ms ? 3 : 2,
			     body, (size_t)len);
}

/* Sends the head of the upstream's response. */
void ing_respond(struct call *c, int status,
		 const struct websrv_header *headers, size_t count,
		 long long content_length)
{
	struct websrv_header all[PEER_HEADERS_MAX + 1];

	size_t kept = 0;

	for (size_t i = 0; i < count && kept < PEER_HEADERS_MAX; i++) {
		if (strncmp(headers[i].name, "geranium-", 9) != 0)
			all[kept++] = headers[i];
	}
	all[kept].name = "geranium-outcome";
	all[kept].value = outcome_names[OUTCOME_DONE];
	c->responded = true;
	c->status = status;
	c->retry.response_started = true;
	if (c->req)
		websrv_respond(c->req, status, all, kept + 1, content_length);
}

/* Closes the connection, so that a response cut short does not look whole. */
void ing_break(struct call *c)
{
	if (c->finished)
		return;
	finish(c, OUTCOME_UNKNOWN, c->status);
	if (c->req)
		websrv_abort(c->req);
}

/* Collects the request headers that are passed on. */
size_t ing_headers(const struct call *c, struct websrv_header *out, size_t max)
{
	size_t count = 0;

	for (int i = 0; passed_headers[i] && count < max; i++) {
		const char *value = websrv_header(c->req, passed_headers[i]);

		if (!value)
			continue;
		out[count].name = passed_headers[i];
		out[count].value = value;
		count++;
	}
	return count;
}

static void round_due(void *arg, uint64_t now_us)
{
	struct call *c = arg;

	(void)now_us;
	c->timer = 0;
	ing_attempt(c);
}

/* Makes every candidate one that was not tried. */
static void forget_tries(struct call *c)
{
	c->route.count = 0;
	c->route.skipped = 0;
	c->route.hint.incarnation = 0;
}

/* Waits for a takeover or a move, then goes through the candidates again. */
static void wait_round(struct call *c)
{
	struct nod *n = c->ing->n;
	uint64_t now = nod_now_us(n);

	if (now + ROUND_PAUSE_US + CLOSE_TO_DEADLINE_US >= c->deadline_us ||
	    c->forwards >= ROUTE_FORWARDS_MAX) {
		ing_tell(c, OUTCOME_NOT_RUN, 503, NOT_RUN_RETRY_MS,
			 "the owner of the key cannot be reached");
		return;
	}
	forget_tries(c);
	c->timer = tmr_at(n->timers, now + ROUND_PAUSE_US, round_due, c);
}

static void local_refused(void *arg, const struct exe_refusal *refusal)
{
	struct call *c = arg;

	c->run = NULL;
	ing_refused(c, refusal);
}

static void local_head(void *arg, const struct upclient_response *response)
{
	struct call *c = arg;

	ing_respond(c, response->status, response->headers,
		    response->header_count, response->content_length);
}

static void local_body(void *arg, const void *data, size_t len)
{
	struct call *c = arg;

	if (c->req && !websrv_write(c->req, data, len, false) && c->run)
		exe_pause(c->run, true);
}

static void local_end(void *arg)
{
	struct call *c = arg;

	c->run = NULL;
	finish(c, OUTCOME_DONE, c->status);
	if (c->req)
		websrv_write(c->req, NULL, 0, true);
}

static void local_broken(void *arg)
{
	struct call *c = arg;

	c->run = NULL;
	ing_break(c);
}

static void local_writable(void *arg)
{
	struct call *c = arg;

	c->can_send = true;
	ing_send_body(c);
}

static const struct exe_events local_events = {
	.refused = local_refused,
	.head = local_head,
	.body = local_body,
	.end = local_end,
	.broken = local_broken,
	.writable = local_writable,
};

/* Runs the request on the upstream of this instance. */
static void run_here(struct call *c)
{
	struct websrv_header headers[PEER_HEADERS_MAX];
	struct exe_request req = { .part = c->part,
				   .kind = c->kind,
				   .method = websrv_method(c->req),
				   .target = c->target,
				   .key = c->key,
				   .request_id = c->request_id,
				   .traceparent = c->traceparent,
				   .headers = headers,
				   .content_length = c->content_length,
				   .first = c->first,
				   .first_len = c->first_len,
				   .end = c->body_end && !c->more_len,
				   .deadline_us = c->deadline_us };

	req.header_count = ing_headers(c, headers, PEER_HEADERS_MAX);
	c->sent_end = req.end;
	c->run = exe_start(c->ing->n->exec, &req, &local_events, c);
	if (!c->run)
		ing_failed(c, RETRY_NOT_RUN, NOT_RUN_RETRY_MS);
}

/*
 * True if nothing should be sent to a process. One that is silent is asked
 * again, and gets requests as soon as it answers: a frozen owner would use up
 * the time of each request and the budget of retries.
 */
static bool is_out_of_reach(const struct call *c, const struct proc *p)
{
	struct prb *probes = c->ing->n->probes;

	if (prb_has_ended(probes, p))
		return true;
	if (!prb_is_silent(probes, p))
		return false;
	prb_ask(probes, p);
	return true;
}

/* Tries the next candidate. */
void ing_attempt(struct call *c)
{
	struct nod *n = c->ing->n;
	struct lease_term term;
	struct proc to;

	c->started = true;
	c->can_send = false;
	while (route_next(c->ing->routes, &c->route, &to)) {
		if (is_out_of_reach(c, &to)) {
			route_skip(&c->route);
			continue;
		}
		if (!proc_equal(&to, &n->self)) {
			ing_out_open(c, &to);
			return;
		}
		if (own_may_act(n->own, c->part, &term) ||
		    own_is_named(n->own, c->part)) {
			c->target_proc = to;
			run_here(c);
			return;
		}
		route_skip(&c->route);
	}
	wait_round(c);
}

/* Tries again, or tells the caller. */
void ing_failed(struct call *c, enum retry_outcome outcome,
		uint32_t retry_after_ms)
{
	struct nod *n = c->ing->n;
	uint64_t now = nod_now_us(n);

	c->retry.body_replayable = !c->more_len || !c->can_send;
	if (outcome == RETRY_MOVED) {
		ing_attempt(c);
		return;
	}
	c->retry.attempts++;
	if (now + CLOSE_TO_DEADLINE_US < c->deadline_us &&
	    svcretry_allow(c->ing->retries, c->retries, &c->retry, outcome,
			   now)) {
		ctr_add(CTR_RETRIES, 1);
		svcretry_count_arrival(c->ing->retries, c->retries,
				       c->retry.attempts + 1);
		forget_tries(c);
		c->timer = tmr_at(n->timers,
				  now + retry_delay_us(c->retry.attempts,
						       clk_random(n->clk)),
				  round_due, c);
		return;
	}
	if (outcome == RETRY_SHED)
		ing_tell(c, OUTCOME_SHED, 503, retry_after_ms,
			 "the upstream is busy");
	else if (outcome == RETRY_NOT_RUN)
		ing_tell(c, OUTCOME_NOT_RUN, 503, NOT_RUN_RETRY_MS,
			 "no upstream ran the request");
	else
		ing_tell(c, OUTCOME_UNKNOWN,
			 now + CLOSE_TO_DEADLINE_US >= c->deadline_us ? 504 :
									502,
			 0, "the request may have run");
}

/* Tells what is known of a duplicate. */
static void tell_duplicate(struct call *c, const struct dedup_response *stored)
{
	struct websrv_header type = { "content-type",
				      stored ? stored->content_type : "" };

	if (!stored || !stored->status) {
		ing_tell(c, OUTCOME_UNKNOWN, 409, 0,
			 "a request with this id ran or is running");
		return;
	}
	ing_respond(c, stored->status, &type, type.value[0] != '\0',
		    stored->body_len);
	finish(c, OUTCOME_DONE, stored->status);
	if (c->req)
		websrv_write(c->req, stored->body, stored->body_len, true);
}

/* Maps the status of an attempt to what follows. */
void ing_refused(struct call *c, const struct exe_refusal *refusal)
{
	switch (refusal->status) {
	case PEER_MOVED:
	case PEER_WRONG_PROCESS:
		route_invalidate(c->ing->routes, c->part, &c->target_proc);
		ing_failed(c, RETRY_MOVED, 0);
		break;
	case PEER_SHED:
		ing_failed(c, RETRY_SHED, refusal->retry_after_ms);
		break;
	case PEER_UNKNOWN:
		ing_failed(c, RETRY_UNKNOWN, 0);
		break;
	case PEER_QUARANTINED:
		ing_tell(c, OUTCOME_QUARANTINED, 422, 0,
			 "the request has crashed upstreams");
		break;
	case PEER_INVALID:
		ing_tell(c, OUTCOME_INVALID, 400, 0,
			 "the request id or the kind is not valid");
		break;
	case PEER_DUPLICATE:
		tell_duplicate(c, refusal->stored);
		break;
	case PEER_UNSEEN:
		ing_tell(c, OUTCOME_UNKNOWN, 409, 0,
			 "an earlier attempt may have run; this one did not");
		break;
	default:
		ing_failed(c, RETRY_NOT_RUN, refusal->retry_after_ms);
		break;
	}
}
