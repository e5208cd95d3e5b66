#include "upstr.h"

#include <stdlib.h>
#include <string.h>

#include "upstr_int.h"
#include "log.h"
#include "txt.h"

/* Requests end this long before the drain time of the settings is over. */
#define DRAIN_MARGIN_US (300 * US_PER_MS)
/* Delay of an answer that changes nothing. */
#define ANSWER_DELAY_US (450 * US_PER_MS)
/* A grant with less time left than this is renewed at once. */
#define RENEW_GRANT_BELOW_US (2500 * US_PER_MS)
/* Missed announcements after which the upstream is probed. */
#define PROBE_AFTER_MISSED 2
/* Missed announcements after which the upstream gets no more requests. */
#define SILENT_AFTER_MISSED 3
#define CHECK_US (250 * US_PER_MS)
/*
 * After a pause of this daemon, announcements may wait unread: one that seems to
 * be missing is looked for once more after this time.
 */
#define RECHECK_US (20 * US_PER_MS)
/* Shifts a random number of 64 bits into the range of JSON integers. */
#define ATTACHED_SHIFT 16
/* Allowance for drift of the upstream's clock while a grant lasts. */
#define GRANT_DRIFT_US (300 * US_PER_MS)

/*
 * A shutdown announced by a still unknown upstream is remembered this long.
 * Later the same id is taken for a new incarnation.
 */
#define LEAVE_VALID_US (15 * US_PER_S)

#define STATUS_BAD_REQUEST 400

/* Suspends (silent) or resumes the sending of requests to the upstream. */
void upstr_set_silent(struct upstr *a, bool silent, const char *reason)
{
	if (silent == a->silent)
		return;
	a->silent = silent;
	if (silent)
		upstr_forget_warm(a);
	log_emit(LOG_UPSTREAM_SILENT, "id=%s silent=%d reason=\"%s\"",
		 a->incarnation.id, silent, reason);
	a->ops->on_upstream(a->arg);
	a->ops->on_keys(a->arg);
}

static void check_announcements(void *arg, uint64_t now_us);

static void on_recheck(void *arg, uint64_t now_us)
{
	struct upstr *a = arg;

	a->recheck_timer = 0;
	check_announcements(arg, now_us);
}

/*
 * True if announcements were missed RECHECK_US ago, too: what had arrived by
 * then has been read. Otherwise the check is repeated.
 */
static bool is_overdue(struct upstr *a, uint64_t now_us)
{
	if (a->overdue_since_us > 0)
		return clk_elapsed(now_us, a->overdue_since_us) >= RECHECK_US;
	a->overdue_since_us = now_us;
	a->recheck_timer = tmr_at(evloop_timers(a->parts.loop),
				  now_us + RECHECK_US, on_recheck, a);
	return false;
}

/*
 * Periodic check for missed announcements. Once the last grant has expired, the
 * upstream holds no keys, whether it still runs or not.
 */
static void check_announcements(void *arg, uint64_t now_us)
{
	struct upstr *a = arg;
	uint64_t interval_us =
		(uint64_t)a->parts.settings->announce_ms * US_PER_MS;
	uint64_t grant_end_us = a->last_announce_us +
				UPSTR_GRANT_MAX_MS * US_PER_MS + GRANT_DRIFT_US;
	uint64_t silent_us = clk_elapsed(now_us, a->last_announce_us);
	bool holds_nothing =
		now_us > grant_end_us && now_us > a->granted_until_us;

	if (a->incarnation.id[0] == '\0' ||
	    (silent_us <= interval_us * PROBE_AFTER_MISSED && !holds_nothing) ||
	    !is_overdue(a, now_us))
		return;
	if (holds_nothing) {
		upstr_end_incarnation(
			a, false,
			"no announcements and its last grant has expired");
		a->ops->on_upstream(a->arg);
		a->ops->on_keys(a->arg);
		return;
	}
	if (silent_us > interval_us * SILENT_AFTER_MISSED)
		upstr_set_silent(a, true, "announcements missed");
	upstr_start_probe(a);
}

/* Creates the module without an upstream; NULL if out of memory. */
struct upstr *upstr_create(const struct upstr_parts *parts,
			   const struct upstr_ops *ops, void *arg)
{
	struct upstr *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->parts = *parts;
	a->ops = ops;
	a->arg = arg;
	txt_copy(a->incarnation.node, sizeof(a->incarnation.node),
		 parts->settings->instance);
	a->check_timer = tmr_every(evloop_timers(parts->loop),
				   evloop_now_us(parts->loop) + CHECK_US,
				   CHECK_US, check_announcements, a);
	return a;
}

/* Frees the module. The server owns the connection of a delayed answer. */
void upstr_destroy(struct upstr *a)
{
	if (!a)
		return;
	tmr_cancel(evloop_timers(a->parts.loop), a->check_timer);
	tmr_cancel(evloop_timers(a->parts.loop), a->recheck_timer);
	tmr_cancel(evloop_timers(a->parts.loop), a->answer_timer);
	upstr_stop_probe(a);
	free(a->id);
	free(a);
}

/* True if id and start time are equal. */
static bool is_same_start(const struct incarnation *a,
			  const struct incarnation *b)
{
	return a->start_unix_ms == b->start_unix_ms &&
	       strcmp(a->id, b->id) == 0;
}

/* Returns the last time to send requests, if a drain began at began_us. */
uint64_t upstr_drain_end_us(const struct rsettings *s, uint64_t began_us)
{
	uint64_t drain_us = (uint64_t)s->drain_ms * US_PER_MS;

	return began_us +
	       (drain_us > DRAIN_MARGIN_US ? drain_us - DRAIN_MARGIN_US : 1);
}

/*
 * Begins or cancels the drain of the upstream. If its first announcement to
 * this process (known_before is false) says that it drains, the drain time may
 * have begun under an earlier process, so that no more requests are sent.
 */
static void set_draining(struct upstr *a, bool draining, bool known_before,
			 uint64_t now_us)
{
	if (draining == a->draining && (a->drain_end_us > 0 || !draining))
		return;
	a->draining = draining;
	a->drain_end_us = 0;
	if (draining)
		a->drain_end_us =
			known_before ?
				upstr_drain_end_us(a->parts.settings, now_us) :
				now_us;
	log_emit(LOG_UPSTREAM_DRAINING, "id=%s draining=%d", a->incarnation.id,
		 draining);
}

/* Remembers the shutdown of an upstream that is not known yet. */
static void remember_leave(struct upstr *a, const char *id, uint64_t now_us)
{
	if (strcmp(a->unknown_left_id, id) == 0 &&
	    now_us < a->unknown_left_us + LEAVE_VALID_US)
		return;
	if (strlen(id) >= sizeof(a->unknown_left_id))
		return;
	txt_copy(a->unknown_left_id, sizeof(a->unknown_left_id), id);
	a->unknown_left_us = now_us;
}

/* Applies a shutdown announced before the upstream was known. */
static void apply_remembered_leave(struct upstr *a, uint64_t now_us)
{
	if (strcmp(a->incarnation.id, a->unknown_left_id) != 0 ||
	    now_us >= a->unknown_left_us + LEAVE_VALID_US)
		return;
	a->left = true;
	a->draining = true;
	a->drain_end_us =
		upstr_drain_end_us(a->parts.settings, a->unknown_left_us);
	log_emit(LOG_UPSTREAM_DRAINING, "id=%s draining=1", a->incarnation.id);
}

/* The drain time began under the earlier process: no more requests are sent. */
static void restore_leave(struct upstr *a)
{
	a->left = true;
	a->draining = true;
	a->drain_end_us = evloop_now_us(a->parts.loop);
}

/* Sets the id of the upstream; NULL if it is not known or out of memory. */
static void set_id(struct upstr *a, const char *id, size_t len)
{
	free(a->id);
	a->id = id ? strndup(id, len) : NULL;
}

/*
 * The row has only the identifier. An upstream whose id is not the same gets no
 * requests until its next announcement.
 */
static void restore_id(struct upstr *a)
{
	const char *id = a->incarnation.id;

	set_id(a, name_is_hashed(id) ? NULL : id, strlen(id));
}

/*
 * Restores the upstream that an earlier process knew. If the same incarnation
 * has already announced itself to this process, it gets the attach number of
 * the row, under which the plan knows it. Otherwise the row replaces the known
 * incarnation, unless that one has started later and announced itself.
 */
void upstr_restore(struct upstr *a, const struct noderow *row)
{
	bool same = is_same_start(&row->incarnation, &a->incarnation);

	if (row->incarnation.id[0] == '\0' ||
	    (a->announced && !same &&
	     row->incarnation.start_unix_ms < a->incarnation.start_unix_ms))
		return;
	if (a->announced && same) {
		a->incarnation.attached = row->incarnation.attached;
		if (row->left)
			restore_leave(a);
		a->ops->on_upstream(a->arg);
		return;
	}
	a->announced = false;
	upstr_forget_warm(a);
	a->incarnation = row->incarnation;
	restore_id(a);
	txt_copy(a->service, sizeof(a->service), row->service);
	a->slots = row->slots;
	a->draining = !row->takes_work;
	a->last_announce_us = evloop_now_us(a->parts.loop);
	a->overdue_since_us = 0;
	if (row->left)
		restore_leave(a);
	log_emit(LOG_UPSTREAM_FOUND,
		 "id=%s born=%lld service=%s takes_work=%d left=%d",
		 a->incarnation.id, (long long)a->incarnation.start_unix_ms,
		 a->service, row->takes_work, row->left);
	apply_remembered_leave(a, a->last_announce_us);
	a->ops->on_upstream(a->arg);
}

/* Withholds grants until the plan has been read. */
void upstr_wait_for_plan(struct upstr *a, uint64_t ticket)
{
	a->ticket = ticket;
}

/* Clears the state of the incarnation. */
void upstr_end_incarnation(struct upstr *a, bool proved, const char *reason)
{
	if (a->incarnation.id[0] == '\0')
		return;
	log_emit(LOG_UPSTREAM_ENDED, "id=%s born=%lld reason=\"%s\"",
		 a->incarnation.id, (long long)a->incarnation.start_unix_ms,
		 reason);
	if (proved && !a->left && !a->draining)
		a->ops->on_crashed(a->arg, &a->incarnation);
	if (proved) {
		a->ended_born_ms = a->incarnation.start_unix_ms;
		txt_copy(a->ended_id, sizeof(a->ended_id), a->incarnation.id);
	}
	set_id(a, NULL, 0);
	a->incarnation.id[0] = '\0';
	a->incarnation.start_unix_ms = 0;
	a->incarnation.attached = 0;
	a->announced = false;
	upstr_forget_warm(a);
	a->granted.count = 0;
	a->granted_once = false;
	a->left_out = false;
	a->last.hold_count = 0;
	a->draining = false;
	a->left = false;
	a->drain_end_us = 0;
	a->refusals = 0;
	a->silent = false;
}

/* Replaces the current incarnation by the announced one. */
static void begin_incarnation(struct upstr *a,
			      const struct plat_announcement *n)
{
	upstr_end_incarnation(a, true, "replaced by a new incarnation");
	txt_copy(a->incarnation.id, sizeof(a->incarnation.id), n->id);
	a->incarnation.start_unix_ms = n->start_unix_ms;
	a->incarnation.attached =
		(int64_t)(clk_random(evloop_clock(a->parts.loop)) >>
			  ATTACHED_SHIFT);
	txt_copy(a->service, sizeof(a->service), n->service);
	a->slots = n->slots;
	/* Cold for what it announces. */
	a->state_known = true;
	a->slow_until_us = 0;
	log_emit(LOG_UPSTREAM_UP, "id=%s born=%lld service=%s slots=%u",
		 a->incarnation.id, (long long)a->incarnation.start_unix_ms,
		 a->service, a->slots);
}

/* Updates the state of the upstream from its announcement. */
static void apply_announcement(struct upstr *a,
			       const struct plat_announcement *n,
			       uint64_t now_us)
{
	bool changed = !a->announced;
	bool known_before = a->announced;
	bool draining = n->leaves || a->left || n->state == PLAT_DRAINING;

	if (n->leaves) {
		known_before = true;
		a->left = true;
	} else {
		if (strcmp(a->incarnation.id, n->id) != 0 ||
		    a->incarnation.start_unix_ms != n->start_unix_ms) {
			begin_incarnation(a, n);
			apply_remembered_leave(a, now_us);
			draining = a->left || n->state == PLAT_DRAINING;
			changed = true;
		} else if (!a->announced) {
			log_emit(LOG_UPSTREAM_CONFIRMED, "id=%s born=%lld",
				 a->incarnation.id,
				 (long long)a->incarnation.start_unix_ms);
		}
		if (!a->id)
			set_id(a, n->id_text.text, n->id_text.len);
		a->announced = true;
		a->seq = n->seq;
		a->slots = n->slots;
		upstr_record_slow_start(a, n->slow_left_ms, now_us);
		a->last = *n;
		a->last.id_text = (struct span){ NULL, 0 };
	}
	a->last_announce_us = now_us;
	a->overdue_since_us = 0;
	a->refusals = 0;
	upstr_set_silent(a, false, "announcement received");
	changed = changed || draining != a->draining;
	set_draining(a, draining, known_before, now_us);
	if (changed)
		a->ops->on_upstream(a->arg);
}

/* Sends the delayed answer when its delay is over. */
static void on_answer_due(void *arg, uint64_t now_us)
{
	struct upstr *a = arg;

	(void)now_us;
	a->answer_timer = 0;
	upstr_send_answer(a);
}

/* Processes an announcement; one that changes nothing is answered later. */
void *upstr_handle_announcement(struct upstr *a, struct httpconn *c,
				const struct plat_announcement *n)
{
	uint64_t now = evloop_now_us(a->parts.loop);
	uint64_t wait = ANSWER_DELAY_US;

	if (upstr_is_implausible(a, n)) {
		log_emit(LOG_ANNOUNCEMENT_INVALID,
			 "reason=\"not of this upstream\" id=%s born=%lld "
			 "service=%s seq=%llu",
			 n->id, (long long)n->start_unix_ms, n->service,
			 (unsigned long long)n->seq);
		httpconn_reply(c, STATUS_BAD_REQUEST, "", "", 0);
		return NULL;
	}
	if (upstr_is_stale(a, n)) {
		if (n->leaves && a->incarnation.id[0] == '\0')
			remember_leave(a, n->id, now);
		log_emit(LOG_ANNOUNCEMENT_STALE, "id=%s born=%lld seq=%llu",
			 n->id, (long long)n->start_unix_ms,
			 (unsigned long long)n->seq);
		httpconn_reply(c, 200, "Content-Type: application/json\r\n",
			       "{}", 2);
		return NULL;
	}
	if (a->pending)
		upstr_send_answer(a);
	apply_announcement(a, n, now);
	if (n->leaves) {
		httpconn_reply(c, 200, "Content-Type: application/json\r\n",
			       "{}", 2);
		return NULL;
	}
	a->pending = c;
	a->pending_since_us = httpconn_start_us(c);
	upstr_detect_releases(a);
	if (!a->pending)
		return NULL;
	if (a->draining || upstr_grants_differ(a) ||
	    a->granted_until_us < now + RENEW_GRANT_BELOW_US)
		wait = 0;
	if (wait == 0) {
		upstr_send_answer(a);
		return NULL;
	}
	tmr_cancel(evloop_timers(a->parts.loop), a->answer_timer);
	a->answer_timer = tmr_at(evloop_timers(a->parts.loop), now + wait,
				 on_answer_due, a);
	return a;
}

/* The connection has closed before the delayed answer was sent. */
void upstr_answer_aborted(struct upstr *a)
{
	a->pending = NULL;
	tmr_cancel(evloop_timers(a->parts.loop), a->answer_timer);
	a->answer_timer = 0;
}

/* Sends the delayed answer if it now changes the granted keys. */
void upstr_plan_changed(struct upstr *a)
{
	if (a->announced)
		upstr_detect_releases(a);
	if (a->pending && upstr_grants_differ(a))
		upstr_send_answer(a);
	a->ops->on_keys(a->arg);
}

/* Returns the current incarnation; its id is "" if there is none. */
const struct incarnation *upstr_incarnation(const struct upstr *a)
{
	return &a->incarnation;
}

/* Returns the id of the upstream; not NULL while upstr_is_open(). */
const char *upstr_id(const struct upstr *a)
{
	return a->id;
}

/* Returns the service of the upstream, "" before the first announcement. */
const char *upstr_service(const struct upstr *a)
{
	return a->service;
}

/* Returns the number of requests that the upstream can run concurrently. */
uint32_t upstr_slots(const struct upstr *a)
{
	return a->slots;
}

/* True if the upstream is up, responds and is not draining. */
bool upstr_accepts_work(const struct upstr *a)
{
	return a->incarnation.id[0] != '\0' && !a->draining && !a->silent;
}

/* Begins the drain, unless it has begun; announcements do not cancel it. */
void upstr_record_leave(struct upstr *a, const char *id)
{
	uint64_t now = evloop_now_us(a->parts.loop);

	if (a->left || strcmp(id, a->incarnation.id) != 0)
		return;
	a->left = true;
	set_draining(a, true, true, now);
	a->ops->on_upstream(a->arg);
}

/* True if the upstream has announced its end, or an answer has said so. */
bool upstr_has_left(const struct upstr *a)
{
	return a->left;
}

/* True once the upstream has announced itself to this process. */
bool upstr_has_announced(const struct upstr *a)
{
	return a->announced;
}

/* True while requests may be sent to the upstream. */
bool upstr_is_open(const struct upstr *a, uint64_t now_us)
{
	return a->id && !a->silent &&
	       (a->drain_end_us == 0 || now_us < a->drain_end_us);
}
