#ifndef CTL_H
#define CTL_H

/* Declarations shared by the commands of geraniumspokectl. */

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "ctl_http.h"
#include "lwsloop.h"

/* Exit status of the program. */
enum ctl_exit {
	CTL_EXIT_DONE = 0,
	CTL_EXIT_REFUSED = 1, /* invalid input or refused; nothing changed */
	CTL_EXIT_USAGE = 2,
	CTL_EXIT_CONFLICT = 3, /* version conflict; nothing changed */
	CTL_EXIT_UNREACHABLE = 4, /* nothing changed */
	CTL_EXIT_UNKNOWN = 5 /* the request may have taken effect */
};

#define CTL_DAEMONS_MAX 256

struct ctl {
	struct lwsloop *loop;
	struct ctl_endpoint daemons[CTL_DAEMONS_MAX];
	size_t daemon_count;
	unsigned int timeout_ms;
	bool json; /* print JSON instead of text */
	const char *expect; /* version that publish replaces, NULL for any */
	const char *against; /* file that check compares with, or NULL */
	const char **args; /* arguments of the command */
	size_t arg_count;
};

struct ctl_command {
	const char *name;
	size_t arg_count;
	const char *help; /* arguments and description for --help */
	enum ctl_exit (*run)(struct ctl *c);
};

/* All commands; the last entry has no name. */
extern const struct ctl_command ctl_commands[];

/*
 * Sends a request to the first daemon that can be reached. Returns the HTTP
 * status, 0 if no daemon can be reached or -1 if the response was lost; in the
 * last two cases it has printed the error. The caller frees the response.
 */
int ctl_request_any(struct ctl *c, const char *method, const char *target,
		    const void *body, size_t len, struct ctl_response *out);

/* Validates a manifest file and publishes it through a daemon. */
enum ctl_exit ctl_publish(struct ctl *c);

/* Validates a manifest file without a daemon. */
enum ctl_exit ctl_validate(struct ctl *c);

/* Reports mistakes in a configuration file, and what it changes. */
enum ctl_exit ctl_check(struct ctl *c);

/*
 * Prints JSON with --json, otherwise a line of name=value pairs for each item
 * of an array, or a line for each member of an object.
 */
void ctl_print(const struct ctl *c, const json_t *value);

#endif
