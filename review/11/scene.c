/*
 * The store loses the map of the keys in a drill, and all daemons are killed at
 * that moment: the new ones give keys away which upstreams still hold.
 */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "casebed.h"

#define NODES 4
#define STEP_MS 20
/* Longest time for which two upstreams may hold a key. */
#define BOTH_MS 500
/* The store is away for this long. */
#define AWAY_MS 300
/* Killed daemons are started again after this long, the last one later. */
#define RESTART_MS 500
#define LAST_RESTART_MS 3500
#define WATCH_MS 9000

static struct testbed bed;
/* The daemon that is down for longest; the leader of the copy is another one. */
static size_t late;
/* Since when a pair of upstreams holds a common key, 0 if it does not. */
static uint64_t since_us[NODES][NODES];
static uint64_t longest_ms;
static char worst[256] = "no key had two holders for over half a second";

/* Finds the first key that both upstreams hold now. */
static bool find_common(const struct testbed_upstream *a,
			const struct testbed_upstream *b, uint64_t now_us,
			struct testbed_range *out)
{
	if (!a->up || !b->up || now_us >= a->ranges_until_us ||
	    now_us >= b->ranges_until_us)
		return false;
	for (size_t i = 0; i < a->range_count; i++) {
		for (size_t k = 0; k < b->range_count; k++) {
			const struct testbed_range *x = &a->ranges[i];
			const struct testbed_range *y = &b->ranges[k];

			if (x->first > y->last || y->first > x->last)
				continue;
			out->first = x->first > y->first ? x->first : y->first;
			out->last = x->last < y->last ? x->last : y->last;
			return true;
		}
	}
	return false;
}

/* Measures for how long two upstreams that are up hold the same keys. */
static void check_holders(void)
{
	uint64_t now = evloop_now_us(bed.loop);

	for (size_t i = 0; i < NODES; i++) {
		for (size_t k = i + 1; k < NODES; k++) {
			const struct testbed_upstream *a = &bed.nodes[i].upstream;
			const struct testbed_upstream *b = &bed.nodes[k].upstream;
			struct testbed_range r;
			uint64_t ms;

			if (!find_common(a, b, now, &r)) {
				if (since_us[i][k])
					casebed_record(
						"%s and %s: no common key any more, after %llu ms",
						a->id, b->id,
						(unsigned long long)((now - since_us[i][k]) /
								     US_PER_MS));
				since_us[i][k] = 0;
				continue;
			}
			if (!since_us[i][k]) {
				since_us[i][k] = now;
				casebed_record("%s and %s both hold keys %u to %u",
					       a->id, b->id, r.first, r.last);
			}
			ms = (now - since_us[i][k]) / US_PER_MS;
			if (ms <= longest_ms)
				continue;
			longest_ms = ms;
			if (ms > BOTH_MS)
				snprintf(worst, sizeof(worst),
					 "OWNER: %s and %s both held keys for %llu ms, "
					 "last keys %u to %u",
					 a->id, b->id, (unsigned long long)ms,
					 r.first, r.last);
		}
	}
}

/* Sends requests for all keys and checks the holders meanwhile. */
static void run(uint32_t ms)
{
	static uint32_t n;

	for (uint32_t t = 0; t < ms; t += STEP_MS) {
		testbed_send_request(&bed, n % NODES,
				     testbed_random(&bed, TESTBED_KEYS), true,
				     true);
		n++;
		testbed_run(&bed, STEP_MS);
		check_holders();
	}
}

static void record_holds(void)
{
	for (size_t i = 0; i < NODES; i++) {
		const struct testbed_upstream *u = &bed.nodes[i].upstream;

		casebed_record("%s holds %zu ranges", u->id,
			       u->range_count);
		for (size_t k = 0; k < u->range_count; k++)
			casebed_record("  keys %u to %u, fence %llu",
				       u->ranges[k].first, u->ranges[k].last,
				       (unsigned long long)u->ranges[k].fence);
	}
}

/* Chooses the daemon that stays down, so that the leader is not vacant. */
static void choose_late(void)
{
	char leader[64];

	testbed_store_leader(leader, sizeof(leader));
	late = strcmp(leader, "n3") == 0 ? NODES - 2 : NODES - 1;
	casebed_record("leader %s, the daemon that stays down longest: n%zu",
		       leader, late);
}

/* Runs until all upstreams hold keys; false if that takes too long. */
static bool wait_for_keys(void)
{
	for (uint32_t t = 0; t < 15000; t += 100) {
		size_t holders = 0;

		run(100);
		for (size_t i = 0; i < NODES; i++)
			holders += bed.nodes[i].upstream.range_count > 0;
		if (holders == NODES)
			return true;
	}
	return false;
}

int main(int argc, char **argv)
{
	bool trouble = casebed_has_trouble();
	unsigned long long copied_ms;

	casebed_create(&bed, argc, argv, NODES, NODES);
	testbed_publish_config(&bed, 1);
	for (size_t i = 0; i < NODES; i++)
		testbed_start_daemon(&bed, i);
	/* The copy has the leader and the rows of the daemons. */
	testbed_run(&bed, 1500);
	choose_late();
	testbed_store_copy();
	copied_ms = casebed_now_ms(&bed);
	casebed_record("the store has been copied, before the keys were given");
	for (size_t i = 0; i < NODES; i++)
		testbed_start_upstream(&bed, i);
	if (!wait_for_keys())
		return casebed_finish(&bed, CASEBED_NOT_RUN,
				      "not all upstreams got keys");
	run(1500);
	record_holds();
	longest_ms = 0;
	if (trouble) {
		bed.store_mode = TESTBED_STORE_UNAVAILABLE;
		for (size_t i = 0; i < NODES; i++)
			testbed_signal_daemon(&bed, i, SIGKILL);
		casebed_record("drill: the store is away, all daemons killed");
	}
	run(AWAY_MS);
	if (trouble) {
		testbed_store_restore(&bed);
		bed.store_mode = TESTBED_STORE_UP;
		casebed_record("the store is back with the copy, %llu ms old",
			       casebed_now_ms(&bed) - copied_ms);
	}
	run(RESTART_MS - AWAY_MS);
	if (trouble) {
		for (size_t i = 0; i < NODES; i++) {
			if (i != late)
				testbed_start_daemon(&bed, i);
		}
		casebed_record("all daemons but n%zu are started", late);
	}
	run(LAST_RESTART_MS - RESTART_MS);
	if (trouble) {
		testbed_start_daemon(&bed, late);
		casebed_record("n%zu is started", late);
	}
	run(WATCH_MS);
	record_holds();
	casebed_record("requests answered %u, refused %u, failed %u", bed.done,
		       bed.refused, bed.failed);
	return casebed_finish(&bed,
			      longest_ms > BOTH_MS ? CASEBED_BROKEN :
						     CASEBED_HELD,
			      worst);
}
