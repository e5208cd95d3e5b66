/*
 * Guards against a second run of a request that may not be repeated, and
 * against a denial of a run that took place: the request is sent again through
 * another daemon after a whole answer, a lost one, the death of the owner and
 * planned moves. The journals of the upstreams decide.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "attempts.h"
#include "clk.h"
#include "cluster.h"

#define TIMEOUT_MS 2000
#define MOVE_LIMIT_MS 10000
#define SEED 20261204u
#define STORM_MS 12000
#define KILL_EVERY_MS 2000
#define DOWN_MS 700
#define ROUNDS_MAX 4
#define SKEW_MS 1100 /* a window refuses ids of its first second */

static struct cluster *cluster;
static struct attempts *attempts;

/* The kinds that may not be repeated. */
static const struct {
	const char *service;
	const char *format; /* path with the key */
} kinds[] = {
	{ "bookings", "/bookings/clients/%s/deposits" },
	{ "bookings", "/bookings/clients/%s/confirmations" },
	{ "documents", "/documents/members/%s/stamps" },
};

#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

static int start(void **state)
{
	(void)state;
	cluster = cluster_start(&cluster_small);
	attempts = attempts_create(cluster);
	cluster_sleep(cluster, SKEW_MS);
	return 0;
}

static int stop(void **state)
{
	(void)state;
	attempts_destroy(attempts);
	cluster_stop(cluster);
	return 0;
}

static void make_path(char *out, size_t size, size_t kind, const char *key)
{
	snprintf(out, size, kinds[kind].format, key);
}

static void post(size_t node, const char *path, const char *id, struct reply *r)
{
	attempts_post(attempts, node, path, id, TIMEOUT_MS, r);
}

/* Waits until a process other than a node owns the key; returns it. */
static int wait_owner_not(const char *service, const char *key, int not )
{
	uint64_t limit = cluster_now_ms() + MOVE_LIMIT_MS;
	int owner = cluster_owner(cluster, service, key);

	while ((owner < 0 || owner == not ) && cluster_now_ms() < limit) {
		cluster_sleep(cluster, 50);
		owner = cluster_owner(cluster, service, key);
	}
	assert_true(owner >= 0 && owner != not );
	return owner;
}

static void set_service_ms(unsigned int ms)
{
	char text[32];

	snprintf(text, sizeof(text), "{\"service_ms\":%u}", ms);
	for (size_t i = 0; i < cluster_nodes(cluster); i++)
		cluster_control_upstream(cluster, i, text);
}

/* A second attempt has the answer of the first one. */
static void assert_same(const struct reply *first, const struct reply *again)
{
	assert_int_equal(again->status, 200);
	assert_string_equal(again->outcome, "done");
	assert_int_equal(again->len, first->len);
	assert_string_equal(again->body, first->body);
}

/* A second attempt knows that it cannot know, or has the true answer. */
static void assert_unknown_or_same(const struct reply *first,
				   const struct reply *again)
{
	if (strcmp(again->outcome, "unknown") != 0)
		assert_same(first, again);
}

static void a_whole_answer_comes_back_through_each_daemon(void **state)
{
	char path[96];
	char id[64];
	struct reply first;
	struct reply r;

	(void)state;
	for (size_t kind = 0; kind < KINDS; kind++) {
		make_path(path, sizeof(path), kind, "whole");
		cluster_new_id(id, sizeof(id));
		post(0, path, id, &first);
		assert_int_equal(first.status, 200);
		for (size_t node = 0; node < cluster_nodes(cluster); node++) {
			post(node, path, id, &r);
			assert_same(&first, &r);
		}
		assert_int_equal(
			attempts_runs(cluster, kinds[kind].service, id), 1);
	}
}

static void a_lost_answer_is_unknown_and_runs_once(void **state)
{
	char path[96];
	char id[64];
	struct reply r;

	(void)state;
	set_service_ms(300);
	for (size_t kind = 0; kind < KINDS; kind++) {
		int fd;

		make_path(path, sizeof(path), kind, "lost");
		cluster_new_id(id, sizeof(id));
		fd = raw_post(cluster, kind, path, id);
		cluster_sleep(cluster, 100);
		close(fd);
		for (size_t node = 0; node < cluster_nodes(cluster); node++) {
			post(node, path, id, &r);
			assert_int_equal(r.status, 409);
			assert_string_equal(r.outcome, "unknown");
		}
		assert_int_equal(
			attempts_runs(cluster, kinds[kind].service, id), 1);
	}
	set_service_ms(1);
}

/* A node that is not the owner. */
static size_t other_than(int owner)
{
	return ((size_t)owner + 1) % cluster_nodes(cluster);
}

static void a_dead_owner_leaves_no_second_run(void **state)
{
	char path[96];
	char id[64];
	char running[64];
	struct reply first;
	struct reply r;

	(void)state;
	for (size_t kind = 0; kind < KINDS; kind++) {
		const char *service = kinds[kind].service;
		int owner = wait_owner_not(service, "dead", -1);
		size_t other = other_than(owner);
		int fd;

		make_path(path, sizeof(path), kind, "dead");
		cluster_new_id(id, sizeof(id));
		cluster_new_id(running, sizeof(running));
		post(other, path, id, &first);
		assert_int_equal(first.status, 200);
		set_service_ms(300);
		fd = raw_post(cluster, other, path, running);
		cluster_sleep(cluster, 100);
		cluster_signal_daemon(cluster, (size_t)owner, SIGKILL);
		close(fd);
		set_service_ms(1);
		post(other, path, running, &r);
		assert_string_not_equal(r.outcome, "done");
		wait_owner_not(service, "dead", owner);
		for (int again = 0; again < 3; again++) {
			post(other, path, id, &r);
			assert_unknown_or_same(&first, &r);
			post(other, path, running, &r);
			assert_string_equal(r.outcome, "unknown");
		}
		assert_int_equal(attempts_runs(cluster, service, id), 1);
		assert_int_equal(attempts_runs(cluster, service, running), 1);
		cluster_restart_daemon(cluster, (size_t)owner);
		cluster_sleep(cluster, 3000);
	}
}

static void ask_operator(size_t node, const char *target)
{
	json_t *json = cluster_ask(cluster, node, "POST", target);

	assert_non_null(json);
	json_decref(json);
}

static bool is_of(size_t node, const char *service)
{
	return (node < cluster_small.bookings) ==
	       (strcmp(service, "bookings") == 0);
}

static void a_planned_move_takes_the_answers_along(void **state)
{
	static const size_t moved[] = { 0, 2 };
	char path[96];
	char id[64];
	struct reply first;
	struct reply r;

	(void)state;
	for (size_t m = 0; m < 2; m++) {
		const char *service = kinds[moved[m]].service;
		int home = wait_owner_not(service, "moved", -1);
		size_t other = other_than(home);

		make_path(path, sizeof(path), moved[m], "moved");
		cluster_new_id(id, sizeof(id));
		post(other, path, id, &first);
		assert_int_equal(first.status, 200);
		ask_operator((size_t)home, "/-/drain");
		post(other, path, id, &r);
		assert_unknown_or_same(&first, &r);
		wait_owner_not(service, "moved", home);
		post(other, path, id, &r);
		assert_same(&first, &r);
		ask_operator((size_t)home, "/-/undrain");
		cluster_sleep(cluster, 1000);
		for (size_t i = 0; i < cluster_nodes(cluster); i++) {
			if (is_of(i, service) && i != (size_t)home)
				ask_operator(i, "/-/drain");
		}
		for (uint64_t limit = cluster_now_ms() + MOVE_LIMIT_MS;
		     cluster_owner(cluster, service, "moved") != home;) {
			assert_true(cluster_now_ms() < limit);
			cluster_sleep(cluster, 50);
		}
		post(other, path, id, &r);
		assert_same(&first, &r);
		assert_int_equal(attempts_runs(cluster, service, id), 1);
		for (size_t i = 0; i < cluster_nodes(cluster); i++)
			ask_operator(i, "/-/undrain");
	}
}

/* An id that no daemon can keep is invalid through each of them. */
static void ids_that_are_malformed_do_not_run(void **state)
{
	static const char *const forms[] = { "%" PRIu64, "x%" PRIu64 "-a",
					     "%" PRIu64 "-%0200d",
					     "%" PRIu64 "-" };
	char id[256];
	struct reply r;

	(void)state;
	for (size_t i = 0; i < sizeof(forms) / sizeof(forms[0]); i++) {
		snprintf(id, sizeof(id), forms[i], clk_wall_ms(clk_system()),
			 7);
		for (size_t node = 0; node < cluster_nodes(cluster); node++) {
			cluster_request(cluster, node, "POST",
					"/bookings/clients/form/deposits", id,
					"{}", TIMEOUT_MS, &r);
			assert_string_equal(r.outcome, "invalid");
			assert_int_equal(r.status, 400);
			assert_false(cluster_did_run(cluster, "bookings", id));
		}
	}
}

static void ids_of_other_times_do_not_run(void **state)
{
	uint64_t now = clk_wall_ms(clk_system());
	char path[96];
	char id[64];
	struct reply r;

	(void)state;
	for (size_t kind = 0; kind < KINDS; kind++) {
		make_path(path, sizeof(path), kind, "times");
		snprintf(id, sizeof(id), "%" PRIu64 "-past%zu", now - 120000,
			 kind);
		post(kind, path, id, &r);
		assert_string_equal(r.outcome, "unknown");
		assert_int_equal(r.status, 409);
		assert_false(cluster_did_run(cluster, kinds[kind].service, id));
		snprintf(id, sizeof(id), "%" PRIu64 "-future%zu", now + 120000,
			 kind);
		post(kind, path, id, &r);
		assert_string_equal(r.outcome, "invalid");
		assert_false(cluster_did_run(cluster, kinds[kind].service, id));
	}
}

/* What goes on while daemons are killed. */
struct storm {
	unsigned int seed;
	int down; /* -1: all run */
	uint64_t next_ms; /* of a kill or a restart */
	size_t kills;
	size_t different; /* answers of one id that are not the same */
};

static void kill_or_restart(struct storm *s)
{
	if (cluster_now_ms() < s->next_ms)
		return;
	if (s->down >= 0) {
		cluster_restart_daemon(cluster, (size_t)s->down);
		s->down = -1;
		s->next_ms = cluster_now_ms() + KILL_EVERY_MS;
		return;
	}
	s->down = rand_r(&s->seed) % (int)cluster_nodes(cluster);
	cluster_signal_daemon(cluster, (size_t)s->down, SIGKILL);
	s->kills++;
	s->next_ms = cluster_now_ms() + DOWN_MS;
}

/* Sends one request up to a few times, through any daemon each time. */
static void send_in_storm(struct storm *s)
{
	size_t kind = (size_t)rand_r(&s->seed) % KINDS;
	struct reply first = { 0 };
	struct reply r;
	char key[16];
	char path[96];
	char id[64];

	snprintf(key, sizeof(key), "k%d", rand_r(&s->seed) % 200);
	make_path(path, sizeof(path), kind, key);
	cluster_new_id(id, sizeof(id));
	for (int round = 0; round < ROUNDS_MAX; round++) {
		size_t node = (size_t)rand_r(&s->seed) % cluster_nodes(cluster);

		kill_or_restart(s);
		attempts_post(attempts, node, path, id, 1000, &r);
		if (r.status != 200)
			continue;
		if (first.status && strcmp(first.body, r.body) != 0)
			s->different++;
		first = r;
		if (round % 2)
			return;
	}
}

static void random_kills_cause_no_second_run(void **state)
{
	struct storm s = { .seed = SEED, .down = -1 };
	uint64_t until = cluster_now_ms() + STORM_MS;

	(void)state;
	printf("seed %u\n", SEED);
	s.next_ms = cluster_now_ms() + KILL_EVERY_MS;
	while (cluster_now_ms() < until)
		send_in_storm(&s);
	if (s.down >= 0)
		cluster_restart_daemon(cluster, (size_t)s.down);
	printf("%zu kills; answers: %zu done, %zu unknown, %zu not-run, "
	       "%zu shed, %zu without\n",
	       s.kills, attempts_count(attempts, "done"),
	       attempts_count(attempts, "unknown"),
	       attempts_count(attempts, "not-run"),
	       attempts_count(attempts, "shed"), attempts_count(attempts, ""));
	assert_int_equal(s.different, 0);
	assert_true(s.kills >= 3);
}

static void the_journals_show_one_run_and_one_owner(void **state)
{
	(void)state;
	assert_int_equal(cluster_check_once(cluster, "bookings"), 0);
	assert_int_equal(cluster_check_once(cluster, "documents"), 0);
	assert_int_equal(cluster_check_owners(cluster, "bookings"), 0);
	assert_int_equal(cluster_check_owners(cluster, "documents"), 0);
	assert_int_equal(attempts_check(attempts, "bookings"), 0);
	assert_int_equal(attempts_check(attempts, "documents"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_whole_answer_comes_back_through_each_daemon),
		cmocka_unit_test(a_lost_answer_is_unknown_and_runs_once),
		cmocka_unit_test(ids_of_other_times_do_not_run),
		cmocka_unit_test(ids_that_are_malformed_do_not_run),
		cmocka_unit_test(a_planned_move_takes_the_answers_along),
		cmocka_unit_test(a_dead_owner_leaves_no_second_run),
		cmocka_unit_test(random_kills_cause_no_second_run),
		cmocka_unit_test(the_journals_show_one_run_and_one_owner),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
