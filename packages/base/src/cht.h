#ifndef CHT_H
#define CHT_H

/*
 * State machines that are loaded from YAML files and interpreted:
 *
 *     chart: upstream
 *     initial: absent
 *     events: [announced, gone]
 *     states:
 *       absent:
 *         announced: { to: warming, do: [start_warm_up] }
 *         gone: { to: absent }
 *
 * Loading checks that every state is reachable from the initial one, that
 * every state has a transition for every event, and that every action is
 * registered by the caller. Loaded states and events are identified by their
 * index in the lists of names passed to cht_load().
 */

#include <stddef.h>

#include "err.h"

enum cht_error {
	CHT_UNREADABLE = 1, /* the file cannot be read */
	CHT_SYNTAX, /* not YAML, or not structured as above */
	CHT_UNKNOWN_NAME, /* an unknown state, event, action or field */
	CHT_MISSING_EVENT, /* a state has no transition for an event */
	CHT_UNREACHABLE /* a state is not reachable */
};

typedef void (*cht_action_fn)(void *arg);

struct cht_action {
	const char *name;
	cht_action_fn fn;
};

struct cht;

/*
 * Loads and validates a chart. state_names and event_names are NULL-terminated
 * and must outlive the chart; the index of a name identifies its state or
 * event, and the file must use exactly these names. Returns NULL on failure,
 * with an error of layer ERR_CHART, a code of enum cht_error and a text
 * that gives file, line and reason.
 */
struct cht *cht_load(const char *path, const char *const *state_names,
		     const char *const *event_names,
		     const struct cht_action *actions, size_t action_count,
		     struct err *err);
void cht_destroy(struct cht *c);

/* Returns the index of the initial state. */
int cht_initial(const struct cht *c);

/*
 * Runs the actions of the transition for this event in the order of the file,
 * passing arg to each, and returns the target state.
 */
int cht_fire(const struct cht *c, int state, int event, void *arg);

const char *cht_state_name(const struct cht *c, int state);

#endif
