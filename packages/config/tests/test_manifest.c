/*
 * Guards against invalid manifests that are accepted, requests that match the
 * wrong kind or key, callers that are admitted to kinds of other groups, and
 * input that crashes the parser or makes it leak memory.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "clk.h"
#include "manifest.h"

#define SEED 20261204u
#define RANDOM_TEXTS 300
#define RANDOM_BYTES_MAX 4096
#define MUTATIONS 2000
#define LARGE_FILE_BYTES 10000000

#define CALLERS \
	"callers:\n- { name: own, networks: [10.1.0.0/16, \"fd01::/64\"] }\n"
#define POLICY "policy: { weigh: churn }"
#define SERVICE(id, name, kinds)                                           \
	"- { id: " id ", name: " name                                      \
	", partitions: 8, checks_fences: true, " POLICY ", kinds: [" kinds \
	"] }\n"
#define KIND(name, method, path, more)                               \
	"{ name: " name ", method: " method ", path: \"" path "\", " \
	"idempotent: true, deadline_ms: 100" more " }"
#define HEADER "format: 1\nversion: 5\n" CALLERS "services:\n"
#define VALID                                                                        \
	HEADER SERVICE("1", "a",                                                     \
		       KIND("read", "GET", "/a/{key}/x", "") ", " KIND(              \
			       "any", "GET", "/{any}/b/{key}/z",                     \
			       "") ", " KIND("put", "PUT", "/a/{key}/x",             \
					     ", callers: [own]"))                    \
		SERVICE("2", "b",                                                    \
			KIND("query", "GET", "/b", ", key: \"query:id\"") ", " KIND( \
				"head", "GET", "/b/{any}/c/d",                       \
				", key: \"header:Id\""))

static struct manifest *valid; /* parsed from VALID, shared by all tests */

static struct manifest *parse(const char *text, struct err *err)
{
	return manifest_parse("m", text, strlen(text), err);
}

static int setup(void **state)
{
	(void)state;
	valid = parse(VALID, NULL);
	return valid ? 0 : -1;
}

static int teardown(void **state)
{
	(void)state;
	manifest_destroy(valid);
	return 0;
}

STATELESS_TEST(examples_are_valid)
{
	static const char *const paths[] = { "manifests/association.yaml",
					     "manifests/sizewell.yaml" };

	for (size_t i = 0; i < 2; i++) {
		struct err err = { 0 };
		struct manifest *m = manifest_load(paths[i], &err);
		int fenced = 0;

		if (!m)
			print_message("%s\n", err.text);
		assert_non_null(m);
		assert_int_equal(manifest_service_count(m), 2);
		for (size_t s = 0; s < 2; s++) {
			const struct manifest_service *v =
				manifest_service_at(m, s);

			fenced += v->checks_fences;
			assert_true(manifest_max_nonidempotent_ms(v) <= 1000);
			assert_ptr_equal(manifest_service_by_id(m, v->id), v);
			assert_ptr_equal(manifest_service_by_name(m, v->name),
					 v);
		}
		assert_int_equal(fenced, 1);
		manifest_destroy(m);
	}
}

static void append_warning(void *arg, const char *text)
{
	strcat(arg, text);
}

STATELESS_TEST(long_deadline_without_fences_gives_a_warning)
{
	static const char text[] =
		"format: 1\nversion: 1\nservices:\n- { id: 1, name: s, "
		"partitions: 1, checks_fences: false, " POLICY ", kinds: ["
		"{ name: slow, method: PUT, path: \"/s/{key}\", "
		"idempotent: false, deadline_ms: 1001 }, "
		"{ name: fast, method: PUT, path: \"/f/{key}\", "
		"idempotent: false, deadline_ms: 1000 }] }\n";
	char out[1024] = "";
	struct err err = { 0 };
	struct manifest *m = parse(text, &err);

	assert_non_null(m);
	manifest_check_deadlines(m, append_warning, out);
	assert_non_null(strstr(out, "kind slow"));
	assert_null(strstr(out, "kind fast"));
	manifest_destroy(m);
}

#define ONE_SERVICE(kind) HEADER SERVICE("1", "a", kind)
#define VALID_KIND KIND("k", "GET", "/a/{key}", "")
#define PATTERN(p) ONE_SERVICE(KIND("k", "GET", p, ""))
#define WITH_FIELDS(more) ONE_SERVICE(KIND("k", "GET", "/a/{key}", ", " more))
#define SECOND_SERVICE(id, name, path) \
	ONE_SERVICE(VALID_KIND) SERVICE(id, name, KIND("k", "GET", path, ""))
#define NETWORK(n) \
	"format: 1\nversion: 1\ncallers:\n- { name: o, networks: [" n "] }\n"

static const struct bad_input bad_manifests[] = {
	{ "format: 2\nversion: 1\n", MANIFEST_BAD_VALUE, "m:1: format: " },
	{ "format: 1\nversion: 0\n", MANIFEST_BAD_VALUE, "m:2: version: " },
	{ "format: 1\nversion: 1\n", MANIFEST_MISSING_FIELD, "services" },
	{ "format: 1\nversion: 1\nservices: []\n", MANIFEST_BAD_VALUE,
	  "a list of 1 to 64 items" },
	{ "format: 1\nversion: 1\nservice: []\n", MANIFEST_UNKNOWN_FIELD,
	  "m:3: service: " },
	{ HEADER "- { id: 0 }\n", MANIFEST_BAD_VALUE, "m:6: services[0].id: " },
	{ HEADER "- { id: 65536 }\n", MANIFEST_BAD_VALUE, "1 to 65535" },
	{ HEADER "- { id: 1, name: a }\n", MANIFEST_MISSING_FIELD,
	  "partitions" },
	{ ONE_SERVICE("{ name: k, path: 3 }"), MANIFEST_MISSING_FIELD,
	  "services[0].kinds[0].method" },
	{ ONE_SERVICE(KIND("k", "get", "/a/{key}", "")), MANIFEST_BAD_VALUE,
	  "GET, HEAD" },
	{ WITH_FIELDS("colour: 1"), MANIFEST_UNKNOWN_FIELD,
	  "services[0].kinds[0].colour" },
	{ WITH_FIELDS("callers: [who]"), MANIFEST_UNKNOWN_GROUP,
	  "services[0].kinds[0].callers[0]" },
	{ WITH_FIELDS("callers: []"), MANIFEST_BAD_VALUE, "callers" },
	{ WITH_FIELDS("key: \"cookie:a\""), MANIFEST_BAD_VALUE, "query:NAME" },
	{ WITH_FIELDS("key: \"query:a\""), MANIFEST_BAD_VALUE,
	  "kinds[0].path" },
	{ WITH_FIELDS("share_pct: 101"), MANIFEST_BAD_VALUE, "0 to 100" },
	{ ONE_SERVICE(KIND("k", "GET", "/a/{key}", ", share_pct: 60") ", " KIND(
		  "l", "GET", "/b/{key}", ", share_pct: 41")),
	  MANIFEST_BAD_VALUE, "add up to 101" },
	{ ONE_SERVICE(VALID_KIND ", " KIND("k", "GET", "/b/{key}", "")),
	  MANIFEST_DUPLICATE, "kinds[1].name" },
	{ SECOND_SERVICE("1", "b", "/b/{key}"), MANIFEST_DUPLICATE,
	  "services[1].id" },
	{ SECOND_SERVICE("2", "a", "/b/{key}"), MANIFEST_DUPLICATE,
	  "services[1].name" },
	{ SECOND_SERVICE("2", "b", "/{key}/b"), MANIFEST_DUPLICATE,
	  "m:7: services[1].kinds[0].path" },
	{ PATTERN("/a"), MANIFEST_BAD_VALUE, "{key} is missing" },
	{ PATTERN("/{key}/{key}"), MANIFEST_BAD_VALUE, "twice" },
	{ PATTERN("/a//{key}"), MANIFEST_BAD_VALUE, "empty segment" },
	{ PATTERN("a/{key}"), MANIFEST_BAD_VALUE, "begin with /" },
	{ PATTERN("/a/x{key}"), MANIFEST_BAD_VALUE, "not allowed" },
	{ PATTERN("/../{key}"), MANIFEST_BAD_VALUE, "segment . or .." },
	{ PATTERN("/1/2/3/4/5/6/7/8/9/a/b/c/d/e/f/g/{key}"), MANIFEST_BAD_VALUE,
	  "16 segments" },
	{ NETWORK("10.0.0.0"), MANIFEST_BAD_VALUE, "callers[0].networks[0]" },
	{ NETWORK("10.0.0.1/8"), MANIFEST_BAD_VALUE, "bits after" },
	{ NETWORK("10.0.0.0/33"), MANIFEST_BAD_VALUE, "too long" },
	{ NETWORK("\"::ffff:10.0.0.0/104\""), MANIFEST_BAD_VALUE, "IPv4" },
	{ "a: &x [1]\nb: *x\n", MANIFEST_SYNTAX, "m:1" },
	{ "[[[[[[[[[[[[[[[[[[[[", MANIFEST_SYNTAX, "m:1" },
	{ "a: {b: {c: {d: [", MANIFEST_SYNTAX, "m:" },
};

STATELESS_TEST(bad_manifest_is_rejected_with_location_and_range)
{
	for (size_t i = 0; i < sizeof(bad_manifests) / sizeof(bad_manifests[0]);
	     i++) {
		struct err err = { 0 };

		assert_null(parse(bad_manifests[i].text, &err));
		check_error(&err, ERR_MANIFEST, &bad_manifests[i]);
	}
}

STATELESS_TEST(large_file_is_rejected)
{
	char *text = malloc(LARGE_FILE_BYTES);
	struct err err = { 0 };

	memset(text, '[', LARGE_FILE_BYTES);
	assert_null(manifest_parse("m", text, LARGE_FILE_BYTES, &err));
	assert_int_equal(err.code, MANIFEST_TOO_LARGE);
	assert_null(manifest_parse("m", text, MANIFEST_BYTES_MAX, &err));
	assert_int_equal(err.code, MANIFEST_SYNTAX);
	free(text);
}

static const char *header(void *arg, const char *name)
{
	return strcmp(name, "Id") == 0 ? arg : NULL;
}

struct lookup {
	const char *method, *path, *query, *header;
	enum manifest_result verdict;
	const char *kind, *key;
};

static const struct lookup lookups[] = {
	{ "GET", "/a/k/x", NULL, NULL, MANIFEST_MATCH, "read", "k" },
	{ "PUT", "/a/k%2F%20y/x", NULL, NULL, MANIFEST_MATCH, "put", "k/ y" },
	{ "GET", "/a/b/k/z", NULL, NULL, MANIFEST_MATCH, "any", "k" },
	{ "GET", "/z/b/k/z", NULL, NULL, MANIFEST_MATCH, "any", "k" },
	{ "POST", "/a/k/x", NULL, NULL, MANIFEST_NO_METHOD, NULL, NULL },
	{ "GET", "/a/k/y", NULL, NULL, MANIFEST_NO_KIND, NULL, NULL },
	{ "GET", "/a/k/x/", NULL, NULL, MANIFEST_NO_KIND, NULL, NULL },
	{ "GET", "", NULL, NULL, MANIFEST_NO_KIND, NULL, NULL },
	{ "GET", "//b/k/z", NULL, NULL, MANIFEST_NO_KIND, NULL, NULL },
	{ "GET", "/%2e./b/k/z", NULL, NULL, MANIFEST_NO_KIND, NULL, NULL },
	{ "GET", "/a//x", NULL, NULL, MANIFEST_NO_KEY, NULL, NULL },
	{ "GET", "/a/../x", NULL, NULL, MANIFEST_NO_KEY, NULL, NULL },
	{ "GET", "/a/%4/x", NULL, NULL, MANIFEST_NO_KEY, NULL, NULL },
	{ "GET", "/a/%00/x", NULL, NULL, MANIFEST_NO_KEY, NULL, NULL },
	{ "GET", "/b", "x=1&i%64=a+b&idx=2", NULL, MANIFEST_MATCH, "query",
	  "a b" },
	{ "GET", "/b", "id=1&id=2", NULL, MANIFEST_NO_KEY, NULL, NULL },
	{ "GET", "/b", "id=", NULL, MANIFEST_NO_KEY, NULL, NULL },
	{ "GET", "/b", NULL, NULL, MANIFEST_NO_KEY, NULL, NULL },
	{ "GET", "/b/q/c/d", NULL, " v ", MANIFEST_MATCH, "head", "v" },
	{ "GET", "/b/q/c/d", NULL, NULL, MANIFEST_NO_KEY, NULL, NULL },
};

STATELESS_TEST(request_gets_its_kind_and_key)
{
	for (size_t i = 0; i < sizeof(lookups) / sizeof(lookups[0]); i++) {
		const struct lookup *l = &lookups[i];
		struct manifest_request req = { .method = l->method,
						.path = l->path,
						.query = l->query,
						.header = header,
						.arg = (void *)l->header };
		struct manifest_match match;
		enum manifest_result v = manifest_match(valid, &req, &match);

		if (v != l->verdict)
			print_message("%s %s: %d\n", l->method, l->path, v);
		assert_int_equal(v, l->verdict);
		if (v != MANIFEST_MATCH)
			continue;
		assert_string_equal(match.service->kinds[match.kind].name,
				    l->kind);
		assert_string_equal(match.key, l->key);
		assert_int_equal(match.key_len, strlen(l->key));
	}
}

STATELESS_TEST(longest_key_is_accepted_and_a_longer_one_rejected)
{
	char path[MANIFEST_KEY_MAX + 16];
	struct manifest_request req = { .method = "GET", .path = path };
	struct manifest_match match;

	snprintf(path, sizeof(path), "/a/%0*d/x", MANIFEST_KEY_MAX - 1, 1);
	assert_int_equal(manifest_match(valid, &req, &match), MANIFEST_MATCH);
	assert_int_equal(match.key_len, MANIFEST_KEY_MAX - 1);
	snprintf(path, sizeof(path), "/a/%0*d/x", MANIFEST_KEY_MAX, 1);
	assert_int_equal(manifest_match(valid, &req, &match), MANIFEST_NO_KEY);
}

STATELESS_TEST(caller_needs_a_network_of_its_group)
{
	const struct manifest_service *a = manifest_service_at(valid, 0);
	const struct manifest_kind *put = &a->kinds[2];

	assert_true(manifest_allows_caller(valid, &a->kinds[0], "192.0.2.1"));
	assert_true(manifest_allows_caller(valid, put, "10.1.255.9"));
	assert_true(manifest_allows_caller(valid, put, "::ffff:10.1.2.3"));
	assert_true(manifest_allows_caller(valid, put, "fd01::5"));
	assert_false(manifest_allows_caller(valid, put, "10.2.0.1"));
	assert_false(manifest_allows_caller(valid, put, "fd01:0:0:1::5"));
	assert_false(manifest_allows_caller(valid, put, "10.1.0"));
	assert_false(manifest_allows_caller(valid, put, ""));
}

STATELESS_TEST(older_version_or_changed_partitions_are_rejected)
{
	struct err err = { 0 };
	char text[sizeof(VALID)];
	struct manifest *new;

	strcpy(text, VALID);
	assert_false(manifest_may_replace(valid, valid, &err));
	*strstr(text, "version: 5") = 'v';
	strstr(text, "version: 5")[9] = '6';
	new = parse(text, &err);
	assert_true(manifest_may_replace(valid, new, &err));
	assert_false(manifest_may_replace(new, valid, &err));
	manifest_destroy(new);
	strstr(text, "partitions: 8")[12] = '9';
	new = parse(text, &err);
	assert_false(manifest_may_replace(valid, new, &err));
	assert_non_null(strstr(err.text, "services[0].partitions"));
	manifest_destroy(new);
}

#define KINDS_PER_SERVICE 64

STATELESS_TEST(every_kind_of_64_services_is_found)
{
	char *text = malloc(MANIFEST_BYTES_MAX);
	struct err err = { 0 };
	uint64_t start, rounds = 0;
	struct manifest_match match;
	struct manifest *m;
	char path[64];
	int n = sprintf(text, "format: 1\nversion: 1\nservices:\n");

	for (int s = 0; s < MANIFEST_SERVICES_MAX; s++) {
		n += sprintf(text + n,
			     "- { id: %d, name: s%d, partitions: 1, "
			     "checks_fences: true, " POLICY ", kinds: [",
			     s + 1, s);
		for (int k = 0; k < KINDS_PER_SERVICE; k++)
			n += sprintf(
				text + n,
				"%s" KIND("k%d", "GET", "/s%d/{key}/k%d", ""),
				k ? "," : "", k, s, k);
		n += sprintf(text + n, "] }\n");
	}
	m = manifest_parse("m", text, (size_t)n, &err);
	free(text);
	assert_non_null(m);
	start = clk_mono_us(clk_system());
	for (int s = 0; s < MANIFEST_SERVICES_MAX; s++) {
		for (int k = 0; k < KINDS_PER_SERVICE; k++, rounds++) {
			struct manifest_request req = { .method = "GET",
							.path = path };

			sprintf(path, "/s%d/key/k%d", s, k);
			assert_int_equal(manifest_match(m, &req, &match),
					 MANIFEST_MATCH);
			assert_int_equal(match.service->id, s + 1);
			assert_int_equal(match.kind, k);
		}
	}
	print_message("%.0f ns for each match of 4096 kinds\n",
		      1000.0 * (double)(clk_mono_us(clk_system()) - start) /
			      (double)rounds);
	manifest_destroy(m);
}

/* Linear congruential generator; the fixed seed makes failures repeatable. */
static uint32_t next_random(uint64_t *s)
{
	*s = *s * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(*s >> 33);
}

/* Parses a copy of exact size, so that the sanitizer detects overreads. */
static struct manifest *parse_exact(const char *text, size_t len,
				    struct err *err)
{
	char *copy = malloc(len);
	struct manifest *m;

	assert_true(copy || len == 0);
	if (len > 0)
		memcpy(copy, text, len);
	m = manifest_parse("m", copy, len, err);
	free(copy);
	return m;
}

STATELESS_TEST(random_bytes_are_rejected)
{
	uint64_t s = SEED;
	char *text = malloc(RANDOM_BYTES_MAX);

	print_message("seed %u\n", SEED);
	for (int i = 0; i < RANDOM_TEXTS; i++) {
		size_t len = next_random(&s) % RANDOM_BYTES_MAX;
		struct err err = { 0 };

		for (size_t j = 0; j < len; j++)
			text[j] = (char)next_random(&s);
		assert_null(parse_exact(text, len, &err));
		assert_int_equal(err.layer, ERR_MANIFEST);
	}
	free(text);
}

/* Overwrites, removes or duplicates some bytes; returns the new length. */
static size_t mutate(char *text, size_t len, uint64_t *s)
{
	static const char special_bytes[] =
		"{}[]:,&*!|>'\"#%@-? \n\t\\0129\xff";

	for (uint32_t n = next_random(s) % 4 + 1; n > 0; n--) {
		size_t at = next_random(s) % len;
		size_t chunk = next_random(s) % 40;

		if (at + chunk > len)
			chunk = len - at;
		switch (next_random(s) % 3) {
		case 0:
			text[at] = special_bytes[next_random(s) %
						 (sizeof(special_bytes) - 1)];
			break;
		case 1:
			memmove(text + at, text + at + chunk, len - at - chunk);
			len -= chunk;
			break;
		default:
			memmove(text + at + chunk, text + at, len - at);
			len += chunk;
		}
	}
	return len;
}

/* Mutates a flow-style and a block-style manifest alternately. */
STATELESS_TEST(mutated_manifests_are_rejected_or_usable)
{
	FILE *f = fopen("manifests/association.yaml", "rb");
	struct manifest_request req = { .method = "GET", .path = "/a/k/x" };
	char block[8192], text[sizeof(block) + 200];
	size_t block_len;
	uint64_t s = SEED;
	int accepted = 0;

	assert_non_null(f);
	block_len = fread(block, 1, sizeof(block), f);
	fclose(f);
	print_message("seed %u\n", SEED);
	for (int i = 0; i < MUTATIONS; i++) {
		size_t len = i % 2 ? block_len : sizeof(VALID) - 1;
		struct err err = { 0 };
		struct manifest_match match;
		struct manifest *m;

		memcpy(text, i % 2 ? block : VALID, len);
		len = mutate(text, len, &s);
		m = parse_exact(text, len, &err);
		if (!m) {
			assert_non_null(strstr(err.text, "(allowed: "));
			continue;
		}
		accepted++;
		if (manifest_match(m, &req, &match) == MANIFEST_MATCH)
			assert_true(match.key_len > 0);
		manifest_destroy(m);
	}
	print_message("%d of %d mutations accepted\n", accepted, MUTATIONS);
	assert_true(accepted < MUTATIONS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(examples_are_valid),
		cmocka_unit_test(long_deadline_without_fences_gives_a_warning),
		cmocka_unit_test(
			bad_manifest_is_rejected_with_location_and_range),
		cmocka_unit_test(large_file_is_rejected),
		cmocka_unit_test(request_gets_its_kind_and_key),
		cmocka_unit_test(
			longest_key_is_accepted_and_a_longer_one_rejected),
		cmocka_unit_test(caller_needs_a_network_of_its_group),
		cmocka_unit_test(
			older_version_or_changed_partitions_are_rejected),
		cmocka_unit_test(every_kind_of_64_services_is_found),
		cmocka_unit_test(random_bytes_are_rejected),
		cmocka_unit_test(mutated_manifests_are_rejected_or_usable),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
