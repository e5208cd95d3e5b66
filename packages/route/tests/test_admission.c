/*
 * Tests that one kind of request cannot delay the others, that requests that
 * would miss their deadline are not queued, and that a cold or overloaded
 * upstream gets no more requests than it can serve. Time is simulated.
 */

#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "clk.h"
#include "ctr.h"
#include "route_test.h"

#define SLOTS 9
#define FAR_US (1000 * US_PER_S)
#define EVENTS_MAX 64

/* Callbacks recorded in the current test. */
static struct {
	void *ran[EVENTS_MAX], *dropped[EVENTS_MAX];
	uint32_t run_count, drop_count;
} calls;

static void on_run(void *arg __attribute__((unused)), void *request)
{
	calls.ran[calls.run_count++ % EVENTS_MAX] = request;
}

static void on_drop(void *arg __attribute__((unused)), void *request)
{
	calls.dropped[calls.drop_count++ % EVENTS_MAX] = request;
}

static const struct admit_ops ops = { on_run, on_drop };

/* Replaced by create(), freed by teardown(). */
static struct admitter *a;

static void create(const struct admit_kind *kinds, size_t count)
{
	admit_destroy(a);
	memset(&calls, 0, sizeof(calls));
	a = admit_create(kinds, count, &ops, NULL);
	assert_non_null(a);
}

static int teardown(void **state)
{
	(void)state;
	admit_destroy(a);
	a = NULL;
	return 0;
}

/* The address of an element identifies a request. */
static char ids[ADMIT_QUEUE_MAX + 1];

/* Enters a request that must get a slot at once. */
static void run(uint32_t kind, uint64_t now)
{
	assert_int_equal(admit_enter(a, kind, now + FAR_US, NULL, now),
			 ADMIT_RUN);
}

/* Enters a request that must wait. */
static void queue(uint32_t kind, uint64_t due_us, void *request, uint64_t now)
{
	assert_int_equal(admit_enter(a, kind, due_us, request, now),
			 ADMIT_QUEUED);
}

static const struct admit_kind four_kinds[] = { { 50, 0 },
						{ 20, 0 },
						{ 20, 0 },
						{ 10, 0 } };
#define FOUR_KINDS (sizeof(four_kinds) / sizeof(four_kinds[0]))

/* Raises the limit to all slots by successes of kind 0; returns the time. */
static uint64_t raise_limit(uint32_t slots)
{
	uint64_t now = 0;

	create(four_kinds, FOUR_KINDS);
	admit_attach(a, slots, now);
	while (admit_limit(a) < slots) {
		now += US_PER_MS;
		run(0, now);
		admit_done(a, 0, ADMIT_OK, US_PER_MS, now);
	}
	now += 10 * US_PER_S;
	admit_tick(a, now);
	return now;
}

/* Enters requests until one gets no slot; returns how many got one. */
static uint32_t fill_slots(uint32_t kind, uint64_t now)
{
	uint32_t n = 0;

	while (admit_enter(a, kind, now + FAR_US, NULL, now) == ADMIT_RUN)
		n++;
	return n;
}

PLAIN(limit_starts_at_one_and_rises_by_successes)
{
	create(four_kinds, FOUR_KINDS);
	assert_int_equal(admit_enter(a, 0, FAR_US, NULL, 0), ADMIT_SHED);
	admit_attach(a, SLOTS, 0);
	for (uint32_t i = 0; i < SLOTS * ADMIT_SUCCESSES_PER_SLOT * 2; i++) {
		uint32_t limit = 1 + i / ADMIT_SUCCESSES_PER_SLOT;

		assert_int_equal(admit_limit(a), limit < SLOTS ? limit : SLOTS);
		run(0, i);
		admit_done(a, 0, ADMIT_OK, 1, i);
	}
	admit_resize(a, 3);
	assert_int_equal(admit_limit(a), 3);
}

PLAIN(shedding_upstream_halves_the_limit_once)
{
	uint64_t now = raise_limit(SLOTS);
	uint32_t n = fill_slots(0, now);

	for (uint32_t i = 0; i < n; i++)
		admit_done(a, 0, ADMIT_UPSTREAM_SHED, 1, now);
	assert_int_equal(admit_limit(a), SLOTS / 2);
	for (int i = 0; i < 5; i++) {
		run(0, now);
		admit_done(a, 0, ADMIT_UPSTREAM_SHED, 1, now);
	}
	assert_int_equal(admit_limit(a), 1);
}

/* Healthy reports must not raise a limit that failures have lowered. */
PLAIN(failures_outweigh_reports)
{
	uint64_t now = raise_limit(SLOTS);

	for (int i = 0; i < 40; i++) {
		admit_set_report(a, 0.0, true);
		run(0, now);
		admit_done(a, 0, ADMIT_FAILED, 1, now);
	}
	assert_int_equal(admit_limit(a), 1);
	admit_set_report(a, 9.0, false);
	for (uint32_t i = 0; i < 2 * SLOTS * ADMIT_SUCCESSES_PER_SLOT; i++) {
		run(0, now);
		admit_done(a, 0, ADMIT_OK, 1, now);
	}
	assert_int_equal(admit_limit(a), SLOTS);
}

/* A stalled kind must leave a slot to each other kind with a share. */
PLAIN(stalled_kind_leaves_a_slot_for_each_share)
{
	for (uint32_t stalled = 0; stalled < FOUR_KINDS; stalled++) {
		uint64_t now = raise_limit(SLOTS);

		assert_int_equal(fill_slots(stalled, now),
				 SLOTS - (FOUR_KINDS - 1));
		for (uint32_t k = 0; k < FOUR_KINDS; k++) {
			if (k != stalled)
				run(k, now);
		}
	}
}

PLAIN(share_in_use_is_not_lent)
{
	uint64_t now = raise_limit(SLOTS);
	uint32_t share = SLOTS * four_kinds[0].share_pct / 100;

	for (uint32_t i = 0; i < share; i++)
		run(0, now);
	for (uint32_t i = 0; i < share; i++)
		admit_done(a, 0, ADMIT_OK, 1, now);
	fill_slots(3, now);
	for (uint32_t i = 0; i < share; i++)
		run(0, now);
}

PLAIN(few_slots_are_still_shared)
{
	for (uint32_t slots = 2; slots < FOUR_KINDS; slots++) {
		uint64_t now = raise_limit(slots);

		assert_int_equal(fill_slots(3, now), slots - 1);
		run(0, now);
	}
}

/* Half of the shortest deadline of the example manifests, 500 ms. */
#define STALL_US (250 * US_PER_MS)

/* A slow request must not occupy the only slot during slow start. */
PLAIN(stall_during_slow_start_leaves_a_slot)
{
	static const struct admit_kind kinds[] = { { 50, 8 }, { 10, 8 } };

	create(kinds, 2);
	admit_attach(a, SLOTS, 0);
	run(1, 0);
	for (int i = 0; i < 2; i++)
		queue(0, FAR_US, &ids[i], 0);
	queue(1, FAR_US, &ids[2], 0);
	admit_tick(a, STALL_US - 1);
	assert_int_equal(calls.run_count, 0);
	admit_tick(a, STALL_US);
	assert_int_equal(calls.run_count, 1);
	assert_ptr_equal(calls.ran[0], &ids[0]);
	admit_tick(a, 10 * STALL_US);
	assert_int_equal(calls.run_count, 1);
	admit_done(a, 0, ADMIT_OK, 1, 10 * STALL_US);
	admit_tick(a, 11 * STALL_US);
	assert_ptr_equal(calls.ran[1], &ids[1]);
	assert_int_equal(admit_limit(a), 1);
}

static const struct admit_kind one_kind[] = { { 100, 8 } };

PLAIN(queue_runs_the_earliest_deadline_first)
{
	static const uint32_t due[] = { 500, 100, 300, 100, 900 };
	static const int order[] = { 1, 3, 2, 0, 4 };

	create(one_kind, 1);
	admit_attach(a, 1, 0);
	run(0, 0);
	for (int i = 0; i < 5; i++)
		queue(0, due[i] * US_PER_MS, &ids[i], 0);
	assert_true(admit_cancel(a, &ids[2]));
	assert_false(admit_cancel(a, &ids[2]));
	queue(0, due[2] * US_PER_MS, &ids[2], 0);
	for (uint32_t i = 0; i < 5; i++) {
		admit_done(a, 0, ADMIT_OK, 1, i);
		assert_int_equal(calls.run_count, i + 1);
		assert_ptr_equal(calls.ran[i], &ids[order[i]]);
	}
	admit_done(a, 0, ADMIT_OK, 1, 9);
	assert_int_equal(admit_running(a), 0);
}

PLAIN(requests_that_cannot_be_in_time_do_not_wait)
{
	uint64_t now = 0, service = 100 * US_PER_MS;

	create(one_kind, 1);
	admit_attach(a, 1, 0);
	assert_int_equal(admit_enter(a, 0, now, NULL, now), ADMIT_SHED);
	admit_enter(a, 0, FAR_US, NULL, now);
	admit_done(a, 0, ADMIT_OK, service, now);
	admit_enter(a, 0, FAR_US, NULL, now);
	assert_int_equal(admit_enter(a, 0, now + service, &ids[0], now),
			 ADMIT_SHED);
	queue(0, now + 3 * service, &ids[1], now);
	admit_tick(a, now + 2 * service - 1);
	assert_int_equal(calls.drop_count, 0);
	admit_tick(a, now + 2 * service);
	assert_int_equal(calls.drop_count, 1);
	assert_ptr_equal(calls.dropped[0], &ids[1]);
}

PLAIN(queues_are_bounded_for_each_kind)
{
	static const struct admit_kind kinds[] = { { 50, ADMIT_QUEUE_MAX },
						   { 50, ADMIT_QUEUE_MAX } };
	uint32_t queued[2] = { 0 };

	create(kinds, 2);
	admit_attach(a, 1, 0);
	admit_enter(a, 0, FAR_US, NULL, 0);
	for (uint32_t k = 0; k < 2; k++) {
		while (admit_enter(a, k, FAR_US, &ids[queued[0] + queued[1]],
				   0) == ADMIT_QUEUED)
			queued[k]++;
	}
	assert_int_equal(queued[0], ADMIT_QUEUE_MAX / 2);
	assert_int_equal(queued[1], ADMIT_QUEUE_MAX / 2);
	admit_detach(a, 1);
	assert_int_equal(calls.drop_count, ADMIT_QUEUE_MAX);
	assert_int_equal(admit_enter(a, 0, FAR_US, NULL, 1), ADMIT_SHED);
}

PLAIN(load_follows_what_runs)
{
	create(one_kind, 1);
	admit_attach(a, 2, 0);
	admit_enter(a, 0, FAR_US, NULL, 0);
	assert_true(admit_load(a, 0) < 0.01);
	assert_true(admit_load(a, 60 * US_PER_S) > 0.49);
	admit_done(a, 0, ADMIT_OK, 1, 60 * US_PER_S);
	assert_true(admit_load(a, 120 * US_PER_S) < 0.01);
}

/* Simulates an upstream with two kinds of request, in steps of 1 ms. */
#define LOOKUP 0
#define CHECK 3
#define LOOKUP_SERVICE_MS 10 /* maximum; the minimum is 6 */
#define LOOKUP_SHARE (SLOTS / 2)
#define CHECK_SERVICE_MS 20
#define STALL_SERVICE_MS 5000
#define LOOKUP_DEADLINE_MS 500
#define RUN_MS 20000
#define STALL_FROM_MS 5000
#define REQUESTS_MAX 16384

struct sim_request {
	uint32_t kind;
	uint64_t arrived_ms, started_ms, ends_ms;
};

struct sim {
	struct admitter *admitter;
	uint64_t now_ms, seed;
	bool stall;
	struct sim_request requests[REQUESTS_MAX];
	struct sim_request *running[SLOTS];
	uint32_t count, lookups, lost, running_lookups;
	uint32_t delayed; /* below their share, but got no slot at once */
	/* Latency of later lookups, in microseconds. */
	struct histogram latencies;
};

static void sim_start(void *arg, void *request)
{
	struct sim *s = arg;
	struct sim_request *r = request;
	uint64_t service = CHECK_SERVICE_MS;
	int i = 0;

	if (r->kind == LOOKUP)
		service = LOOKUP_SERVICE_MS - prng_below(&s->seed, 5);
	else if (s->stall && s->now_ms >= STALL_FROM_MS)
		service = STALL_SERVICE_MS;
	while (s->running[i])
		assert_true(++i < SLOTS);
	s->running[i] = r;
	s->running_lookups += r->kind == LOOKUP;
	r->started_ms = s->now_ms;
	r->ends_ms = s->now_ms + service;
}

static void sim_drop(void *arg, void *request)
{
	struct sim *s = arg;

	s->lost += ((struct sim_request *)request)->kind == LOOKUP;
}

static void sim_arrive(struct sim *s, uint32_t kind, uint64_t deadline_ms)
{
	struct sim_request *r = &s->requests[s->count++];
	enum admit_verdict v;

	assert_true(s->count < REQUESTS_MAX);
	*r = (struct sim_request){ .kind = kind, .arrived_ms = s->now_ms };
	s->lookups += kind == LOOKUP;
	v = admit_enter(s->admitter, kind,
			(s->now_ms + deadline_ms) * US_PER_MS, r,
			s->now_ms * US_PER_MS);
	if (kind == LOOKUP && s->now_ms >= STALL_FROM_MS && v != ADMIT_RUN)
		s->delayed += s->running_lookups < LOOKUP_SHARE;
	if (v == ADMIT_RUN)
		sim_start(s, r);
	else if (v == ADMIT_SHED)
		sim_drop(s, r);
}

static void sim_end(struct sim *s)
{
	for (int i = 0; i < SLOTS; i++) {
		struct sim_request *r = s->running[i];

		if (!r || r->ends_ms > s->now_ms)
			continue;
		s->running[i] = NULL;
		s->running_lookups -= r->kind == LOOKUP;
		if (r->kind == LOOKUP && r->arrived_ms >= STALL_FROM_MS)
			histogram_add(&s->latencies,
				      (r->ends_ms - r->arrived_ms) * US_PER_MS);
		admit_done(s->admitter, r->kind, ADMIT_OK,
			   (r->ends_ms - r->started_ms) * US_PER_MS,
			   s->now_ms * US_PER_MS);
	}
}

/* Returns the p99 latency of lookups in milliseconds. */
static uint64_t simulate(bool stall, struct sim *s)
{
	static const struct admit_ops sim_ops = { sim_start, sim_drop };
	static const struct admit_kind kinds[] = { { 50, 128 },
						   { 20, 64 },
						   { 20, 64 },
						   { 10, 8 } };
	uint64_t p99;

	memset(s, 0, sizeof(*s));
	s->seed = PRNG_SEED;
	s->stall = stall;
	s->admitter = admit_create(kinds, FOUR_KINDS, &sim_ops, s);
	admit_attach(s->admitter, SLOTS, 0);
	for (s->now_ms = 1; s->now_ms < RUN_MS; s->now_ms++) {
		sim_end(s);
		if (prng_below(&s->seed, 100) < 30)
			sim_arrive(s, LOOKUP, LOOKUP_DEADLINE_MS);
		if (prng_below(&s->seed, 100) < 3)
			sim_arrive(s, CHECK, STALL_SERVICE_MS * 2);
		admit_tick(s->admitter, s->now_ms * US_PER_MS);
	}
	p99 = histogram_quantile(&s->latencies, 0.99) / US_PER_MS;
	admit_destroy(s->admitter);
	return p99;
}

/*
 * Lookups below their share never wait. Others wait until a lookup ends, so at
 * this load the p99 latency is at most two service times.
 */
PLAIN(stall_of_another_kind_does_not_delay_lookups)
{
	struct sim *s = malloc(sizeof(*s));

	print_message("seed %u\n", PRNG_SEED);
	for (int stall = 0; stall <= 1; stall++) {
		uint64_t p99 = simulate(stall, s);

		print_message("%s stall: p99 %u ms, %u lookups, %u lost\n",
			      stall ? "with" : "no", (unsigned int)p99,
			      s->lookups, s->lost);
		assert_int_equal(s->lost, 0);
		assert_int_equal(s->delayed, 0);
		assert_true(p99 <= 2 * LOOKUP_SERVICE_MS);
	}
	free(s);
}

/* Random calls must not exceed the limit or lose a request. */
PLAIN(random_calls_keep_the_limit)
{
	static const struct admit_kind kinds[] = { { 40, 5 },
						   { 30, 5 },
						   { 0, 5 } };
	uint64_t seed = PRNG_SEED, now = 0;
	uint32_t queued = 0, running[3] = { 0 };

	create(kinds, 3);
	print_message("seed %u\n", PRNG_SEED);
	admit_attach(a, SLOTS, 0);
	for (int i = 0; i < 50000; i++) {
		uint32_t k = prng_below(&seed, 3);
		uint32_t before = admit_running(a), runs = calls.run_count;

		now += prng_below(&seed, 2000);
		if (prng_below(&seed, 100) < 60) {
			enum admit_verdict v = admit_enter(
				a, k, now + prng_below(&seed, 100000), &ids[k],
				now);

			queued += v == ADMIT_QUEUED;
			running[k] += v == ADMIT_RUN;
			if (v == ADMIT_RUN)
				assert_true(before < admit_limit(a));
		} else if (running[k] > 0) {
			admit_done(a, k,
				   (enum admit_result)prng_below(&seed, 4),
				   prng_below(&seed, 20000), now);
			running[k]--;
		}
		for (; runs < calls.run_count; runs++)
			running[(char *)calls.ran[runs % EVENTS_MAX] - ids]++;
		assert_int_equal(admit_running(a),
				 running[0] + running[1] + running[2]);
		assert_true(admit_limit(a) >= 1 && admit_limit(a) <= SLOTS);
	}
	admit_detach(a, now);
	assert_int_equal(queued, calls.run_count + calls.drop_count);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limit_starts_at_one_and_rises_by_successes),
		cmocka_unit_test(shedding_upstream_halves_the_limit_once),
		cmocka_unit_test(failures_outweigh_reports),
		cmocka_unit_test(stalled_kind_leaves_a_slot_for_each_share),
		cmocka_unit_test(share_in_use_is_not_lent),
		cmocka_unit_test(few_slots_are_still_shared),
		cmocka_unit_test(stall_during_slow_start_leaves_a_slot),
		cmocka_unit_test(queue_runs_the_earliest_deadline_first),
		cmocka_unit_test(requests_that_cannot_be_in_time_do_not_wait),
		cmocka_unit_test(queues_are_bounded_for_each_kind),
		cmocka_unit_test(load_follows_what_runs),
		cmocka_unit_test(stall_of_another_kind_does_not_delay_lookups),
		cmocka_unit_test(random_calls_keep_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, teardown);
}
