#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "keyplan.h"

#define TARGETS 8
#define SLOTS 6.0

/* Fills in targets of equal capacity. */
static void make_targets(struct keyplan_target *targets, size_t count)
{
	memset(targets, 0, sizeof(*targets) * count);
	for (size_t i = 0; i < count; i++) {
		snprintf(targets[i].incarnation.id,
			 sizeof(targets[i].incarnation.id), "u%zu", i);
		snprintf(targets[i].incarnation.node,
			 sizeof(targets[i].incarnation.node), "n%zu", i);
		targets[i].capacity = SLOTS;
	}
}

/* Releases the ranges of all former holders. */
static void release_all(struct keymap *map)
{
	for (uint16_t i = 0; i < keymap_incarnation_count(map); i++)
		keymap_release(map, keymap_incarnation(map, i), 0,
			       KEYMAP_KEYS - 1, KEYMAP_ANY_FENCE, "");
}

/* Returns the number of keys that an incarnation owns. */
static uint32_t keys_of(const struct keymap *map,
			const struct incarnation *incarnation)
{
	uint32_t count = 0;

	for (size_t i = 0; i < keymap_range_count(map); i++) {
		const struct keymap_range *range = keymap_range_at(map, i);
		const struct incarnation *owner =
			keymap_incarnation(map, range->owner);

		if (owner && incarnation_equal(owner, incarnation))
			count += range->last - range->first + 1;
	}
	return count;
}

/* Runs 40 plans on the same load; returns the keys moved for balance. */
static uint32_t plan_repeatedly(struct keymap *map,
				struct keyplan_target *targets, size_t count,
				const struct keyplan_load *loads,
				size_t load_count)
{
	uint32_t moved = 0;

	for (int i = 0; i < 40; i++) {
		moved += keyplan_run(map, targets, count, loads, load_count, 0)
				 .keys_moved;
		release_all(map);
	}
	return moved;
}

/* Guards against a first plan that ignores capacity or makes many ranges. */
static void test_first_plan_follows_capacity(void **state)
{
	struct keyplan_target targets[TARGETS];
	struct keymap *map = keymap_create();

	(void)state;
	make_targets(targets, TARGETS);
	targets[0].capacity = 2 * SLOTS;
	assert_int_equal(
		keyplan_run(map, targets, TARGETS, NULL, 0, 0).keys_assigned,
		KEYMAP_KEYS);
	assert_true(keymap_range_count(map) <= 2 * TARGETS);
	assert_in_range(keys_of(map, &targets[0].incarnation),
			KEYMAP_KEYS * 15 / 100, KEYMAP_KEYS * 30 / 100);
	keymap_destroy(map);
}

/*
 * Guards against upstreams without keys: with little load, the four of eight
 * upstreams that announced themselves after the first plan got none.
 */
static void test_new_targets_get_keys(void **state)
{
	struct keyplan_target targets[TARGETS];
	struct keymap *map = keymap_create();

	(void)state;
	make_targets(targets, TARGETS);
	keyplan_run(map, targets, TARGETS / 2, NULL, 0, 0);
	release_all(map);
	plan_repeatedly(map, targets, TARGETS, NULL, 0);
	for (size_t i = 0; i < TARGETS; i++)
		assert_true(keys_of(map, &targets[i].incarnation) >
			    KEYMAP_KEYS / TARGETS * 4 / 10);
	keymap_destroy(map);
}

/* Guards against moves while neither the load nor the targets change. */
static void test_steady_plan_moves_nothing(void **state)
{
	struct keyplan_target targets[TARGETS];
	struct keyplan_load loads[64];
	struct keymap *map = keymap_create();

	(void)state;
	make_targets(targets, TARGETS);
	for (uint32_t i = 0; i < 64; i++)
		loads[i] =
			(struct keyplan_load){ i * 1024, i * 1024 + 1023, 0.4 };
	plan_repeatedly(map, targets, TARGETS, loads, 64);
	assert_int_equal(plan_repeatedly(map, targets, TARGETS, loads, 64), 0);
	keymap_destroy(map);
}

/* Guards against an overloaded upstream due to load on 200 adjacent keys. */
static void test_hot_keys_are_spread(void **state)
{
	struct keyplan_target targets[TARGETS];
	struct keyplan_load loads[20 + 8];
	struct keymap *map = keymap_create();
	double use_max = 0;

	(void)state;
	make_targets(targets, TARGETS);
	keyplan_run(map, targets, TARGETS, NULL, 0, 0);
	release_all(map);
	for (uint32_t i = 0; i < 20; i++)
		loads[i] = (struct keyplan_load){ 3000 + i * 10, 3009 + i * 10,
						  0.6 };
	for (uint32_t i = 0; i < 8; i++)
		loads[20 + i] = (struct keyplan_load){ 4000 + i * 7000,
						       10999 + i * 7000, 2.0 };
	plan_repeatedly(map, targets, TARGETS, loads, 28);
	for (size_t i = 0; i < TARGETS; i++) {
		if (targets[i].load / targets[i].capacity > use_max)
			use_max = targets[i].load / targets[i].capacity;
	}
	/* Mean use is 0.58 including COLD_LOAD_FRACTION of the planner. */
	assert_true(use_max < 0.9);
	keymap_destroy(map);
}

/* Guards against moves between the other upstreams when one is removed. */
static void test_removed_target_loses_only_its_keys(void **state)
{
	struct keyplan_target targets[TARGETS];
	struct keymap *map = keymap_create();
	struct keyplan_result result;
	uint32_t leaver_keys;

	(void)state;
	make_targets(targets, TARGETS);
	keyplan_run(map, targets, TARGETS, NULL, 0, 0);
	release_all(map);
	leaver_keys = keys_of(map, &targets[TARGETS - 1].incarnation);
	result = keyplan_run(map, targets, TARGETS - 1, NULL, 0, 0);
	assert_int_equal(result.keys_assigned, leaver_keys);
	assert_int_equal(result.keys_moved, 0);
	keymap_destroy(map);
}

/* Guards against a plan that fails without upstreams. */
static void test_no_targets(void **state)
{
	struct keymap *map = keymap_create();

	(void)state;
	assert_int_equal(keyplan_run(map, NULL, 0, NULL, 0, 0).keys_assigned,
			 0);
	keymap_destroy(map);
}

/* Size of a large deployment. */
#define MANY_TARGETS 66
#define MANY_SLOTS 4.0
#define LOADS_PER_TARGET 16

/* Returns a pseudorandom number from 0 to below 1 and advances the seed. */
static double next_random(uint64_t *seed)
{
	*seed = *seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(*seed >> 33) / (double)(1ULL << 31);
}

/* Fills in many targets; request_work sets the sampling error of the load. */
static void make_many_targets(struct keyplan_target *targets,
			      double request_work)
{
	make_targets(targets, MANY_TARGETS);
	for (size_t i = 0; i < MANY_TARGETS; i++) {
		targets[i].capacity = MANY_SLOTS;
		targets[i].request_work = request_work;
	}
}

/*
 * Fills in the loads measured in one window. The number of requests for each
 * load is binomially distributed, as from independent callers.
 */
static size_t sample_loads(struct keyplan_load *out, double mean_use,
			   double request_work, uint64_t *seed)
{
	size_t load_count = (size_t)MANY_TARGETS * LOADS_PER_TARGET;
	double mean_requests =
		mean_use * MANY_SLOTS / LOADS_PER_TARGET / request_work;
	uint32_t keys = KEYMAP_KEYS / (uint32_t)load_count;

	for (size_t i = 0; i < load_count; i++) {
		uint32_t trials = (uint32_t)(mean_requests * 10);
		uint32_t requests = 0;

		for (uint32_t trial = 0; trial < trials; trial++)
			requests += next_random(seed) < 0.1;
		out[i].first = (uint32_t)i * keys;
		out[i].last = out[i].first + keys - 1;
		out[i].work = requests * request_work;
	}
	return load_count;
}

/* Guards against moves due to the sampling error of an even load. */
static void test_sampling_noise_moves_few_keys(void **state)
{
	static struct keyplan_load loads[MANY_TARGETS * LOADS_PER_TARGET];
	static struct keyplan_target targets[MANY_TARGETS];
	struct keymap *map = keymap_create();
	/* 110 ms of work per request, measured over a window of 2 s. */
	double request_work = 0.110 / 2;
	uint32_t moved = 0;
	uint64_t seed = 1;

	(void)state;
	make_many_targets(targets, request_work);
	keyplan_run(map, targets, MANY_TARGETS, NULL, 0, 0);
	release_all(map);
	for (int i = 0; i < 20; i++) {
		size_t count = sample_loads(loads, 0.85, request_work, &seed);

		moved +=
			keyplan_run(map, targets, MANY_TARGETS, loads, count, 0)
				.keys_moved;
		release_all(map);
	}
	/* The 20 plans cover 10 s. The load is even, so no move is needed. */
	assert_true(moved < KEYMAP_KEYS / 100);
	keymap_destroy(map);
}

/* Guards against a hot key that prevents moves between other upstreams. */
static void test_hot_key_does_not_stop_other_moves(void **state)
{
	static struct keyplan_load loads[MANY_TARGETS * LOADS_PER_TARGET];
	static struct keyplan_target targets[MANY_TARGETS];
	struct keymap *map = keymap_create();
	size_t count = 0;

	(void)state;
	make_many_targets(targets, 0);
	keyplan_run(map, targets, MANY_TARGETS, NULL, 0, 0);
	release_all(map);
	/* One key has the work of ten upstreams, 320 others that of two. */
	loads[count++] = (struct keyplan_load){ 100, 100, 10 * MANY_SLOTS };
	for (uint32_t i = 0; i < LOADS_PER_TARGET; i++)
		loads[count++] =
			(struct keyplan_load){ 40000 + i * 20, 40019 + i * 20,
					       2 * MANY_SLOTS /
						       LOADS_PER_TARGET };
	plan_repeatedly(map, targets, MANY_TARGETS, loads, count);
	for (size_t i = 0; i < MANY_TARGETS; i++) {
		if (targets[i].load < 10 * MANY_SLOTS)
			assert_true(targets[i].load < MANY_SLOTS);
	}
	keymap_destroy(map);
}

/* Guards against moves between upstreams that are all overloaded. */
static void test_overload_of_all_targets_moves_nothing(void **state)
{
	static struct keyplan_load loads[MANY_TARGETS * LOADS_PER_TARGET];
	static struct keyplan_target targets[MANY_TARGETS];
	struct keymap *map = keymap_create();
	uint32_t keys = KEYMAP_KEYS / (MANY_TARGETS * LOADS_PER_TARGET);
	uint32_t moved;

	(void)state;
	make_many_targets(targets, 0);
	keyplan_run(map, targets, MANY_TARGETS, NULL, 0, 0);
	release_all(map);
	/* Two to four times the capacity of each. */
	for (uint32_t i = 0; i < MANY_TARGETS * LOADS_PER_TARGET; i++)
		loads[i] = (struct keyplan_load){
			i * keys, i * keys + keys - 1,
			MANY_SLOTS * (2 + i / LOADS_PER_TARGET % 3) /
				LOADS_PER_TARGET
		};
	moved = plan_repeatedly(map, targets, MANY_TARGETS, loads,
				MANY_TARGETS * LOADS_PER_TARGET);
	keymap_destroy(map);
	assert_int_equal(moved, 0);
}

/* Upstreams of a service that is divided by key, of 295 instances. */
#define LARGE_TARGETS 231
/*
 * A plan is computed in one piece. A caller that leaves meanwhile may be noticed
 * half a second late at most, and a daemon may have a tenth of a core.
 */
#define PLAN_CPU_MS_MAX 50

/* Guards against a leader that handles no event while it plans. */
static void test_plan_of_a_large_deployment_is_short(void **state)
{
	static struct keyplan_load loads[LARGE_TARGETS * LOADS_PER_TARGET];
	static struct keyplan_target targets[LARGE_TARGETS];
	struct keymap *map = keymap_create();
	uint32_t keys = KEYMAP_KEYS / (LARGE_TARGETS * LOADS_PER_TARGET);
	clock_t longest = 0;
	uint32_t moved = 0;
	uint64_t seed = 1;

	(void)state;
	make_targets(targets, LARGE_TARGETS);
	keyplan_run(map, targets, LARGE_TARGETS, NULL, 0, 0);
	release_all(map);
	for (int i = 0; i < 20; i++) {
		clock_t began;

		/* Every fifth plan some upstreams have left. */
		size_t count = LARGE_TARGETS - (i % 5 == 4 ? 60 : 0);

		for (uint32_t n = 0; n < LARGE_TARGETS * LOADS_PER_TARGET; n++)
			loads[n] = (struct keyplan_load){
				n * keys, n * keys + keys - 1,
				SLOTS * next_random(&seed) / LOADS_PER_TARGET
			};
		began = clock();
		moved += keyplan_run(map, targets, count, loads,
				     LARGE_TARGETS * LOADS_PER_TARGET, 0)
				 .keys_moved;
		if (clock() - began > longest)
			longest = clock() - began;
		release_all(map);
	}
	printf("%zu ranges, %u keys moved, longest plan: %ld ms\n",
	       keymap_range_count(map), moved,
	       (long)(longest * 1000 / CLOCKS_PER_SEC));
	assert_true(moved > 0);
	assert_true(longest * 1000 / CLOCKS_PER_SEC < PLAN_CPU_MS_MAX);
	keymap_destroy(map);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_plan_follows_capacity),
		cmocka_unit_test(test_new_targets_get_keys),
		cmocka_unit_test(test_steady_plan_moves_nothing),
		cmocka_unit_test(test_hot_keys_are_spread),
		cmocka_unit_test(test_removed_target_loses_only_its_keys),
		cmocka_unit_test(test_no_targets),
		cmocka_unit_test(test_sampling_noise_moves_few_keys),
		cmocka_unit_test(test_hot_key_does_not_stop_other_moves),
		cmocka_unit_test(test_overload_of_all_targets_moves_nothing),
		cmocka_unit_test(test_plan_of_a_large_deployment_is_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
