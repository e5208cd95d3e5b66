#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "ctl.h"
#include "manifest.h"

#define TARGET_MAX 256
#define POLL_ATTEMPTS 20
#define POLL_INTERVAL_US (250 * US_PER_MS)

/* Reads a whole file; prints an error and returns NULL on failure. */
static char *read_file(const char *path, size_t *len)
{
	FILE *f = fopen(path, "rb");
	char *text = malloc(MANIFEST_BYTES_MAX + 2);

	if (!f || !text) {
		fprintf(stderr, "geraniumspokectl: %s cannot be read\n", path);
		free(text);
		text = NULL;
	} else {
		*len = fread(text, 1, MANIFEST_BYTES_MAX + 1, f);
		text[*len] = '\0';
	}
	if (f)
		fclose(f);
	return text;
}

static void print_warning(void *arg, const char *text)
{
	(void)arg;
	fprintf(stderr, "geraniumspokectl: warning: %s\n", text);
}

/* Uses the same parser as the daemons. */
enum ctl_exit ctl_validate(struct ctl *c)
{
	struct err err = { 0 };
	struct manifest *man = manifest_load(c->args[0], &err);

	if (!man) {
		fprintf(stderr, "geraniumspokectl: %s\n", err.text);
		return CTL_EXIT_REFUSED;
	}
	manifest_check_deadlines(man, print_warning, NULL);
	if (c->json)
		printf("{\"result\":\"correct\",\"version\":%" PRIu64
		       ",\"services\":%zu}\n",
		       manifest_version(man), manifest_service_count(man));
	else
		printf("version %" PRIu64 ", %zu services: correct\n",
		       manifest_version(man), manifest_service_count(man));
	manifest_destroy(man);
	return CTL_EXIT_DONE;
}

static void run_loop_for(struct ctl *c, uint64_t duration_us)
{
	uint64_t end_us = clk_mono_us(clk_system()) + duration_us;

	while (clk_mono_us(clk_system()) < end_us)
		lwsloop_run_once(c->loop);
}

/* Returns the version that a daemon has in force, 0 if unknown. */
static uint64_t version_in_force(struct ctl *c)
{
	struct ctl_response response;
	uint64_t version = 0;
	json_t *json;

	if (ctl_request_any(c, "GET", "/-/status", NULL, 0, &response) == 200) {
		json = json_loadb(response.body, response.len, 0, NULL);
		version = (uint64_t)json_integer_value(
			json_object_get(json, "manifest"));
		json_decref(json);
	}
	ctl_response_free(&response);
	return version;
}

/* Prints a result that was not reported by a daemon. */
static void print_result(const struct ctl *c, const char *result,
			 const char *reason)
{
	if (c->json)
		printf("{\"result\":\"%s\",\"reason\":\"%s\"}\n", result,
		       reason);
	else
		printf("%s: %s\n", result, reason);
}

/*
 * Determines the outcome after a lost response by polling for the version in
 * force. Another manifest may have the same version, so the contents are
 * compared as well.
 */
static enum ctl_exit resolve_lost_response(struct ctl *c, uint64_t version,
					   const char *text, size_t len)
{
	for (int i = 0; i < POLL_ATTEMPTS; i++) {
		struct ctl_response response;
		bool is_same = false;

		if (version_in_force(c) >= version &&
		    ctl_request_any(c, "GET", "/-/manifest", NULL, 0,
				    &response) == 200) {
			is_same = response.len == len &&
				  memcmp(response.body, text, len) == 0;
			ctl_response_free(&response);
			print_result(c, is_same ? "done" : "conflict",
				     is_same ?
					     "the answer was lost, and the "
					     "manifest is in force" :
					     "the answer was lost, and another "
					     "one is in force");
			return is_same ? CTL_EXIT_DONE : CTL_EXIT_CONFLICT;
		}
		run_loop_for(c, POLL_INTERVAL_US);
	}
	print_result(c, "unknown",
		     "the answer was lost; ask later with status");
	return CTL_EXIT_UNKNOWN;
}

/* Prints the response of a daemon and returns the exit status for it. */
static enum ctl_exit print_response(const struct ctl *c, int status,
				    const struct ctl_response *response)
{
	json_t *json = json_loadb(response->body ? response->body : "",
				  response->len, 0, NULL);
	const char *result = json_string_value(json_object_get(json, "result"));
	const char *reason = json_string_value(json_object_get(json, "reason"));
	json_int_t version =
		json_integer_value(json_object_get(json, "version"));

	if (c->json)
		printf("%s\n", response->body);
	else
		printf("%s: version %" JSON_INTEGER_FORMAT "%s%s\n",
		       result ? result : "refused", version,
		       reason && *reason ? ": " : "", reason ? reason : "");
	json_decref(json);
	switch (status) {
	case 200:
		return CTL_EXIT_DONE;
	case 409:
		return CTL_EXIT_CONFLICT;
	case 503:
		return CTL_EXIT_UNREACHABLE;
	case 504:
		return CTL_EXIT_UNKNOWN;
	default:
		return CTL_EXIT_REFUSED;
	}
}

enum ctl_exit ctl_publish(struct ctl *c)
{
	char target[TARGET_MAX];
	struct ctl_response response = { 0 };
	struct err err = { 0 };
	enum ctl_exit exit_status;
	struct manifest *man;
	size_t len = 0;
	char *text = read_file(c->args[0], &len);
	int status;

	if (!text)
		return CTL_EXIT_REFUSED;
	man = manifest_parse(c->args[0], text, len, &err);
	if (!man) {
		fprintf(stderr, "geraniumspokectl: %s\n", err.text);
		free(text);
		return CTL_EXIT_REFUSED;
	}
	snprintf(target, sizeof(target),
		 "/-/manifest?publication=%016" PRIx64 "%s%s",
		 clk_random(clk_system()), c->expect ? "&expect=" : "",
		 c->expect ? c->expect : "");
	status = ctl_request_any(c, "POST", target, text, len, &response);
	if (status > 0)
		exit_status = print_response(c, status, &response);
	else if (status < 0)
		exit_status = resolve_lost_response(c, manifest_version(man),
						    text, len);
	else
		exit_status = CTL_EXIT_UNREACHABLE;
	ctl_response_free(&response);
	manifest_destroy(man);
	free(text);
	return exit_status;
}
