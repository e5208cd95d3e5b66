#include "crashwatch.h"

#include <inttypes.h>
#include <stdlib.h>

#include "log.h"

/* Runs without a response that are remembered. */
#define LOST_MAX 64
/* Time from such a run until the end of its upstream is noticed. */
#define LOST_VALID_US (5 * US_PER_S)
#define CHANGES_MAX 64
/* Interval at which changes are sent, and for how long. */
#define SEND_US (500 * US_PER_MS)
#define SEND_FOR_US (10 * US_PER_S)

/* A run that ended without a response. */
struct lost_run {
	uint64_t fingerprint;
	uint64_t incarnation;
	uint64_t at_us; /* 0 if unused */
};

struct pending {
	struct crashwatch_change change;
	uint64_t since_us;
};

struct crashwatch {
	struct evloop *loop;
	const struct planview *view;
	const struct crashwatch_ops *ops;
	void *arg;
	struct lost_run lost[LOST_MAX];
	size_t next_lost;
	uint64_t ended; /* last incarnation that has crashed */
	uint64_t ended_us;
	struct pending pending[CHANGES_MAX];
	size_t pending_count;
	uint32_t timer; /* set while changes are pending */
};

static void send_pending(void *arg, uint64_t now_us);

/* Creates the watch; NULL if out of memory. */
struct crashwatch *crashwatch_create(struct evloop *l,
				     const struct planview *view,
				     const struct crashwatch_ops *ops,
				     void *arg)
{
	struct crashwatch *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->loop = l;
	w->view = view;
	w->ops = ops;
	w->arg = arg;
	return w;
}

/* Frees the watch; changes that the plan does not have yet are lost. */
void crashwatch_destroy(struct crashwatch *w)
{
	if (!w)
		return;
	tmr_cancel(evloop_timers(w->loop), w->timer);
	free(w);
}

/* Returns the fingerprint of a request. */
uint64_t crashwatch_fingerprint(const struct httpmsg *m, const struct buf *body)
{
	struct span host = httpmsg_find(m, "host");
	struct span target = httpmsg_target(m);
	size_t len = buf_len(body);

	return crashes_fingerprint(m->method, host.text, host.len, target.text,
				   target.len, len ? buf_data(body) : NULL,
				   len);
}

/* True if the plan shows the change, so that it needs not be sent any more. */
static bool is_known(const struct crashwatch *w,
		     const struct crashwatch_change *c)
{
	const struct crashes_entry *e =
		crashes_find(planview_crashes(w->view), c->fingerprint);

	if (c->ended == 0)
		return !e;
	for (uint32_t i = 0; e && i < e->count; i++) {
		if (e->ended[i] == c->ended)
			return true;
	}
	return e && e->count >= CRASHES_LIMIT;
}

/* Removes the changes that are known or too old. */
static void prune_pending(struct crashwatch *w, uint64_t now_us)
{
	size_t kept = 0;

	for (size_t i = 0; i < w->pending_count; i++) {
		const struct pending *p = &w->pending[i];

		if (!is_known(w, &p->change) &&
		    clk_elapsed(now_us, p->since_us) < SEND_FOR_US)
			w->pending[kept++] = *p;
	}
	w->pending_count = kept;
}

/* Sends all pending changes, again and again until the plan has them. */
static void send_pending(void *arg, uint64_t now_us)
{
	struct crashwatch *w = arg;
	struct crashwatch_change changes[CHANGES_MAX];

	w->timer = 0;
	prune_pending(w, now_us);
	if (w->pending_count == 0)
		return;
	for (size_t i = 0; i < w->pending_count; i++)
		changes[i] = w->pending[i].change;
	w->timer = tmr_at(evloop_timers(w->loop), now_us + SEND_US,
			  send_pending, w);
	w->ops->on_changes(w->arg, changes, w->pending_count);
}

/* Adds a change, which is sent from the event loop. */
static void add_pending(struct crashwatch *w, uint64_t fingerprint,
			uint64_t ended)
{
	uint64_t now = evloop_now_us(w->loop);
	struct pending *p;

	for (size_t i = 0; i < w->pending_count; i++) {
		p = &w->pending[i];
		if (p->change.fingerprint == fingerprint &&
		    p->change.ended == ended)
			return;
	}
	if (w->pending_count == CHANGES_MAX)
		return;
	p = &w->pending[w->pending_count++];
	p->change.fingerprint = fingerprint;
	p->change.ended = ended;
	p->since_us = now;
	tmr_cancel(evloop_timers(w->loop), w->timer);
	w->timer = tmr_at(evloop_timers(w->loop), now, send_pending, w);
}

/* Reports a request that an incarnation ran when it crashed. */
static void report_run(struct crashwatch *w, struct lost_run *r)
{
	r->at_us = 0;
	log_emit(LOG_RUN_CRASHED,
		 "fingerprint=%016" PRIx64 " incarnation=%016" PRIx64,
		 r->fingerprint, r->incarnation);
	add_pending(w, r->fingerprint, r->incarnation);
}

/*
 * Remembers a request whose run at an incarnation, given by its hash, has ended
 * without a whole response. It counts only if that incarnation crashes.
 */
void crashwatch_run_lost(struct crashwatch *w, const struct httpmsg *m,
			 const struct buf *body, uint64_t incarnation)
{
	struct lost_run *r = &w->lost[w->next_lost++ % LOST_MAX];

	r->fingerprint = crashwatch_fingerprint(m, body);
	r->incarnation = incarnation;
	r->at_us = evloop_now_us(w->loop);
	if (w->ended == incarnation &&
	    clk_elapsed(r->at_us, w->ended_us) <= LOST_VALID_US)
		report_run(w, r);
}

/* Clears a request that has been listed: it does not crash its upstream. */
void crashwatch_run_completed(struct crashwatch *w, const struct httpmsg *m,
			      const struct buf *body)
{
	const struct crashes *known = planview_crashes(w->view);
	uint64_t fingerprint;

	if (known->count == 0)
		return;
	fingerprint = crashwatch_fingerprint(m, body);
	if (crashes_find(known, fingerprint))
		add_pending(w, fingerprint, 0);
}

/* Reports the requests that the incarnation ran when it crashed. */
void crashwatch_upstream_ended(struct crashwatch *w,
			       const struct incarnation *ended)
{
	uint64_t hash = crashes_hash_incarnation(ended);
	uint64_t now = evloop_now_us(w->loop);

	for (size_t i = 0; i < LOST_MAX; i++) {
		struct lost_run *r = &w->lost[i];

		if (r->at_us == 0 || r->incarnation != hash ||
		    clk_elapsed(now, r->at_us) > LOST_VALID_US)
			continue;
		report_run(w, r);
	}
	w->ended = hash;
	w->ended_us = now;
}

/* True if the request has crashed too many upstreams. */
bool crashwatch_refuses(const struct crashwatch *w, const struct httpmsg *m,
			const struct buf *body)
{
	const struct crashes *known = planview_crashes(w->view);

	return known->count > 0 &&
	       crashes_refuses(known, crashwatch_fingerprint(m, body));
}
