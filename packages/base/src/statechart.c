#include "statechart.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

#define ACTIONS_MAX 8 /* per transition */
#define STATES_MAX 32
#define EVENTS_MAX 64
#define NO_STATE (-1)

struct transition {
	int to; /* target state; NO_STATE until it is read */
	size_t action_count;
	statechart_action_fn actions[ACTIONS_MAX];
};

struct statechart {
	int initial;
	size_t state_count;
	size_t event_count;
	const char *const *state_names;
	struct transition transitions[STATES_MAX][EVENTS_MAX];
};

/* State of loading one file. */
struct loader {
	const char *path;
	yaml_document_t doc;
	const char *const *event_names;
	const struct statechart_action *actions;
	size_t action_count;
	struct statechart *chart;
	struct err *err;
};

static size_t count_names(const char *const *names)
{
	size_t n = 0;

	while (names[n])
		n++;
	return n;
}

static int find_name(const char *const *names, const char *name)
{
	for (int i = 0; names[i]; i++) {
		if (strcmp(names[i], name) == 0)
			return i;
	}
	return -1;
}

/* Sets an error with the line of a node; always returns false. */
static bool set_error_at(struct loader *l, const yaml_node_t *node, int code,
			 const char *reason, const char *name)
{
	size_t line = node ? node->start_mark.line + 1 : 0;

	return err_set(l->err, ERR_CHART, code, "%s:%zu: %s%s%s", l->path, line,
		       reason, name ? ": " : "", name ? name : "");
}

/* Returns the value of a scalar node, NULL for any other node. */
static const char *scalar_text(const yaml_node_t *node)
{
	if (!node || node->type != YAML_SCALAR_NODE)
		return NULL;
	return (const char *)node->data.scalar.value;
}

/* Returns the value of a key in a mapping, NULL if it is absent. */
static yaml_node_t *find_field(struct loader *l, const yaml_node_t *map,
			       const char *name)
{
	yaml_node_pair_t *pair;

	if (!map || map->type != YAML_MAPPING_NODE)
		return NULL;
	for (pair = map->data.mapping.pairs.start;
	     pair < map->data.mapping.pairs.top; pair++) {
		const char *key =
			scalar_text(yaml_document_get_node(&l->doc, pair->key));

		if (key && strcmp(key, name) == 0)
			return yaml_document_get_node(&l->doc, pair->value);
	}
	return NULL;
}

/* Looks up an action by its name and appends it to a transition. */
static bool add_action(struct loader *l, struct transition *t,
		       const yaml_node_t *node)
{
	const char *name = scalar_text(node);

	if (!name)
		return set_error_at(l, node, STATECHART_SYNTAX,
				    "an action is not a name", NULL);
	if (t->action_count == ACTIONS_MAX)
		return set_error_at(l, node, STATECHART_SYNTAX,
				    "too many actions", name);
	for (size_t i = 0; i < l->action_count; i++) {
		if (strcmp(l->actions[i].name, name) == 0) {
			t->actions[t->action_count++] = l->actions[i].fn;
			return true;
		}
	}
	return set_error_at(l, node, STATECHART_UNKNOWN_NAME, "unknown action",
			    name);
}

/* Reads the list of actions of a transition. */
static bool read_actions(struct loader *l, struct transition *t,
			 const yaml_node_t *list)
{
	yaml_node_item_t *item;

	if (list->type != YAML_SEQUENCE_NODE)
		return set_error_at(l, list, STATECHART_SYNTAX,
				    "do is not a list", NULL);
	for (item = list->data.sequence.items.start;
	     item < list->data.sequence.items.top; item++) {
		if (!add_action(l, t, yaml_document_get_node(&l->doc, *item)))
			return false;
	}
	return true;
}

/* Reads one transition: { to: STATE, do: [ACTION, ...] }. */
static bool read_transition(struct loader *l, struct transition *t,
			    const yaml_node_t *node)
{
	yaml_node_t *to = find_field(l, node, "to");
	yaml_node_t *actions = find_field(l, node, "do");
	const char *name = scalar_text(to);
	ptrdiff_t fields;

	if (!name)
		return set_error_at(l, node, STATECHART_SYNTAX,
				    "a transition has no to", NULL);
	fields = node->data.mapping.pairs.top - node->data.mapping.pairs.start;
	if (fields != (actions ? 2 : 1))
		return set_error_at(
			l, node, STATECHART_UNKNOWN_NAME,
			"a transition has fields other than to and do", NULL);
	t->to = find_name(l->chart->state_names, name);
	if (t->to < 0)
		return set_error_at(l, to, STATECHART_UNKNOWN_NAME,
				    "unknown state", name);
	return !actions || read_actions(l, t, actions);
}

/* Reads the transitions of a state; each event must have one. */
static bool read_state(struct loader *l, int state, const yaml_node_t *node)
{
	struct statechart *c = l->chart;
	yaml_node_pair_t *pair;

	if (node->type != YAML_MAPPING_NODE)
		return set_error_at(l, node, STATECHART_SYNTAX,
				    "a state is not a mapping", NULL);
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(&l->doc, pair->key);
		const char *name = scalar_text(key);
		int event = name ? find_name(l->event_names, name) : -1;

		if (event < 0)
			return set_error_at(l, key, STATECHART_UNKNOWN_NAME,
					    "unknown event", name);
		if (!read_transition(
			    l, &c->transitions[state][event],
			    yaml_document_get_node(&l->doc, pair->value)))
			return false;
	}
	for (size_t e = 0; e < c->event_count; e++) {
		if (c->transitions[state][e].to == NO_STATE)
			return set_error_at(
				l, node, STATECHART_MISSING_EVENT,
				"the state has no transition for the event",
				l->event_names[e]);
	}
	return true;
}

/* Reads all states; each expected state must be defined once. */
static bool read_states(struct loader *l, const yaml_node_t *states)
{
	struct statechart *c = l->chart;
	yaml_node_pair_t *pair;
	size_t listed = 0;

	if (!states || states->type != YAML_MAPPING_NODE)
		return set_error_at(l, states, STATECHART_SYNTAX,
				    "states is not a mapping", NULL);
	for (pair = states->data.mapping.pairs.start;
	     pair < states->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(&l->doc, pair->key);
		const char *name = scalar_text(key);
		int state = name ? find_name(c->state_names, name) : -1;

		if (state < 0)
			return set_error_at(l, key, STATECHART_UNKNOWN_NAME,
					    "unknown state", name);
		if (!read_state(l, state,
				yaml_document_get_node(&l->doc, pair->value)))
			return false;
		listed++;
	}
	if (listed != c->state_count)
		return set_error_at(l, states, STATECHART_SYNTAX,
				    "a state is missing or defined twice",
				    NULL);
	return true;
}

/* Marks the states that are reachable from a state, itself included. */
static void mark_reachable(const struct statechart *c, int state,
			   bool *reachable)
{
	if (reachable[state])
		return;
	reachable[state] = true;
	for (size_t e = 0; e < c->event_count; e++)
		mark_reachable(c, c->transitions[state][e].to, reachable);
}

/* Checks that every state is reachable from the initial one. */
static bool check_reachable(struct loader *l, const yaml_node_t *states)
{
	struct statechart *c = l->chart;
	bool reachable[STATES_MAX] = { false };

	mark_reachable(c, c->initial, reachable);
	for (size_t s = 0; s < c->state_count; s++) {
		if (!reachable[s])
			return set_error_at(l, states, STATECHART_UNREACHABLE,
					    "the state is not reachable",
					    c->state_names[s]);
	}
	return true;
}

/* Checks that the file lists exactly the expected events. */
static bool check_events(struct loader *l, const yaml_node_t *list)
{
	yaml_node_item_t *item;
	size_t listed = 0;

	if (!list || list->type != YAML_SEQUENCE_NODE)
		return set_error_at(l, list, STATECHART_SYNTAX,
				    "events is not a list", NULL);
	for (item = list->data.sequence.items.start;
	     item < list->data.sequence.items.top; item++, listed++) {
		yaml_node_t *node = yaml_document_get_node(&l->doc, *item);
		const char *name = scalar_text(node);

		if (!name || find_name(l->event_names, name) < 0)
			return set_error_at(l, node, STATECHART_UNKNOWN_NAME,
					    "unknown event", name);
	}
	if (listed != l->chart->event_count)
		return set_error_at(l, list, STATECHART_MISSING_EVENT,
				    "events does not list every event once",
				    NULL);
	return true;
}

/* Converts the parsed document into the chart. */
static bool read_chart(struct loader *l)
{
	yaml_node_t *root = yaml_document_get_root_node(&l->doc);
	yaml_node_t *initial = find_field(l, root, "initial");
	yaml_node_t *states = find_field(l, root, "states");
	const char *name = scalar_text(initial);

	if (!name)
		return set_error_at(l, root, STATECHART_SYNTAX,
				    "initial is missing", NULL);
	l->chart->initial = find_name(l->chart->state_names, name);
	if (l->chart->initial < 0)
		return set_error_at(l, initial, STATECHART_UNKNOWN_NAME,
				    "unknown state", name);
	return check_events(l, find_field(l, root, "events")) &&
	       read_states(l, states) && check_reachable(l, states);
}

/* Parses the file; on success the caller deletes the document. */
static bool parse_file(struct loader *l)
{
	FILE *f = fopen(l->path, "rb");
	yaml_parser_t parser;
	bool ok;

	if (!f)
		return err_set(l->err, ERR_CHART, STATECHART_UNREADABLE,
			       "%s: cannot be opened", l->path);
	if (!yaml_parser_initialize(&parser)) {
		fclose(f);
		return err_set(l->err, ERR_CHART, STATECHART_UNREADABLE,
			       "%s: out of memory", l->path);
	}
	yaml_parser_set_input_file(&parser, f);
	ok = yaml_parser_load(&parser, &l->doc);
	if (!ok)
		err_set(l->err, ERR_CHART, STATECHART_SYNTAX, "%s:%zu: %s",
			l->path, parser.problem_mark.line + 1,
			parser.problem ? parser.problem : "not YAML");
	yaml_parser_delete(&parser);
	fclose(f);
	return ok;
}

/* Allocates a chart whose transitions are all NO_STATE. */
static struct statechart *create_empty(const char *const *state_names,
				       const char *const *event_names)
{
	struct statechart *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->state_names = state_names;
	c->state_count = count_names(state_names);
	c->event_count = count_names(event_names);
	for (size_t s = 0; s < STATES_MAX; s++) {
		for (size_t e = 0; e < EVENTS_MAX; e++)
			c->transitions[s][e].to = NO_STATE;
	}
	return c;
}

/*
 * Loads a chart from a YAML file. The lists of names must outlive it. Returns
 * NULL with an error of layer ERR_CHART if the file cannot be read or is
 * invalid.
 */
struct statechart *statechart_load(const char *path,
				   const char *const *state_names,
				   const char *const *event_names,
				   const struct statechart_action *actions,
				   size_t action_count, struct err *err)
{
	struct loader l = { .path = path,
			    .event_names = event_names,
			    .actions = actions,
			    .action_count = action_count,
			    .err = err };
	bool ok = false;

	l.chart = create_empty(state_names, event_names);
	if (!l.chart || l.chart->state_count > STATES_MAX ||
	    l.chart->event_count > EVENTS_MAX) {
		err_set(err, ERR_CHART, STATECHART_SYNTAX,
			"%s: out of memory, or too many names", path);
	} else if (parse_file(&l)) {
		ok = read_chart(&l);
		yaml_document_delete(&l.doc);
	}
	if (!ok) {
		statechart_destroy(l.chart);
		return NULL;
	}
	return l.chart;
}

void statechart_destroy(struct statechart *c)
{
	free(c);
}

/* Returns the index of the initial state. */
int statechart_initial_state(const struct statechart *c)
{
	return c->initial;
}

/* Runs the actions of the transition and returns its target state. */
int statechart_fire(const struct statechart *c, int state, int event, void *arg)
{
	const struct transition *t = &c->transitions[state][event];

	for (size_t i = 0; i < t->action_count; i++)
		t->actions[i](arg);
	return t->to;
}

/* Returns the name of a state as written in the file. */
const char *statechart_state_name(const struct statechart *c, int state)
{
	return c->state_names[state];
}
