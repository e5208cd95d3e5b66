#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "ctl.h"
#include "man.h"

#define TARGET_MAX 256
#define SETTLE_ATTEMPTS 20
#define SETTLE_PAUSE_US (250 * US_PER_MS)

/* Reads a whole file; NULL after it has printed why not. */
static char *read_file(const char *path, size_t *len)
{
	FILE *f = fopen(path, "rb");
	char *text = malloc(MAN_BYTES_MAX + 2);

	if (!f || !text) {
		fprintf(stderr, "geraniumspokectl: %s cannot be read\n", path);
		free(text);
		text = NULL;
	} else {
		*len = fread(text, 1, MAN_BYTES_MAX + 1, f);
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

/* Checks a file with the code that the daemons use. */
enum ctl_exit ctl_validate(struct ctl *c)
{
	struct err err = { 0 };
	struct man *man = man_load(c->args[0], &err);

	if (!man) {
		fprintf(stderr, "geraniumspokectl: %s\n", err.text);
		return CTL_EXIT_REFUSED;
	}
	man_warn(man, print_warning, NULL);
	if (c->json)
		printf("{\"result\":\"correct\",\"version\":%" PRIu64
		       ",\"services\":%zu}\n",
		       man_version(man), man_service_count(man));
	else
		printf("version %" PRIu64 ", %zu services: correct\n",
		       man_version(man), man_service_count(man));
	man_destroy(man);
	return CTL_EXIT_DONE;
}

static void wait_on_loop(struct ctl *c, uint64_t pause_us)
{
	uint64_t until = clk_mono_us(clk_system()) + pause_us;

	while (clk_mono_us(clk_system()) < until)
		lop_step(c->loop);
}

/* Version that a daemon has in force, 0 if it does not tell. */
static uint64_t version_in_force(struct ctl *c)
{
	struct ctl_answer a;
	uint64_t version = 0;
	json_t *json;

	if (ctl_ask(c, "GET", "/-/status", NULL, 0, &a) == 200) {
		json = json_loadb(a.body, a.len, 0, NULL);
		version = (uint64_t)json_integer_value(
			json_object_get(json, "manifest"));
		json_decref(json);
	}
	ctl_answer_free(&a);
	return version;
}

/* Prints a result that no daemon has told. */
static void tell_own(const struct ctl *c, const char *result,
		     const char *reason)
{
	if (c->json)
		printf("{\"result\":\"%s\",\"reason\":\"%s\"}\n", result,
		       reason);
	else
		printf("%s: %s\n", result, reason);
}

/*
 * The answer was lost: the daemons are asked which version is in force. Only
 * the bytes of the manifest tell whether that version is the one sent.
 */
static enum ctl_exit settle(struct ctl *c, uint64_t version, const char *text,
			    size_t len)
{
	for (int i = 0; i < SETTLE_ATTEMPTS; i++) {
		struct ctl_answer a;
		bool is_ours = false;

		if (version_in_force(c) >= version &&
		    ctl_ask(c, "GET", "/-/manifest", NULL, 0, &a) == 200) {
			is_ours =
				a.len == len && memcmp(a.body, text, len) == 0;
			ctl_answer_free(&a);
			tell_own(c, is_ours ? "done" : "conflict",
				 is_ours ? "the answer was lost, and the "
					   "manifest is in force" :
					   "the answer was lost, and another "
					   "one is in force");
			return is_ours ? CTL_EXIT_DONE : CTL_EXIT_CONFLICT;
		}
		wait_on_loop(c, SETTLE_PAUSE_US);
	}
	tell_own(c, "unknown", "the answer was lost; ask later with status");
	return CTL_EXIT_UNKNOWN;
}

/* Prints the result and maps it to the exit status. */
static enum ctl_exit tell(const struct ctl *c, int status,
			  const struct ctl_answer *a)
{
	json_t *json = json_loadb(a->body ? a->body : "", a->len, 0, NULL);
	const char *result = json_string_value(json_object_get(json, "result"));
	const char *reason = json_string_value(json_object_get(json, "reason"));
	json_int_t version =
		json_integer_value(json_object_get(json, "version"));

	if (c->json)
		printf("%s\n", a->body);
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

/* Publishes a file through the first daemon that answers. */
enum ctl_exit ctl_publish(struct ctl *c)
{
	char target[TARGET_MAX];
	struct ctl_answer a = { 0 };
	struct err err = { 0 };
	enum ctl_exit result;
	struct man *man;
	size_t len = 0;
	char *text = read_file(c->args[0], &len);
	int status;

	if (!text)
		return CTL_EXIT_REFUSED;
	man = man_parse(c->args[0], text, len, &err);
	if (!man) {
		fprintf(stderr, "geraniumspokectl: %s\n", err.text);
		free(text);
		return CTL_EXIT_REFUSED;
	}
	snprintf(target, sizeof(target),
		 "/-/manifest?publication=%016" PRIx64 "%s%s",
		 clk_random(clk_system()), c->expect ? "&expect=" : "",
		 c->expect ? c->expect : "");
	status = ctl_ask(c, "POST", target, text, len, &a);
	if (status > 0)
		result = tell(c, status, &a);
	else if (status < 0)
		result = settle(c, man_version(man), text, len);
	else
		result = CTL_EXIT_UNREACHABLE;
	ctl_answer_free(&a);
	man_destroy(man);
	free(text);
	return result;
}
