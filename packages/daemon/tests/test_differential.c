/*
 * The same session of requests through the daemons and through a naive router.
 * Guards against a daemon that changes status, body or type of a response, and,
 * by the golden file, against an unintended change of what callers see. Set
 * GERANIUMSPOKE_GOLDEN=write to rewrite the golden file.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "cluster.h"

#define TIMEOUT_MS 5000
#define SEED 20260101
#define REQUESTS 400
#define GOLDEN_REQUESTS 40
#define GOLDEN "packages/daemon/tests/golden/session.txt"
#define TEXT_MAX 65536

/* Requests with an id first sent earlier than this may be duplicates. */
#define WINDOW_MS 1500

static struct cluster *cluster;

static const struct kind {
	const char *method;
	const char *path;
	bool once;
	const char *body;
} kinds[] = {
	{ "GET", "/bookings/clients/c%u/history", false, NULL },
	{ "GET", "/bookings/slots?client=c%u", false, NULL },
	{ "POST", "/bookings/clients/c%u/confirmations", true, "{\"ok\":1}" },
	{ "POST", "/bookings/clients/c%u/deposits", true, "{\"jmd\":500}" },
	{ "GET", "/documents/members/m%u/invoices/i1", false, NULL },
	{ "POST", "/documents/members/m%u/stamps", true, "stamp" },
	{ "GET", "/documents/members/m%u/archives/a?bytes=3000", false, NULL },
	{ "PUT", "/documents/members/m%u/archives/a", false, "archive" },
};

/* Requests that the daemons refuse; a naive router does not. */
static const struct kind refused[] = {
	{ "GET", "/nowhere/%u", false, NULL },
	{ "POST", "/bookings/clients/c%u/deposits", false, "{}" },
	{ "DELETE", "/bookings/clients/c%u/history", false, NULL },
};

#define KINDS (sizeof(kinds) / sizeof(kinds[0]))
#define REFUSED (sizeof(refused) / sizeof(refused[0]))

static int start(void **state)
{
	(void)state;
	cluster = cluster_start(&cluster_small);
	cluster_start_naive(cluster);
	cluster_sleep(cluster, WINDOW_MS);
	return 0;
}

static int stop(void **state)
{
	(void)state;
	cluster_stop(cluster);
	return 0;
}

static unsigned int draw(uint64_t *seed, unsigned int below)
{
	*seed = *seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return (unsigned int)(*seed >> 33) % below;
}

/* Replaces the value of a field of a flat JSON text by a star. */
static void hide(char *text, const char *field)
{
	char name[32];
	char *at;
	size_t len;

	snprintf(name, sizeof(name), "\"%s\":", field);
	at = strstr(text, name);
	if (!at)
		return;
	at += strlen(name);
	len = *at == '"' ? strcspn(at + 1, "\"") + 2 : strcspn(at, ",}");
	memmove(at + 1, at + len, strlen(at + len) + 1);
	*at = '*';
}

static void hide_instance(struct reply *r)
{
	hide(r->body, "instance");
	hide(r->body, "number");
}

static void answers_are_those_of_the_naive_router(void **state)
{
	uint64_t seed = SEED;

	(void)state;
	for (int i = 0; i < REQUESTS; i++) {
		const struct kind *k = &kinds[draw(&seed, KINDS)];
		size_t node = draw(&seed, (unsigned int)cluster_nodes(cluster));
		struct reply ours;
		struct reply naive;
		char path[96];
		char id[64];

		snprintf(path, sizeof(path), k->path, draw(&seed, 50));
		cluster_new_id(id, sizeof(id));
		cluster_request(cluster, node, k->method, path,
				k->once ? id : NULL, k->body, TIMEOUT_MS,
				&ours);
		cluster_request_naive(cluster, k->method, path,
				      k->once ? id : NULL, k->body, TIMEOUT_MS,
				      &naive);
		hide_instance(&ours);
		hide_instance(&naive);
		assert_string_equal(ours.outcome, "done");
		assert_int_equal(ours.status, 200);
		assert_int_equal(ours.status, naive.status);
		assert_string_equal(ours.body, naive.body);
		assert_string_equal(ours.type, naive.type);
	}
}

/* Sends a request and appends what came back. */
static void record(const struct kind *k, size_t node, unsigned int key,
		   char *out, size_t size)
{
	size_t len = strlen(out);
	struct reply r;
	char path[96];
	char id[64];

	snprintf(path, sizeof(path), k->path, key);
	cluster_new_id(id, sizeof(id));
	cluster_request(cluster, node, k->method, path, k->once ? id : NULL,
			k->body, TIMEOUT_MS, &r);
	hide_instance(&r);
	hide(r.body, "key");
	assert_true(len + r.len + 512 < size);
	snprintf(out + len, size - len,
		 "> %s %s\n%s%d\ngeranium-outcome: %s\ncontent-type: %s\n"
		 "length %zu: %.200s\n\n",
		 k->method, path, k->once ? "idempotency-key: *\n" : "",
		 r.status, r.outcome, r.type, strlen(r.body), r.body);
}

static void session_is_that_of_the_golden_file(void **state)
{
	static char text[TEXT_MAX];
	static char golden[TEXT_MAX];
	const char *mode = getenv("GERANIUMSPOKE_GOLDEN");
	bool rewrite = mode && strcmp(mode, "write") == 0;
	uint64_t seed = SEED;
	FILE *f;

	(void)state;
	for (size_t i = 0; i < GOLDEN_REQUESTS; i++) {
		/* The golden file was recorded with the key drawn first. */
		unsigned int key = draw(&seed, 50);
		size_t node = draw(&seed, (unsigned int)cluster_nodes(cluster));

		record(&kinds[i % KINDS], node, key, text, sizeof(text));
	}
	for (size_t i = 0; i < REFUSED; i++)
		record(&refused[i], i, draw(&seed, 50), text, sizeof(text));
	f = fopen(GOLDEN, rewrite ? "w" : "r");
	assert_non_null(f);
	if (rewrite)
		fputs(text, f);
	else
		golden[fread(golden, 1, sizeof(golden) - 1, f)] = '\0';
	fclose(f);
	if (!rewrite)
		assert_string_equal(text, golden);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(answers_are_those_of_the_naive_router),
		cmocka_unit_test(session_is_that_of_the_golden_file),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
