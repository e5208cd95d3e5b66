#include <string.h>

#include "request_runner_int.h"
#include "ctr.h"
#include "log.h"
#include "txt.h"

/*
 * How many requests an upstream gets while it is cold or recovers: the bound of
 * its service, and the slots that may be used.
 */

/* Slots that are used before the first answer of an upstream. */
#define UNHEARD_SLOTS 2
/*
 * Without a configuration the cold rate is not known. This share of the slack is
 * allowed at any cold rate, and leaves the rest for jitter.
 */
#define UNKNOWN_RATE_SHARE 0.5
/* Longest predicted wait: later nothing is admitted anyway. */
#define BOUND_WAIT_MAX_US (3600 * US_PER_S)
/* Random numbers below 1 have this many different values. */
#define RANDOM_STEPS 65536

/* Sets where the rules for the upstream are found. */
void reqrun_set_config(struct reqrun *x, const struct rconfig *c,
		       const struct rsettings *s)
{
	x->recovery.config = c;
	x->recovery.settings = s;
}

/* Reads the rules of the service, if it or the configuration has changed. */
static void read_service(struct reqrun *x)
{
	struct reqrun_recovery *v = &x->recovery;
	const char *name = upstr_service(x->upstream);
	const struct rconfig_service *s;

	if (v->config_version == v->config->version &&
	    strcmp(v->service, name) == 0)
		return;
	v->config_version = v->config->version;
	txt_copy(v->service, sizeof(v->service), name);
	s = rconfig_service(v->config, name);
	v->cold_per_s = s ? s->cold_per_s : 0;
	v->is_paced = s && s->cold_start_s > 0;
	if (!v->is_paced)
		v->pace.active = false;
}

/* Sets the bound; the settings may have changed, too. */
static void set_bound(struct reqrun_recovery *v)
{
	const struct rsettings *s = v->settings;

	if (v->config->version > 0) {
		v->is_bounded = v->cold_per_s > 0;
		v->bound = coldrate_bound(v->cold_per_s, s->cold_factor,
					  s->cold_extra);
	} else {
		v->is_bounded = s->cold_over[0] != '\0';
		v->bound = (uint32_t)(s->cold_extra * UNKNOWN_RATE_SHARE);
	}
	coldrate_set_bound(v->sent, v->bound);
}

/* Logs when the upstream becomes cold or warm, if that has a consequence. */
static void log_cold(struct reqrun *x, uint64_t now_us)
{
	struct reqrun_recovery *v = &x->recovery;
	const char *id = upstr_incarnation(x->upstream)->id;
	uint64_t left_us = upstr_cold_left_us(x->upstream, now_us);
	enum reqrun_cold cold = REQRUN_WARM;

	if (left_us > 0 && v->is_bounded && id[0] != '\0')
		cold = left_us == UPSTR_COLD_UNKNOWN ? REQRUN_UNKNOWN :
						       REQRUN_COLD;
	if (cold == v->logged_cold)
		return;
	v->logged_cold = cold;
	ctr_set(CTR_UPSTREAM_COLD, cold != REQRUN_WARM);
	log_emit(LOG_UPSTREAM_COLD,
		 "id=%s cold=%d known=%d left_ms=%llu per_s=%.2f bound=%u", id,
		 cold != REQRUN_WARM, cold != REQRUN_UNKNOWN,
		 (unsigned long long)(cold == REQRUN_COLD ?
					      left_us / US_PER_MS :
					      0),
		 v->cold_per_s, v->bound);
}

/* Logs when the pace begins, changes and ends. */
static void log_pace(struct reqrun *x)
{
	struct reqrun_recovery *v = &x->recovery;
	uint32_t slots = v->pace.active ? v->pace.limit : 0;

	if (slots == v->logged_slots)
		return;
	v->logged_slots = slots;
	ctr_set(CTR_PACE_SLOTS, slots);
	log_emit(LOG_UPSTREAM_PACE, "id=%s active=%d usable=%u slots=%u",
		 upstr_incarnation(x->upstream)->id, v->pace.active,
		 v->pace.active ? slots : upstr_slots(x->upstream),
		 upstr_slots(x->upstream));
}

/*
 * Begins the pace if the upstream begins to recover. Lost responses alone are no
 * reason: an upstream may lose a part of them whatever the load.
 */
static void begin_pace(struct reqrun *x, uint64_t now_us)
{
	struct reqrun_recovery *v = &x->recovery;
	uint32_t recoveries = upstr_recoveries(x->upstream);

	if (v->is_paced && v->recoveries != recoveries)
		pace_begin(&v->pace, upstr_slots(x->upstream), now_us);
	v->recoveries = recoveries;
}

/* Updates bound and pace. */
void reqrun_refresh_recovery(struct reqrun *x, uint64_t now_us)
{
	struct reqrun_recovery *v = &x->recovery;

	if (!v->config)
		return;
	read_service(x);
	set_bound(v);
	log_cold(x, now_us);
	begin_pace(x, now_us);
	log_pace(x);
}

/*
 * Returns the slots that may be used. An upstream may have named a limit to an
 * earlier process, so until its first answer only some of its slots are used.
 * The limit of an earlier upstream does not bind.
 */
uint32_t reqrun_usable_slots(struct reqrun *x, uint64_t now_us)
{
	uint32_t slots = reqrun_predicted_slots(x, now_us);

	if (strcmp(x->heard_id, upstr_incarnation(x->upstream)->id) == 0)
		return slots;
	ratelimit_clear(&x->limit);
	return slots < UNHEARD_SLOTS ? slots : UNHEARD_SLOTS;
}

/* While nothing is known of the upstream, it gets as much as at the start. */
uint32_t reqrun_predicted_slots(const struct reqrun *x, uint64_t now_us)
{
	const struct reqrun_recovery *v = &x->recovery;
	uint32_t slots = pace_usable(&v->pace, upstr_slots(x->upstream));

	if (v->is_paced && slots > PACE_START &&
	    upstr_cold_left_us(x->upstream, now_us) == UPSTR_COLD_UNKNOWN)
		return PACE_START;
	return slots;
}

/* The time to the head is that of the work; the rest depends on the reader. */
void reqrun_pace_answered(struct reqrun_job *j, uint64_t now_us)
{
	struct reqrun *x = j->owner;
	struct pace_run run = {
		.kind = j->request.kind,
		.sent_us = j->started_us,
		.run_us = clk_elapsed(j->head_us, j->started_us),
		.slowdown_pct = j->slowdown_pct,
	};

	pace_answered(&x->recovery.pace, &run, now_us);
}

void reqrun_pace_failed(struct reqrun_job *j, uint64_t now_us)
{
	pace_failed(&j->owner->recovery.pace, j->started_us, now_us);
}

/* Once the upstream is warm, nothing waits for the bound any more. */
uint64_t reqrun_bound_wait_us(struct reqrun *x, uint32_t ahead, uint64_t now_us)
{
	struct reqrun_recovery *v = &x->recovery;
	uint64_t left_us = upstr_cold_left_us(x->upstream, now_us);
	uint64_t wait_us;

	if (!v->is_bounded || left_us == 0)
		return 0;
	wait_us = coldrate_wait_us(v->sent, ahead, now_us);
	if (wait_us > left_us)
		wait_us = left_us;
	return wait_us < BOUND_WAIT_MAX_US ? wait_us : BOUND_WAIT_MAX_US;
}

/* The bound allows so many requests in each window, the pace in a run. */
double reqrun_recovery_per_s(struct reqrun *x, uint64_t now_us)
{
	const struct reqrun_recovery *v = &x->recovery;
	uint32_t slots = reqrun_predicted_slots(x, now_us);
	double by_pace = slots < upstr_slots(x->upstream) ?
				 slots * (double)US_PER_S / x->mean_us :
				 0;
	double by_bound = (double)v->bound * (double)US_PER_S /
			  (double)COLDRATE_WINDOW_US;

	if (!v->is_bounded || upstr_cold_left_us(x->upstream, now_us) == 0)
		return by_pace;
	return by_pace > 0 && by_pace < by_bound ? by_pace : by_bound;
}

/* Counts the refusal, and spreads the times to return during a recovery. */
uint64_t reqrun_return_wait_us(const struct reqrun_job *j, uint64_t wait_us,
			       uint64_t now_us)
{
	struct reqrun *x = j->owner;
	struct reqrun_recovery *v = &x->recovery;
	const struct clk *clock = evloop_clock(x->loop);
	double per_s = reqrun_recovery_per_s(x, now_us);

	if (j->waits_for_bound) {
		v->bound_refused++;
		ctr_add(CTR_BOUND_REFUSED, 1);
	}
	if (per_s <= 0)
		return wait_us;
	return retryspread_take(&v->returns, per_s, wait_us, now_us,
				(double)clk_random_below(clock, RANDOM_STEPS) /
					RANDOM_STEPS);
}

/* Rejects a job, with a time to return. */
void reqrun_reject_busy(struct reqrun_job *j, uint64_t wait_us, uint64_t now_us)
{
	reqrun_reject(j, REQRUN_BUSY,
		      reqrun_return_wait_us(j, wait_us, now_us));
}

/* Returns the mean that makes the slots of the upstream keep a rate. */
static uint64_t mean_at_rate(double mean_us, uint32_t slots, double per_s)
{
	double all_us = (double)slots * (double)US_PER_S;

	return (uint64_t)(per_s > 0 && per_s * mean_us < all_us ?
				  all_us / per_s :
				  mean_us);
}

/* Reports the current load and the counts since the start. */
void reqrun_load(struct reqrun *x, struct reqrun_load *out)
{
	uint64_t now = evloop_now_us(x->loop);
	double mean_us = x->long_mean_us;

	reqrun_refresh_recovery(x, now);
	out->running = x->running_count;
	out->waiting = rqueue_count(x->queue);
	out->slots = upstr_slots(x->upstream);
	out->mean_us = (uint64_t)x->mean_us;
	out->slowdown_pct = x->slowdown_pct;
	out->limited = ratelimit_wait_us(&x->limit, out->waiting, now) > 0 ||
		       reqrun_bound_wait_us(x, out->waiting, now) > 0;
	out->unusable = out->slots - reqrun_predicted_slots(x, now);
	if (x->limit.active)
		mean_us = (double)mean_at_rate(mean_us, out->slots,
					       x->limit.per_s);
	out->long_mean_us = mean_at_rate(mean_us, out->slots,
					 reqrun_recovery_per_s(x, now));
	out->link_us =
		x->link ? pacer_total_time_us(x->link, x->expected_bytes) : 0;
	out->finished = x->finished;
	out->failed = x->failed;
	out->refused = x->refused;
	out->total_run_us = x->total_run_us;
	out->bound_waited = x->recovery.bound_waited;
	out->bound_refused = x->recovery.bound_refused;
}
