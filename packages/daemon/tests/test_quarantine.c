/*
 * Guards against a request that takes down one upstream after the other: it
 * crashes each upstream that runs it, and its caller keeps sending it.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "attempts.h"
#include "cluster.h"
#include "quarantine.h"

#define TIMEOUT_MS 2000
#define LIMIT_MS 20000
#define SPREAD_MS 3000
#define SKEW_MS 1100
#define INNOCENTS 3

static struct cluster *cluster;
static struct attempts *attempts;

/* A request that crashes upstreams. */
struct poison {
	const char *service;
	const char *method;
	const char *path;
	const char *harmless; /* another POST for the same key */
	const char *control;
};

static const struct poison repeatable = {
	.service = "bookings",
	.method = "GET",
	.path = "/bookings/clients/bad/history",
	.harmless = "/bookings/clients/bad/deposits",
	.control = "{\"crash\":\"bad/history\"}",
};

static const struct poison once = {
	.service = "documents",
	.method = "POST",
	.path = "/documents/members/bad/stamps",
	.harmless = NULL,
	.control = "{\"crash\":\"bad/stamps\"}",
};

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

static void control_all(const char *json)
{
	for (size_t i = 0; i < cluster_nodes(cluster); i++)
		cluster_control_upstream(cluster, i, json);
}

/* Starts crashed upstreams again, with the same fault; returns how many. */
static size_t restart_crashed(const char *control)
{
	size_t crashes = 0;

	for (size_t i = 0; i < cluster_nodes(cluster); i++) {
		if (!cluster_upstream_ended(cluster, i))
			continue;
		crashes++;
		cluster_restart_upstream(cluster, i);
		cluster_sleep(cluster, 300);
		cluster_control_upstream(cluster, i, control);
	}
	return crashes;
}

static void send_poison(const struct poison *p, size_t node, struct reply *r)
{
	char id[64];

	cluster_new_id(id, sizeof(id));
	if (strcmp(p->method, "POST") == 0)
		attempts_post(attempts, node, p->path, id, TIMEOUT_MS, r);
	else
		cluster_request(cluster, node, p->method, p->path, NULL, NULL,
				TIMEOUT_MS, r);
}

/* Number of starts of a path in the journal. */
static size_t count_starts(const struct poison *p)
{
	struct entry *entries;
	size_t count = cluster_journal(cluster, p->service, &entries);
	size_t starts = 0;

	for (size_t i = 0; i < count; i++)
		starts += strcmp(entries[i].event, "start") == 0 &&
			  strcmp(entries[i].path, p->path) == 0;
	free(entries);
	return starts;
}

/* Waits until all daemons give one outcome for the request. */
static void wait_everywhere(const struct poison *p, const char *outcome)
{
	uint64_t limit = cluster_now_ms() + SPREAD_MS;
	struct reply r;

	for (size_t i = 0; i < cluster_nodes(cluster); i++) {
		do {
			send_poison(p, i, &r);
		} while (strcmp(r.outcome, outcome) != 0 &&
			 cluster_now_ms() < limit);
		assert_string_equal(r.outcome, outcome);
	}
}

/* Sends the request through one daemon after the other until it is refused. */
static void send_until_quarantined(const struct poison *p)
{
	uint64_t limit = cluster_now_ms() + LIMIT_MS;
	size_t crashes = 0;
	size_t sent = 0;
	struct reply r;

	control_all(p->control);
	do {
		send_poison(p, sent++ % cluster_nodes(cluster), &r);
		cluster_sleep(cluster, 200);
		crashes += restart_crashed(p->control);
	} while (strcmp(r.outcome, "quarantined") != 0 &&
		 cluster_now_ms() < limit);
	printf("%s: %zu requests, %zu crashes, %zu runs\n", p->path, sent,
	       crashes, count_starts(p));
	assert_string_equal(r.outcome, "quarantined");
	assert_int_equal(r.status, 422);
	assert_int_equal(crashes, QUARANTINE_STRIKES_LIMIT);
	assert_int_equal(count_starts(p), QUARANTINE_STRIKES_LIMIT);
	wait_everywhere(p, "quarantined");
	assert_int_equal(count_starts(p), QUARANTINE_STRIKES_LIMIT);
}

/* Finds a quarantined request on the operators' port of a daemon. */
static bool find_fingerprint(size_t node, const char *label, char *out,
			     size_t size)
{
	json_t *list = cluster_ask(cluster, node, "GET", "/-/quarantine");
	bool found = false;
	json_t *entry;
	size_t i;

	json_array_foreach(list, i, entry) {
		const char *text =
			json_string_value(json_object_get(entry, "label"));

		if (!text || !strstr(text, label) ||
		    !json_is_true(json_object_get(entry, "quarantined")))
			continue;
		found = true;
		snprintf(out, size, "%s",
			 json_string_value(
				 json_object_get(entry, "fingerprint")));
	}
	json_decref(list);
	return found;
}

static void lift(size_t node, const char *fingerprint)
{
	char target[96];
	json_t *json;

	snprintf(target, sizeof(target), "/-/quarantine/lift?fingerprint=%s",
		 fingerprint);
	json = cluster_ask(cluster, node, "POST", target);
	assert_non_null(json);
	json_decref(json);
}

/* Each daemon shows the entry; the lift at one of them holds for all. */
static void see_and_lift(const struct poison *p, const char *label)
{
	char fingerprint[32];

	for (size_t i = 0; i < cluster_nodes(cluster); i++)
		assert_true(find_fingerprint(i, label, fingerprint,
					     sizeof(fingerprint)));
	control_all("{\"crash\":\"\"}");
	lift(cluster_nodes(cluster) - 1, fingerprint);
	wait_everywhere(p, "done");
	cluster_sleep(cluster, 1500);
	wait_everywhere(p, "done");
	for (size_t i = 0; i < cluster_nodes(cluster); i++)
		assert_false(find_fingerprint(i, label, fingerprint,
					      sizeof(fingerprint)));
}

static void a_repeatable_request_is_quarantined(void **state)
{
	const struct poison *p = &repeatable;
	char id[64];
	struct reply r;

	(void)state;
	send_until_quarantined(p);
	cluster_sleep(cluster, 2500);
	for (size_t i = 0; i < cluster_nodes(cluster); i++) {
		cluster_new_id(id, sizeof(id));
		attempts_post(attempts, i, p->harmless, id, TIMEOUT_MS, &r);
		assert_string_equal(r.outcome, "done");
	}
	see_and_lift(p, "history/bad");
}

static void a_request_that_may_not_be_repeated_is_quarantined(void **state)
{
	(void)state;
	send_until_quarantined(&once);
	see_and_lift(&once, "stamp/bad");
}

/* Starts harmless requests that are running when the upstream crashes. */
static void start_innocents(int *fds)
{
	char path[64];
	char id[64];

	for (int i = 0; i < INNOCENTS; i++) {
		snprintf(path, sizeof(path), "/bookings/clients/same/deposits");
		cluster_new_id(id, sizeof(id));
		fds[i] = raw_post(cluster, (size_t)i, path, id);
	}
	cluster_sleep(cluster, 100);
}

static void requests_beside_a_crash_are_not_quarantined(void **state)
{
	static const char control[] = "{\"crash\":\"same/confirm\"}";
	int fds[INNOCENTS];
	char id[64];
	struct reply r;

	(void)state;
	control_all("{\"service_ms\":400,\"crash\":\"same/confirm\"}");
	start_innocents(fds);
	cluster_new_id(id, sizeof(id));
	attempts_post(attempts, 0, "/bookings/clients/same/confirmations", id,
		      TIMEOUT_MS, &r);
	assert_string_equal(r.outcome, "unknown");
	cluster_sleep(cluster, 300);
	assert_int_equal(restart_crashed(control), 1);
	for (int i = 0; i < INNOCENTS; i++)
		close(fds[i]);
	control_all("{\"service_ms\":1,\"crash\":\"\"}");
	cluster_sleep(cluster, 2500);
	cluster_new_id(id, sizeof(id));
	attempts_post(attempts, 1, "/bookings/clients/same/deposits", id,
		      TIMEOUT_MS, &r);
	assert_string_equal(r.outcome, "done");
}

static void refused_requests_did_not_run(void **state)
{
	(void)state;
	assert_int_equal(attempts_check(attempts, "bookings"), 0);
	assert_int_equal(attempts_check(attempts, "documents"), 0);
	assert_int_equal(cluster_check_once(cluster, "bookings"), 0);
	assert_int_equal(cluster_check_once(cluster, "documents"), 0);
	assert_int_equal(cluster_check_owners(cluster, "bookings"), 0);
	assert_int_equal(cluster_check_owners(cluster, "documents"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_repeatable_request_is_quarantined),
		cmocka_unit_test(
			a_request_that_may_not_be_repeated_is_quarantined),
		cmocka_unit_test(requests_beside_a_crash_are_not_quarantined),
		cmocka_unit_test(refused_requests_did_not_run),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
