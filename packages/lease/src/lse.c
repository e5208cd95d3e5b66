#include "lse_part.h"

#include "clk.h"

#include <stdlib.h>
#include <string.h>

const struct lse_params lse_default_params = {
	.renew_interval_us = 600 * US_PER_MS,
	.promise_us = 1500 * US_PER_MS,
	/* Shorter by 2% drift of either clock (60 ms) and 40 ms. */
	.owner_term_us = 1400 * US_PER_MS,
	.claim_interval_us = 200 * US_PER_MS,
	.reassign_after_us = 5 * US_PER_S,
};

/* Creates the module without any partition. */
struct lse *lse_create(const struct lse_params *params, const struct cht *chart,
		       const struct proc *self, const struct lse_ops *ops,
		       void *arg)
{
	struct lse *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->params = *params;
	l->chart = chart;
	l->self = *self;
	l->ops = *ops;
	l->arg = arg;
	return l;
}

/* Frees the module and its partitions. */
void lse_destroy(struct lse *l)
{
	struct part *p;
	struct ended *e;

	if (!l)
		return;
	p = l->parts;
	e = l->ended;
	HASH_CLEAR(hh, l->parts);
	HASH_CLEAR(hh, l->ended);
	while (p) {
		struct part *next = p->hh.next;

		free(p);
		p = next;
	}
	while (e) {
		struct ended *next = e->hh.next;

		free(e);
		e = next;
	}
	free(l);
}

static struct part *find_part(const struct lse *l, uint64_t part)
{
	struct part *p;

	HASH_FIND(hh, l->parts, &part, sizeof(part), p);
	return p;
}

/* True if the row or one of its older sets names this process. */
static bool is_named(const struct lse *l, const struct row *row)
{
	if (row_set_has(&row->set, &l->self))
		return true;
	for (uint32_t i = 0; i < row->prev_count; i++) {
		if (row_set_has(&row->prev[i], &l->self))
			return true;
	}
	return false;
}

static struct part *add_part(struct lse *l, uint64_t part)
{
	struct part *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->part = part;
	p->phase = cht_initial(l->chart);
	HASH_ADD(hh, l->parts, part, sizeof(p->part), p);
	return p;
}

/*
 * Stores a newer version and takes the place that it gives this process. A
 * partition is not forgotten when a version no longer names this process: its
 * seals hold for as long as the process lives.
 */
bool lse_learn(struct lse *l, const struct row *row, uint64_t takeover_extra_us,
	       uint64_t now_us)
{
	struct part *p = find_part(l, row->part);

	if (!p && !is_named(l, row))
		return true;
	if (!p)
		p = add_part(l, row->part);
	if (!p)
		return false;
	p->extra_us = takeover_extra_us;
	if (row->set.version <= p->row.set.version)
		return true;
	lse_notice_expiry(l, p, now_us);
	p->row = *row;
	for (size_t i = 0; i < MEMBERS; i++)
		p->heard_us[i] = now_us;
	p->next_want_us = now_us;
	lse_fire_role(l, p, now_us);
	lse_gather_seals(l, p, now_us);
	lse_ask(l, p, now_us);
	return true;
}

static void note_heard(struct part *p, const struct proc *from, uint64_t now_us)
{
	for (size_t i = 0; i < MEMBERS; i++) {
		if (proc_equal(from, lse_member(&p->row.set, i)))
			p->heard_us[i] = now_us;
	}
}

static void dispatch(struct lse *l, struct part *p, const struct proc *from,
		     const struct lse_msg *msg, uint64_t now_us)
{
	switch (msg->type) {
	case LSE_RENEW:
		lse_on_renew(l, p, from, msg, now_us);
		break;
	case LSE_GRANT:
		lse_on_grant(l, p, from, msg, now_us);
		break;
	case LSE_CLAIM:
		lse_on_claim(l, p, from, msg, now_us);
		break;
	case LSE_CLAIM_GRANT:
		lse_on_claim_grant(l, p, from, msg, now_us);
		break;
	case LSE_SEAL:
		lse_on_seal(l, p, from, msg, now_us);
		break;
	case LSE_SEALED:
		lse_on_sealed(l, p, from, msg, now_us);
		break;
	case LSE_SEAL_WAIT:
		lse_on_seal_wait(p, from, msg, now_us);
		break;
	case LSE_REFUSE:
	case LSE_CLAIM_REFUSE:
		break;
	}
}

/* Handles a message after noticing what ran out before it came. */
void lse_receive(struct lse *l, const struct proc *from,
		 const struct lse_msg *msg, uint64_t now_us)
{
	struct part *p = find_part(l, msg->part);

	if (!p)
		return;
	lse_notice_expiry(l, p, now_us);
	note_heard(p, from, now_us);
	dispatch(l, p, from, msg, now_us);
	lse_watch_owner(l, p, now_us);
	lse_ask(l, p, now_us);
}

static void tick_part(struct lse *l, struct part *p, uint64_t now_us)
{
	lse_notice_expiry(l, p, now_us);
	lse_gather_seals(l, p, now_us);
	lse_watch_owner(l, p, now_us);
	lse_ask(l, p, now_us);
	lse_want_rows(l, p, now_us);
}

/* Sends what is due for each partition. */
void lse_tick(struct lse *l, uint64_t now_us)
{
	struct part *p;
	struct part *next;

	HASH_ITER(hh, l->parts, p, next)
		tick_part(l, p, now_us);
}

/* Returns an entry for a new proof, which is the oldest one's when full. */
static struct ended *alloc_ended(struct lse *l)
{
	struct ended *e = l->ended;

	if (HASH_COUNT(l->ended) < ENDED_MAX)
		return calloc(1, sizeof(*e));
	HASH_DEL(l->ended, e);
	return e;
}

/*
 * Remembers the proof. The oldest proof is forgotten when there are too many:
 * that can only delay a takeover.
 */
void lse_ended(struct lse *l, const struct proc *ended, uint64_t now_us)
{
	struct ended *e;

	if (lse_find_ended(l, ended) || lse_is_self(l, ended))
		return;
	e = alloc_ended(l);
	if (!e)
		return;
	e->proc.instance = ended->instance;
	e->proc.incarnation = ended->incarnation;
	e->at_us = now_us;
	HASH_ADD(hh, l->ended, proc, sizeof(e->proc), e);
	lse_tick(l, now_us);
}

/*
 * Seals the version that was drained and tells the new owner as if it had just
 * asked: until it asks again, nobody serves the partition.
 */
void lse_drained(struct lse *l, uint64_t part, uint64_t now_us)
{
	struct part *p = find_part(l, part);
	struct lse_msg question = { .type = LSE_SEAL, .part = part };

	if (!p || p->phase != PHASE_DRAINING)
		return;
	p->drained = true;
	lse_seal_to(l, p, p->row.set.version, now_us);
	question.version = p->row.set.version;
	lse_on_seal(l, p, &p->row.set.owner, &question, now_us);
}

/*
 * Stops for good and tells the witnesses. The owner of the newest version
 * releases that one, also while it still acts in an older one.
 */
void lse_release(struct lse *l, uint64_t part, uint64_t now_us)
{
	struct part *p = find_part(l, part);
	uint64_t version;

	if (!p || (!p->holds && p->phase != PHASE_SEALING))
		return;
	version = p->holds ? p->held.version : 0;
	if (lse_is_self(l, &p->row.set.owner))
		version = p->row.set.version;
	p->drained = true;
	if (p->claimed < version)
		p->claimed = version;
	if (p->released < version)
		p->released = version;
	p->next_ask_us = now_us;
	lse_fire(l, p, EVENT_GIVE_UP, now_us);
	lse_ask(l, p, now_us);
}

/* Checks the term against the time; nothing else may stand in between. */
bool lse_may_act(const struct lse *l, uint64_t part, uint64_t now_us,
		 struct lse_term *term)
{
	const struct part *p = find_part(l, part);

	if (!p || !p->holds || !p->acting || now_us >= p->until_us)
		return false;
	term->fence = p->as_successor ? row_successor_fence(&p->held) :
					row_fence(&p->held);
	term->version = p->held.version;
	term->until_us = p->until_us;
	term->draining = p->phase == PHASE_DRAINING;
	return true;
}

/* True if the newest version known here is known to be active. */
bool lse_is_active(const struct lse *l, uint64_t part)
{
	const struct part *p = find_part(l, part);

	return p && p->active >= p->row.set.version;
}

/* This process if it acts, else the holder of its open promise. */
struct proc lse_actor(const struct lse *l, uint64_t part, uint64_t now_us)
{
	const struct part *p = find_part(l, part);
	struct proc none = { 0 };

	if (!p)
		return none;
	if (p->acting && now_us < p->until_us)
		return l->self;
	if (now_us < p->promise.until_us && !lse_find_ended(l, &p->promise.to))
		return p->promise.to;
	return none;
}

/* Notes whether there is an upstream; see lse_watch_owner(). */
void lse_set_able(struct lse *l, bool able)
{
	l->unable = !able;
}

/* Returns the end of the term that was cut by a newer version. */
uint64_t lse_grace_us(const struct lse *l, uint64_t part)
{
	const struct part *p = find_part(l, part);

	return p && p->phase == PHASE_RENEWING ? p->grace_us : 0;
}

/* Walks over the partitions in the order in which they were learned. */
bool lse_next_part(const struct lse *l, size_t *pos, uint64_t *part)
{
	const struct part *p = l->parts;

	for (size_t i = 0; p && i < *pos; i++)
		p = p->hh.next;
	if (!p)
		return false;
	(*pos)++;
	*part = p->part;
	return true;
}
