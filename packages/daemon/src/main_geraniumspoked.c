#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "nod.h"
#include "adapter.h"
#include "routerd.h"
#include "settings.h"

#define OVERRIDES_MAX 32
#define EXIT_SETTINGS 2
#define EXIT_START 3
#define KEY_CHECK 1000
#define KEY_RANGES 1001

struct options {
	const char *path;
	const char *overrides[OVERRIDES_MAX];
	size_t override_count;
	bool check_only;
	bool ranges;
};

static const struct argp_option option_list[] = {
	{ "settings", 's', "FILE", 0, "Settings of this daemon (YAML)", 0 },
	{ "set", 'o', "FIELD=VALUE", 0,
	  "Replace a field of the file, for example http_port=8080", 0 },
	{ "check-settings", KEY_CHECK, NULL, 0,
	  "Check the settings, print nothing if they are right, and exit", 0 },
	{ "ranges", KEY_RANGES, NULL, 0,
	  "Route by key ranges on the operators' platform; the settings are "
	  "those of docs/platform.md",
	  0 },
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
	case KEY_RANGES:
		o->ranges = true;
		return 0;
	case ARGP_KEY_END:
		if (!o->path)
			argp_error(state, "the option --settings is needed");
		if (o->ranges && o->override_count > 0)
			argp_error(state, "--set does not go with --ranges");
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
static bool read_settings(const struct options *o, struct settings *set)
{
	struct err err = { 0 };
	bool ok = settings_load(o->path, set, &err);

	for (size_t i = 0; ok && i < o->override_count; i++)
		ok = settings_override(set, o->overrides[i], &err);
	ok = ok && settings_check(set, o->path, &err);
	if (!ok)
		fprintf(stderr, "geraniumspoked: %s\n", err.text);
	return ok;
}

/* Runs the daemon that routes by key ranges. */
static int run_ranges(const struct options *o)
{
	struct err err = { 0 };
	struct rsettings settings;
	struct routerd *r;

	if (!rsettings_load(o->path, &settings, &err)) {
		fprintf(stderr, "geraniumspoked: %s\n", err.text);
		return EXIT_SETTINGS;
	}
	if (o->check_only) {
		rsettings_free(&settings);
		return EXIT_SUCCESS;
	}
	log_set_level(settings.log_level);
	log_set_fd(STDOUT_FILENO);
	r = routerd_create(&settings, o->path, adapter_create, clk_system(),
			   &err);
	if (!r) {
		fprintf(stderr, "geraniumspoked: %s\n", err.text);
		rsettings_free(&settings);
		return EXIT_START;
	}
	routerd_run(r);
	routerd_destroy(r);
	rsettings_free(&settings);
	return EXIT_SUCCESS;
}

/* Runs the daemon whose instances hold partitions. */
static int run_partitions(const struct options *o)
{
	struct err err = { 0 };
	struct settings set;
	struct nod *n;

	if (!read_settings(o, &set))
		return EXIT_SETTINGS;
	if (o->check_only)
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

int main(int argc, char **argv)
{
	struct options options = { 0 };

	argp_parse(&arguments, argc, argv, 0, NULL, &options);
	return options.ranges ? run_ranges(&options) : run_partitions(&options);
}
