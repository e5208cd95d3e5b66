#include "drain.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "callers.h"

#define SERVICE_MS 200
/*
 * An upstream begins with one slot and gets one more for each 8 successes, so
 * requests queue up to their deadline when a drain follows at once.
 */
#define WARM_MS 4000
/* "After a few seconds": no request starts later than this. */
#define LEAVE_MS 4000
#define END_LIMIT_MS 15000

struct cluster *drain_cluster;
size_t drain_node;
static struct callers *load;

static const struct cluster_params layout = { .bookings = 4,
					      .documents = 3,
					      .service_ms = SERVICE_MS,
					      .fences = true };

static const struct callers_params steady = { .per_node = 2,
					      .timeout_ms = 3000 };

int drain_start(void **state)
{
	(void)state;
	drain_cluster = cluster_start(&layout);
	return 0;
}

int drain_stop(void **state)
{
	(void)state;
	callers_destroy(load);
	load = NULL;
	cluster_stop(drain_cluster);
	return 0;
}

/* Number of requests that started on a node of bookings so far. */
size_t drain_starts_on(size_t node)
{
	struct entry *entries;
	size_t count = cluster_journal(drain_cluster, "bookings", &entries);
	size_t starts = 0;
	char name[32];

	snprintf(name, sizeof(name), "node%zu", node);
	for (size_t i = 0; i < count; i++)
		starts += strcmp(entries[i].event, "start") == 0 &&
			  strcmp(entries[i].instance, name) == 0;
	free(entries);
	return starts;
}

static size_t busiest_node(void)
{
	size_t busiest = 0;

	for (size_t i = 1; i < layout.bookings; i++) {
		if (drain_starts_on(i) > drain_starts_on(busiest))
			busiest = i;
	}
	return busiest;
}

void drain_begin_load(void)
{
	load = callers_start(drain_cluster, &steady);
	cluster_sleep(drain_cluster, WARM_MS);
	drain_node = busiest_node();
}

/* Ends the load; every request was answered whole or refused without a run. */
void drain_end_load(void)
{
	struct callers_result r;

	callers_finish(load);
	r = callers_check(load);
	assert_true(r.done > 100);
	assert_int_equal(r.lost, 0);
	assert_int_equal(r.unknown, 0);
	assert_int_equal(r.other, 0);
	assert_int_equal(r.refused_but_ran, 0);
	assert_int_equal(r.done_but_missing, 0);
	assert_int_equal(cluster_check_owners(drain_cluster, "bookings"), 0);
	assert_int_equal(cluster_check_owners(drain_cluster, "documents"), 0);
	assert_int_equal(cluster_check_once(drain_cluster, "bookings"), 0);
	assert_int_equal(cluster_check_once(drain_cluster, "documents"), 0);
}

/* Waits as long as an upstream may need to leave, then watches it. */
void drain_expect_no_new_work(size_t node)
{
	size_t before;

	cluster_sleep(drain_cluster, LEAVE_MS);
	before = drain_starts_on(node);
	cluster_sleep(drain_cluster, DRAIN_WATCH_MS);
	printf("node %zu: %zu starts before, %zu after\n", node, before,
	       drain_starts_on(node));
	assert_true(before > 0);
	assert_int_equal(drain_starts_on(node), before);
}

/* After an undrain the node takes part again, so that the next test can run. */
void drain_expect_work_again(size_t node)
{
	size_t before = drain_starts_on(node);
	uint64_t limit = cluster_now_ms() + 20000;

	while (drain_starts_on(node) == before && cluster_now_ms() < limit)
		cluster_sleep(drain_cluster, 250);
	assert_true(drain_starts_on(node) > before);
}

void drain_order(const char *target)
{
	json_t *answer = cluster_ask(drain_cluster, drain_node, "POST", target);

	assert_string_equal(
		json_string_value(json_object_get(answer, "result")), "done");
	json_decref(answer);
}

void drain_end_daemon(size_t node)
{
	uint64_t begun = cluster_now_ms();
	int status;

	cluster_signal_daemon(drain_cluster, node, SIGTERM);
	status = cluster_wait_daemon(drain_cluster, node, END_LIMIT_MS);
	printf("node %zu: status %d after %d ms\n", node, status,
	       (int)(cluster_now_ms() - begun));
	if (status)
		cluster_print_log_end(drain_cluster, node);
	assert_int_equal(status, 0);
}
