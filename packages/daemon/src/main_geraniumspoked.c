#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "nod.h"
#include "set.h"

#define OVERRIDES_MAX 32
#define EXIT_SETTINGS 2
#define EXIT_START 3
#define KEY_CHECK 1000

struct options {
	const char *path;
	const char *overrides[OVERRIDES_MAX];
	size_t override_count;
	bool check_only;
};

static const struct argp_option option_list[] = {
	{ "settings", 's', "FILE", 0, "Settings of this daemon (YAML)", 0 },
	{ "set", 'o', "FIELD=VALUE", 0,
	  "Replace a field of the file, for example http_port=8080", 0 },
	{ "check-settings", KEY_CHECK, NULL, 0,
	  "Check the settings, print nothing if they are right, and exit", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 's':
		o->path = arg;
		return 0;
	case 'o':
		if (o->override_count == OVERRIDES_MAX)
			argp_error(state, "too many --set options");
		o->overrides[o->override_count++] = arg;
		return 0;
	case KEY_CHECK:
		o->check_only = true;
		return 0;
	case ARGP_KEY_END:
		if (!o->path)
			argp_error(state, "the option --settings is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp arguments = {
	option_list,
	parse_option,
	NULL,
	"The daemon of geraniumspoke: it runs beside one upstream, takes "
	"requests of callers and brings each to the owner of its key.\v"
	"Exit status: 0 stopped, 2 wrong settings, 3 cannot start.",
	NULL,
	NULL,
	NULL
};

/* Reads and checks the settings; reports the first error. */
static bool read_settings(const struct options *o, struct set *set)
{
	struct err err = { 0 };
	bool ok = set_load(o->path, set, &err);

	for (size_t i = 0; ok && i < o->override_count; i++)
		ok = set_override(set, o->overrides[i], &err);
	ok = ok && set_check(set, o->path, &err);
	if (!ok)
		fprintf(stderr, "geraniumspoked: %s\n", err.text);
	return ok;
}

int main(int argc, char **argv)
{
	struct options options = { 0 };
	struct err err = { 0 };
	struct set set;
	struct nod *n;

	argp_parse(&arguments, argc, argv, 0, NULL, &options);
	if (!read_settings(&options, &set))
		return EXIT_SETTINGS;
	if (options.check_only)
		return EXIT_SUCCESS;
	log_set_level(set.log_level);
	n = nod_create(&set, clk_system(), &err);
	if (!n) {
		fprintf(stderr, "geraniumspoked: %s\n", err.text);
		return EXIT_START;
	}
	nod_run(n);
	nod_destroy(n);
	return EXIT_SUCCESS;
}
