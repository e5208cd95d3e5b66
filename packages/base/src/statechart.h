#ifndef STATECHART_H
#define STATECHART_H

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
 * index in the lists of names passed to statechart_load().
 */

#include <stddef.h>

#include "err.h"

enum statechart_error {
	STATECHART_UNREADABLE = 1, /* the file cannot be read */
	STATECHART_SYNTAX, /* not YAML, or not structured as above */
	STATECHART_UNKNOWN_NAME, /* an unknown state, event, action or field */
	STATECHART_MISSING_EVENT, /* a state has no transition for an event */
	STATECHART_UNREACHABLE /* a state is not reachable */
};

typedef void (*statechart_action_fn)(void *arg);

struct statechart_action {
	const char *name;
	statechart_action_fn fn;
};

struct statechart;

/*
 * Loads and validates a chart. state_names and event_names are NULL-terminated
 * and must outlive the chart; the index of a name identifies its state or
 * event, and the file must use exactly these names. Returns NULL on failure,
 * with an error of layer ERR_CHART, a code of enum statechart_error and a text
 * that gives file, line and reason.
 */
struct statechart *statechart_load(const char *path,
				   const char *const *state_names,
				   const char *const *event_names,
				   const struct statechart_action *actions,
				   size_t action_count, struct err *err);
void statechart_destroy(struct statechart *c);

/* Returns the index of the initial state. */
int statechart_initial_state(const struct statechart *c);

/*
 * Runs the actions of the transition for this event in the order of the file,
 * passing arg to each, and returns the target state.
 */
int statechart_fire(const struct statechart *c, int state, int event,
		    void *arg);

const char *statechart_state_name(const struct statechart *c, int state);

#endif
