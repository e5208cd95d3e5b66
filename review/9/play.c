/*
 * While the store is down, a backend leaves, which its daemon acknowledges, and
 * the daemon is stopped and started as planned. No request may reach the backend
 * later than drain_ms after the acknowledgement from a machine in touch.
 */

#include <signal.h>
#include <stdlib.h>

#include "rv.h"

#define NODES 3
#define LEAVES 0 /* machine of the backend that leaves */
#define BEAT_MS 1500
#define WORK_MS 72
#define STEP_MS 10
#define CALM_MS 6000
#define OUTAGE_MS 4500
/* From the start of the outage. */
#define LEAVE_AT_MS 300
#define STOP_AT_MS 800
#define SERVE_MS 8300 /* "at times many seconds" */
#define RESTART_MS 300
#define END_MS 15000

static struct rv v;
static uint64_t started_us; /* of the daemon */
static uint64_t store_back_us;
static uint32_t late_in_touch;
static uint64_t last_us;

/* Counts late arrivals once all machines are in touch again. */
static void count_late(uint32_t before)
{
	struct rv_backend *b = &v.backends[LEAVES];
	uint64_t contact_us = RV_CONTACT_MS * US_PER_MS;
	uint64_t now = rv_now(&v);

	if (!started_us || !store_back_us ||
	    now < started_us + contact_us + STEP_MS * US_PER_MS ||
	    now < store_back_us + contact_us + STEP_MS * US_PER_MS ||
	    b->arrived_late == before)
		return;
	late_in_touch += b->arrived_late - before;
	last_us = now;
}

static void run_traffic(uint32_t ms)
{
	for (uint32_t t = 0; t < ms; t += STEP_MS) {
		bool unsafe = rv_random(&v, 2) == 0;
		uint32_t before = v.backends[LEAVES].arrived_late;

		rv_send(&v, rv_random(&v, NODES),
			unsafe ? "/stamp/" : "/archive/", unsafe, UINT32_MAX);
		rv_run(&v, STEP_MS);
		count_late(before);
	}
}

int main(void)
{
	struct rv_backend *b = &v.backends[LEAVES];
	uint64_t outage_us;
	uint32_t lost = 0;
	bool broken;

	rv_create(&v, NODES, BEAT_MS);
	rv_publish(&v, 1000);
	for (size_t i = 0; i < NODES; i++) {
		rv_start_daemon(&v, i, "documents", false);
		rv_start_backend(&v, i, "documents", false, WORK_MS);
	}
	if (!rv_wait_served(&v, "/archive/", UINT32_MAX, 15000)) {
		rv_note(&v, "the deployment serves nothing");
		rv_destroy(&v);
		return RV_NOT_RUN;
	}
	run_traffic(CALM_MS);
	outage_us = rv_now(&v);
	if (v.trouble) {
		v.store.store_mode = TESTBED_STORE_SILENT;
		rv_note(&v, "the store is down");
	}
	run_traffic(LEAVE_AT_MS);
	rv_leave(&v, LEAVES, SERVE_MS);
	run_traffic(STOP_AT_MS - LEAVE_AT_MS);
	if (b->left_acked_us == 0) {
		rv_note(&v, "the leave was not acknowledged");
		rv_destroy(&v);
		return RV_NOT_RUN;
	}
	rv_kill(&v, LEAVES, SIGTERM);
	if (!rv_wait_end(&v, LEAVES, RV_GRACE_S * MS_PER_S)) {
		rv_note(&v, "the daemon has not stopped");
		rv_destroy(&v);
		return RV_NOT_RUN;
	}
	rv_run(&v, RESTART_MS);
	rv_start_daemon(&v, LEAVES, "documents", false);
	started_us = rv_now(&v);
	while (rv_now(&v) < outage_us + OUTAGE_MS * US_PER_MS)
		run_traffic(STEP_MS);
	v.store.store_mode = TESTBED_STORE_UP;
	store_back_us = rv_now(&v);
	rv_note(&v, "the store is up");
	run_traffic(END_MS - OUTAGE_MS);
	rv_run(&v, 1500);
	for (uint32_t i = 0; i < v.call_count; i++) {
		const struct rv_call *c = &v.calls[i];

		lost += c->unsafe && c->begun_late > 0 && c->status != 200;
	}
	broken = late_in_touch > 0;
	rv_note(&v,
		"DRAIN: %u requests reached the backend later than %u ms after "
		"its leave was acknowledged; %u of them later than contact_ms "
		"(%u ms) after the store was back and the daemon was started, "
		"the last %llu ms after the acknowledgement; %u that can't be "
		"repeated began there and got no success: %s",
		b->arrived_late, RV_DRAIN_MS, late_in_touch, RV_CONTACT_MS,
		(unsigned long long)(last_us ? (last_us - b->left_acked_us) /
						       US_PER_MS :
					       0),
		lost, broken ? "broken" : "held");
	printf("late arrivals: %u, in touch: %u\n", b->arrived_late,
	       late_in_touch);
	rv_destroy(&v);
	return broken ? RV_BROKEN : RV_HELD;
}
