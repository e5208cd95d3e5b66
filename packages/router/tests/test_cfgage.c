/*
 * Guards against a daemon that takes a poll without an answer, or a leader that
 * is behind, as a sign that its configuration is the newest one, and against
 * calls of the table service that grow with the number of daemons.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "cfgage.h"
#include "clk.h"
#include "fake_table.h"
#include "tblwatch.h"

#define MS US_PER_MS
/* Maximum time from the acceptance of a version until it is in effect. */
#define APPLY_US (2000 * MS)
#define REPORT_US (500 * MS)
#define CALL_US (100 * MS)

static uint32_t rows_seen;
static uint32_t losses;

static void on_row(void *arg, const struct tbl_row *r)
{
	(void)arg;
	(void)r;
	rows_seen++;
}

static void on_synced(void *arg, bool whole)
{
	(void)arg;
	(void)whole;
}

static void on_lost(void *arg, const char *reason)
{
	(void)arg;
	(void)reason;
	losses++;
}

static const struct tblwatch_ops watch_ops = { on_row, on_synced, on_lost };

static void confirmed_daemon_asks_nobody(void **state)
{
	struct cfgage leader = { 0 };
	struct cfgage a = { 0 };
	uint64_t now;

	(void)state;
	/* The worst case of normal operation: all intervals add up. */
	for (now = 1000 * MS; now < 20000 * MS; now += REPORT_US) {
		uint32_t poll_ms = cfgage_poll_ms(&leader, true, now);

		cfgage_confirm(&leader, now - poll_ms * MS);
		if (now > 1000 * MS)
			assert_true(now < cfgage_due_us(&a));
		cfgage_confirm_by_leader(&a, 7, 7, leader.confirmed_us, now);
	}
	now -= REPORT_US;
	assert_int_equal(cfgage_poll_ms(&a, false, now), 15000);
}

static void unconfirmed_version_is_checked_in_time(void **state)
{
	struct cfgage a = { 0 };
	uint64_t confirmed = 5000 * MS;

	(void)state;
	cfgage_confirm(&a, confirmed);
	assert_true(cfgage_due_us(&a) + CALL_US <= confirmed + APPLY_US);
	cfgage_confirm(&a, confirmed - 1000 * MS);
	assert_true(cfgage_due_us(&a) + CALL_US <= confirmed + APPLY_US);
	assert_true(cfgage_poll_ms(&a, false, confirmed) * MS + CALL_US <=
		    APPLY_US);
}

static void leader_with_a_newer_version_confirms_nothing(void **state)
{
	struct cfgage a = { 0 };

	(void)state;
	cfgage_confirm(&a, 1000 * MS);
	cfgage_confirm_by_leader(&a, 4, 6, 3000 * MS, 3000 * MS);
	assert_int_equal(a.confirmed_us, 1000 * MS);
	cfgage_confirm_by_leader(&a, 6, 4, 3000 * MS, 3100 * MS);
	assert_int_equal(a.confirmed_us, 3000 * MS);
}

static void silent_leader_is_not_relied_on(void **state)
{
	struct cfgage a = { 0 };

	(void)state;
	cfgage_confirm_by_leader(&a, 4, 4, 1000 * MS, 1000 * MS);
	assert_int_equal(cfgage_poll_ms(&a, false, 1500 * MS), 15000);
	assert_true(cfgage_poll_ms(&a, false, 4000 * MS) <= 1000);
}

static void run_loop(struct evloop *l, uint32_t ms)
{
	uint64_t end = evloop_now_us(l) + ms * MS;

	while (evloop_now_us(l) < end)
		evloop_run_once(l, end - evloop_now_us(l));
}

static void poll_without_an_answer_is_replaced(void **state)
{
	struct err err = { 0 };
	struct evloop *l = evloop_create(clk_system(), &err);
	struct fake db = { 0 };
	struct tblwatch *w;

	(void)state;
	losses = 0;
	faketbl_open(&db, l);
	w = tblwatch_create(l, db.tbl, "t", 1 * MS, &watch_ops, NULL);
	run_loop(l, 20);
	assert_int_equal(db.watches, 1);
	assert_int_equal(db.watch_wait_ms, 15000);
	run_loop(l, 50);
	tblwatch_set_wait(w, 700);
	tblwatch_restart(w);
	assert_int_equal(db.watch_wait_ms, 0);
	/* A late answer of the replaced poll would load the link again. */
	assert_int_equal(db.watch_count, 0);
	/* An answer is on its way: there is nothing to replace. */
	tblwatch_restart(w);
	assert_int_equal(db.watches, 2);
	run_loop(l, 20);
	assert_int_equal(db.watches, 3);
	assert_int_equal(db.watch_wait_ms, 700);
	assert_true(evloop_now_us(l) - tblwatch_answered_us(w) < 40 * MS);
	assert_int_equal(losses, 0);
	assert_int_equal(db.watches, 3);
	tblwatch_destroy(w);
	faketbl_close(&db);
	evloop_destroy(l);
}

static void failed_poll_is_followed_by_one_that_does_not_wait(void **state)
{
	struct err err = { 0 };
	struct evloop *l = evloop_create(clk_system(), &err);
	struct fake db = { 0 };
	struct tblwatch *w;

	(void)state;
	losses = 0;
	faketbl_open(&db, l);
	w = tblwatch_create(l, db.tbl, "t", 1 * MS, &watch_ops, NULL);
	run_loop(l, 20);
	faketbl_close(&db);
	run_loop(l, 120);
	assert_int_equal(losses, 1);
	assert_int_equal(db.watches, 3);
	assert_int_equal(db.watch_wait_ms, 15000);
	tblwatch_destroy(w);
	faketbl_close(&db);
	evloop_destroy(l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(confirmed_daemon_asks_nobody),
		cmocka_unit_test(unconfirmed_version_is_checked_in_time),
		cmocka_unit_test(leader_with_a_newer_version_confirms_nothing),
		cmocka_unit_test(silent_leader_is_not_relied_on),
		cmocka_unit_test(poll_without_an_answer_is_replaced),
		cmocka_unit_test(
			failed_poll_is_followed_by_one_that_does_not_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
