#include "own_int.h"

#include "ctr.h"

/* Sends the messages of one batch in one datagram. */
static void send_batch(struct own *o, const struct batch *b)
{
	const struct member *m = replica_member(o->n->replica, b->to.instance);
	struct peer_lease lease = { .from = nod_to_peer(&o->n->self),
				    .to = nod_to_peer(&b->to) };
	struct peerrpc_address to;

	if (!m || !proc_equal(&m->proc, &b->to))
		return;
	lease.msgs.msgs_len = b->count;
	lease.msgs.msgs_val = (peer_lease_msg *)b->msgs;
	nod_peer_address(m, &to);
	ctr_add(CTR_LEASE_DATAGRAMS, 1);
	peerrpc_notify(o->n->peers, &to, PEER_LEASE, &lease);
}

static void flush(struct own *o)
{
	for (size_t i = 0; i < o->batch_count; i++)
		send_batch(o, &o->batches[i]);
	o->batch_count = 0;
}

static void flush_due(void *arg, uint64_t now_us)
{
	struct own *o = arg;

	(void)now_us;
	o->flush_pending = false;
	flush(o);
}

/* Finds or makes the batch of a destination. */
static struct batch *batch_for(struct own *o, const struct proc *to)
{
	struct batch *b;

	for (size_t i = 0; i < o->batch_count; i++) {
		b = &o->batches[i];
		if (proc_equal(&b->to, to) && b->count < PEER_LEASE_MAX)
			return b;
	}
	if (o->batch_count == DESTINATIONS_MAX)
		flush(o);
	b = &o->batches[o->batch_count++];
	b->to = *to;
	b->count = 0;
	return b;
}

/* Collects a message; it leaves in the same step of the loop. */
void own_on_send(void *arg, const struct proc *to, const struct lease_msg *msg)
{
	struct own *o = arg;
	struct batch *b = batch_for(o, to);
	struct peer_lease_msg *m = &b->msgs[b->count++];

	m->type = msg->type;
	m->part = msg->part;
	m->row_version = msg->version;
	m->seq = msg->seq;
	m->active = msg->active;
	m->claimed = msg->claimed;
	m->sealed_below = msg->sealed_below;
	m->promised_to = nod_to_peer(&msg->promised_to);
	m->promise_left_us = (u_int)msg->promise_left_us;
	if (!o->flush_pending) {
		o->flush_pending = true;
		tmr_at(o->n->timers, nod_now_us(o->n), flush_due, o);
	}
}
