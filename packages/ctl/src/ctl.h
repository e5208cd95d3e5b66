#ifndef CTL_H
#define CTL_H

/* What the commands of geraniumspokectl share. */

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "ctl_http.h"
#include "lop.h"

/* Exit status of the program. */
enum ctl_exit {
	CTL_EXIT_DONE = 0,
	CTL_EXIT_REFUSED = 1, /* wrong input or a refusal; nothing changed */
	CTL_EXIT_USAGE = 2,
	CTL_EXIT_CONFLICT = 3, /* another version won; nothing changed */
	CTL_EXIT_UNREACHABLE = 4, /* nothing changed */
	CTL_EXIT_UNKNOWN = 5 /* it may have taken effect */
};

#define CTL_DAEMONS_MAX 256

struct ctl {
	struct lop *loop;
	struct ctl_endpoint daemons[CTL_DAEMONS_MAX];
	size_t daemon_count;
	unsigned int timeout_ms;
	bool json; /* JSON in place of text */
	const char *expect; /* of publish, NULL for any version */
	const char **args; /* behind the name of the command */
	size_t arg_count;
};

struct ctl_command {
	const char *name;
	size_t arg_count;
	const char *help; /* arguments and meaning */
	enum ctl_exit (*run)(struct ctl *c);
};

/* The commands, ended by an entry without a name. */
extern const struct ctl_command ctl_commands[];

/*
 * Asks the first daemon that answers. Returns its status of HTTP, or 0 after
 * it has printed why there is none.
 */
int ctl_ask(struct ctl *c, const char *method, const char *target,
	    const void *body, size_t len, struct ctl_answer *out);

/* Publishes a manifest; see ctl_publish.c. */
enum ctl_exit ctl_publish(struct ctl *c);

/* Checks a manifest without a daemon. */
enum ctl_exit ctl_validate(struct ctl *c);

/* Prints a JSON value as a table: a line for each entry of a list. */
void ctl_print(const struct ctl *c, const json_t *value);

#endif
