/*
 * Guards against work on an upstream for which nobody waits any more: the
 * caller has gone or its deadline has passed, with the owner's daemon as the
 * one that was called (one hop) and with another one (two hops).
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "attempts.h"
#include "cluster.h"

#define SKEW_MS 1100
#define GONE_AFTER_MS 200 /* a caller leaves then */
#define SLACK_MS 250 /* until the end of the work is in the journal */
#define DEADLINE_MS 400 /* of the caller; kinds have 1000 ms and more */
#define KIND_DEADLINE_MS 1000 /* of deposits */
#define FILL 12 /* more than the 6 slots */

static struct cluster *cluster;
static struct attempts *attempts;

static void control_all(const char *json)
{
	for (size_t i = 0; i < cluster_nodes(cluster); i++)
		cluster_control_upstream(cluster, i, json);
}

static int start(void **state)
{
	(void)state;
	cluster = cluster_start(&cluster_small);
	attempts = attempts_create(cluster);
	cluster_sleep(cluster, SKEW_MS);
	control_all("{\"stall\":\"/bookings/clients/stuck\"}");
	return 0;
}

static int stop(void **state)
{
	(void)state;
	attempts_destroy(attempts);
	cluster_stop(cluster);
	return 0;
}

/* What the journal tells of the runs of a path. */
struct runs {
	size_t starts;
	size_t ends;
	uint64_t longest_ms; /* of the runs that have ended */
	uint64_t span_ms; /* from the first start to the last end */
	char how[24]; /* of the last end */
};

static void add_end(struct runs *runs, const struct entry *start,
		    const struct entry *end, uint64_t first_us)
{
	uint64_t ms = (end->at_us - start->at_us) / 1000;

	runs->ends++;
	if (ms > runs->longest_ms)
		runs->longest_ms = ms;
	if ((end->at_us - first_us) / 1000 > runs->span_ms)
		runs->span_ms = (end->at_us - first_us) / 1000;
	snprintf(runs->how, sizeof(runs->how), "%s", end->how);
}

/* Looks up all runs of a path of the service bookings. */
static struct runs find_runs(const char *path)
{
	struct runs runs = { 0 };
	struct entry *e;
	size_t count = cluster_journal(cluster, "bookings", &e);
	uint64_t first_us = 0;

	for (size_t i = 0; i < count; i++) {
		if (strcmp(e[i].event, "start") != 0 ||
		    strcmp(e[i].path, path) != 0)
			continue;
		if (!runs.starts++)
			first_us = e[i].at_us;
		for (size_t j = i + 1; j < count; j++) {
			if (strcmp(e[j].event, "end") != 0 ||
			    e[j].number != e[i].number ||
			    strcmp(e[j].instance, e[i].instance) != 0)
				continue;
			add_end(&runs, &e[i], &e[j], first_us);
			break;
		}
	}
	free(e);
	return runs;
}

/* Daemon to be called for a key, so that the owner is 1 or 2 hops away. */
static size_t daemon_at(const char *key, int hops)
{
	int owner = cluster_owner(cluster, "bookings", key);

	assert_true(owner >= 0);
	return hops == 1 ? (size_t)owner :
			   ((size_t)owner + 1) % cluster_nodes(cluster);
}

static void make_path(char *out, size_t size, const char *key, const char *what)
{
	snprintf(out, size, "/bookings/clients/%s/%s", key, what);
}

static void a_caller_that_leaves_stops_the_work(void **state)
{
	char key[32];
	char path[96];
	char id[64];

	(void)state;
	for (int hops = 1; hops <= 2; hops++) {
		struct runs runs;
		int fd;

		snprintf(key, sizeof(key), "stuck-gone%d", hops);
		make_path(path, sizeof(path), key, "deposits");
		cluster_new_id(id, sizeof(id));
		fd = raw_post(cluster, daemon_at(key, hops), path, id);
		cluster_sleep(cluster, GONE_AFTER_MS);
		runs = find_runs(path);
		assert_int_equal(runs.starts, 1);
		assert_int_equal(runs.ends, 0);
		close(fd);
		cluster_sleep(cluster, SLACK_MS);
		runs = find_runs(path);
		printf("%d hops: caller gone after %d ms, work ended after "
		       "%d ms, %s\n",
		       hops, GONE_AFTER_MS, (int)runs.longest_ms, runs.how);
		assert_int_equal(runs.starts, 1);
		assert_int_equal(runs.ends, 1);
		assert_string_equal(runs.how, "cancelled");
	}
}

/* One caller leaves while the daemon is stopped, another one stays. */
static void start_only_what_is_waited_for(const char *key, int hops,
					  bool at_owner)
{
	char path[96];
	char left[64], stays[64];
	size_t node = daemon_at(key, hops);
	size_t stopped = at_owner ? daemon_at(key, 1) : node;
	int fd, other;

	make_path(path, sizeof(path), key, "deposits");
	cluster_new_id(left, sizeof(left));
	cluster_new_id(stays, sizeof(stays));
	cluster_signal_daemon(cluster, stopped, SIGSTOP);
	fd = raw_post(cluster, node, path, left);
	other = raw_post(cluster, node, path, stays);
	cluster_sleep(cluster, GONE_AFTER_MS);
	close(fd);
	cluster_sleep(cluster, GONE_AFTER_MS);
	cluster_signal_daemon(cluster, stopped, SIGCONT);
	cluster_sleep(cluster, SLACK_MS);
	printf("%d hops, stopped at the %s: %zu runs\n", hops,
	       at_owner ? "owner" : "caller's daemon", find_runs(path).starts);
	assert_true(cluster_did_run(cluster, "bookings", stays));
	assert_false(cluster_did_run(cluster, "bookings", left));
	close(other);
	cluster_sleep(cluster, SLACK_MS);
}

static void a_request_that_arrives_with_its_close_is_not_started(void **state)
{
	(void)state;
	start_only_what_is_waited_for("stuck-both1", 1, true);
	start_only_what_is_waited_for("stuck-both2", 2, false);
	start_only_what_is_waited_for("stuck-both3", 2, true);
}

static void a_deadline_of_the_caller_stops_the_work(void **state)
{
	static const char *const whats[] = { "deposits", "history" };
	char key[32];
	char path[96];
	char id[64];
	struct reply r;

	(void)state;
	for (int i = 0; i < 4; i++) {
		int hops = 1 + i % 2;
		const char *what = whats[i / 2];
		struct runs runs;
		uint64_t took;

		snprintf(key, sizeof(key), "stuck-late%d", i);
		make_path(path, sizeof(path), key, what);
		cluster_new_id(id, sizeof(id));
		took = cluster_now_ms();
		cluster_request(cluster, daemon_at(key, hops),
				i / 2 ? "GET" : "POST", path, i / 2 ? NULL : id,
				i / 2 ? NULL : "{}", DEADLINE_MS, &r);
		took = cluster_now_ms() - took;
		cluster_sleep(cluster, SLACK_MS);
		runs = find_runs(path);
		printf("%s, %d hops: answered %d %s after %d ms; %zu runs, "
		       "the last ended %d ms after the first start, %s\n",
		       what, hops, r.status, r.outcome, (int)took, runs.starts,
		       (int)runs.span_ms, runs.how);
		/* The upstream's own 504 may come first and is passed on. */
		assert_int_equal(r.status, 504);
		assert_true(took < DEADLINE_MS + SLACK_MS);
		assert_true(took > DEADLINE_MS - SLACK_MS / 2);
		assert_true(runs.starts >= 1);
		assert_int_equal(runs.ends, runs.starts);
		assert_true(runs.span_ms < DEADLINE_MS + SLACK_MS / 2);
		assert_true(i / 2 || runs.starts == 1);
	}
}

static void the_deadline_of_the_kind_stops_the_work(void **state)
{
	char key[32];
	char path[96];
	char id[64];

	(void)state;
	for (int hops = 1; hops <= 2; hops++) {
		struct runs runs;
		int fd;

		snprintf(key, sizeof(key), "stuck-kind%d", hops);
		make_path(path, sizeof(path), key, "deposits");
		cluster_new_id(id, sizeof(id));
		fd = raw_post(cluster, daemon_at(key, hops), path, id);
		cluster_sleep(cluster, KIND_DEADLINE_MS + SLACK_MS);
		close(fd);
		runs = find_runs(path);
		assert_int_equal(runs.starts, 1);
		assert_int_equal(runs.ends, 1);
		assert_true(runs.span_ms < KIND_DEADLINE_MS + SLACK_MS / 2);
	}
}

/* Fills the slots of the owner of a key with requests that stall. */
static void fill_slots(const char *path, size_t node, int *fds)
{
	char id[64];

	for (int i = 0; i < FILL; i++) {
		cluster_new_id(id, sizeof(id));
		fds[i] = raw_post(cluster, node, path, id);
	}
	cluster_sleep(cluster, 50);
}

/*
 * The queue is shown to move: requests that were sent before start once the
 * stall is over, while the one whose caller has gone never does.
 */
static void a_queued_request_without_caller_is_not_started(void **state)
{
	char key[32];
	char path[96];
	char id[64];
	int fds[FILL];

	(void)state;
	for (int hops = 1; hops <= 2; hops++) {
		size_t node;
		size_t before;
		int fd;

		snprintf(key, sizeof(key), "stuck-queue%d", hops);
		make_path(path, sizeof(path), key, "deposits");
		node = daemon_at(key, hops);
		fill_slots(path, node, fds);
		cluster_new_id(id, sizeof(id));
		fd = raw_post(cluster, node, path, id);
		cluster_sleep(cluster, 100);
		before = find_runs(path).starts;
		assert_true(before >= 1 && before < FILL);
		assert_false(cluster_did_run(cluster, "bookings", id));
		close(fd);
		cluster_sleep(cluster, 50);
		control_all("{\"stall\":\"\"}");
		cluster_sleep(cluster, KIND_DEADLINE_MS);
		printf("%d hops: %zu started before the stall ended, %zu in "
		       "all\n",
		       hops, before, find_runs(path).starts);
		assert_int_equal(find_runs(path).starts, FILL);
		assert_false(cluster_did_run(cluster, "bookings", id));
		for (int i = 0; i < FILL; i++)
			close(fds[i]);
		control_all("{\"stall\":\"/bookings/clients/stuck\"}");
	}
}

static void a_queued_request_past_its_deadline_is_not_started(void **state)
{
	char key[32];
	char path[96];
	char id[64];
	int fds[FILL];
	struct reply r;

	(void)state;
	for (int hops = 1; hops <= 2; hops++) {
		size_t node;

		snprintf(key, sizeof(key), "stuck-expire%d", hops);
		make_path(path, sizeof(path), key, "deposits");
		node = daemon_at(key, hops);
		fill_slots(path, node, fds);
		cluster_new_id(id, sizeof(id));
		attempts_post(attempts, node, path, id, 200, &r);
		printf("%d hops: answered %d %s\n", hops, r.status, r.outcome);
		assert_string_not_equal(r.outcome, "done");
		cluster_sleep(cluster, SLACK_MS);
		control_all("{\"stall\":\"\"}");
		cluster_sleep(cluster, KIND_DEADLINE_MS);
		assert_false(cluster_did_run(cluster, "bookings", id));
		for (int i = 0; i < FILL; i++)
			close(fds[i]);
		control_all("{\"stall\":\"/bookings/clients/stuck\"}");
	}
	assert_int_equal(attempts_check(attempts, "bookings"), 0);
	assert_int_equal(cluster_check_once(cluster, "bookings"), 0);
}

/*
 * Time is kept for an attempt at the successor. The kind has a deadline of 5 s,
 * and a key is served again within 3 s of a loss.
 */
static void a_frozen_owner_does_not_use_up_the_deadline(void **state)
{
	int owner = cluster_owner(cluster, "documents", "frozen");
	struct reply r;
	uint64_t took;

	(void)state;
	assert_true(owner >= 0);
	cluster_signal_daemon(cluster, (size_t)owner, SIGSTOP);
	took = cluster_now_ms();
	cluster_request(cluster, 0, "GET",
			"/documents/members/frozen/invoices/i", NULL, NULL,
			5000, &r);
	took = cluster_now_ms() - took;
	cluster_signal_daemon(cluster, (size_t)owner, SIGCONT);
	printf("frozen owner: answered %d %s after %d ms\n", r.status,
	       r.outcome, (int)took);
	assert_int_equal(r.status, 200);
	assert_string_equal(r.outcome, "done");
}

int main(void)
{
	/*
	 * The queues come first: after stalls of a second the mean service time
	 * makes the admission shed what would have been queued.
	 */
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			a_queued_request_without_caller_is_not_started),
		cmocka_unit_test(
			a_queued_request_past_its_deadline_is_not_started),
		cmocka_unit_test(a_caller_that_leaves_stops_the_work),
		cmocka_unit_test(
			a_request_that_arrives_with_its_close_is_not_started),
		cmocka_unit_test(a_deadline_of_the_caller_stops_the_work),
		cmocka_unit_test(the_deadline_of_the_kind_stops_the_work),
		cmocka_unit_test(a_frozen_owner_does_not_use_up_the_deadline),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
