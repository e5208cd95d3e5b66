/*
 * The store comes back from a copy some seconds old, and seconds later the
 * process that leads is killed and started again. Two backends must never hold
 * the same keys.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "rv.h"

#define NODES 8
#define FIRST 6 /* backends from the start; the others join later */
#define BEAT_MS 1500
#define WORK_MS 90
#define STEP_MS 10
#define RATE_PER_STEP 2 /* 200 requests a second */
#define CALM_MS 4000
/* From the copy, and to the drill: "a copy some seconds old". */
#define JOIN_MS 200
#define COPY_AGE_MS 4500
/* From the drill to the kill, and to the next start. */
#define KILL_MS 4200
#define RESTART_MS 400
#define AFTER_MS 9000
#define ROUNDS 4
#define KEYS 65536
#define KEY_STEP 16
#define BOUND_MS 500 /* "for over half a second, with requests or without" */

static struct rv v;
static uint64_t both_since[KEYS / KEY_STEP];
static uint64_t longest_ms;
static uint32_t most_keys, round_keys;
static uint64_t round_ms;

static size_t count_holders(uint32_t key, uint64_t now)
{
	size_t n = 0;

	for (size_t i = 0; i < NODES; i++)
		n += rv_holds(&v.backends[i], key, now);
	return n;
}

/* Samples each sixteenth key. */
static void check_holders(void)
{
	uint64_t now = rv_now(&v);
	uint32_t keys = 0;

	for (uint32_t i = 0; i < KEYS / KEY_STEP; i++) {
		uint64_t ms;

		if (count_holders(i * KEY_STEP, now) < 2) {
			both_since[i] = 0;
			continue;
		}
		keys += KEY_STEP;
		if (!both_since[i])
			both_since[i] = now;
		ms = (now - both_since[i]) / US_PER_MS;
		if (ms > round_ms)
			round_ms = ms;
	}
	if (keys > round_keys) {
		round_keys = keys;
		rv_note(&v, "about %u keys have two holders", keys);
	}
}

static void run_traffic(uint32_t ms)
{
	for (uint32_t t = 0; t < ms; t += STEP_MS) {
		for (int i = 0; i < RATE_PER_STEP; i++) {
			bool unsafe = rv_random(&v, 3) == 0;

			rv_send(&v, rv_random(&v, NODES),
				unsafe ? "/confirm/" : "/lookup/", unsafe,
				rv_random(&v, KEYS));
		}
		rv_run(&v, STEP_MS);
		check_holders();
	}
}

/* Returns the machine whose daemon leads. */
static size_t find_leader(void)
{
	char name[64];
	unsigned int n = NODES;

	testbed_store_leader(name, sizeof(name));
	if (sscanf(name, "machine-%u", &n) != 1 || n >= NODES) {
		rv_note(&v, "no daemon leads");
		rv_destroy(&v);
		exit(RV_NOT_RUN);
	}
	return n;
}

/* Backends join, the store loses the last seconds, the leader restarts. */
static void play_round(int number)
{
	size_t leader;

	round_ms = 0;
	round_keys = 0;
	rv_note(&v, "round %d: the copy of the store is made", number);
	testbed_store_copy();
	run_traffic(JOIN_MS);
	for (size_t i = FIRST; i < NODES; i++)
		rv_start_backend(&v, i, "bookings", true, WORK_MS);
	run_traffic(COPY_AGE_MS - JOIN_MS);
	rv_note(&v, "the store comes back from the copy");
	testbed_store_restore(&v.store);
	run_traffic(KILL_MS);
	leader = find_leader();
	if (v.trouble) {
		rv_kill(&v, leader, SIGKILL);
		rv_wait_end(&v, leader, 1000);
		run_traffic(RESTART_MS);
		rv_start_daemon(&v, leader, "bookings", false);
	}
	run_traffic(AFTER_MS);
	rv_note(&v, "round %d: about %u keys had two holders, for up to %llu ms",
		number, round_keys, (unsigned long long)round_ms);
	if (round_ms > longest_ms)
		longest_ms = round_ms;
	if (round_keys > most_keys)
		most_keys = round_keys;
	for (size_t i = FIRST; i < NODES; i++)
		rv_stop_backend(&v, i);
	run_traffic(2000);
}

int main(void)
{
	bool broken;

	rv_create(&v, NODES, BEAT_MS);
	rv_publish(&v, 1000);
	for (size_t i = 0; i < NODES; i++)
		rv_start_daemon(&v, i, "bookings", false);
	for (size_t i = 0; i < FIRST; i++)
		rv_start_backend(&v, i, "bookings", true, WORK_MS);
	if (!rv_wait_served(&v, "/lookup/", 1, 15000)) {
		rv_note(&v, "the deployment serves nothing");
		rv_destroy(&v);
		return RV_NOT_RUN;
	}
	run_traffic(CALM_MS);
	for (int i = 1; i <= ROUNDS; i++)
		play_round(i);
	broken = longest_ms > BOUND_MS;
	rv_note(&v,
		"OWNER: at most about %u keys had two holders, the longest "
		"for %llu ms (bound %u ms): %s",
		most_keys, (unsigned long long)longest_ms, BOUND_MS,
		broken ? "broken" : "held");
	printf("keys with two holders: %u, longest %llu ms\n", most_keys,
	       (unsigned long long)longest_ms);
	rv_destroy(&v);
	return broken ? RV_BROKEN : RV_HELD;
}
