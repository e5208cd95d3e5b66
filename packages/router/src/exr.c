#include "exr.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "exr_int.h"
#include "log.h"

/* Queue and held requests are looked through this often. */
#define TICK_US (20 * US_PER_MS)
/* Longest wait for a grant that is expected. */
#define GRANT_WAIT_US (900 * US_PER_MS)
/* Work of a kind that has not been measured yet. */
#define FIRST_MEAN_US (60.0 * 1000)
/* Idle connections to the upstream are closed after this. */
#define UPSTREAM_IDLE_US (9 * US_PER_S)
/*
 * A request that runs for this many times its usual work, and at least for
 * STUCK_MIN_US, has most likely lost its response and takes no slot.
 */
#define STUCK_FACTOR 5
#define STUCK_MIN_US (700 * US_PER_MS)
/* A request without a response makes the upstream suspect after this. */
#define SILENT_FACTOR 3
#define SILENT_MIN_US (150 * US_PER_MS)
/*
 * An upstream sees the end of a connection, and stops the request, within this
 * time; a request that is sent sooner may find all slots taken.
 */
#define CUT_SEEN_US (20 * US_PER_MS)
/* When a caller may come back that was refused without an estimate. */
#define RETURN_US (150 * US_PER_MS)

/* From now on the link knows its length. */
void exr_forget_length(struct exr_job *j)
{
	j->owner->expected_bytes -= j->expected_bytes;
	j->expected_bytes = 0;
}

/* Takes a job off its list. */
void exr_unlink(struct exr_job *j)
{
	struct exr *x = j->owner;

	exr_forget_length(j);
	if (j->state == EXR_WAITS) {
		exq_remove(x->queue, &j->item);
	} else if (j->state == EXR_HELD) {
		DL_DELETE(x->held, j);
	} else {
		DL_DELETE(x->running, j);
		x->running_count--;
	}
}

/* Ends a job that is on no list with a refusal. */
void exr_refuse(struct exr_job *j, enum exr_refusal why, uint64_t wait_us)
{
	const struct exr_ops *ops = j->ops;
	void *arg = j->arg;

	exr_forget_length(j);
	j->owner->refused += why == EXR_BUSY;
	free(j);
	ops->on_refused(arg, why, wait_us);
}

/* Counts the requests that take a slot, those that were just cut off too. */
static uint32_t count_running(const struct exr *x, uint64_t now_us)
{
	uint32_t n = 0;
	const struct exr_job *j;

	DL_FOREACH(x->running, j)
	{
		uint64_t limit = j->item.estimate_us * STUCK_FACTOR;

		if (limit < STUCK_MIN_US)
			limit = STUCK_MIN_US;
		if (clk_passed(now_us, j->started_us) < limit)
			n++;
	}
	for (size_t i = 0; i < EXR_CUTS; i++)
		n += x->cuts_us[i] > 0 &&
		     clk_passed(now_us, x->cuts_us[i]) < CUT_SEEN_US;
	return n;
}

/* True if the request may be sent as far as its key goes. */
static enum att_key key_state(const struct exr_job *j, uint64_t now_us)
{
	if (j->request.request.key == PLAT_NO_KEY)
		return ATT_GRANTED;
	return att_key(j->owner->upstream, j->request.request.key, now_us);
}

/* Returns waiting requests that the upstream may no longer be sent. */
static void sort_queue(struct exr *x, uint64_t now_us)
{
	bool open = att_is_open(x->upstream, now_us);
	const struct exq_item *i = exq_first(x->queue);

	while (i) {
		struct exr_job *j = (struct exr_job *)i;

		i = i->next;
		if (open && key_state(j, now_us) == ATT_GRANTED)
			continue;
		exq_remove(x->queue, &j->item);
		if (open && key_state(j, now_us) == ATT_EXPECTED) {
			j->state = EXR_HELD;
			DL_APPEND(x->held, j);
			continue;
		}
		exr_refuse(j, open ? EXR_NOT_OWNER : EXR_NO_UPSTREAM, 0);
	}
}

/* Starts what waits while slots are free. */
void exr_dispatch(struct exr *x)
{
	uint64_t now = evl_now_us(x->loop);
	uint32_t slots = att_slots(x->upstream);
	struct exq_item *item;

	if (x->closed || exq_count(x->queue) == 0)
		return;
	/* An upstream that leaves is closed by time, without an event. */
	if (!att_is_open(x->upstream, now)) {
		sort_queue(x, now);
		return;
	}
	/* A start that fails at once starts others: all are counted each time. */
	while (count_running(x, evl_now_us(x->loop)) < slots) {
		item = exq_pop(x->queue, now);
		if (!item)
			return;
		exr_run((struct exr_job *)item);
	}
}

/* Puts a job where it belongs: to the upstream, the queue, or back. */
static void place(struct exr_job *j, uint64_t now_us)
{
	struct exr *x = j->owner;
	uint32_t slots = att_slots(x->upstream);
	uint32_t running = count_running(x, now_us);
	uint64_t wait = exq_wait_us(x->queue, &j->item, running, slots,
				    (uint64_t)x->mean_us, now_us);

	if (j->request.request.key != PLAT_NO_KEY)
		smp_add(x->samples, j->request.request.key, j->item.estimate_us,
			now_us);
	if (!exq_is_worth(&j->item, wait, now_us)) {
		exr_refuse(j, EXR_BUSY, wait);
		return;
	}
	j->state = EXR_WAITS;
	exq_add(x->queue, &j->item);
	exr_dispatch(x);
}

/* Sends held jobs on, or back when their time is over. */
static void sort_held(struct exr *x, uint64_t now_us)
{
	struct exr_job *j, *next;

	DL_FOREACH_SAFE(x->held, j, next)
	{
		enum att_key state = key_state(j, now_us);
		bool open = att_is_open(x->upstream, now_us);

		if (state == ATT_EXPECTED && open &&
		    now_us < j->came_us + GRANT_WAIT_US &&
		    now_us + j->item.estimate_us < j->item.deadline_us)
			continue;
		DL_DELETE(x->held, j);
		if (!open)
			exr_refuse(j, EXR_NO_UPSTREAM, RETURN_US);
		else if (state == ATT_GRANTED)
			place(j, now_us);
		else
			exr_refuse(j, EXR_NOT_OWNER, 0);
	}
}

/*
 * Has the upstream looked at if a request runs much longer than usual and no
 * other response has come meanwhile.
 */
static void look_for_silence(struct exr *x, uint64_t now_us)
{
	const struct exr_job *j = x->running; /* the oldest one */

	if (j && x->answered_us < j->started_us &&
	    clk_passed(now_us, j->started_us) >
		    j->item.estimate_us * SILENT_FACTOR + SILENT_MIN_US)
		att_suspect(x->upstream);
}

/* Looks through what waits. */
static void tick(void *arg, uint64_t now_us)
{
	struct exr *x = arg;
	struct exq_item *item;

	x->timer = 0;
	while ((item = exq_pop_hopeless(x->queue, now_us)))
		exr_refuse((struct exr_job *)item, EXR_BUSY, RETURN_US);
	sort_held(x, now_us);
	exr_dispatch(x);
	look_for_silence(x, now_us);
	if ((x->held || x->running || exq_count(x->queue) > 0) && !x->timer)
		x->timer =
			tmr_at(evl_timers(x->loop), now_us + TICK_US, tick, x);
}

/* Makes a runner for one upstream address. */
struct exr *exr_create(struct evl *l, const struct plat *platform,
		       struct att *upstream, const struct pac *link,
		       const char *address)
{
	struct exr *x = calloc(1, sizeof(*x));
	struct sockaddr_in a;

	if (!x)
		return NULL;
	x->loop = l;
	x->platform = platform;
	x->upstream = upstream;
	x->link = link;
	x->mean_us = FIRST_MEAN_US;
	x->lasting_us = FIRST_MEAN_US;
	x->queue = exq_create();
	x->samples = smp_create();
	x->pool = skt_parse(address, &a) ? hcl_create(l, &a, UPSTREAM_IDLE_US) :
					   NULL;
	if (!x->queue || !x->samples || !x->pool) {
		exr_destroy(x);
		return NULL;
	}
	return x;
}

/* Ends; the jobs must be over or cancelled. */
void exr_destroy(struct exr *x)
{
	if (!x)
		return;
	tmr_cancel(evl_timers(x->loop), x->timer);
	hcl_destroy(x->pool);
	exq_destroy(x->queue);
	smp_destroy(x->samples);
	free(x);
}

/* Refuses at once what cannot be run here; otherwise queues it. */
static void admit(struct exr_job *j)
{
	struct exr *x = j->owner;
	enum att_key key = key_state(j, j->came_us);

	if (!att_is_open(x->upstream, j->came_us) ||
	    strcmp(j->request.upstream_id, att_life(x->upstream)->id) != 0) {
		exr_refuse(j, EXR_NO_UPSTREAM, RETURN_US);
	} else if (key == ATT_ELSEWHERE) {
		exr_refuse(j, EXR_NOT_OWNER, 0);
	} else if (key == ATT_EXPECTED) {
		j->state = EXR_HELD;
		DL_APPEND(x->held, j);
	} else {
		place(j, j->came_us);
	}
}

/*
 * Expects a response of the usual length of its kind. It leaves by the link
 * after all long ones that have come or are expected; a short one does not wait.
 */
static void expect_length(struct exr_job *j)
{
	struct exr *x = j->owner;
	int64_t bytes = (int64_t)x->kind_bytes[j->request.kind % EXR_KINDS];

	if (!x->link || !pac_is_long(x->link, bytes))
		return;
	j->expected_bytes = (uint64_t)bytes;
	x->expected_bytes += j->expected_bytes;
	j->item.transfer_us = pac_time_us(x->link, (uint64_t)bytes);
}

/* Makes a job and admits it. */
void exr_start(struct exr *x, const struct exr_request *r,
	       const struct exr_ops *ops, void *arg, struct exr_job **job)
{
	double kind_us = x->kind_us[r->kind % EXR_KINDS];
	struct exr_job *j = calloc(1, sizeof(*j));

	*job = j;
	if (!j) {
		ops->on_refused(arg, EXR_BUSY, RETURN_US);
		return;
	}
	j->owner = x;
	j->request = *r;
	j->ops = ops;
	j->arg = arg;
	j->came_us = evl_now_us(x->loop);
	j->item.came_us = j->came_us;
	j->item.objective_us = r->objective_us;
	if (x->end_us && j->request.deadline_us > x->end_us)
		j->request.deadline_us = x->end_us;
	j->item.deadline_us = j->request.deadline_us;
	j->item.rank = r->rank;
	j->item.estimate_us = (uint64_t)(kind_us > 0 ? kind_us : x->mean_us);
	expect_length(j);
	if (!x->timer)
		x->timer = tmr_at(evl_timers(x->loop), j->came_us + TICK_US,
				  tick, x);
	admit(j);
}

/* Limits the time of requests that come from now on. */
void exr_stop_at(struct exr *x, uint64_t end_us)
{
	x->end_us = end_us;
}

/* The process ends: what waits is not started when others are dropped. */
void exr_close(struct exr *x)
{
	x->closed = true;
}

/* Drops a job. */
void exr_cancel(struct exr_job *j)
{
	struct exr *x = j->owner;
	bool ran = j->state == EXR_RUNS;

	exr_unlink(j);
	if (j->exchange && hxc_has_sent(j->exchange))
		x->cuts_us[x->next_cut++ % EXR_CUTS] = evl_now_us(x->loop);
	if (j->exchange)
		hxc_cancel(j->exchange);
	free(j);
	if (ran)
		exr_dispatch(x);
}

/* Stops or resumes reading. */
void exr_hold(struct exr_job *j, bool held)
{
	if (j->exchange)
		hxc_hold(j->exchange, held);
}

/* True if bytes of the request may have reached the upstream. */
bool exr_was_sent(const struct exr_job *j)
{
	return j->exchange && hxc_has_sent(j->exchange);
}

/* Tells how long a request waited and ran. */
void exr_times(const struct exr_job *j, struct exr_times *out)
{
	uint64_t now = evl_now_us(j->owner->loop);

	out->queue_us = j->started_us - j->came_us;
	out->run_us = now - j->started_us;
}

/* Sorts what waits by the new state of the upstream. */
void exr_keys_changed(struct exr *x)
{
	uint64_t now = evl_now_us(x->loop);

	sort_queue(x, now);
	sort_held(x, now);
}

/* Tells the load. */
void exr_load(const struct exr *x, struct exr_load *out)
{
	out->running = x->running_count;
	out->waiting = exq_count(x->queue);
	out->slots = att_slots(x->upstream);
	out->mean_us = (uint64_t)x->mean_us;
	out->lasting_us = (uint64_t)x->lasting_us;
	out->link_us = x->link ? pac_all_us(x->link, x->expected_bytes) : 0;
	out->finished = x->finished;
	out->failed = x->failed;
	out->refused = x->refused;
	out->worked_us = x->worked_us;
}

/* Tells the work of keys. */
size_t exr_pieces(struct exr *x, struct krp_load *out, size_t max)
{
	return smp_pieces(x->samples, out, max, evl_now_us(x->loop));
}
