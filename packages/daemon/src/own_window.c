#include "own_int.h"

#include <stdlib.h>
#include <string.h>

#include "exe.h"
#include "log.h"

#define HANDOVER_TIMEOUT_US (2 * US_PER_S)

/* Looks up the transfer of a partition. */
struct transfer *own_find_transfer(struct own *o, uint64_t part)
{
	struct transfer *t;

	HASH_FIND(hh, o->transfers, &part, sizeof(part), t);
	return t;
}

static struct transfer *own_add_transfer(struct own *o, uint64_t part)
{
	struct transfer *t = own_find_transfer(o, part);

	if (t)
		return t;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	t->part = part;
	t->own = o;
	HASH_ADD(hh, o->transfers, part, sizeof(t->part), t);
	return t;
}

/* Forgets a transfer that is over. */
void own_drop_transfer(struct own *o, struct transfer *t)
{
	HASH_DEL(o->transfers, t);
	free(t);
}

/* Looks up the window of a partition. */
struct window *own_find_window(struct own *o, uint64_t part)
{
	struct window *w;

	HASH_FIND(hh, o->windows, &part, sizeof(part), w);
	return w;
}

/* Remembers that this process keeps a duplicate window of the partition. */
void own_add_window(struct own *o, uint64_t part, uint64_t fence)
{
	struct window *w = own_find_window(o, part);

	if (!w) {
		w = calloc(1, sizeof(*w));
		if (!w)
			return;
		w->own = o;
		w->part = part;
		HASH_ADD(hh, o->windows, part, sizeof(w->part), w);
	}
	w->fence = fence;
}

/* Forgets a window. */
void own_drop_window(struct own *o, struct window *w)
{
	tmr_cancel(o->n->timers, w->timer);
	HASH_DEL(o->windows, w);
	free(w);
}

/*
 * True if nobody else can have acted since this process last did: it acts
 * again with the same fence, or has taken up a newer version of its own.
 */
bool own_keeps_window(struct own *o, uint64_t part, uint64_t fence)
{
	const struct window *w = own_find_window(o, part);

	return w && (w->fence == fence || w->next_fence == fence);
}

/* Another process owns the partition and has the window now. */
void own_close_window(struct own *o, uint64_t part)
{
	struct window *w = own_find_window(o, part);

	if (w)
		own_drop_window(o, w);
	dedup_close(exe_duplicates(o->n->exec), part);
}

/* The window has arrived at the new owner, or could not be sent. */
static void handed_over(void *arg, enum peerrpc_failure failure, void *result)
{
	struct transfer *t = arg;
	struct own *o = t->own;
	struct peer_answer *answer = result;
	uint64_t part = t->part;
	bool release = t->release;

	if (failure != PEERRPC_OK || answer->status != PEER_OK)
		log_emit(LOG_HANDOVER_FAILED, "service=%u partition=%u to=%u",
			 part_service(part), part_index(part),
			 t->new_owner.instance);
	own_drop_transfer(o, t);
	if (release)
		lease_release(o->lease, part, nod_now_us(o->n));
	else
		lease_drain_done(o->lease, part, nod_now_us(o->n));
	own_close_window(o, part);
}

/* Sends the duplicate window; the lease is kept until it has arrived. */
static void send_window(struct own *o, struct transfer *t)
{
	const struct member *m =
		replica_member(o->n->replica, t->new_owner.instance);
	const struct row *row = replica_row(o->n->replica, t->part);
	char *window = dedup_export(exe_duplicates(o->n->exec), t->part);
	struct peer_handover args = { .from = nod_to_peer(&o->n->self),
				      .to = nod_to_peer(&t->new_owner),
				      .part = t->part };
	struct peerrpc_address to;
	bool sent = false;

	t->step = TRANSFER_SENDING;
	if (m && row && window && strlen(window) <= PEER_BODY_MAX) {
		args.row_version = row->set.version;
		args.window.window_val = window;
		args.window.window_len = (u_int)strlen(window);
		nod_peer_address(m, &to);
		sent = peerrpc_call(o->n->peers, &to, PEER_HANDOVER, &args,
				    HANDOVER_TIMEOUT_US, handed_over, t) != 0;
	}
	free(window);
	if (!sent)
		handed_over(t, PEERRPC_NOT_SENT, NULL);
}

/* Hands over each draining partition on which nothing runs any more. */
void own_drain_check_due(void *arg, uint64_t now_us)
{
	struct own *o = arg;
	struct transfer *t;
	struct transfer *next;

	(void)now_us;
	HASH_ITER(hh, o->transfers, t, next) {
		if (t->step == TRANSFER_DRAINING &&
		    exe_is_idle(o->n->exec, t->part))
			send_window(o, t);
	}
}

/* Another process shall own the partition: finish what runs, then hand over. */
void own_on_drain(void *arg, uint64_t part, const struct proc *new_owner)
{
	struct own *o = arg;
	struct transfer *t = own_find_transfer(o, part);

	if (t && t->step != TRANSFER_IMPORTED)
		return;
	t = own_add_transfer(o, part);
	if (!t)
		return;
	t->step = TRANSFER_DRAINING;
	t->new_owner = *new_owner;
	t->release = false;
	tmr_at(o->n->timers, nod_now_us(o->n), own_drain_check_due, o);
}

/* Frees all windows and transfers; their timers end with the service. */
void own_free_windows(struct own *o)
{
	struct transfer *t = o->transfers;
	struct window *w = o->windows;

	HASH_CLEAR(hh, o->transfers);
	HASH_CLEAR(hh, o->windows);
	while (t) {
		struct transfer *next = t->hh.next;

		free(t);
		t = next;
	}
	while (w) {
		struct window *next = w->hh.next;

		tmr_cancel(o->n->timers, w->timer);
		free(w);
		w = next;
	}
}

/*
 * Gives a partition up to the successor of its row without a new row: what
 * runs is finished, the window is sent, then the version is released.
 */
void own_begin_release(struct own *o, uint64_t part)
{
	const struct row *row = replica_row(o->n->replica, part);
	struct transfer *t = own_find_transfer(o, part);

	if (!row || (t && t->step != TRANSFER_IMPORTED))
		return;
	t = own_add_transfer(o, part);
	if (!t)
		return;
	t->step = TRANSFER_DRAINING;
	t->new_owner = row->set.witness[ROW_SUCCESSOR];
	t->release = true;
	tmr_at(o->n->timers, nod_now_us(o->n), own_drain_check_due, o);
}

/* True from the begin of a drain to the end of the handover. */
bool own_is_handing_over(struct own *o, uint64_t part)
{
	const struct transfer *t = own_find_transfer(o, part);

	return t && t->step != TRANSFER_IMPORTED;
}

/* Keeps the window for the moment at which this process begins to act. */
void own_handover(struct own *o, struct peerrpc_question *q,
		  const struct peer_handover *args)
{
	struct peer_answer answer = { .status = PEER_INVALID,
				      .self = nod_to_peer(&o->n->self) };
	struct proc to = nod_from_peer(&args->to);
	struct transfer *t = NULL;
	char *text = NULL;

	if (proc_equal(&to, &o->n->self) && args->window.window_len > 0) {
		text = strndup(args->window.window_val,
			       args->window.window_len);
		if (text && dedup_import(exe_duplicates(o->n->exec), args->part,
					 text, NULL))
			t = own_add_transfer(o, args->part);
	}
	if (t) {
		t->step = TRANSFER_IMPORTED;
		answer.status = PEER_OK;
	}
	free(text);
	peerrpc_reply(o->n->peers, q, &answer);
}
