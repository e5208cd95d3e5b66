#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGET_MAX 512

/*
 * Asks one daemon after the other until one can be reached. Returns the status
 * of HTTP, 0 if none can be reached, -1 if the answer was lost.
 */
int ctl_ask(struct ctl *c, const char *method, const char *target,
	    const void *body, size_t len, struct ctl_answer *out)
{
	struct err err = { 0 };

	for (size_t i = 0; i < c->daemon_count; i++) {
		err_clear(&err);
		if (ctl_request(c->loop, &c->daemons[i], method, target, body,
				len, c->timeout_ms, out, &err))
			return out->status;
		ctl_answer_free(out);
		if (err.code == CTL_LOST)
			break;
	}
	fprintf(stderr, "geraniumspokectl: %s\n", err.text);
	return err.code == CTL_LOST ? -1 : 0;
}

/* Maps a status of HTTP to the exit status. */
static enum ctl_exit exit_of(int status)
{
	if (status < 0)
		return CTL_EXIT_UNKNOWN;
	if (status == 0 || status == 503)
		return CTL_EXIT_UNREACHABLE;
	if (status == 409)
		return CTL_EXIT_CONFLICT;
	if (status == 504)
		return CTL_EXIT_UNKNOWN;
	return status < 300 ? CTL_EXIT_DONE : CTL_EXIT_REFUSED;
}

/* Sends a request and prints the answer. */
static enum ctl_exit ask_and_print(struct ctl *c, const char *method,
				   const char *target)
{
	struct ctl_answer a = { 0 };
	int status = ctl_ask(c, method, target, NULL, 0, &a);
	json_t *json = a.body ? json_loadb(a.body, a.len, 0, NULL) : NULL;

	if (json)
		ctl_print(c, json);
	else if (a.body)
		fwrite(a.body, 1, a.len, stdout);
	json_decref(json);
	ctl_answer_free(&a);
	return exit_of(status);
}

static enum ctl_exit run_members(struct ctl *c)
{
	return ask_and_print(c, "GET", "/-/members");
}

static enum ctl_exit run_owners(struct ctl *c)
{
	return ask_and_print(c, "GET", "/-/owners");
}

static enum ctl_exit run_hot(struct ctl *c)
{
	return ask_and_print(c, "GET", "/-/hot");
}

static enum ctl_exit run_quarantine(struct ctl *c)
{
	return ask_and_print(c, "GET", "/-/quarantine");
}

static enum ctl_exit run_counters(struct ctl *c)
{
	return ask_and_print(c, "GET", "/-/metrics");
}

static enum ctl_exit run_manifest(struct ctl *c)
{
	return ask_and_print(c, "GET", "/-/manifest");
}

static enum ctl_exit run_drain(struct ctl *c)
{
	return ask_and_print(c, "POST", "/-/drain");
}

static enum ctl_exit run_undrain(struct ctl *c)
{
	return ask_and_print(c, "POST", "/-/undrain");
}

static enum ctl_exit run_lift(struct ctl *c)
{
	char target[TARGET_MAX];

	snprintf(target, sizeof(target), "/-/quarantine/lift?fingerprint=%s",
		 c->args[0]);
	return ask_and_print(c, "POST", target);
}

static enum ctl_exit run_ended(struct ctl *c)
{
	char target[TARGET_MAX];

	snprintf(target, sizeof(target), "/-/ended?instance=%s&incarnation=%s",
		 c->args[0], c->args[1]);
	return ask_and_print(c, "POST", target);
}

static enum ctl_exit run_explain(struct ctl *c)
{
	char target[TARGET_MAX];

	snprintf(target, sizeof(target), "/-/explain?service=%s&key=%s",
		 c->args[0], c->args[1]);
	return ask_and_print(c, "GET", target);
}

/* One line for a daemon; returns its version in force, -1 if unreachable. */
static json_int_t print_status(struct ctl *c, const struct ctl_endpoint *d)
{
	struct ctl_answer a = { 0 };
	struct err err = { 0 };
	json_int_t version = -1;
	json_t *json;

	if (!ctl_request(c->loop, d, "GET", "/-/status", NULL, 0, c->timeout_ms,
			 &a, &err)) {
		printf("daemon=%s:%u unreachable\n", d->address, d->port);
		return -1;
	}
	json = json_loadb(a.body ? a.body : "", a.len, 0, NULL);
	version = json_integer_value(json_object_get(json, "manifest"));
	printf("daemon=%s:%u ", d->address, d->port);
	if (c->json) {
		json_dumpf(json, stdout, JSON_COMPACT);
		putchar('\n');
	} else {
		printf("name=%s manifest=%" JSON_INTEGER_FORMAT
		       " partitions=%" JSON_INTEGER_FORMAT
		       " upstream=%s platform_up=%s\n",
		       json_string_value(json_object_get(json, "name")),
		       version,
		       json_integer_value(json_object_get(json, "partitions")),
		       json_string_value(json_object_get(json, "upstream")),
		       json_is_true(json_object_get(json, "platform_up")) ?
			       "yes" :
			       "no");
	}
	json_decref(json);
	ctl_answer_free(&a);
	return version;
}

/* Shows every daemon and whether all have the same manifest in force. */
static enum ctl_exit run_status(struct ctl *c)
{
	json_int_t first = -1;
	bool agree = true;
	bool reached = true;

	for (size_t i = 0; i < c->daemon_count; i++) {
		json_int_t version = print_status(c, &c->daemons[i]);

		reached = reached && version >= 0;
		if (first < 0)
			first = version;
		agree = agree && (version < 0 || version == first);
	}
	printf("%s\n",
	       agree ? "all daemons reached have one manifest in force" :
		       "the daemons differ");
	if (!reached)
		return CTL_EXIT_UNREACHABLE;
	return agree ? CTL_EXIT_DONE : CTL_EXIT_CONFLICT;
}

const struct ctl_command ctl_commands[] = {
	{ "publish", 1, "FILE: publish a manifest", ctl_publish },
	{ "validate", 1, "FILE: check a manifest without a daemon",
	  ctl_validate },
	{ "status", 0, "show each daemon and whether all agree", run_status },
	{ "manifest", 0, "print the manifest in force", run_manifest },
	{ "owners", 0, "list partitions, owners, witnesses and leases",
	  run_owners },
	{ "members", 0, "list the daemons that the system knows", run_members },
	{ "explain", 2, "SERVICE KEY: where a key goes and why", run_explain },
	{ "hot", 0, "list the hottest keys of a daemon", run_hot },
	{ "quarantine", 0, "list requests that crash upstreams",
	  run_quarantine },
	{ "lift", 1, "FINGERPRINT: lift a quarantine", run_lift },
	{ "counters", 0, "print the counters of a daemon", run_counters },
	{ "drain", 0, "let the upstream beside a daemon take no new work",
	  run_drain },
	{ "undrain", 0, "end a drain", run_undrain },
	{ "ended", 2,
	  "INSTANCE INCARNATION: state that a process cannot run any more",
	  run_ended },
	{ NULL, 0, NULL, NULL }
};
