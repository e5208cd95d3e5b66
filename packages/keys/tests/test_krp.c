#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "krp.h"

#define TARGETS 8
#define SLOTS 6.0

/* Makes upstreams of equal capacity. */
static void make_targets(struct krp_target *t, size_t count)
{
	memset(t, 0, sizeof(*t) * count);
	for (size_t i = 0; i < count; i++) {
		snprintf(t[i].life.id, sizeof(t[i].life.id), "u%zu", i);
		snprintf(t[i].life.node, sizeof(t[i].life.node), "n%zu", i);
		t[i].capacity = SLOTS;
	}
}

/* Lets every former holder release all it has to. */
static void release_all(struct krm *k)
{
	for (uint16_t i = 0; i < krm_life_count(k); i++)
		krm_release(k, krm_life(k, i), 0, KRM_KEYS - 1, KRM_ANY_FENCE,
			    "");
}

/* Counts the keys of a life. */
static uint32_t keys_of(const struct krm *k, const struct life *l)
{
	uint32_t n = 0;

	for (size_t i = 0; i < krm_count(k); i++) {
		const struct krm_range *r = krm_at(k, i);
		const struct life *owner = krm_life(k, r->owner);

		if (owner && life_is_same(owner, l))
			n += r->last - r->first + 1;
	}
	return n;
}

/* Plans until nothing changes; returns the keys moved for balance. */
static uint32_t settle(struct krm *k, struct krp_target *t, size_t count,
		       const struct krp_load *loads, size_t load_count)
{
	uint32_t moved = 0;

	for (int i = 0; i < 40; i++) {
		moved += krp_plan(k, t, count, loads, load_count, 0).keys_moved;
		release_all(k);
	}
	return moved;
}

/* Keys go to upstreams in proportion to their capacity, in few ranges. */
static void test_first_plan_follows_capacity(void **state)
{
	struct krp_target t[TARGETS];
	struct krm *k = krm_create();

	(void)state;
	make_targets(t, TARGETS);
	t[0].capacity = 2 * SLOTS;
	assert_int_equal(krp_plan(k, t, TARGETS, NULL, 0, 0).keys_assigned,
			 KRM_KEYS);
	assert_true(krm_count(k) <= 2 * TARGETS);
	assert_in_range(keys_of(k, &t[0].life), KRM_KEYS * 15 / 100,
			KRM_KEYS * 30 / 100);
	krm_destroy(k);
}

/*
 * Upstreams that announce themselves after the first plan get keys without
 * load: four of eight stayed without any on a quiet day.
 */
static void test_newcomers_get_keys(void **state)
{
	struct krp_target t[TARGETS];
	struct krm *k = krm_create();

	(void)state;
	make_targets(t, TARGETS);
	krp_plan(k, t, TARGETS / 2, NULL, 0, 0);
	release_all(k);
	settle(k, t, TARGETS, NULL, 0);
	for (size_t i = 0; i < TARGETS; i++)
		assert_true(keys_of(k, &t[i].life) >
			    KRM_KEYS / TARGETS * 4 / 10);
	krm_destroy(k);
}

/* A plan without change of load or members moves nothing. */
static void test_steady_plan_moves_nothing(void **state)
{
	struct krp_target t[TARGETS];
	struct krp_load even[64];
	struct krm *k = krm_create();

	(void)state;
	make_targets(t, TARGETS);
	for (uint32_t i = 0; i < 64; i++)
		even[i] = (struct krp_load){ i * 1024, i * 1024 + 1023, 0.4 };
	settle(k, t, TARGETS, even, 64);
	assert_int_equal(settle(k, t, TARGETS, even, 64), 0);
	krm_destroy(k);
}

/* Load on 200 neighbouring keys is spread until no upstream is overloaded. */
static void test_hot_keys_are_spread(void **state)
{
	struct krp_target t[TARGETS];
	struct krp_load loads[20 + 8];
	struct krm *k = krm_create();
	double most = 0;

	(void)state;
	make_targets(t, TARGETS);
	krp_plan(k, t, TARGETS, NULL, 0, 0);
	release_all(k);
	for (uint32_t i = 0; i < 20; i++)
		loads[i] =
			(struct krp_load){ 3000 + i * 10, 3009 + i * 10, 0.6 };
	for (uint32_t i = 0; i < 8; i++)
		loads[20 + i] = (struct krp_load){ 4000 + i * 7000,
						   10999 + i * 7000, 2.0 };
	settle(k, t, TARGETS, loads, 28);
	for (size_t i = 0; i < TARGETS; i++) {
		if (t[i].load / t[i].capacity > most)
			most = t[i].load / t[i].capacity;
	}
	/* All work over all capacity is 0.58 with the share of cold keys. */
	assert_true(most < 0.9);
	krm_destroy(k);
}

/* An upstream that leaves loses its keys; the others keep theirs. */
static void test_leaver_loses_only_its_own(void **state)
{
	struct krp_target t[TARGETS];
	struct krm *k = krm_create();
	struct krp_result r;
	uint32_t own;

	(void)state;
	make_targets(t, TARGETS);
	krp_plan(k, t, TARGETS, NULL, 0, 0);
	release_all(k);
	own = keys_of(k, &t[TARGETS - 1].life);
	r = krp_plan(k, t, TARGETS - 1, NULL, 0, 0);
	assert_int_equal(r.keys_assigned, own);
	assert_int_equal(r.keys_moved, 0);
	krm_destroy(k);
}

/* Without any upstream the plan stays as it is. */
static void test_no_targets(void **state)
{
	struct krm *k = krm_create();

	(void)state;
	assert_int_equal(krp_plan(k, NULL, 0, NULL, 0, 0).keys_assigned, 0);
	krm_destroy(k);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_plan_follows_capacity),
		cmocka_unit_test(test_newcomers_get_keys),
		cmocka_unit_test(test_steady_plan_moves_nothing),
		cmocka_unit_test(test_hot_keys_are_spread),
		cmocka_unit_test(test_leaver_loses_only_its_own),
		cmocka_unit_test(test_no_targets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
