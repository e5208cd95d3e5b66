#include "own_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bal.h"
#include "ctr.h"
#include "exe.h"
#include "log.h"
#include "pub.h"

#define TICK_US (50 * US_PER_MS)

/*
 * This process acts from now on. Without a window from the former owner it
 * cannot know what ran before, so its window begins now.
 */
static void on_started(void *arg, uint64_t part, uint64_t fence)
{
	struct own *o = arg;
	struct transfer *t = own_find_transfer(o, part);
	bool imported = t && t->step == TRANSFER_IMPORTED;
	bool kept = own_keeps_window(o, part, fence);

	o->acting++;
	ctr_set(CTR_PARTITIONS_ACTING, o->acting);
	log_emit(LOG_LEASE_STARTED,
		 "service=%u partition=%u fence=%" PRIu64 " window=%s",
		 part_service(part), part_index(part), fence,
		 imported ? "handed_over" :
		 kept	  ? "kept" :
			    "new");
	if (imported)
		own_drop_transfer(o, t);
	else if (!kept)
		dedup_open(exe_duplicates(o->n->exec), part,
			   clk_wall_ms(o->n->clk));
	own_add_window(o, part, fence);
}

/* The time for requests of an older version is over. */
static void grace_over(void *arg, uint64_t now_us)
{
	struct window *w = arg;
	struct lease_term term;

	(void)now_us;
	w->timer = 0;
	if (!own_may_act(w->own, w->part, &term))
		exe_abandon(w->own->n->exec, w->part);
}

/* The fence of this process in the newest row, 0 if it is not the owner. */
static uint64_t newest_fence(const struct own *o, uint64_t part)
{
	const struct row *row = replica_row(o->n->replica, part);

	if (!row || !proc_equal(&row->set.owner, &o->n->self))
		return 0;
	return row_fence(&row->set);
}

/*
 * This process no longer acts. What still runs is ended, unless it only takes
 * up a newer version of its own, which has not begun yet.
 */
static void on_stopped(void *arg, uint64_t part, uint64_t fence)
{
	struct own *o = arg;
	struct window *w = own_find_window(o, part);
	uint64_t grace_us = lease_grace_end_us(o->lease, part);
	bool goes_on = grace_us > nod_now_us(o->n);

	o->acting -= o->acting > 0;
	ctr_set(CTR_PARTITIONS_ACTING, o->acting);
	log_emit(LOG_LEASE_STOPPED, "service=%u partition=%u fence=%" PRIu64,
		 part_service(part), part_index(part), fence);
	if (w) {
		w->fence = fence;
		w->next_fence = goes_on ? newest_fence(o, part) : 0;
		tmr_cancel(o->n->timers, w->timer);
		w->timer = 0;
	}
	if (goes_on && w)
		w->timer = tmr_at(o->n->timers, grace_us, grace_over, w);
	else
		exe_abandon(o->n->exec, part);
}

static void on_want_row(void *arg, uint64_t part, enum lease_row_reason want)
{
	struct own *o = arg;

	bal_want(o->n->balance, part, want);
}

static const struct lease_callbacks lease_ops = {
	.send = own_on_send,
	.started = on_started,
	.stopped = on_stopped,
	.drain = own_on_drain,
	.request_row = on_want_row,
};

static void tick_due(void *arg, uint64_t now_us)
{
	struct own *o = arg;

	lease_tick(o->lease, now_us);
}

/* True if this process is in the row or in one of its earlier sets. */
static bool concerns_self(const struct own *o, const struct row *row)
{
	if (row_set_has(&row->set, &o->n->self))
		return true;
	for (uint32_t i = 0; i < row->prev_count; i++) {
		if (row_set_has(&row->prev[i], &o->n->self))
			return true;
	}
	return false;
}

/* How long a successor waits for requests that the old upstream may run. */
static uint64_t takeover_extra_us(const struct own *o, uint64_t part)
{
	const struct manifest *man = pub_manifest(o->n->pub);
	const struct manifest_service *s =
		man ? manifest_service_by_id(man, part_service(part)) : NULL;

	if (!s || s->checks_fences)
		return 0;
	return manifest_max_nonidempotent_ms(s) * US_PER_MS;
}

static void learn(struct own *o, const struct row *row)
{
	if (concerns_self(o, row) ||
	    own_actor(o, row->part).instance == o->n->self.instance)
		lease_update_row(o->lease, row, takeover_extra_us(o, row->part),
				 nod_now_us(o->n));
}

/* A row of the replica has changed. */
static void row_changed(void *arg, const struct replica_entry *entry)
{
	struct own *o = arg;
	struct row row;

	if (strncmp(entry->key, "row/", 4) == 0 &&
	    row_decode(entry->value, &row, NULL))
		learn(o, &row);
}

/* Rows may have come before the manifest, which the wait depends on. */
static void manifest_changed(void *arg, const struct manifest *man)
{
	struct own *o = arg;
	const struct row *row;
	size_t pos = 0;

	(void)man;
	while ((row = replica_next_row(o->n->replica, &pos)))
		learn(o, row);
}

/* Makes the lease module and subscribes to what it needs. */
struct own *own_create(struct nod *n, struct err *err)
{
	struct own *o = calloc(1, sizeof(*o));
	char path[SETTINGS_PATH_MAX + 32];

	if (!o) {
		err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
		return NULL;
	}
	o->n = n;
	snprintf(path, sizeof(path), "%s/lease.yaml", n->set.chart_dir);
	o->chart = lease_chart_load(path, err);
	if (o->chart)
		o->lease = lease_create(&lease_default_params, o->chart,
					&n->self, &lease_ops, o);
	if (!o->lease) {
		err_wrap(err, ERR_DAEMON, NOD_BAD_CHART, "lease");
		own_destroy(o);
		return NULL;
	}
	replica_subscribe(n->replica, row_changed, o);
	pub_subscribe(n->pub, manifest_changed, o);
	tmr_every(n->timers, nod_now_us(n) + TICK_US, TICK_US, tick_due, o);
	tmr_every(n->timers, nod_now_us(n) + TICK_US, TICK_US,
		  own_drain_check_due, o);
	return o;
}

/* Frees the module without giving anything up. */
void own_destroy(struct own *o)
{
	struct heard *h;
	struct heard *next_heard;

	if (!o)
		return;
	h = o->heard;
	HASH_CLEAR(hh, o->heard);
	for (; h; h = next_heard) {
		next_heard = h->hh.next;
		free(h);
	}
	own_free_windows(o);
	lease_destroy(o->lease);
	statechart_destroy(o->chart);
	free(o);
}

/* Notes that a process was heard. */
static void note_heard(struct own *o, const struct proc *p)
{
	struct heard key;
	struct heard *h;

	memset(&key, 0, sizeof(key));
	key.proc.instance = p->instance;
	key.proc.incarnation = p->incarnation;
	HASH_FIND(hh, o->heard, &key.proc, sizeof(key.proc), h);
	if (!h) {
		h = calloc(1, sizeof(*h));
		if (!h)
			return;
		h->proc.instance = p->instance;
		h->proc.incarnation = p->incarnation;
		HASH_ADD(hh, o->heard, proc, sizeof(h->proc), h);
	}
	h->at_us = nod_now_us(o->n);
}

/* Takes the messages that are meant for this process. */
void own_lease(struct own *o, const struct peer_lease *m)
{
	struct proc from = nod_from_peer(&m->from);
	struct proc to = nod_from_peer(&m->to);

	if (!proc_equal(&to, &o->n->self))
		return;
	note_heard(o, &from);
	for (u_int i = 0; i < m->msgs.msgs_len; i++) {
		const struct peer_lease_msg *p = &m->msgs.msgs_val[i];
		struct lease_msg msg = { .type = (enum lease_msg_type)p->type,
					 .part = p->part,
					 .version = p->row_version,
					 .seq = p->seq,
					 .active = p->active,
					 .claimed = p->claimed,
					 .sealed_below = p->sealed_below,
					 .promise_left_us =
						 p->promise_left_us };

		msg.promised_to = nod_from_peer(&p->promised_to);
		if (p->type <= LEASE_SEAL_WAIT)
			lease_receive(o->lease, &from, &msg, nod_now_us(o->n));
	}
}

/* Asks the lease module. */
bool own_may_act(const struct own *o, uint64_t part, struct lease_term *term)
{
	if (!lease_may_act(o->lease, part, nod_now_us(o->n), term))
		return false;
	if (own_is_handing_over((struct own *)o, part))
		term->draining = true;
	return true;
}

/* Compares the newest row with this process. */
bool own_is_named(const struct own *o, uint64_t part)
{
	const struct row *row = replica_row(o->n->replica, part);

	return row && proc_equal(&row->set.owner, &o->n->self);
}

/*
 * Asks the lease module, which knows more than the row in a takeover. Who hands
 * a partition over names the next owner, although it still holds the lease.
 */
struct proc own_actor(const struct own *o, uint64_t part)
{
	const struct transfer *t = own_find_transfer((struct own *)o, part);
	const struct row *row = replica_row(o->n->replica, part);
	struct proc p = lease_acting_process(o->lease, part, nod_now_us(o->n));

	if (t && t->step != TRANSFER_IMPORTED)
		return t->new_owner;
	if (!p.incarnation && row)
		p = row->set.owner;
	return p;
}

/* Passes a proof on. */
void own_ended(struct own *o, const struct proc *p)
{
	lease_process_ended(o->lease, p, nod_now_us(o->n));
}

/* Looks up when a process was heard. */
uint64_t own_last_heard(const struct own *o, const struct proc *p)
{
	struct heard key;
	struct heard *h;

	memset(&key, 0, sizeof(key));
	key.proc.instance = p->instance;
	key.proc.incarnation = p->incarnation;
	HASH_FIND(hh, o->heard, &key.proc, sizeof(key.proc), h);
	return h ? h->at_us : 0;
}

/* Gives up every partition for which this process may act. */
void own_release_all(struct own *o)
{
	struct lease_term term;
	uint64_t part;
	size_t pos = 0;

	while (lease_next_part(o->lease, &pos, &part)) {
		if (own_may_act(o, part, &term))
			own_begin_release(o, part);
	}
}

/* Without an upstream nothing may be claimed, and what is held is released. */
void own_set_able(struct own *o, bool able)
{
	lease_set_upstream_available(o->lease, able);
	if (!able)
		own_release_all(o);
}

/* Counts the partitions held. */
size_t own_acting_count(const struct own *o)
{
	return o->acting;
}

/* Walks the partitions that concern this process. */
bool own_next_part(const struct own *o, size_t *pos, uint64_t *part)
{
	return lease_next_part(o->lease, pos, part);
}
