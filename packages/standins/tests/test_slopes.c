/*
 * Guards against a capacity table whose figures are wrong: lines that are
 * missing, fits that do not follow the measurements, and bytes on the wire that
 * differ from what the codec writes.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

#include "peer.h"
#include "rpc.h"
#include "slp_run.h"

#define IP_UDP_BYTES 28
#define WIRE_EXACT 1e-6
#define SIZE_MAX_TEST 100

static struct slp_options tiny = { .seed = 7,
				   .repetitions = 1,
				   .batch_ns = 1000,
				   .size_max = SIZE_MAX_TEST,
				   .charts = "charts" };

static int set_up(void **state)
{
	*state = slp_create(&tiny);
	return *state ? 0 : -1;
}

static int tear_down(void **state)
{
	slp_destroy(*state);
	return 0;
}

static size_t lease_bytes(uint32_t count)
{
	static uint8_t buf[RPC_DATAGRAM_MAX];
	struct peer_lease_msg msgs[PEER_LEASE_MAX];
	struct peer_lease lease = { .msgs = { count, msgs } };

	memset(msgs, 0, sizeof(msgs));
	return rpc_encode_call(buf, sizeof(buf), 1, PEER_LEASE,
			       (xdrproc_t)xdr_peer_lease, &lease, NULL);
}

static size_t digest_bytes(void)
{
	static uint8_t buf[RPC_DATAGRAM_MAX];
	struct peer_digest digest = { .seq = 1 };

	return rpc_encode_call(buf, sizeof(buf), 1, PEER_DIGEST,
			       (xdrproc_t)xdr_peer_digest, &digest, NULL);
}

/* A fit through points of a line has to be the line, at all sizes. */
static void fit_of_a_line_is_the_line(void **state)
{
	struct slp *s = *state;
	struct slp_fit fit;

	slp_add(s, "line", 1, 107, 1003);
	slp_add(s, "line", 10, 170, SLP_NONE);
	slp_add(s, "line", 1000, 7100, 4000);
	slp_add(s, "other", 5, 1, 1);
	assert_true(slp_fit(s, "line", SLP_NS, &fit));
	assert_true(fabs(fit.base - 100) < 1e-6);
	assert_true(fabs(fit.slope - 7) < 1e-9);
	assert_true(fit.error < 1e-9);
	assert_true(slp_fit(s, "line", SLP_BYTES, &fit));
	assert_true(fabs(fit.slope - 3) < 1e-9);
	assert_false(slp_fit(s, "other", SLP_NS, &fit));
	assert_false(slp_fit(s, "none", SLP_NS, &fit));
}

/* A point beside the line has to show in the error. */
static void fit_tells_how_far_it_is_off(void **state)
{
	struct slp *s = *state;
	struct slp_fit fit;

	slp_add(s, "bent", 1, 1, SLP_NONE);
	slp_add(s, "bent", 2, 2, SLP_NONE);
	slp_add(s, "bent", 3, 6, SLP_NONE);
	assert_true(slp_fit(s, "bent", SLP_NS, &fit));
	assert_true(fit.error > 0.1);
}

static void median_is_the_middle_value(void **state)
{
	double odd[] = { 9, 1, 5 };
	double one[] = { 4 };

	(void)state;
	assert_true(slp_median(odd, 3) == 5);
	assert_true(slp_median(one, 1) == 4);
}

/* The slope of LEASE is the size of a message, the base all that is before. */
static void wire_bytes_are_those_of_the_codec(void **state)
{
	struct slp *s = *state;
	const struct slp_line *l;
	struct slp_fit fit;
	double slope = (double)(lease_bytes(2) - lease_bytes(1));

	assert_true(slp_wire(s));
	assert_true(slp_fit(s, "rpc encode LEASE, messages", SLP_BYTES, &fit));
	assert_true(fabs(fit.slope - slope) < WIRE_EXACT);
	assert_true(fabs(fit.base - (double)lease_bytes(0) - IP_UDP_BYTES) <
		    WIRE_EXACT);
	l = slp_find(s, "rpc encode LEASE, messages", PEER_LEASE_MAX);
	assert_non_null(l);
	assert_true(l->bytes ==
		    (double)(lease_bytes(PEER_LEASE_MAX) + IP_UDP_BYTES));
	l = slp_find(s, "rpc encode DIGEST", 1);
	assert_non_null(l);
	assert_true(l->bytes == (double)(digest_bytes() + IP_UDP_BYTES));
	assert_true(slp_fit(s, "rpc encode OPEN, body bytes", SLP_BYTES, &fit));
	assert_true(fabs(fit.slope - 1) < WIRE_EXACT);
	assert_true(slp_fit(s, "rpc decode SYNC reply, rows", SLP_BYTES, &fit));
	assert_true(fit.slope > 100 && fit.slope < PEER_ROW_VALUE_MAX);
	assert_true(fit.error < 0.01);
}

static void expect_time(struct slp *s, const char *name, double size)
{
	const struct slp_line *l = slp_find(s, name, size);

	if (!l || !(l->ns > 0))
		fail_msg("no time of %s at %.0f", name, size);
}

/* The text of a row is longer for each earlier set. */
static void rows_and_members_are_measured(void **state)
{
	struct slp *s = *state;
	struct slp_fit fit;

	assert_true(slp_mirror(s));
	expect_time(s, "mir rows, 0 old sets", 100);
	expect_time(s, "mir rows, 1 old set", 100);
	expect_time(s, "mir members", 11);
	assert_true(slp_fit(s, "row encode, sets", SLP_BYTES, &fit));
	assert_true(fit.slope > 50 && fit.slope < 300);
	assert_true(fit.error < 0.05);
}

static void decisions_are_measured(void **state)
{
	struct slp *s = *state;
	struct slp_fit fit;

	assert_true(slp_place(s));
	expect_time(s, "plc drain_target, members", 100);
	expect_time(s, "plc counts view, members", 100);
	expect_time(s, "hot add, skewed, keys kept", 100);
	assert_true(slp_config(s));
	expect_time(s, "man match last, services", 64);
	assert_true(slp_fit(s, "man text, services", SLP_BYTES, &fit));
	assert_true(fit.slope > 500 && fit.error < 0.05);
	assert_true(slp_spread(s));
	assert_true(slp_rows(s));
}

/* Each partition has to start at its owner and later at its successor. */
static void leases_and_requests_are_measured(void **state)
{
	struct slp *s = *state;

	assert_true(slp_lease(s));
	assert_true(slp_dup(s));
	assert_true(slp_route(s));
	expect_time(s, "lse round owner, partitions", 100);
	expect_time(s, "lse round witness, partitions", 100);
	expect_time(s, "lse takeover successor, partitions", 100);
	expect_time(s, "dup request, remembered", 100);
	expect_time(s, "rte next, rows", 100);
	expect_time(s, "adm enter+done, waiting", 32);
	expect_time(s, "qtn check, fingerprints", 100);
}

#define GUARD(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		GUARD(fit_of_a_line_is_the_line),
		GUARD(fit_tells_how_far_it_is_off),
		GUARD(median_is_the_middle_value),
		GUARD(wire_bytes_are_those_of_the_codec),
		GUARD(rows_and_members_are_measured),
		GUARD(decisions_are_measured),
		GUARD(leases_and_requests_are_measured),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
