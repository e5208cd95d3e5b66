#include "ctl.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGET_MAX 4096
#define ENCODED_BYTES 3 /* a percent-encoded byte, %XX */

/*
 * A lost response ends the search: the request may have taken effect, so it is
 * not repeated at another daemon.
 */
int ctl_request_any(struct ctl *c, const char *method, const char *target,
		    const void *body, size_t len, struct ctl_response *out)
{
	struct err err = { 0 };

	for (size_t i = 0; i < c->daemon_count; i++) {
		err_clear(&err);
		if (ctl_request(c->loop, &c->daemons[i], method, target, body,
				len, c->timeout_ms, out, &err))
			return out->status;
		ctl_response_free(out);
		if (err.code == CTL_RESPONSE_LOST)
			break;
	}
	fprintf(stderr, "geraniumspokectl: %s\n", err.text);
	return err.code == CTL_RESPONSE_LOST ? -1 : 0;
}

/* Maps the result of ctl_request_any() to an exit status. */
static enum ctl_exit exit_status_for(int status)
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

/* Sends a request and prints the response. */
static enum ctl_exit request_and_print(struct ctl *c, const char *method,
				       const char *target)
{
	struct ctl_response response = { 0 };
	int status = ctl_request_any(c, method, target, NULL, 0, &response);
	json_t *json = response.body ? json_loadb(response.body, response.len,
						  0, NULL) :
				       NULL;

	/* The manifest and the counters are not JSON. */
	if (!json && response.body && c->json)
		json = json_pack("{s:s%}", "text", response.body, response.len);
	if (json)
		ctl_print(c, json);
	else if (response.body)
		fwrite(response.body, 1, response.len, stdout);
	json_decref(json);
	ctl_response_free(&response);
	return exit_status_for(status);
}

static enum ctl_exit run_members(struct ctl *c)
{
	return request_and_print(c, "GET", "/-/members");
}

static enum ctl_exit run_owners(struct ctl *c)
{
	return request_and_print(c, "GET", "/-/owners");
}

static enum ctl_exit run_hot(struct ctl *c)
{
	return request_and_print(c, "GET", "/-/hot");
}

static enum ctl_exit run_quarantine(struct ctl *c)
{
	return request_and_print(c, "GET", "/-/quarantine");
}

static enum ctl_exit run_counters(struct ctl *c)
{
	return request_and_print(c, "GET", "/-/metrics");
}

static enum ctl_exit run_manifest(struct ctl *c)
{
	return request_and_print(c, "GET", "/-/manifest");
}

static enum ctl_exit run_drain(struct ctl *c)
{
	return request_and_print(c, "POST", "/-/drain");
}

static enum ctl_exit run_undrain(struct ctl *c)
{
	return request_and_print(c, "POST", "/-/undrain");
}

/*
 * Appends a query field and percent-encodes all but unreserved characters.
 * Returns false if the target is too long.
 */
static bool append_query_field(char *target, const char *name,
			       const char *value)
{
	size_t len = strlen(target);
	char separator = strchr(target, '?') ? '&' : '?';

	len += (size_t)snprintf(target + len, TARGET_MAX - len,
				"%c%s=", separator, name);
	for (; *value && len + ENCODED_BYTES < TARGET_MAX; value++) {
		unsigned char c = (unsigned char)*value;
		bool unreserved = c < 0x80 && (isalnum(c) || strchr("-._~", c));

		len += (size_t)snprintf(target + len, TARGET_MAX - len,
					unreserved ? "%c" : "%%%02X", c);
	}
	return !*value;
}

/*
 * Sends a request with the arguments as query fields; second is NULL if there
 * is only one.
 */
static enum ctl_exit request_with_args(struct ctl *c, const char *method,
				       const char *path, const char *first,
				       const char *second)
{
	char target[TARGET_MAX];

	snprintf(target, sizeof(target), "%s", path);
	if (!append_query_field(target, first, c->args[0]) ||
	    (second && !append_query_field(target, second, c->args[1]))) {
		fprintf(stderr, "geraniumspokectl: the argument is too long\n");
		return CTL_EXIT_USAGE;
	}
	return request_and_print(c, method, target);
}

static enum ctl_exit run_lift(struct ctl *c)
{
	return request_with_args(c, "POST", "/-/quarantine/lift", "fingerprint",
				 NULL);
}

static enum ctl_exit run_ended(struct ctl *c)
{
	return request_with_args(c, "POST", "/-/ended", "instance",
				 "incarnation");
}

static enum ctl_exit run_explain(struct ctl *c)
{
	return request_with_args(c, "GET", "/-/explain", "service", "key");
}

/* Fetches the status of a daemon; NULL if it cannot be reached. */
static json_t *fetch_status(struct ctl *c, const struct ctl_endpoint *d)
{
	struct ctl_response response = { 0 };
	struct err err = { 0 };
	json_t *json = NULL;

	if (ctl_request(c->loop, d, "GET", "/-/status", NULL, 0, c->timeout_ms,
			&response, &err) &&
	    response.status == 200)
		json = json_loadb(response.body ? response.body : "",
				  response.len, 0, NULL);
	ctl_response_free(&response);
	return json;
}

/* Prints the status of a daemon in one line. */
static void print_status(const struct ctl_endpoint *d, const json_t *status)
{
	printf("daemon=%s:%u ", d->address, d->port);
	if (!status) {
		printf("unreachable\n");
		return;
	}
	printf("name=%s manifest=%" JSON_INTEGER_FORMAT
	       " partitions=%" JSON_INTEGER_FORMAT
	       " upstream=%s platform_up=%s\n",
	       json_string_value(json_object_get(status, "name")),
	       json_integer_value(json_object_get(status, "manifest")),
	       json_integer_value(json_object_get(status, "partitions")),
	       json_string_value(json_object_get(status, "upstream")),
	       json_is_true(json_object_get(status, "platform_up")) ? "yes" :
								      "no");
}

/* Adds a daemon to the list for --json; status is NULL if unreachable. */
static void add_status(json_t *list, const struct ctl_endpoint *d,
		       json_t *status)
{
	json_array_append_new(list,
			      json_pack("{s:s,s:i,s:O?}", "address", d->address,
					"port", d->port, "status", status));
}

/* Prints whether all reached daemons have the same manifest in force. */
static void print_summary(struct ctl *c, json_t *list, bool agree)
{
	json_t *all;

	if (!c->json) {
		printf("%s\n",
		       agree ? "all daemons reached have one manifest in force" :
			       "the daemons differ");
		return;
	}
	all = json_pack("{s:b,s:O}", "agree", agree, "daemons", list);
	ctl_print(c, all);
	json_decref(all);
}

/* Prints the status of each daemon and whether all have the same manifest. */
static enum ctl_exit run_status(struct ctl *c)
{
	json_t *list = json_array();
	json_int_t first = -1;
	bool agree = true;
	bool reached = true;

	for (size_t i = 0; i < c->daemon_count; i++) {
		json_t *status = fetch_status(c, &c->daemons[i]);
		json_int_t version =
			json_integer_value(json_object_get(status, "manifest"));

		if (!status)
			reached = false;
		else if (first < 0)
			first = version;
		agree = agree && (!status || version == first);
		if (c->json)
			add_status(list, &c->daemons[i], status);
		else
			print_status(&c->daemons[i], status);
		json_decref(status);
	}
	print_summary(c, list, agree);
	json_decref(list);
	if (!reached)
		return CTL_EXIT_UNREACHABLE;
	return agree ? CTL_EXIT_DONE : CTL_EXIT_CONFLICT;
}

const struct ctl_command ctl_commands[] = {
	{ "publish", 1, "FILE: publish a manifest", ctl_publish },
	{ "validate", 1, "FILE: check a manifest without a daemon",
	  ctl_validate },
	{ "check", 1, "FILE: report mistakes in a file and what it changes",
	  ctl_check },
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
