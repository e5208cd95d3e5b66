#include "prb.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "ctr.h"
#include "log.h"
#include "mem.h"
#include "own.h"

#define CHECK_INTERVAL_US (150 * US_PER_MS)
#define SILENCE_US (700 * US_PER_MS) /* a process is asked after this */
#define ASK_AGAIN_US (400 * US_PER_MS)
#define ASK_TIMEOUT_US (1 * US_PER_S)

/* States of a process as this daemon sees it, as in the chart "peer". */
enum phase {
	PHASE_HEARD,
	PHASE_ASKED,
	PHASE_SILENT,
	PHASE_ENDED
};

static const char *const phase_names[] = { "heard", "asked", "silent", "ended",
					   NULL };

enum event {
	EVENT_SILENCE,
	EVENT_ANSWER,
	EVENT_NO_ANSWER,
	EVENT_PROOF
};

static const char *const event_names[] = { "silence", "answer", "no_answer",
					   "proof", NULL };

struct watched {
	struct proc proc;
	struct prb *prb;
	int phase;
	uint64_t asked_us;
	uint64_t answered_us;
	bool asking;
	UT_hash_handle hh;
};

struct prb {
	struct nod *n;
	struct statechart *chart;
	struct watched *watched;
};

static void on_ended(void *arg)
{
	struct watched *w = arg;

	ctr_add(CTR_PROCESSES_ENDED, 1);
	log_emit(LOG_PROCESS_ENDED, "instance=%u incarnation=%016" PRIx64,
		 w->proc.instance, w->proc.incarnation);
	own_ended(w->prb->n->own, &w->proc);
	mem_mark_gone(w->prb->n->member, &w->proc);
}

static const struct statechart_action actions[] = { { "ended", on_ended } };

static struct watched *find(const struct prb *p, const struct proc *proc)
{
	struct proc key;
	struct watched *w;

	memset(&key, 0, sizeof(key));
	key.instance = proc->instance;
	key.incarnation = proc->incarnation;
	HASH_FIND(hh, p->watched, &key, sizeof(key), w);
	return w;
}

static struct watched *find_or_add(struct prb *p, const struct proc *proc)
{
	struct watched *w = find(p, proc);

	if (w || !proc->incarnation || proc_equal(proc, &p->n->self))
		return w;
	w = calloc(1, sizeof(*w));
	if (!w)
		return NULL;
	w->proc.instance = proc->instance;
	w->proc.incarnation = proc->incarnation;
	w->prb = p;
	w->phase = statechart_initial_state(p->chart);
	HASH_ADD(hh, p->watched, proc, sizeof(w->proc), w);
	return w;
}

static void fire(struct watched *w, enum event event)
{
	w->phase = statechart_fire(w->prb->chart, w->phase, event, w);
}

/* The process has answered, refused the connection, or said nothing. */
static void answered(void *arg, enum peerrpc_failure failure, void *result)
{
	struct watched *w = arg;
	struct peer_answer *answer = result;
	struct proc self;

	w->asking = false;
	if (failure == PEERRPC_REFUSED) {
		fire(w, EVENT_PROOF);
		return;
	}
	if (failure != PEERRPC_OK) {
		fire(w, EVENT_NO_ANSWER);
		return;
	}
	self = nod_from_peer(&answer->self);
	if (self.instance == w->proc.instance &&
	    self.incarnation != w->proc.incarnation) {
		fire(w, EVENT_PROOF);
		return;
	}
	w->answered_us = nod_now_us(w->prb->n);
	fire(w, EVENT_ANSWER);
}

static void ask(struct watched *w)
{
	struct nod *n = w->prb->n;
	const struct member *m = replica_member(n->replica, w->proc.instance);
	struct peer_hello args = { .from = nod_to_peer(&n->self) };
	uint64_t now = nod_now_us(n);
	struct peerrpc_address to;

	if (!m || w->asking || w->phase == PHASE_ENDED ||
	    now - w->asked_us < ASK_AGAIN_US)
		return;
	nod_peer_address(m, &to);
	w->asked_us = now;
	w->asking = peerrpc_call(n->peers, &to, PEER_HELLO, &args,
				 ASK_TIMEOUT_US, answered, w) != 0;
}

/* Asks a process that has been silent. */
static void watch(struct prb *p, const struct proc *proc)
{
	uint64_t now = nod_now_us(p->n);
	struct watched *w = find_or_add(p, proc);
	uint64_t heard;

	if (!w)
		return;
	heard = own_last_heard(p->n->own, proc);
	if (heard < w->answered_us)
		heard = w->answered_us;
	if (now - heard < SILENCE_US)
		return;
	fire(w, EVENT_SILENCE);
	ask(w);
}

static void watch_set(struct prb *p, const struct row_set *set)
{
	watch(p, &set->owner);
	for (int i = 0; i < ROW_WITNESSES; i++)
		watch(p, &set->witness[i]);
}

/* Watches every process that this one shares a row with. */
static void check_due(void *arg, uint64_t now_us)
{
	struct prb *p = arg;
	uint64_t part;
	size_t pos = 0;

	(void)now_us;
	while (own_next_part(p->n->own, &pos, &part)) {
		const struct row *row = replica_row(p->n->replica, part);

		if (!row)
			continue;
		watch_set(p, &row->set);
		for (uint32_t i = 0; i < row->prev_count; i++)
			watch_set(p, &row->prev[i]);
	}
}

/* A member row with a new incarnation proves that the older process ended. */
static void member_changed(struct prb *p, const struct replica_entry *entry)
{
	struct member m;
	struct watched *w;
	struct watched *next;

	if (!member_decode(entry->value, &m, NULL))
		return;
	HASH_ITER(hh, p->watched, w, next) {
		if (w->proc.instance == m.proc.instance &&
		    w->proc.incarnation != m.proc.incarnation)
			fire(w, EVENT_PROOF);
	}
}

/* An operator's statement: ended/<instance>/<incarnation in hex>. */
static void statement_made(struct prb *p, const struct replica_entry *entry)
{
	struct proc proc = { 0 };
	struct watched *w;

	if (sscanf(entry->key, "ended/%" SCNu32 "/%" SCNx64, &proc.instance,
		   &proc.incarnation) != 2)
		return;
	w = find_or_add(p, &proc);
	if (w)
		fire(w, EVENT_PROOF);
}

static void row_changed(void *arg, const struct replica_entry *entry)
{
	if (strncmp(entry->key, "member/", 7) == 0)
		member_changed(arg, entry);
	else if (strncmp(entry->key, "ended/", 6) == 0)
		statement_made(arg, entry);
}

/* Makes the module; its chart is charts/peer.yaml. */
struct prb *prb_create(struct nod *n, struct err *err)
{
	struct prb *p = calloc(1, sizeof(*p));

	if (!p) {
		err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
		return NULL;
	}
	p->n = n;
	p->chart = nod_load_chart(n, "peer", phase_names, event_names, actions,
				  sizeof(actions) / sizeof(actions[0]), err);
	if (!p->chart) {
		prb_destroy(p);
		return NULL;
	}
	replica_subscribe(n->replica, row_changed, p);
	tmr_every(n->timers, nod_now_us(n) + CHECK_INTERVAL_US,
		  CHECK_INTERVAL_US, check_due, p);
	return p;
}

/* Frees the module. */
void prb_destroy(struct prb *p)
{
	struct watched *w;
	struct watched *next;

	if (!p)
		return;
	HASH_ITER(hh, p->watched, w, next) {
		HASH_DEL(p->watched, w);
		free(w);
	}
	statechart_destroy(p->chart);
	free(p);
}

/* Asks a process although it may have been heard a moment ago. */
void prb_ask(struct prb *p, const struct proc *proc)
{
	struct watched *w = find_or_add(p, proc);

	if (!w)
		return;
	fire(w, EVENT_SILENCE);
	ask(w);
}

/* Looks up the last answer. */
bool prb_is_silent(const struct prb *p, const struct proc *proc)
{
	const struct watched *w = find(p, proc);

	return w && w->phase == PHASE_SILENT;
}

/* Looks up whether there is a proof. */
bool prb_has_ended(const struct prb *p, const struct proc *proc)
{
	const struct watched *w = find(p, proc);

	return w && w->phase == PHASE_ENDED;
}
