#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "clilimit.h"
#include "peer_headers.h"
#include "log.h"
#include "routerd_int.h"

/* Retry-After time for callers of a daemon that is stopping or starting. */
#define STOP_RETRY_AFTER_MS 200
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAVAILABLE 503

/* Retry delay of a request that there is no memory for. */
#define MEMORY_RETRY_AFTER_MS 500

/* A message of another daemon may use 1/BODY_MEMORY_DIVISOR of the memory. */
#define BODY_MEMORY_DIVISOR 4
/*
 * Responses that wait for earlier ones on their connection may use
 * 1/HELD_MEMORY_DIVISOR.
 */
#define HELD_MEMORY_DIVISOR 8
#define MIB 1048576U
#define DEFAULT_MEMORY_MB 256
/* What daemons add to the head of a request that they forward. */
#define PEER_HEAD_BYTES 65536U
/* Time limit of a message between daemons, which a busy link delays. */
#define PEER_MESSAGE_US (60 * US_PER_S)

/*
 * Limits of the servers that callers do not use. An announcement with all the
 * ranges that an upstream can hold takes some 60 kB.
 */
#define SMALL_BODY_BYTES MIB
#define SMALL_HEADER_US (5 * US_PER_S)
#define SMALL_IDLE_US (60 * US_PER_S)

/* True if callers can be served; false during a stop. */
bool routerd_is_ready(const struct routerd *r)
{
	return r->config.version > 0 && evac_is_known(r->evac) &&
	       planview_is_ready(r->view) && r->stop_began_us == 0;
}

/* Handles a request of a caller. */
static void *on_caller(void *arg, struct httpconn *c, const struct httpmsg *m,
		       const struct buf *body)
{
	struct routerd *r = arg;
	struct buf fields = { 0 };

	/*
	 * The configuration may be known before the evacuations, from the
	 * leader, and one with its route may have come during its body.
	 */
	if (!routerd_is_refusing(r) &&
	    (evac_is_known(r->evac) || r->config.version == 0) &&
	    !(httpconn_body_is_discarded(c) && fwd_has_route(r->forwards, m)))
		return fwd_accept(r->forwards, c, m, body);
	r->platform.ops->write_retry_after(&fields, STOP_RETRY_AFTER_MS);
	buf_add(&fields, "", 1);
	httpconn_reply(c, STATUS_UNAVAILABLE, buf_data(&fields), "", 0);
	buf_free(&fields);
	return NULL;
}

/* True if a request of a caller may overlap others on its connection. */
static bool may_overlap(void *arg, const struct httpmsg *m)
{
	const struct routerd *r = arg;

	return fwd_may_overlap(r->forwards, m);
}

/* The body of a request without a route is not needed. */
static bool caller_needs_body(void *arg, const struct httpmsg *m)
{
	const struct routerd *r = arg;

	return fwd_has_route(r->forwards, m);
}

/* Tells a caller when to send a request that there was no memory for. */
static void write_caller_refusal(void *arg, struct buf *fields)
{
	const struct routerd *r = arg;

	r->platform.ops->write_retry_after(fields, MEMORY_RETRY_AFTER_MS);
}

/* Tells another daemon that a request has not run. */
static void write_peer_refusal(void *arg, struct buf *fields)
{
	(void)arg;
	peerhdr_write_rejection(fields, REQRUN_BUSY,
				MEMORY_RETRY_AFTER_MS * US_PER_MS);
}

static const struct httpsrv_ops caller_ops = { on_caller, fwd_caller_closed,
					       fwd_caller_drained };

/* Handles a request or message of another daemon. */
static void *on_peer(void *arg, struct httpconn *c, const struct httpmsg *m,
		     const struct buf *body)
{
	struct routerd *r = arg;

	if (httpmsg_find(m, PEERHDR_REQUEST_FIELD).text &&
	    routerd_is_refusing(r)) {
		peersrv_reject(r->forwarded, c);
		return NULL;
	}
	if (httpmsg_find(m, PEERHDR_REQUEST_FIELD).text)
		return peersrv_accept(r->forwarded, c, m, body);
	routerd_handle_peer_message(r, c, m, body);
	return NULL;
}

/* Decides on the body of another daemon's request, which it holds back. */
static uint16_t on_peer_expect(void *arg, const struct httpmsg *m,
			       struct buf *fields)
{
	struct routerd *r = arg;

	if (!httpmsg_find(m, PEERHDR_REQUEST_FIELD).text)
		return 0;
	return peersrv_expect(r->forwarded, m, routerd_is_refusing(r), fields);
}

static const struct httpsrv_ops peer_ops = { on_peer, peersrv_peer_closed,
					     peersrv_peer_drained };

/* Answers a readiness probe. */
static void *on_ready(void *arg, struct httpconn *c, const struct httpmsg *m,
		      const struct buf *body)
{
	struct routerd *r = arg;
	bool ready = routerd_is_ready(r);

	(void)m;
	(void)body;
	if (ready != r->was_ready)
		log_emit(LOG_READY_CHANGED,
			 "ready=%d config=%llu plan=%d stopping=%d", ready,
			 (unsigned long long)r->config.version,
			 planview_is_ready(r->view), r->stop_began_us > 0);
	r->was_ready = ready;
	httpconn_reply(c, ready ? STATUS_OK : STATUS_UNAVAILABLE, "", "", 0);
	return NULL;
}

/* No body is needed at the addresses for probes and metrics. */
static bool needs_no_body(void *arg, const struct httpmsg *m)
{
	(void)arg;
	(void)m;
	return false;
}

/* Unused: requests to these addresses are answered at once. */
static void ignore_close(void *request)
{
	(void)request;
}

static const struct httpsrv_ops ready_ops = { on_ready, ignore_close, NULL };

/* Handles an announcement of the local upstream. */
static void *on_announcement(void *arg, struct httpconn *c,
			     const struct httpmsg *m, const struct buf *body)
{
	struct routerd *r = arg;
	struct plat_announcement *a = &r->announcement;
	const char *reason = NULL;

	if (!r->platform.ops->read_announcement(m, body, a, &reason)) {
		log_emit(LOG_ANNOUNCEMENT_INVALID, "reason=\"%s\"", reason);
		httpconn_reply(c, STATUS_BAD_REQUEST, "", "", 0);
		return NULL;
	}
	if (!a->leaves &&
	    strcmp(a->address, r->settings.upstream_address) != 0) {
		log_emit(LOG_ANNOUNCEMENT_INVALID,
			 "reason=\"address of another upstream\" "
			 "address=%s id=%s",
			 a->address, a->id);
		httpconn_reply(c, STATUS_BAD_REQUEST, "", "", 0);
		return NULL;
	}
	return upstr_handle_announcement(r->upstream, c, a);
}

/* The connection of an unanswered announcement was closed. */
static void on_announcement_gone(void *request)
{
	upstr_answer_aborted(request);
}

static const struct httpsrv_ops announcement_ops = { on_announcement,
						     on_announcement_gone,
						     NULL };

static const struct httpsrv_ops metrics_ops = { routerd_on_metrics,
						ignore_close, NULL };

/* Puts the servers under the guard of memory and descriptors. */
static void guard_servers(struct routerd *r)
{
	httpsrv_set_guard(r->callers, r->guard, true);
	httpsrv_set_guard(r->ready, r->guard, true);
	httpsrv_set_guard(r->announcements, r->guard, true);
	httpsrv_set_guard(r->peers, r->guard, false);
	httpsrv_set_body_filter(r->callers, caller_needs_body);
	httpsrv_set_body_filter(r->ready, needs_no_body);
	httpsrv_set_refusal(r->callers, write_caller_refusal);
	httpsrv_set_refusal(r->peers, write_peer_refusal);
	if (!r->metrics)
		return;
	httpsrv_set_guard(r->metrics, r->guard, true);
	httpsrv_set_body_filter(r->metrics, needs_no_body);
}

/* Opens the listening sockets; false and err on failure. */
bool routerd_open_servers(struct routerd *r, struct err *err)
{
	const struct rsettings *s = &r->settings;
	const struct httpsrv_limits small = {
		.head_bytes = HTTPMSG_HEAD_BYTES,
		.body_bytes = SMALL_BODY_BYTES,
		.buffered_bytes = SMALL_BODY_BYTES,
		.header_us = SMALL_HEADER_US,
		.idle_us = SMALL_IDLE_US,
	};

	r->ready =
		httpsrv_create(r->loop, s->ready_address, &ready_ops, r, err);
	r->announcements = r->ready ?
				   httpsrv_create(r->loop, s->announce_address,
						  &announcement_ops, r, err) :
				   NULL;
	r->peers = r->announcements ? httpsrv_create(r->loop, s->peer_address,
						     &peer_ops, r, err) :
				      NULL;
	r->callers = r->peers ? httpsrv_create(r->loop, s->caller_address,
					       &caller_ops, r, err) :
				NULL;
	if (r->callers && s->metrics_address[0])
		r->metrics = httpsrv_create(r->loop, s->metrics_address,
					    &metrics_ops, r, err);
	if (r->callers) {
		httpsrv_set_limits(r->announcements, &small);
		httpsrv_set_limits(r->ready, &small);
		if (r->metrics)
			httpsrv_set_limits(r->metrics, &small);
		/*
		 * The link is not set for callers: they are on this instance.
		 */
		httpsrv_set_pacer(r->peers, r->link);
		httpsrv_set_compact(r->peers);
		httpsrv_set_expect(r->peers, on_peer_expect);
		guard_servers(r);
		routerd_set_limits(r);
	}
	return r->callers && (r->metrics || !s->metrics_address[0]);
}

/* Closes the listening sockets and all connections. */
void routerd_close_servers(struct routerd *r)
{
	httpsrv_destroy(r->callers);
	httpsrv_destroy(r->peers);
	httpsrv_destroy(r->ready);
	httpsrv_destroy(r->announcements);
	httpsrv_destroy(r->metrics);
}

/*
 * Returns the limit in bytes for the heads of callers' requests: that of the
 * configuration, but no more than the memory for bodies allows.
 */
static uint32_t head_bytes(const struct rconfig *c, uint32_t memory_bytes)
{
	if (c->header_bytes_max <= HTTPMSG_HEAD_BYTES)
		return HTTPMSG_HEAD_BYTES;
	return c->header_bytes_max < memory_bytes ? c->header_bytes_max :
						    memory_bytes;
}

/* Returns the descriptors of the process, as the system limits them, too. */
static uint32_t max_descriptors(const struct routerd *r)
{
	struct rlimit own;
	uint32_t set = r->settings.max_fds;

	if (getrlimit(RLIMIT_NOFILE, &own) < 0 || own.rlim_cur > UINT32_MAX)
		return set;
	return set && set < own.rlim_cur ? set : (uint32_t)own.rlim_cur;
}

/* Applies the limits for requests from the configuration and the settings. */
void routerd_set_limits(struct routerd *r)
{
	const struct rconfig *c = &r->config;
	uint32_t memory = r->settings.memory_mb ? r->settings.memory_mb :
						  DEFAULT_MEMORY_MB;
	uint32_t message = memory / BODY_MEMORY_DIVISOR * MIB;
	struct httpsrv_limits limits = {
		.body_bytes = c->body_bytes_max,
		.buffered_bytes = UINT32_MAX, /* bounded by the guard */
		.header_us = c->header_timeout_ms * (uint32_t)US_PER_MS,
		.idle_us = c->idle_timeout_ms * (uint32_t)US_PER_MS,
	};

	httpguard_set_limits(r->guard, clilimit_memory_bytes(memory),
			     clilimit_sockets(max_descriptors(r)));
	if (c->version == 0)
		return;
	limits.head_bytes = head_bytes(c, message);
	httpsrv_set_limits(r->callers, &limits);
	httpsrv_set_overlap(r->callers, may_overlap,
			    (size_t)memory / HELD_MEMORY_DIVISOR * MIB);
	/* The limits for callers do not apply to messages between daemons. */
	limits.head_bytes += PEER_HEAD_BYTES;
	if (limits.body_bytes < message)
		limits.body_bytes = message;
	limits.header_us = PEER_MESSAGE_US;
	limits.idle_us = UINT32_MAX;
	httpsrv_set_limits(r->peers, &limits);
}
