#include "att.h"

#include <stdlib.h>
#include <string.h>

#include "att_int.h"
#include "log.h"
#include "txt.h"

/* An answer that changes nothing is kept this long. */
#define ANSWER_WAIT_US (450 * US_PER_MS)
/* A hold that ends sooner is renewed at once. */
#define RENEW_BELOW_US (2500 * US_PER_MS)
/* Requests stop this much before the time that the operator allows. */
#define DRAIN_MARGIN_US (300 * US_PER_MS)
/* Announcements that may be missed until the upstream is looked at. */
#define MISSED_MAX 2
/* Announcements that may be missed until the upstream gets no more work. */
#define SILENT_MISSED_MAX 3
#define LOOK_US (250 * US_PER_MS)
/* Random numbers that JSON integers hold. */
#define ATTACHED_SHIFT 16
/* A hold may last longer on the upstream's clock by its drift. */
#define HOLD_DRIFT_US (300 * US_PER_MS)

/*
 * A leave binds an upstream that is learned of later only for this time; after
 * it the same id is another life.
 */
#define LEAVE_MEMORY_US (15 * US_PER_S)

/* Sends no more requests to an upstream that does not answer, or again. */
void att_set_silent(struct att *a, bool silent, const char *reason)
{
	if (silent == a->silent)
		return;
	a->silent = silent;
	log_emit(LOG_UPSTREAM_SILENT, "id=%s silent=%d reason=\"%s\"",
		 a->life.id, silent, reason);
	a->ops->on_upstream(a->arg);
	a->ops->on_keys(a->arg);
}

/*
 * Looks at an upstream that has not announced itself for a while. Once its last
 * hold is over it holds nothing, whether it lives or not.
 */
static void look(void *arg, uint64_t now_us)
{
	struct att *a = arg;
	uint64_t missed_us =
		(uint64_t)a->parts.settings->announce_ms * US_PER_MS;
	uint64_t hold_end_us =
		a->heard_us + ATT_HOLD_MAX_MS * US_PER_MS + HOLD_DRIFT_US;

	if (a->life.id[0] == '\0')
		return;
	if (now_us > hold_end_us && now_us > a->granted_until_us) {
		att_end_life(a, false, "it is silent and its hold is over");
		a->ops->on_upstream(a->arg);
		a->ops->on_keys(a->arg);
		return;
	}
	if (clk_passed(now_us, a->heard_us) > missed_us * SILENT_MISSED_MAX)
		att_set_silent(a, true, "it does not announce itself");
	if (clk_passed(now_us, a->heard_us) > missed_us * MISSED_MAX)
		att_start_probe(a);
}

/* Makes the part without an upstream. */
struct att *att_create(const struct att_parts *parts, const struct att_ops *ops,
		       void *arg)
{
	struct att *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->parts = *parts;
	a->ops = ops;
	a->arg = arg;
	txt_copy(a->life.node, sizeof(a->life.node), parts->settings->instance);
	a->probe_timer =
		tmr_every(evl_timers(parts->loop),
			  evl_now_us(parts->loop) + LOOK_US, LOOK_US, look, a);
	return a;
}

/* Frees the part; a waiting answer belongs to its server. */
void att_destroy(struct att *a)
{
	if (!a)
		return;
	tmr_cancel(evl_timers(a->parts.loop), a->probe_timer);
	tmr_cancel(evl_timers(a->parts.loop), a->answer_timer);
	att_stop_probe(a);
	free(a);
}

/* True if it is the same start of the same upstream. */
static bool is_same_start(const struct life *a, const struct life *b)
{
	return a->born_ms == b->born_ms && strcmp(a->id, b->id) == 0;
}

/* Returns when requests end to an upstream whose leave was heard at heard_us. */
static uint64_t close_after(const struct att *a, uint64_t heard_us)
{
	uint64_t drain_us = (uint64_t)a->parts.settings->drain_ms * US_PER_MS;

	return heard_us +
	       (drain_us > DRAIN_MARGIN_US ? drain_us - DRAIN_MARGIN_US : 1);
}

/*
 * Notes that the upstream leaves, or has changed its mind. One that leaves when
 * this process first hears of it may have told an earlier process before.
 */
static void set_draining(struct att *a, bool draining, bool heard_before,
			 uint64_t now_us)
{
	if (draining == a->draining && (a->closed_us > 0 || !draining))
		return;
	a->draining = draining;
	a->closed_us = 0;
	if (draining)
		a->closed_us = heard_before ? close_after(a, now_us) : now_us;
	log_emit(LOG_UPSTREAM_DRAINING, "id=%s draining=%d", a->life.id,
		 draining);
}

/* Keeps the leave of an upstream that this process does not know yet. */
static void note_leave(struct att *a, const char *id, uint64_t now_us)
{
	if (strcmp(a->left_id, id) == 0 &&
	    now_us < a->left_us + LEAVE_MEMORY_US)
		return;
	if (strlen(id) >= sizeof(a->left_id))
		return;
	txt_copy(a->left_id, sizeof(a->left_id), id);
	a->left_us = now_us;
}

/* Applies a leave that came before the upstream was known. */
static void apply_leave(struct att *a, uint64_t now_us)
{
	if (strcmp(a->life.id, a->left_id) != 0 ||
	    now_us >= a->left_us + LEAVE_MEMORY_US)
		return;
	a->left = true;
	a->draining = true;
	a->closed_us = close_after(a, a->left_us);
	log_emit(LOG_UPSTREAM_DRAINING, "id=%s draining=1", a->life.id);
}

/*
 * Takes over the upstream that an earlier process knew. If it has announced
 * itself to this process already it keeps the identity that the plan names, and
 * an announcement of a life before it is forgotten.
 */
void att_found(struct att *a, const struct nrw *row)
{
	bool same = is_same_start(&row->life, &a->life);

	if (row->life.id[0] == '\0' ||
	    (a->announced && !same && row->life.born_ms < a->life.born_ms))
		return;
	if (a->announced && same) {
		a->life.attached = row->life.attached;
		a->ops->on_upstream(a->arg);
		return;
	}
	a->announced = false;
	a->life = row->life;
	txt_copy(a->service, sizeof(a->service), row->service);
	a->slots = row->slots;
	a->draining = !row->takes_work;
	a->heard_us = evl_now_us(a->parts.loop);
	log_emit(LOG_UPSTREAM_FOUND, "id=%s born=%lld service=%s", a->life.id,
		 (long long)a->life.born_ms, a->service);
	apply_leave(a, a->heard_us);
	a->ops->on_upstream(a->arg);
}

/* Holds grants back until the plan has been read. */
void att_wait_for_plan(struct att *a, uint64_t ticket)
{
	a->ticket = ticket;
}

/* The life has ended, or it holds nothing and may come back. */
void att_end_life(struct att *a, bool proved, const char *reason)
{
	if (a->life.id[0] == '\0')
		return;
	log_emit(LOG_UPSTREAM_ENDED, "id=%s born=%lld reason=\"%s\"",
		 a->life.id, (long long)a->life.born_ms, reason);
	if (proved) {
		a->ended_born_ms = a->life.born_ms;
		txt_copy(a->ended_id, sizeof(a->ended_id), a->life.id);
	}
	a->life.id[0] = '\0';
	a->life.born_ms = 0;
	a->life.attached = 0;
	a->announced = false;
	a->granted.count = 0;
	a->granted_once = false;
	a->left_out = false;
	a->last.hold_count = 0;
	a->draining = false;
	a->left = false;
	a->closed_us = 0;
	a->refusals = 0;
	a->silent = false;
}

/*
 * True for an announcement of a life before the present one, or one that was
 * overtaken. A life that has ended does not come back.
 */
static bool is_stale(const struct att *a, const struct plat_announcement *n)
{
	/* A leave may come without the start of its life. */
	if (n->leaves && n->born_ms == 0)
		return strcmp(n->id, a->life.id) != 0;
	if (strcmp(n->id, a->ended_id) == 0 && n->born_ms == a->ended_born_ms)
		return true;
	if (n->born_ms < a->ended_born_ms)
		return true;
	if (a->life.id[0] == '\0')
		return n->leaves;
	if (strcmp(n->id, a->life.id) != 0 || n->born_ms != a->life.born_ms)
		return n->leaves || n->born_ms < a->life.born_ms;
	return !n->leaves && a->announced && n->seq <= a->seq;
}

/* Begins with a new life. */
static void begin_life(struct att *a, const struct plat_announcement *n)
{
	att_end_life(a, true, "another life announces itself");
	txt_copy(a->life.id, sizeof(a->life.id), n->id);
	a->life.born_ms = n->born_ms;
	a->life.attached = (int64_t)(clk_random(evl_clock(a->parts.loop)) >>
				     ATTACHED_SHIFT);
	txt_copy(a->service, sizeof(a->service), n->service);
	a->slots = n->slots;
	log_emit(LOG_UPSTREAM_UP, "id=%s born=%lld service=%s slots=%u",
		 a->life.id, (long long)a->life.born_ms, a->service, a->slots);
}

/* Takes what the announcement says of the upstream. */
static void learn(struct att *a, const struct plat_announcement *n,
		  uint64_t now_us)
{
	bool changed = !a->announced;
	bool heard_before = a->announced;
	bool draining = n->leaves || a->left || n->state == PLAT_DRAINING;

	if (n->leaves) {
		heard_before = true;
		a->left = true;
	} else {
		if (strcmp(a->life.id, n->id) != 0 ||
		    a->life.born_ms != n->born_ms) {
			begin_life(a, n);
			apply_leave(a, now_us);
			draining = a->left || n->state == PLAT_DRAINING;
			changed = true;
		}
		a->announced = true;
		a->seq = n->seq;
		a->slots = n->slots;
		a->cold_until_us =
			now_us + (uint64_t)n->slow_left_ms * US_PER_MS;
		a->last = *n;
	}
	a->heard_us = now_us;
	a->refusals = 0;
	att_set_silent(a, false, "it announces itself");
	changed = changed || draining != a->draining;
	set_draining(a, draining, heard_before, now_us);
	if (changed)
		a->ops->on_upstream(a->arg);
}

/* The wait of a kept answer is over. */
static void on_answer_time(void *arg, uint64_t now_us)
{
	struct att *a = arg;

	(void)now_us;
	a->answer_timer = 0;
	att_answer(a);
}

/* Takes an announcement. */
void *att_announce(struct att *a, struct hsc *c,
		   const struct plat_announcement *n)
{
	uint64_t now = evl_now_us(a->parts.loop);
	uint64_t wait = ANSWER_WAIT_US;

	if (is_stale(a, n)) {
		if (n->leaves && a->life.id[0] == '\0')
			note_leave(a, n->id, now);
		log_emit(LOG_ANNOUNCEMENT_STALE, "id=%s born=%lld seq=%llu",
			 n->id, (long long)n->born_ms,
			 (unsigned long long)n->seq);
		hsc_reply(c, 200, "Content-Type: application/json\r\n", "{}",
			  2);
		return NULL;
	}
	if (a->waiting)
		att_answer(a);
	learn(a, n, now);
	if (n->leaves) {
		hsc_reply(c, 200, "Content-Type: application/json\r\n", "{}",
			  2);
		return NULL;
	}
	a->waiting = c;
	a->waiting_since_us = hsc_began_us(c);
	att_find_releases(a);
	if (!a->waiting)
		return NULL;
	if (a->draining || att_has_news(a) ||
	    a->granted_until_us < now + RENEW_BELOW_US)
		wait = 0;
	if (wait == 0) {
		att_answer(a);
		return NULL;
	}
	tmr_cancel(evl_timers(a->parts.loop), a->answer_timer);
	a->answer_timer = tmr_at(evl_timers(a->parts.loop), now + wait,
				 on_answer_time, a);
	return a;
}

/* The connection of the kept answer has ended. */
void att_answer_gone(struct att *a)
{
	a->waiting = NULL;
	tmr_cancel(evl_timers(a->parts.loop), a->answer_timer);
	a->answer_timer = 0;
}

/* Sends a kept answer if it has become one that changes something. */
void att_plan_changed(struct att *a)
{
	if (a->announced)
		att_find_releases(a);
	if (a->waiting && att_has_news(a))
		att_answer(a);
	a->ops->on_keys(a->arg);
}

/* Looks whether the upstream still lives. */
void att_suspect(struct att *a)
{
	if (a->life.id[0] != '\0')
		att_start_probe(a);
}

/* Returns the life that is there. */
const struct life *att_life(const struct att *a)
{
	return &a->life;
}

/* Returns the service of the upstream, "" before the first announcement. */
const char *att_service(const struct att *a)
{
	return a->service;
}

/* Returns how many requests the upstream runs at once. */
uint32_t att_slots(const struct att *a)
{
	return a->slots;
}

/* True if the upstream is there and stays. */
bool att_takes_work(const struct att *a)
{
	return a->life.id[0] != '\0' && !a->draining && !a->silent;
}

/* True while requests may be sent to the upstream. */
bool att_is_open(const struct att *a, uint64_t now_us)
{
	return a->life.id[0] != '\0' && !a->silent &&
	       (a->closed_us == 0 || now_us < a->closed_us);
}

/* Returns how long it stays slow. */
uint32_t att_slow_left_ms(const struct att *a, uint64_t now_us)
{
	return a->cold_until_us > now_us ?
		       (uint32_t)((a->cold_until_us - now_us) / US_PER_MS) :
		       0;
}
