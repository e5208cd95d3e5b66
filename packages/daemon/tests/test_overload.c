/*
 * Guards against load that grows when upstreams fail: retries over their
 * budget, a kind that stalls and takes the slots of another one, and requests
 * that go on to an upstream that sheds.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "burst.h"
#include "cluster.h"
#include "ing.h"
#include "retry.h"

#define TARGET "/bookings/clients/k%zu/history?n=%zu"
#define STALLED "/bookings/slots?client=k%zu&n=%zu"
#define BATCH 40
#define WARM 400
#define DYING_MS 8000
#define DIES_EVERY_MS 900
#define LIMIT_MS 4000
#define LOOKS 100
#define CLEARLY_FAST_MS 250 /* a stalled request takes 1000 ms */

static struct cluster *cluster;
static size_t next_number;

static void control_all(const char *json)
{
	for (size_t i = 0; i < cluster_small.bookings; i++)
		cluster_control_upstream(cluster, i, json);
}

static int start(void **state)
{
	struct burst b = { 0 };

	(void)state;
	cluster = cluster_start(&cluster_small);
	while (next_number < WARM) {
		burst_get(cluster, TARGET, next_number, 10, LIMIT_MS, &b);
		next_number += 10;
	}
	burst_print("warm up", &b);
	return 0;
}

static int stop(void **state)
{
	(void)state;
	cluster_stop(cluster);
	return 0;
}

/* Requests that reached an upstream and started, over the whole journal. */
static size_t count_starts(void)
{
	struct entry *entries;
	size_t count = cluster_journal(cluster, "bookings", &entries);
	size_t starts = 0;

	for (size_t i = 0; i < count; i++)
		starts += strcmp(entries[i].event, "start") == 0;
	free(entries);
	return starts;
}

/* Largest number of attempts for a number of requests. */
static size_t bound(size_t offered)
{
	return offered + offered * RETRY_BUDGET_PCT / 100 +
	       ING_RETRY_BURST * cluster_nodes(cluster);
}

static uint64_t next_death_ms;
static size_t deaths;

/* Kills one upstream after the other while requests run on it. */
static void kill_upstream(void)
{
	size_t node = deaths % cluster_small.bookings;

	if (cluster_now_ms() < next_death_ms)
		return;
	cluster_signal_upstream(cluster, node, SIGKILL);
	cluster_restart_upstream(cluster, node);
	next_death_ms = cluster_now_ms() + DIES_EVERY_MS;
	deaths++;
}

static void a_dying_upstream_does_not_multiply_load(void **state)
{
	uint64_t until = cluster_now_ms() + DYING_MS;
	size_t before = count_starts();
	size_t offered = 0;
	struct burst b = { .step = kill_upstream };
	size_t starts;

	(void)state;
	control_all("{\"service_ms\":20}");
	next_death_ms = cluster_now_ms() + DIES_EVERY_MS;
	while (cluster_now_ms() < until) {
		burst_get(cluster, TARGET, next_number, BATCH, LIMIT_MS, &b);
		next_number += BATCH;
		offered += BATCH;
	}
	control_all("{\"service_ms\":1}");
	cluster_sleep(cluster, 500);
	starts = count_starts() - before;
	burst_print("dying upstreams", &b);
	printf("%zu deaths, %zu offered, %zu started, bound %zu\n", deaths,
	       offered, starts, bound(offered));
	assert_true(deaths >= 4);
	assert_true(starts > b.count[BURST_DONE]); /* some had to be repeated */
	assert_true(starts <= bound(offered));
	assert_int_equal(b.count[BURST_NONE], 0);
	assert_int_equal(b.count[BURST_OTHER], 0);
}

/* Requests that the upstreams of bookings have shed. */
static size_t count_shed(void)
{
	size_t shed = 0;

	for (size_t i = 0; i < cluster_small.bookings; i++)
		shed += (size_t)cluster_upstream_count(cluster, i,
						       "refused_shed");
	return shed;
}

static void shed_answers_are_honoured(void **state)
{
	size_t before = count_starts();
	size_t shed = count_shed();
	size_t offered = 0;
	struct burst b = { 0 };

	(void)state;
	control_all("{\"shed\":true}");
	while (offered < 2000) {
		burst_get(cluster, TARGET, next_number, BATCH, LIMIT_MS, &b);
		next_number += BATCH;
		offered += BATCH;
	}
	shed = count_shed() - shed;
	burst_print("upstreams shed", &b);
	printf("%zu offered, %zu reached an upstream, bound %zu\n", offered,
	       shed, bound(offered));
	assert_int_equal(count_starts(), before);
	assert_int_equal(b.count[BURST_SHED], offered);
	assert_int_equal(b.without_delay, 0);
	assert_true(shed <= bound(offered));
	control_all("{\"shed\":false}");
	memset(&b, 0, sizeof(b));
	burst_get(cluster, TARGET, next_number, 10, LIMIT_MS, &b);
	next_number += 10;
	assert_int_equal(b.count[BURST_DONE], 10);
}

static void a_stalled_kind_does_not_delay_another(void **state)
{
	struct burst warm = { 0 };
	struct burst b = { 0 };
	struct reply r;
	char path[96];
	uint64_t worst = 0;

	(void)state;
	for (int i = 0; i < WARM; i += 10) {
		burst_get(cluster, TARGET, next_number, 10, LIMIT_MS, &warm);
		next_number += 10;
	}
	control_all("{\"stall\":\"/bookings/slots\"}");
	for (int i = 0; i < LOOKS; i++) {
		uint64_t took = cluster_now_ms();

		if (i % 10 == 0)
			burst_leave(cluster, STALLED, next_number, BATCH);
		next_number += BATCH;
		snprintf(path, sizeof(path), "/bookings/clients/look%d/history",
			 i);
		cluster_request(cluster, (size_t)i % cluster_nodes(cluster),
				"GET", path, NULL, NULL, 2000, &r);
		took = cluster_now_ms() - took;
		worst = took > worst ? took : worst;
		b.count[r.status == 200 ? BURST_DONE : BURST_OTHER]++;
	}
	burst_forget();
	control_all("{\"stall\":\"\"}");
	printf("other kind during the stall: %zu of %d done, worst %d ms\n",
	       b.count[BURST_DONE], LOOKS, (int)worst);
	assert_int_equal(b.count[BURST_DONE], LOOKS);
	assert_true(worst < CLEARLY_FAST_MS);
}

static void the_journal_shows_one_owner(void **state)
{
	(void)state;
	assert_int_equal(cluster_check_owners(cluster, "bookings"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_stalled_kind_does_not_delay_another),
		cmocka_unit_test(shed_answers_are_honoured),
		cmocka_unit_test(a_dying_upstream_does_not_multiply_load),
		cmocka_unit_test(the_journal_shows_one_owner),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
