#include "lease_int.h"

#include <stdlib.h>
#include <string.h>

/* Output buffer; used counts bytes even beyond size. */
struct out {
	uint8_t *buf;
	size_t size;
	size_t used;
};

void lease_inject_fault(struct lease_mgr *mgr, enum lease_fault fault)
{
	mgr->fault = fault;
}

static bool clone_parts(struct lease_mgr *copy, const struct lease_mgr *mgr)
{
	for (const struct partition *p = mgr->parts; p; p = p->hh.next) {
		struct partition *q = malloc(sizeof(*q));

		if (!q)
			return false;
		*q = *p;
		HASH_ADD(hh, copy->parts, part, sizeof(q->part), q);
	}
	for (const struct ended_proc *e = mgr->ended; e; e = e->hh.next) {
		struct ended_proc *f = malloc(sizeof(*f));

		if (!f)
			return false;
		memcpy(f, e, sizeof(*f));
		HASH_ADD(hh, copy->ended, proc, sizeof(f->proc), f);
	}
	return true;
}

/* Copies the partitions and the proofs of ended processes. */
struct lease_mgr *lease_clone(const struct lease_mgr *mgr, void *arg)
{
	struct lease_mgr *copy = malloc(sizeof(*copy));

	if (!copy)
		return NULL;
	*copy = *mgr;
	copy->arg = arg;
	copy->parts = NULL;
	copy->ended = NULL;
	if (!clone_parts(copy, mgr)) {
		lease_destroy(copy);
		return NULL;
	}
	return copy;
}

/* Creates the manager as it is after a restart of the process. */
struct lease_mgr *lease_recreate(const struct lease_mgr *mgr,
				 const struct proc *self)
{
	struct lease_mgr *copy = lease_create(&mgr->params, mgr->chart, self,
					      &mgr->ops, mgr->arg);

	if (copy)
		copy->fault = mgr->fault;
	return copy;
}

static void put(struct out *o, uint64_t value)
{
	if (o->used + sizeof(value) <= o->size)
		memcpy(o->buf + o->used, &value, sizeof(value));
	o->used += sizeof(value);
}

static void put_proc(struct out *o, const struct proc *p)
{
	put(o, p->instance);
	put(o, p->incarnation);
}

/* Encodes a time that has no effect once it has passed. */
static void put_due(struct out *o, uint64_t at, uint64_t now)
{
	put(o, at > now ? at - now : 0);
}

/* Encodes a past time that has no effect once it is older than limit. */
static void put_age(struct out *o, uint64_t at, uint64_t limit, uint64_t now)
{
	put(o, now - at < limit ? now - at : limit);
}

static void put_promise(struct out *o, const struct proc *to, uint64_t version,
			uint64_t until, uint64_t now)
{
	const struct proc none = { 0 };
	bool open = until > now;

	put_proc(o, open ? to : &none);
	put(o, open ? version : 0);
	put_due(o, until, now);
}

static void put_seals(struct out *o, const struct lease_mgr *mgr,
		      const struct partition *p, uint64_t now)
{
	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		for (size_t j = 0; j < SET_MEMBERS; j++) {
			const struct seal *s = &p->seals[i][j];

			put(o, s->sealed);
			put_age(o, s->at_us, p->takeover_extra_us, now);
			put_promise(o, &s->to, 1, s->until_us, now);
		}
	}
	put_age(o, p->prev_owner_reply_us, mgr->params.promise_us, now);
}

static void put_set(struct out *o, const struct row_set *set)
{
	put(o, set->version);
	for (size_t i = 0; i < SET_MEMBERS; i++)
		put_proc(o, lease_member(set, i));
}

static void put_row(struct out *o, const struct row *row)
{
	put_set(o, &row->set);
	for (uint32_t i = 0; i < row->prev_count; i++)
		put_set(o, &row->prev[i]);
}

static void put_part(struct out *o, const struct lease_mgr *mgr,
		     const struct partition *p, uint64_t now)
{
	bool watches =
		p->phase == PHASE_WATCHING && p->active < p->row.set.version;

	put(o, p->part);
	put_row(o, &p->row);
	put(o, (uint64_t)p->phase);
	put(o, p->sealed_below);
	put(o, p->claimed);
	put(o, p->active);
	put(o, p->released);
	put_promise(o, &p->promise.to, p->promise.version, p->promise.until_us,
		    now);
	put(o, p->holds | p->as_successor << 1 | p->acting << 2 |
		       p->drained << 3 | (p->takeover_us != 0) << 4);
	if (p->holds || p->phase == PHASE_GIVEN_UP)
		put_set(o, &p->held);
	put_due(o, p->until_us, now);
	put_due(o, p->requests_end_us, now);
	put_due(o, p->takeover_us, now);
	put_due(o, p->next_request_us, now);
	if (watches)
		put_age(o, p->last_heard_us[0], mgr->params.promise_us, now);
	if (watches || p->phase == PHASE_SEALING || p->phase == PHASE_MOVING) {
		put_due(o, p->next_seal_us, now);
		put_seals(o, mgr, p, now);
	}
}

/* Omits fields that only affect ops.request_row(). */
size_t lease_encode(const struct lease_mgr *mgr, uint64_t now_us, uint8_t *out,
		    size_t size)
{
	struct out o = { .buf = out, .size = size };

	put_proc(&o, &mgr->self);
	for (const struct partition *p = mgr->parts; p; p = p->hh.next)
		put_part(&o, mgr, p, now_us);
	for (const struct ended_proc *e = mgr->ended; e; e = e->hh.next) {
		put_proc(&o, &e->proc);
		put_age(&o, e->at_us, mgr->params.promise_us, now_us);
	}
	return o.used;
}
