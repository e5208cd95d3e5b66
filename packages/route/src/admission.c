#include "admission.h"

#include <math.h>
#include <stdlib.h>

#include "wait_queue.h"
#include "clk.h"
#include "ctr.h"

#define PERCENT 100
#define DEMAND_WINDOW_US US_PER_S
#define LOAD_SMOOTHING_US (3 * US_PER_S)
#define SERVICE_TIME_WEIGHT 8 /* a new service time has a weight of 1/8 */
#define FAILURES_TO_HALVE 4 /* consecutive */

/*
 * While the limit is low, slow requests can occupy every slot. If no slot is
 * taken or freed for this time, each idle kind with a share may exceed the
 * limit by one slot. Half of the shortest deadline in use, so that a request
 * that has waited this long can still meet its deadline.
 */
#define STALL_TIMEOUT_US (250 * US_PER_MS)

/* Multiplies ADMIT_SUCCESSES_PER_SLOT while the upstream reports overload. */
#define OVERLOAD_SUCCESS_FACTOR 2

struct kind {
	uint32_t share_pct;
	uint32_t queue_max;
	uint32_t running;
	uint64_t mean_us; /* mean service time, 0 before the first */
	uint32_t peak; /* largest demand in the current window */
	uint32_t previous_peak; /* largest demand in the previous window */
	uint64_t window_us; /* start of the current window */
};

struct admitter {
	struct admit_ops ops;
	void *arg;
	size_t kind_count;
	uint32_t kinds_with_share;
	struct kind kinds[ADMIT_KINDS_MAX];
	bool attached;
	bool dispatching;
	bool overload_reported;
	uint32_t slots;
	uint32_t limit;
	uint32_t running;
	uint32_t successes; /* since the limit last changed */
	uint32_t failures; /* consecutive */
	uint64_t progress_us; /* time when a slot was last taken or freed */
	uint32_t ignored_results; /* results still to be ignored by the limit */
	double load;
	uint64_t load_us; /* time of the last update of load */
	struct wait_queue queue;
};

/*
 * Scales the queue limits of all kinds down to the size of the shared pool of
 * entries, so that a stalled kind cannot exhaust the pool for the others.
 */
static void scale_queues(struct admitter *a)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < a->kind_count; i++)
		sum += a->kinds[i].queue_max;
	if (sum <= ADMIT_QUEUE_MAX)
		return;
	for (size_t i = 0; i < a->kind_count; i++)
		a->kinds[i].queue_max =
			(uint32_t)(a->kinds[i].queue_max *
				   (uint64_t)ADMIT_QUEUE_MAX / sum);
}

/*
 * Returns NULL when count is not in the range 1 to ADMIT_KINDS_MAX or memory is
 * exhausted.
 */
struct admitter *admit_create(const struct admit_kind *kinds, size_t count,
			      const struct admit_ops *ops, void *arg)
{
	struct admitter *a;

	if (count == 0 || count > ADMIT_KINDS_MAX)
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
		a->kinds_with_share += kinds[i].share_pct > 0;
	}
	scale_queues(a);
	wait_queue_init(&a->queue);
	return a;
}

/* Does not call ops for requests that are still queued. */
void admit_destroy(struct admitter *a)
{
	free(a);
}

/* Returns the exponential moving average of the load at now_us. */
static double load_at(const struct admitter *a, uint64_t now_us)
{
	double current = a->slots ? (double)a->running / a->slots : 0.0;
	double elapsed =
		now_us > a->load_us ? (double)(now_us - a->load_us) : 0.0;

	return current +
	       (a->load - current) * exp(-elapsed / (double)LOAD_SMOOTHING_US);
}

/* Must be called before the number of running requests or slots changes. */
static void update_load(struct admitter *a, uint64_t now_us)
{
	a->load = load_at(a, now_us);
	if (now_us > a->load_us)
		a->load_us = now_us;
}

/* Records the slots that a kind could use; kept for one to two windows. */
static void record_demand(struct admitter *a, struct kind *k, uint64_t now_us)
{
	uint32_t demand = k->running + a->queue.lengths[k - a->kinds];
	uint64_t elapsed = now_us > k->window_us ? now_us - k->window_us : 0;

	if (elapsed >= DEMAND_WINDOW_US) {
		k->previous_peak = elapsed < 2 * DEMAND_WINDOW_US ? k->peak : 0;
		k->peak = 0;
		k->window_us = now_us;
	}
	if (demand > k->peak)
		k->peak = demand;
}

/* Returns the number of slots that the share of a kind guarantees. */
static uint32_t guaranteed_slots(const struct admitter *a, const struct kind *k)
{
	uint32_t slots = a->limit * k->share_pct / PERCENT;

	if (k->share_pct == 0)
		return 0;
	return slots > 0 ? slots : 1;
}

/*
 * Returns the number of free slots that other kinds must not borrow from a
 * kind: one more than its recent peak demand, limited to its share, less the
 * slots in use.
 */
static uint32_t reserved_slots(const struct admitter *a, const struct kind *k)
{
	uint32_t peak = k->peak > k->previous_peak ? k->peak : k->previous_peak;
	uint32_t share = guaranteed_slots(a, k);
	uint32_t need = peak + 1 < share ? peak + 1 : share;

	return need > k->running ? need - k->running : 0;
}

/* Returns how many slots must stay free after a kind takes one more. */
static uint32_t slots_to_leave_free(const struct admitter *a,
				    const struct kind *requester, bool borrows)
{
	uint32_t sum = 0;
	uint32_t max_free = a->limit > 1 ? 1 : 0;

	for (size_t i = 0; i < a->kind_count; i++) {
		const struct kind *k = &a->kinds[i];

		if (k == requester || k->share_pct == 0)
			continue;
		if (borrows)
			sum += reserved_slots(a, k);
		else
			sum += k->running == 0;
	}
	/* With fewer slots than shares, the kinds share one free slot. */
	if (a->limit >= a->kinds_with_share)
		return sum;
	return sum < max_free ? sum : max_free;
}

/* True if the limit may be exceeded, as no slot was taken or freed lately. */
static bool is_stalled(const struct admitter *a, uint64_t now_us)
{
	return a->limit > 0 && a->running < a->slots &&
	       a->running < a->kinds_with_share &&
	       now_us >= a->progress_us + STALL_TIMEOUT_US;
}

/*
 * An idle kind may take any free slot. A kind below its share leaves one slot
 * for each idle kind. A kind at or above its share borrows, and leaves the
 * slots that the others are likely to need.
 */
static bool may_run(const struct admitter *a, const struct kind *k,
		    uint64_t now_us)
{
	bool below = k->running < guaranteed_slots(a, k);
	bool idle = k->share_pct > 0 && k->running == 0;

	if (!a->attached)
		return false;
	if (a->running >= a->limit)
		return idle && is_stalled(a, now_us);
	if (idle)
		return true;
	return a->limit - a->running - 1 >= slots_to_leave_free(a, k, !below);
}

static void take_slot(struct admitter *a, struct kind *k, uint64_t now_us)
{
	update_load(a, now_us);
	a->running++;
	k->running++;
	a->progress_us = now_us;
	record_demand(a, k, now_us);
}

/* Drops requests at the head of a queue that would miss their deadline. */
static void drop_expired(struct admitter *a, uint32_t kind, uint64_t now_us)
{
	struct wait_queue_entry *e;

	while ((e = a->queue.heads[kind]) &&
	       e->deadline_us <= now_us + a->kinds[kind].mean_us) {
		ctr_add(CTR_ADMISSION_DROPPED, 1);
		a->ops.drop(a->arg, wait_queue_pop(&a->queue, kind));
	}
}

/*
 * Returns the kind whose first queued request runs next, or NULL: kinds below
 * their share come before those that borrow, then the earliest deadline wins.
 */
static struct kind *pick_next_kind(struct admitter *a, uint64_t now_us)
{
	struct kind *best = NULL;
	uint64_t best_deadline = 0;
	bool best_below = false;

	for (size_t i = 0; i < a->kind_count; i++) {
		struct kind *k = &a->kinds[i];
		const struct wait_queue_entry *e = a->queue.heads[i];
		bool below = k->running < guaranteed_slots(a, k);

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
 * Runs queued requests while slots are free. The callbacks may call
 * admit_enter() or admit_done(); a nested call returns at once and the outer
 * loop continues with the new state, so that there is no recursion.
 */
static void dispatch(struct admitter *a, uint64_t now_us)
{
	struct kind *k;

	if (a->dispatching)
		return;
	a->dispatching = true;
	for (uint32_t i = 0; i < a->kind_count; i++) {
		record_demand(a, &a->kinds[i], now_us);
		drop_expired(a, i, now_us);
	}
	while ((k = pick_next_kind(a, now_us))) {
		void *request =
			wait_queue_pop(&a->queue, (uint32_t)(k - a->kinds));

		take_slot(a, k, now_us);
		a->ops.run(a->arg, request);
	}
	a->dispatching = false;
}

/*
 * Starts with a limit of one slot. Results of requests that still run on the
 * previous upstream are ignored by the limit.
 */
void admit_attach(struct admitter *a, uint32_t slots, uint64_t now_us)
{
	update_load(a, now_us);
	a->attached = true;
	a->slots = slots;
	a->limit = slots > 0 ? 1 : 0;
	a->successes = 0;
	a->failures = 0;
	a->ignored_results = a->running;
	a->overload_reported = false;
	dispatch(a, now_us);
}

/* Lowers the limit to the new number at once; only successes raise it. */
void admit_resize(struct admitter *a, uint32_t slots)
{
	a->slots = slots;
	if (a->limit > slots)
		a->limit = slots;
	if (a->limit == 0 && slots > 0)
		a->limit = 1;
}

/* Running requests still need admit_done(). */
void admit_detach(struct admitter *a, uint64_t now_us)
{
	void *request;

	update_load(a, now_us);
	a->attached = false;
	a->limit = 0;
	for (uint32_t i = 0; i < a->kind_count; i++) {
		while ((request = wait_queue_pop(&a->queue, i)))
			a->ops.drop(a->arg, request);
	}
}

/*
 * Estimates whether a queued request can meet its deadline behind those with
 * earlier ones, in the best case that its kind gets all slots.
 */
static bool can_meet_deadline(const struct admitter *a, uint32_t kind,
			      uint64_t deadline_us, uint64_t now_us)
{
	uint64_t mean = a->kinds[kind].mean_us;
	uint64_t ahead = wait_queue_count_due(&a->queue, kind, deadline_us);
	uint64_t slots = a->limit > 0 ? a->limit : 1;

	return now_us + ahead / slots * mean + mean < deadline_us;
}

/* Admits, queues or sheds a request that must end by deadline_us. */
enum admit_verdict admit_enter(struct admitter *a, uint32_t kind,
			       uint64_t deadline_us, void *request,
			       uint64_t now_us)
{
	struct kind *k;

	if (kind >= a->kind_count || !a->attached || deadline_us <= now_us)
		return ADMIT_SHED;
	k = &a->kinds[kind];
	record_demand(a, k, now_us);
	if (!a->queue.heads[kind] && may_run(a, k, now_us)) {
		take_slot(a, k, now_us);
		return ADMIT_RUN;
	}
	if (a->queue.lengths[kind] >= k->queue_max ||
	    !can_meet_deadline(a, kind, deadline_us, now_us) ||
	    !wait_queue_add(&a->queue, kind, deadline_us, request))
		return ADMIT_SHED;
	return ADMIT_QUEUED;
}

bool admit_cancel(struct admitter *a, void *request)
{
	return wait_queue_remove(&a->queue, request);
}

/*
 * Halves the limit. Requests that are running now were admitted under the old
 * limit, so their results are ignored.
 */
static void halve_limit(struct admitter *a)
{
	a->limit = a->limit > 1 ? a->limit / 2 : a->limit;
	a->successes = 0;
	a->failures = 0;
	a->ignored_results = a->running;
}

/* Raises the limit by one slot after enough successes. */
static void count_success(struct admitter *a)
{
	uint32_t needed = ADMIT_SUCCESSES_PER_SLOT;

	if (a->overload_reported)
		needed *= OVERLOAD_SUCCESS_FACTOR;
	a->failures = 0;
	if (++a->successes < needed)
		return;
	a->successes = 0;
	if (a->limit < a->slots)
		a->limit++;
}

/* Adapts the limit to the result of a request. */
static void adapt_limit(struct admitter *a, enum admit_result result)
{
	if (a->ignored_results > 0) {
		a->ignored_results--;
		return;
	}
	switch (result) {
	case ADMIT_OK:
		count_success(a);
		break;
	case ADMIT_UPSTREAM_SHED:
		halve_limit(a);
		break;
	case ADMIT_FAILED:
		a->successes = 0;
		if (++a->failures >= FAILURES_TO_HALVE)
			halve_limit(a);
		break;
	case ADMIT_CANCELLED:
		break;
	}
}

/*
 * Updates the mean service time. A failure counts only if it took longer than
 * the mean: a connection that is refused at once would lower it.
 */
static void update_service_time(struct kind *k, enum admit_result result,
				uint64_t service_us)
{
	bool counts = result == ADMIT_OK ||
		      (result == ADMIT_FAILED && service_us > k->mean_us);

	if (!counts)
		return;
	if (k->mean_us == 0)
		k->mean_us = service_us;
	else
		k->mean_us =
			(k->mean_us * (SERVICE_TIME_WEIGHT - 1) + service_us) /
			SERVICE_TIME_WEIGHT;
}

/* Also adapts the limit to the result and runs queued requests. */
void admit_done(struct admitter *a, uint32_t kind, enum admit_result result,
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
	update_service_time(k, result, service_us);
	adapt_limit(a, result);
	dispatch(a, now_us);
}

/*
 * The report may be stale or wrong, so a load over 1.0 or bad health only slows
 * the growth of the limit; the limit itself depends on results.
 */
void admit_set_report(struct admitter *a, double load, bool healthy)
{
	a->overload_reported = !healthy || load > 1.0;
}

/* A request may become runnable by time alone, after STALL_TIMEOUT_US. */
void admit_tick(struct admitter *a, uint64_t now_us)
{
	dispatch(a, now_us);
}

/* Returns a load of usually 0 to 1; more after the slots were reduced. */
double admit_load(const struct admitter *a, uint64_t now_us)
{
	return load_at(a, now_us);
}

/* Returns the number of running requests. */
uint32_t admit_running(const struct admitter *a)
{
	return a->running;
}

/* Returns the current limit on running requests. */
uint32_t admit_limit(const struct admitter *a)
{
	return a->limit;
}
