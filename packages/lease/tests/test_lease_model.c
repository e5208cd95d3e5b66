/*
 * Model checking of the lease protocol. Guards against an order of messages,
 * failures and row changes after which two processes may act or the fence
 * decreases. Every state within the bounds is explored, and the same search has
 * to find each injected fault.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <cmocka.h>

#include "model.h"

static struct statechart *chart;

static struct model_result search(const struct model_bounds *b,
				  enum lease_fault fault)
{
	clock_t begin = clock();

	setvbuf(stdout, NULL, _IOLBF, 0);
	struct model_result r = model_search(b, chart, fault);

	printf("%s: fault %d, %llu states, %llu steps, %.1f s; bounds: promise %u, time %u,"
	       " in flight %u, copies %u, pauses %u, restarts %u,"
	       " cuts %u, rewrites %u of orders 0x%x, releases %u\n",
	       b->name, (int)fault, (unsigned long long)r.states,
	       (unsigned long long)r.steps,
	       (double)(clock() - begin) / CLOCKS_PER_SEC, b->promise, b->time,
	       b->net, b->copies, b->pauses, b->restarts, b->cuts, b->rewrites,
	       b->orders, b->releases);
	return r;
}

static const struct model_bounds takeover = {
	.name = "takeover",
	.promise = 3,
	.time = 5,
	.net = 2,
	.copies = 1,
};

static const struct model_bounds restart = {
	.name = "restart",
	.promise = 2,
	.time = 2,
	.net = 2,
	.restarts = 1,
};

static const struct model_bounds links = {
	.name = "links",
	.promise = 2,
	.time = 2,
	.net = 2,
	.pauses = 1,
	.cuts = 1,
};

static const struct model_bounds release = {
	.name = "release",
	.promise = 2,
	.time = 2,
	.net = 2,
	.copies = 1,
	.releases = 1,
};

static const struct model_bounds move = {
	.name = "move",
	.promise = 2,
	.time = 2,
	.net = 2,
	.rewrites = 1,
	.orders = MODEL_SWAP_OWNER,
};

static const struct model_bounds reassign = {
	.name = "reassign",
	.promise = 2,
	.time = 2,
	.net = 1,
	.copies = 1,
	.rewrites = 1,
	.orders = MODEL_SECOND_OWNS,
	.releases = 1,
};

static const struct model_bounds rewrites = {
	.name = "rewrites",
	.promise = 2,
	.time = 2,
	.net = 1,
	.rewrites = 2,
	.orders = MODEL_SWAP_OWNER,
};

static const struct model_bounds replace = {
	.name = "replace",
	.promise = 2,
	.time = 1,
	.net = 1,
	.restarts = 1,
	.rewrites = 1,
	.orders = MODEL_ALL_ORDERS,
};

static void protocol_is_safe(void **state)
{
	static const struct model_bounds *const all[] = { &takeover, &restart,
							  &links,    &release,
							  &move,     &reassign,
							  &rewrites, &replace };

	(void)state;
	for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++)
		assert_null(search(all[i], LEASE_FAULT_NONE).violation);
}

static void injected_faults_are_found(void **state)
{
	(void)state;
	assert_non_null(search(&takeover, LEASE_FAULT_EARLY_CLAIM).violation);
	assert_non_null(search(&takeover, LEASE_FAULT_LATE_GRANT).violation);
	assert_non_null(search(&move, LEASE_FAULT_NO_SEALS).violation);
	assert_non_null(search(&move, LEASE_FAULT_NO_WAIT).violation);
}

static int setup(void **state)
{
	struct err err = { 0 };

	(void)state;
	chart = lease_chart_load("charts/lease.yaml", &err);
	if (!chart)
		fprintf(stderr, "%s\n", err.text);
	return chart ? 0 : -1;
}

static int teardown(void **state)
{
	(void)state;
	statechart_destroy(chart);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(injected_faults_are_found),
		cmocka_unit_test(protocol_is_safe),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
