#include "syn.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "admission.h"
#include "ctr.h"
#include "log.h"
#include "mem.h"
#include "pub.h"
#include "upd.h"

#define DIGEST_INTERVAL_US US_PER_S
#define FANOUT 4 /* peers that hear of something new at once */
#define FANOUT_PAUSE_US (20 * US_PER_MS)
#define DRAWS_MAX 16 /* with half of the members gone, 1 in 65,536 fails */
#define POLL_RATE 50 /* reads a second of the whole system */
#define POLL_MIN_US (500 * US_PER_MS)
#define POLL_SOON_US (20 * US_PER_MS)
#define BACK_OFF_MAX_US (8 * US_PER_S)
#define POLL_ROWS 256
#define SYNC_TIMEOUT_US (2 * US_PER_S)
#define LOAD_SCALE 1000.0

/* What a member has told of its load. */
struct load {
	uint32_t instance;
	double load;
	UT_hash_handle hh;
};

struct syn {
	struct nod *n;
	struct load *loads;
	uint32_t poll_timer;
	uint32_t fanout_timer;
	uint64_t back_off_us;
	uint32_t source; /* member that last sent rows */
	uint32_t syncing_with;
	size_t next_seed;
	bool ready;
	bool platform_up;
	bool polling;
	bool syncing;
	bool fanout_pending;
};

static void poll_due(void *arg, uint64_t now_us);

static bool is_peer(const struct syn *s, const struct member *m)
{
	return m->proc.instance != s->n->self.instance &&
	       m->state != MEMBER_GONE;
}

/*
 * Picks a member other than this one at random; NULL if there is none. A draw
 * of this member or of one that is gone is repeated. Where nearly all are gone,
 * the first peer after the last draw is taken.
 */
const struct member *syn_random_member(struct syn *s)
{
	size_t count = replica_member_count(s->n->replica);
	const struct member *m;
	size_t pos = 0;

	for (int i = 0; count && i < DRAWS_MAX; i++) {
		pos = clk_random_below(s->n->clk, count);
		m = replica_next_member(s->n->replica, &pos);
		if (is_peer(s, m))
			return m;
	}
	for (size_t i = 0; i < count; i++) {
		pos %= count;
		m = replica_next_member(s->n->replica, &pos);
		if (is_peer(s, m))
			return m;
	}
	return NULL;
}

/* Fills a digest of what this daemon has. */
static struct peer_digest make_digest(struct syn *s, bool answer)
{
	struct admitter *admitter = upd_admission(s->n->upstream);
	uint64_t now = nod_now_us(s->n);
	struct peer_digest d = { .from = nod_to_peer(&s->n->self),
				 .seq = replica_complete_seq(s->n->replica),
				 .manifest = pub_version(s->n->pub),
				 .answer = answer };

	if (admitter)
		d.load_permille =
			(u_int)(admit_load(admitter, now) * LOAD_SCALE);
	return d;
}

static void send_digest(struct syn *s, const struct member *m, bool answer)
{
	struct peer_digest d = make_digest(s, answer);
	struct peerrpc_address to;

	nod_peer_address(m, &to);
	peerrpc_notify(s->n->peers, &to, PEER_DIGEST, &d);
}

/* The regular digest to one random peer. */
static void digest_due(void *arg, uint64_t now_us)
{
	struct syn *s = arg;
	const struct member *m = syn_random_member(s);

	(void)now_us;
	if (m)
		send_digest(s, m, true);
}

/* Tells several peers at once that there is something new. */
static void fanout_due(void *arg, uint64_t now_us)
{
	struct syn *s = arg;

	(void)now_us;
	s->fanout_pending = false;
	for (int i = 0; i < FANOUT; i++) {
		const struct member *m = syn_random_member(s);

		if (m)
			send_digest(s, m, false);
	}
}

/* Several changes within a short time are told together. */
static void fan_out_soon(struct syn *s)
{
	if (s->fanout_pending)
		return;
	s->fanout_pending = true;
	s->fanout_timer =
		tmr_at(s->n->timers, nod_now_us(s->n) + FANOUT_PAUSE_US,
		       fanout_due, s);
}

/* Applies one row; true if it was new. */
static bool apply(struct syn *s, const struct replica_entry *row)
{
	struct err err = { 0 };
	enum replica_result result = replica_apply(s->n->replica, row, &err);

	if (result == REPLICA_INVALID)
		log_emit(LOG_ROW_INVALID, "key=%s error=\"%s\"", row->key,
			 err.text);
	return result == REPLICA_UPDATED;
}

/* Raises the mark of completeness and tells peers when it has risen. */
static void complete_to(struct syn *s, uint64_t seq)
{
	if (seq > replica_complete_seq(s->n->replica)) {
		replica_set_complete_seq(s->n->replica, seq);
		fan_out_soon(s);
	}
	ctr_set(CTR_MIRROR_SEQ, replica_complete_seq(s->n->replica));
}

/* Plans the next poll; the interval grows with the number of members. */
static void plan_poll(struct syn *s, uint64_t wait_us)
{
	tmr_cancel(s->n->timers, s->poll_timer);
	s->poll_timer =
		tmr_at(s->n->timers, nod_now_us(s->n) + wait_us, poll_due, s);
}

static uint64_t poll_interval_us(struct syn *s)
{
	uint64_t mean =
		replica_member_count(s->n->replica) * US_PER_S / POLL_RATE;

	if (mean < POLL_MIN_US)
		return POLL_MIN_US;
	return mean / 2 + clk_random_below(s->n->clk, mean);
}

/* After a failure: twice as long as before, with jitter against a herd. */
static uint64_t back_off(struct syn *s)
{
	uint64_t wait;

	s->back_off_us = s->back_off_us ? s->back_off_us * 2 : POLL_MIN_US;
	if (s->back_off_us > BACK_OFF_MAX_US)
		s->back_off_us = BACK_OFF_MAX_US;
	wait = s->back_off_us / 2;
	return wait + clk_random_below(s->n->clk, wait + 1);
}

static void set_ready(struct syn *s)
{
	if (s->ready)
		return;
	s->ready = true;
	log_emit(LOG_MIRROR_READY, "seq=%lu members=%zu",
		 (unsigned long)replica_complete_seq(s->n->replica),
		 replica_member_count(s->n->replica));
}

static void set_platform_up(struct syn *s, bool up)
{
	if (s->platform_up == up)
		return;
	s->platform_up = up;
	ctr_set(CTR_PLATFORM_UP, up);
	if (up)
		log_emit(LOG_PLATFORM_UP, "%s", "");
	else
		log_emit(LOG_PLATFORM_DOWN, "%s", "");
}

/* Rows of the table have arrived, or the platform has failed. */
static void polled(void *arg, enum platapi_result result,
		   const struct replica_entry *rows, size_t count,
		   uint64_t complete)
{
	struct syn *s = arg;

	s->polling = false;
	set_platform_up(s, result == PLATAPI_OK);
	if (result != PLATAPI_OK) {
		plan_poll(s, back_off(s));
		return;
	}
	s->back_off_us = 0;
	for (size_t i = 0; i < count; i++)
		apply(s, &rows[i]);
	complete_to(s, complete);
	if (count == POLL_ROWS) {
		plan_poll(s, 0);
		return;
	}
	set_ready(s);
	plan_poll(s, poll_interval_us(s));
}

/* The reply to SYNC: rows and the number up to which they are complete. */
static void synced(void *arg, enum peerrpc_failure failure, void *result)
{
	struct syn *s = arg;
	struct peer_rows *rows = result;

	s->syncing = false;
	if (failure != PEERRPC_OK || rows->status != PEER_OK)
		return;
	s->source = s->syncing_with;
	for (u_int i = 0; i < rows->rows.rows_len; i++) {
		struct peer_row *r = &rows->rows.rows_val[i];
		struct replica_entry e = { .version = r->row_version,
					   .seq = r->seq,
					   .value = r->value };

		strncpy(e.key, r->key, sizeof(e.key) - 1);
		apply(s, &e);
	}
	complete_to(s, rows->complete);
	if (rows->rows.rows_len < PEER_ROWS_MAX && rows->complete)
		set_ready(s);
}

/* Asks a peer for the rows that are missing. */
static void sync_from(struct syn *s, const struct peerrpc_address *to,
		      uint32_t instance)
{
	struct peer_sync args = { .from = nod_to_peer(&s->n->self),
				  .since =
					  replica_complete_seq(s->n->replica) };

	if (s->syncing)
		return;
	s->syncing_with = instance;
	s->syncing = peerrpc_call(s->n->peers, to, PEER_SYNC, &args,
				  SYNC_TIMEOUT_US, synced, s) != 0;
}

/* While nothing is known, a seed may know more than the platform tells. */
static void ask_seed(struct syn *s)
{
	const struct settings *set = &s->n->set;
	struct peerrpc_address to;

	if (s->ready || !set->seed_count)
		return;
	memset(&to, 0, sizeof(to));
	memcpy(to.ip, set->seeds[s->next_seed].address, sizeof(to.ip));
	to.port = set->seeds[s->next_seed].port;
	s->next_seed = (s->next_seed + 1) % set->seed_count;
	sync_from(s, &to, 0);
}

/* Reads the table from where the replica is complete. */
static void poll_due(void *arg, uint64_t now_us)
{
	struct syn *s = arg;

	(void)now_us;
	s->poll_timer = 0;
	ask_seed(s);
	if (s->polling)
		return;
	s->polling = true;
	ctr_add(CTR_PLATFORM_READS, 1);
	platapi_get_since(s->n->platform, replica_complete_seq(s->n->replica),
			  POLL_ROWS, polled, s);
}

/* Starts polling and exchanging digests. */
struct syn *syn_create(struct nod *n)
{
	struct syn *s = calloc(1, sizeof(*s));
	uint64_t now = nod_now_us(n);

	if (!s)
		return NULL;
	s->n = n;
	s->platform_up = true;
	ctr_set(CTR_PLATFORM_UP, true);
	s->poll_timer = tmr_at(n->timers, now, poll_due, s);
	tmr_every(n->timers, now + clk_random_below(n->clk, DIGEST_INTERVAL_US),
		  DIGEST_INTERVAL_US, digest_due, s);
	return s;
}

/* Frees the module; its timers end with the timer service. */
void syn_destroy(struct syn *s)
{
	struct load *l;
	struct load *next;

	if (!s)
		return;
	l = s->loads;
	HASH_CLEAR(hh, s->loads);
	for (; l; l = next) {
		next = l->hh.next;
		free(l);
	}
	free(s);
}

/* Tells whether the replica has been filled once. */
bool syn_is_ready(const struct syn *s)
{
	return s->ready;
}

/* Tells whether the last poll was answered. */
bool syn_platform_up(const struct syn *s)
{
	return s->platform_up;
}

static void remember_load(struct syn *s, uint32_t instance, double load)
{
	struct load *l;

	HASH_FIND(hh, s->loads, &instance, sizeof(instance), l);
	if (!l) {
		l = calloc(1, sizeof(*l));
		if (!l)
			return;
		l->instance = instance;
		HASH_ADD(hh, s->loads, instance, sizeof(l->instance), l);
	}
	l->load = load;
}

/* Asks for rows when the peer has more, offers its own when it has fewer. */
void syn_digest(struct syn *s, const struct peer_digest *m)
{
	const struct member *from =
		replica_member(s->n->replica, m->from.instance);
	uint64_t complete = replica_complete_seq(s->n->replica);
	struct peerrpc_address to;

	remember_load(s, m->from.instance, m->load_permille / LOAD_SCALE);
	if (!from)
		return;
	if (m->seq > complete) {
		nod_peer_address(from, &to);
		sync_from(s, &to, m->from.instance);
	} else if (m->seq < complete && m->answer) {
		send_digest(s, from, false);
	}
}

/* Sends up to PEER_ROWS_MAX rows; more are asked for with the next digest. */
void syn_answer(struct syn *s, struct peerrpc_question *q,
		const struct peer_sync *args)
{
	const struct replica_entry *entries[PEER_ROWS_MAX];
	struct peer_row rows[PEER_ROWS_MAX];
	size_t count = replica_rows_since(s->n->replica, args->since, entries,
					  PEER_ROWS_MAX);
	struct peer_rows answer = { .status = PEER_OK,
				    .complete = replica_complete_seq(
					    s->n->replica) };

	for (size_t i = 0; i < count; i++) {
		rows[i].key = (char *)entries[i]->key;
		rows[i].row_version = entries[i]->version;
		rows[i].seq = entries[i]->seq;
		rows[i].value = entries[i]->value;
	}
	if (count == PEER_ROWS_MAX && entries[count - 1]->seq < answer.complete)
		answer.complete = entries[count - 1]->seq;
	answer.rows.rows_len = (u_int)count;
	answer.rows.rows_val = rows;
	peerrpc_reply(s->n->peers, q, &answer);
}

/*
 * Applies a row of an own write. If it is the next one the replica stays
 * complete; else others have written as well and the table is read.
 */
void syn_apply(struct syn *s, const struct replica_entry *row)
{
	if (!apply(s, row))
		return;
	if (row->seq == replica_complete_seq(s->n->replica) + 1)
		complete_to(s, row->seq);
	else
		syn_poll_soon(s);
}

/* Brings the next poll forward. */
void syn_poll_soon(struct syn *s)
{
	if (!s->polling && s->platform_up)
		plan_poll(s, POLL_SOON_US);
}

/* Looks up the load that a member has told. */
double syn_load_of(void *syn, uint32_t instance)
{
	struct syn *s = syn;
	struct admitter *admitter = upd_admission(s->n->upstream);
	struct load *l;

	if (instance == s->n->self.instance)
		return admitter ? admit_load(admitter, nod_now_us(s->n)) : 0;
	HASH_FIND(hh, s->loads, &instance, sizeof(instance), l);
	return l ? l->load : 0;
}

/* Returns the instance that last sent rows. */
uint32_t syn_last_source(const struct syn *s)
{
	return s->source;
}
