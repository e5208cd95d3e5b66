#ifndef CHT_H
#define CHT_H

/*
 * State charts in YAML files that the code interprets:
 *
 *     chart: upstream
 *     initial: absent
 *     events: [announced, gone]
 *     states:
 *       absent:
 *         announced: { to: warming, do: [start_warm_up] }
 *         gone: { to: absent }
 *
 * Every state is reachable from the initial one, every state names every
 * event, and every action is one of those that the caller offers. States,
 * events and actions are addressed by small numbers after loading.
 */

#include <stddef.h>

#include "err.h"

enum cht_error {
	CHT_UNREADABLE = 1, /* the file cannot be read */
	CHT_SYNTAX, /* not YAML, or not of the shape above */
	CHT_UNKNOWN_NAME, /* an unknown state, event, action or field */
	CHT_MISSING_EVENT, /* a state does not name an event */
	CHT_UNREACHABLE /* a state cannot be reached */
};

typedef void (*cht_action_fn)(void *arg);

struct cht_action {
	const char *name;
	cht_action_fn fn;
};

struct cht;

/*
 * Loads and checks a chart. state_names and event_names are lists ended by
 * NULL; their positions are the numbers of states and events, and the file
 * must use exactly these names. Errors: layer chart, a code of enum cht_error
 * and a text with file, line and reason.
 */
struct cht *cht_load(const char *path, const char *const *state_names,
		     const char *const *event_names,
		     const struct cht_action *actions, size_t action_count,
		     struct err *err);
void cht_destroy(struct cht *c);

/* Returns the number of the initial state. */
int cht_initial(const struct cht *c);

/*
 * Returns the state after the event and runs the actions of the transition in
 * their order with arg.
 */
int cht_fire(const struct cht *c, int state, int event, void *arg);

/* Returns the name of a state. */
const char *cht_state_name(const struct cht *c, int state);

#endif
