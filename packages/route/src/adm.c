#include "adm.h"

#include <math.h>
#include <stdlib.h>

#include "adm_que.h"
#include "clk.h"
#include "ctr.h"

#define PERCENT 100
#define DEMAND_WINDOW_US US_PER_S
#define LOAD_SMOOTHING_US (3 * US_PER_S)
#define MEAN_WEIGHT 8 /* a new service time counts 1/8 */
#define FAILURES_TO_HALVE 4 /* one after the other */

/*
 * While the limit is low, one slow request can hold every slot. After this time
 * without a result each idle kind with a share may take a slot over the limit.
 * It is half of the shortest deadline in use, so that a request can still be in
 * time.
 */
#define STALL_US (250 * US_PER_MS)

#define HINT_FACTOR 2 /* slower growth while the upstream reports trouble */

struct kind {
	uint32_t share_pct;
	uint32_t queue_max;
	uint32_t running;
	uint64_t mean_us; /* service time, 0 before the first */
	uint32_t peak; /* largest demand in this window */
	uint32_t last_peak; /* and in the window before */
	uint64_t window_us; /* start of this window */
};

struct adm {
	struct adm_ops ops;
	void *arg;
	size_t kind_count;
	uint32_t shared_count; /* kinds with a share */
	struct kind kinds[ADM_KINDS_MAX];
	bool attached;
	bool dispatching;
	bool hint_bad;
	uint32_t slots;
	uint32_t limit;
	uint32_t running;
	uint32_t successes; /* since the limit has changed */
	uint32_t failures; /* one after the other */
	uint64_t progress_us; /* when a slot was last taken or freed */
	uint32_t stale; /* running requests that say nothing about the limit */
	double load;
	uint64_t load_us; /* time of the load */
	struct que queue;
};

/*
 * Kinds share the pool of entries. Their bounds are scaled down to its size, so
 * that a stalled kind cannot fill it and leave no place for the others.
 */
static void scale_queues(struct adm *a)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < a->kind_count; i++)
		sum += a->kinds[i].queue_max;
	if (sum <= ADM_QUEUE_MAX)
		return;
	for (size_t i = 0; i < a->kind_count; i++)
		a->kinds[i].queue_max =
			(uint32_t)(a->kinds[i].queue_max *
				   (uint64_t)ADM_QUEUE_MAX / sum);
}

/* Creates admission for 1 to ADM_KINDS_MAX kinds; NULL for other numbers. */
struct adm *adm_create(const struct adm_kind *kinds, size_t count,
		       const struct adm_ops *ops, void *arg)
{
	struct adm *a;

	if (count == 0 || count > ADM_KINDS_MAX)
		return NULL;
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->ops = *ops;
	a->arg = arg;
	a->kind_count = count;
	for (size_t i = 0; i < count; i++) {
		a->kinds[i].share_pct = kinds[i].share_pct;
		a->kinds[i].queue_max = kinds[i].queue_max;
		a->shared_count += kinds[i].share_pct > 0;
	}
	scale_queues(a);
	que_init(&a->queue);
	return a;
}

/* Frees admission; requests that still wait get no call. */
void adm_destroy(struct adm *a)
{
	free(a);
}

/* Returns the load at a time, with what has run since the last change. */
static double load_at(const struct adm *a, uint64_t now_us)
{
	double current = a->slots ? (double)a->running / a->slots : 0.0;
	double passed =
		now_us > a->load_us ? (double)(now_us - a->load_us) : 0.0;

	return current +
	       (a->load - current) * exp(-passed / (double)LOAD_SMOOTHING_US);
}

/* Must be called before the number of running requests or slots changes. */
static void update_load(struct adm *a, uint64_t now_us)
{
	a->load = load_at(a, now_us);
	if (now_us > a->load_us)
		a->load_us = now_us;
}

/* Notes how many slots a kind would use; kept for one to two windows. */
static void note_demand(struct adm *a, struct kind *k, uint64_t now_us)
{
	uint32_t demand = k->running + a->queue.lengths[k - a->kinds];
	uint64_t passed = now_us > k->window_us ? now_us - k->window_us : 0;

	if (passed >= DEMAND_WINDOW_US) {
		k->last_peak = passed < 2 * DEMAND_WINDOW_US ? k->peak : 0;
		k->peak = 0;
		k->window_us = now_us;
	}
	if (demand > k->peak)
		k->peak = demand;
}

/* Returns the slots that the share of a kind guarantees. */
static uint32_t guaranteed(const struct adm *a, const struct kind *k)
{
	uint32_t slots = a->limit * k->share_pct / PERCENT;

	if (k->share_pct == 0)
		return 0;
	return slots > 0 ? slots : 1;
}

/*
 * Returns the slots that others leave free for a kind: one more than it has
 * used lately, up to its share. What is over that is unused and may be
 * borrowed.
 */
static uint32_t kept_free(const struct adm *a, const struct kind *k)
{
	uint32_t peak = k->peak > k->last_peak ? k->peak : k->last_peak;
	uint32_t share = guaranteed(a, k);
	uint32_t need = peak + 1 < share ? peak + 1 : share;

	return need > k->running ? need - k->running : 0;
}

/* Returns how many slots have to stay free when a kind takes one more. */
static uint32_t reserve(const struct adm *a, const struct kind *taker,
			bool borrows)
{
	uint32_t sum = 0;
	uint32_t most = a->limit > 1 ? 1 : 0;

	for (size_t i = 0; i < a->kind_count; i++) {
		const struct kind *k = &a->kinds[i];

		if (k == taker || k->share_pct == 0)
			continue;
		if (borrows)
			sum += kept_free(a, k);
		else
			sum += k->running == 0;
	}
	/* With fewer slots than shares, one free slot has to do for all. */
	if (a->limit >= a->shared_count)
		return sum;
	return sum < most ? sum : most;
}

/* True if all slots of the limit are held by requests that do not end. */
static bool is_stalled(const struct adm *a, uint64_t now_us)
{
	return a->limit > 0 && a->running < a->slots &&
	       a->running < a->shared_count &&
	       now_us >= a->progress_us + STALL_US;
}

/*
 * A kind that runs nothing takes the slot that was kept for it. Below its
 * share it leaves a slot for each kind that runs nothing. Over its share it
 * borrows and leaves what the others are likely to need.
 */
static bool may_run(const struct adm *a, const struct kind *k, uint64_t now_us)
{
	bool below = k->running < guaranteed(a, k);
	bool idle = k->share_pct > 0 && k->running == 0;

	if (!a->attached)
		return false;
	if (a->running >= a->limit)
		return idle && is_stalled(a, now_us);
	if (idle)
		return true;
	return a->limit - a->running - 1 >= reserve(a, k, !below);
}

static void take_slot(struct adm *a, struct kind *k, uint64_t now_us)
{
	update_load(a, now_us);
	a->running++;
	k->running++;
	a->progress_us = now_us;
	note_demand(a, k, now_us);
}

/* Drops the first requests of a kind that can no longer be in time. */
static void drop_late(struct adm *a, uint32_t kind, uint64_t now_us)
{
	struct que_entry *e;

	while ((e = a->queue.heads[kind]) &&
	       e->deadline_us <= now_us + a->kinds[kind].mean_us) {
		ctr_add(CTR_ADMISSION_DROPPED, 1);
		a->ops.drop(a->arg, que_pop(&a->queue, kind));
	}
}

/*
 * Returns the kind whose first request runs next: kinds below their share
 * before those that borrow, then the earliest deadline.
 */
static struct kind *pick(struct adm *a, uint64_t now_us)
{
	struct kind *best = NULL;
	uint64_t best_deadline = 0;
	bool best_below = false;

	for (size_t i = 0; i < a->kind_count; i++) {
		struct kind *k = &a->kinds[i];
		const struct que_entry *e = a->queue.heads[i];
		bool below = k->running < guaranteed(a, k);

		if (!e || !may_run(a, k, now_us))
			continue;
		if (!best || (below && !best_below) ||
		    (below == best_below && e->deadline_us < best_deadline)) {
			best = k;
			best_deadline = e->deadline_us;
			best_below = below;
		}
	}
	return best;
}

/*
 * Runs what waits and has a slot. The functions of the caller may end or enter
 * requests; the loop then goes on with what they have left, without recursion.
 */
static void dispatch(struct adm *a, uint64_t now_us)
{
	struct kind *k;

	if (a->dispatching)
		return;
	a->dispatching = true;
	for (uint32_t i = 0; i < a->kind_count; i++) {
		note_demand(a, &a->kinds[i], now_us);
		drop_late(a, i, now_us);
	}
	while ((k = pick(a, now_us))) {
		void *request = que_pop(&a->queue, (uint32_t)(k - a->kinds));

		take_slot(a, k, now_us);
		a->ops.run(a->arg, request);
	}
	a->dispatching = false;
}

/*
 * Starts with one slot. Requests of the upstream before that still run say
 * nothing about this one.
 */
void adm_attach(struct adm *a, uint32_t slots, uint64_t now_us)
{
	update_load(a, now_us);
	a->attached = true;
	a->slots = slots;
	a->limit = slots > 0 ? 1 : 0;
	a->successes = 0;
	a->failures = 0;
	a->stale = a->running;
	a->hint_bad = false;
	dispatch(a, now_us);
}

/* Cuts the limit to the new number; more slots are reached by successes. */
void adm_resize(struct adm *a, uint32_t slots)
{
	a->slots = slots;
	if (a->limit > slots)
		a->limit = slots;
	if (a->limit == 0 && slots > 0)
		a->limit = 1;
}

/* Drops all that waits. Running requests still end with adm_done(). */
void adm_detach(struct adm *a, uint64_t now_us)
{
	void *request;

	update_load(a, now_us);
	a->attached = false;
	a->limit = 0;
	for (uint32_t i = 0; i < a->kind_count; i++) {
		while ((request = que_pop(&a->queue, i)))
			a->ops.drop(a->arg, request);
	}
}

/*
 * True if a request that waits behind those with earlier deadlines can be in
 * time, even if all slots work for its kind.
 */
static bool can_be_in_time(const struct adm *a, uint32_t kind,
			   uint64_t deadline_us, uint64_t now_us)
{
	uint64_t mean = a->kinds[kind].mean_us;
	uint64_t ahead = que_ahead(&a->queue, kind, deadline_us);
	uint64_t slots = a->limit > 0 ? a->limit : 1;

	return now_us + ahead / slots * mean + mean < deadline_us;
}

/* Takes a slot, queues or refuses. */
enum adm_verdict adm_enter(struct adm *a, uint32_t kind, uint64_t deadline_us,
			   void *request, uint64_t now_us)
{
	struct kind *k;

	if (kind >= a->kind_count || !a->attached || deadline_us <= now_us)
		return ADM_SHED;
	k = &a->kinds[kind];
	note_demand(a, k, now_us);
	if (!a->queue.heads[kind] && may_run(a, k, now_us)) {
		take_slot(a, k, now_us);
		return ADM_RUN;
	}
	if (a->queue.lengths[kind] >= k->queue_max ||
	    !can_be_in_time(a, kind, deadline_us, now_us) ||
	    !que_add(&a->queue, kind, deadline_us, request))
		return ADM_SHED;
	return ADM_QUEUED;
}

/* Removes a request that waits. */
bool adm_leave(struct adm *a, void *request)
{
	return que_remove(&a->queue, request);
}

/*
 * Halves the limit. The requests that run now were admitted under the old one,
 * so their results do not halve it again.
 */
static void halve(struct adm *a)
{
	a->limit = a->limit > 1 ? a->limit / 2 : a->limit;
	a->successes = 0;
	a->failures = 0;
	a->stale = a->running;
}

/* Counts a success towards the next slot. */
static void count_success(struct adm *a)
{
	uint32_t needed = ADM_WARM_SUCCESSES;

	if (a->hint_bad)
		needed *= HINT_FACTOR;
	a->failures = 0;
	if (++a->successes < needed)
		return;
	a->successes = 0;
	if (a->limit < a->slots)
		a->limit++;
}

/* Adapts the limit to a result. */
static void adapt(struct adm *a, enum adm_result result)
{
	if (a->stale > 0) {
		a->stale--;
		return;
	}
	switch (result) {
	case ADM_OK:
		count_success(a);
		break;
	case ADM_UPSTREAM_SHED:
		halve(a);
		break;
	case ADM_FAILED:
		a->successes = 0;
		if (++a->failures >= FAILURES_TO_HALVE)
			halve(a);
		break;
	case ADM_CANCELLED:
		break;
	}
}

/*
 * Follows the service time. A failure counts only when it took longer, as a
 * refused connection says nothing about how long a request takes.
 */
static void measure(struct kind *k, enum adm_result result, uint64_t service_us)
{
	bool counts = result == ADM_OK ||
		      (result == ADM_FAILED && service_us > k->mean_us);

	if (!counts)
		return;
	if (k->mean_us == 0)
		k->mean_us = service_us;
	else
		k->mean_us = (k->mean_us * (MEAN_WEIGHT - 1) + service_us) /
			     MEAN_WEIGHT;
}

/* Frees the slot, adapts the limit and runs what waits. */
void adm_done(struct adm *a, uint32_t kind, enum adm_result result,
	      uint64_t service_us, uint64_t now_us)
{
	struct kind *k;

	if (kind >= a->kind_count || a->kinds[kind].running == 0)
		return;
	k = &a->kinds[kind];
	update_load(a, now_us);
	k->running--;
	a->running--;
	a->progress_us = now_us;
	measure(k, result, service_us);
	adapt(a, result);
	dispatch(a, now_us);
}

/*
 * The report may be stale or wrong, so it only slows the growth of the limit;
 * the limit itself follows results.
 */
void adm_report(struct adm *a, double load, bool healthy)
{
	a->hint_bad = !healthy || load > 1.0;
}

/* Drops late requests and runs what time alone has made runnable. */
void adm_tick(struct adm *a, uint64_t now_us)
{
	dispatch(a, now_us);
}

/* Returns the smoothed load, usually 0 to 1. */
double adm_load(const struct adm *a, uint64_t now_us)
{
	return load_at(a, now_us);
}

/* Returns the number of running requests. */
uint32_t adm_running(const struct adm *a)
{
	return a->running;
}

/* Returns how many may run at once now. */
uint32_t adm_limit(const struct adm *a)
{
	return a->limit;
}
