#include "ing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "dedup.h"
#include "ing_call.h"
#include "placement.h"
#include "pub.h"

#define NOT_RUN_RETRY_MS 1000

static const char *header_of(void *arg, const char *name)
{
	return websrv_header(arg, name);
}

/* Sets the deadline of the kind, or the shorter one of the caller. */
static void set_deadline(struct call *c, const struct manifest_kind *kind)
{
	const char *text = websrv_header(c->req, "geranium-timeout-ms");
	unsigned long wanted = text ? strtoul(text, NULL, 10) : 0;
	uint64_t ms = kind->deadline_ms;

	if (wanted > 0 && wanted < ms)
		ms = wanted;
	c->started_us = nod_now_us(c->ing->n);
	c->deadline_us = c->started_us + ms * US_PER_MS;
}

/* Joins path and query; false if they are too long to be forwarded. */
static bool take_target(struct call *c)
{
	const char *query = websrv_query(c->req);
	int len = snprintf(c->target, sizeof(c->target), "%s%s%s",
			   websrv_path(c->req), query[0] ? "?" : "", query);

	return len > 0 && (size_t)len < sizeof(c->target);
}

/* Copies what the request needs from the manifest, which may be replaced. */
static void take_match(struct call *c, const struct manifest_match *m)
{
	const struct manifest_kind *kind = &m->service->kinds[m->kind];
	const char *id = websrv_header(c->req, "idempotency-key");

	c->part = part_id(m->service->id,
			  placement_partition_of_key(m->key, m->key_len,
						     m->service->partitions));
	c->route.part = c->part;
	c->retries = svcretry_find_service(c->ing->retries, m->service->name);
	snprintf(c->kind, sizeof(c->kind), "%s", kind->name);
	snprintf(c->key, sizeof(c->key), "%.*s", (int)sizeof(c->key) - 1,
		 m->key);
	c->request_id = !kind->idempotent && id ? id : "";
	c->retry.idempotent = kind->idempotent;
	set_deadline(c, kind);
	c->retry.deadline_us = c->deadline_us;
}

/*
 * Checks the request id; false if the caller was refused. No message to the
 * owner has room for a longer one; the owner checks its form.
 */
static bool check_id(struct call *c)
{
	if (!c->request_id[0]) {
		ing_tell(c, OUTCOME_INVALID, 400, 0,
			 "the header Idempotency-Key is missing");
		return false;
	}
	if (strlen(c->request_id) >= DEDUP_ID_MAX) {
		ing_tell(c, OUTCOME_INVALID, 400, 0,
			 "the header Idempotency-Key is too long");
		return false;
	}
	return true;
}

/* Matches a request; false if the caller was refused. */
static bool match(struct call *c)
{
	const struct manifest *man = pub_manifest(c->ing->n->pub);
	struct manifest_request req = { .method = websrv_method(c->req),
					.path = websrv_path(c->req),
					.query = websrv_query(c->req),
					.header = header_of,
					.arg = c->req };
	const struct manifest_kind *kind;
	struct manifest_match m;

	if (!man) {
		ing_tell(c, OUTCOME_NOT_RUN, 503, NOT_RUN_RETRY_MS,
			 "no manifest is in force yet");
		return false;
	}
	switch (manifest_match(man, &req, &m)) {
	case MANIFEST_NO_KIND:
		ing_tell(c, OUTCOME_INVALID, 404, 0, "no such kind of request");
		return false;
	case MANIFEST_NO_METHOD:
		ing_tell(c, OUTCOME_INVALID, 405, 0, "no such method");
		return false;
	case MANIFEST_NO_KEY:
		ing_tell(c, OUTCOME_INVALID, 400, 0, "the key is missing");
		return false;
	default:
		break;
	}
	if (!take_target(c)) {
		ing_tell(c, OUTCOME_INVALID, 414, 0, "the target is too long");
		return false;
	}
	kind = &m.service->kinds[m.kind];
	if (!manifest_allows_caller(man, kind, websrv_peer(c->req))) {
		ing_tell(c, OUTCOME_FORBIDDEN, 403, 0,
			 "this caller may not use this kind");
		return false;
	}
	take_match(c, &m);
	return kind->idempotent || check_id(c);
}

/* Checks the length of the body; false if the caller was refused. */
static bool check_length(struct call *c)
{
	if (c->content_length <= (long long)c->ing->n->set.max_body_bytes)
		return true;
	ing_tell(c, OUTCOME_INVALID, 413, 0, "the body is too long");
	return false;
}

/* A request has arrived. */
static void on_head(void *arg, struct websrv_req *r)
{
	struct ing *i = arg;
	struct call *c = calloc(1, sizeof(*c));

	ctr_add(CTR_REQUESTS, 1);
	if (!c) {
		websrv_abort(r);
		return;
	}
	c->ing = i;
	c->req = r;
	i->count++;
	websrv_set_user(r, c);
	tracer_start_span(i->n->traces, websrv_header(r, "traceparent"),
			  &c->span);
	tracer_format_traceparent(&c->span, c->traceparent);
	c->content_length = websrv_content_length(r);
	c->body_end = c->content_length == 0;
	if (!match(c) || !check_length(c))
		return;
	svcretry_count_arrival(i->retries, c->retries, 1);
	if (c->body_end)
		ing_attempt(c);
}

static void on_writable(void *arg, struct websrv_req *r)
{
	struct call *c = websrv_user(r);

	(void)arg;
	if (!c || c->finished)
		return;
	if (c->run)
		exe_pause(c->run, false);
	else
		ing_out_writable(c);
}

/* The response is out, or the caller has gone: the work is cancelled. */
static void on_closed(void *arg, struct websrv_req *r, bool complete)
{
	struct ing *i = arg;
	struct call *c = websrv_user(r);

	(void)complete;
	if (!c)
		return;
	c->req = NULL;
	tmr_cancel(i->n->timers, c->timer);
	if (c->run)
		exe_cancel(c->run);
	ing_out_cancel(c);
	if (!c->finished) {
		ctr_add(CTR_CALLERS_GONE, 1);
		tracer_end_span(i->n->traces, &c->span, "route", "caller-gone",
				0);
	}
	i->count--;
	free(c->first);
	free(c->more);
	free(c);
}

static const struct websrv_ops server_ops = {
	.head = on_head,
	.body = ing_on_body,
	.writable = on_writable,
	.closed = on_closed,
};

/* Opens the port for callers. */
struct ing *ing_create(struct nod *n, struct err *err)
{
	struct ing *i = calloc(1, sizeof(*i));
	struct websrv_params params = { .address = n->set.address,
					.port = n->set.http_port,
					.max_connections = n->set.max_callers,
					.idle_timeout_ms =
						n->set.idle_timeout_ms,
					.header_timeout_ms =
						n->set.header_timeout_ms };

	if (!i) {
		err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
		return NULL;
	}
	i->n = n;
	i->next_stream = 1;
	i->routes = route_cache_create(n->replica);
	i->retries = svcretry_create(n->timers, ING_RETRY_BURST,
				     ING_RETRY_BURST, nod_now_us(n));
	if (i->routes && i->retries)
		i->server =
			websrv_create(n->loop, &params, &server_ops, i, err);
	if (!i->server) {
		err_wrap(err, ERR_DAEMON, NOD_NO_SOCKET, "port for callers");
		ing_destroy(i);
		return NULL;
	}
	return i;
}

/* Frees the module and closes its connections. */
void ing_destroy(struct ing *i)
{
	if (!i)
		return;
	if (i->server)
		websrv_destroy(i->server);
	route_cache_destroy(i->routes);
	svcretry_destroy(i->retries);
	free(i);
}

/* Closes the listening port. */
void ing_stop(struct ing *i)
{
	websrv_stop_listening(i->server);
}

/* Counts the connections of callers. */
size_t ing_connections(const struct ing *i)
{
	return websrv_connections(i->server);
}

/* Counts the connections with output that was not acknowledged. */
size_t ing_unacked(const struct ing *i)
{
	return websrv_unacked(i->server);
}

/* Counts the requests in progress. */
size_t ing_count(const struct ing *i)
{
	return i->count;
}
