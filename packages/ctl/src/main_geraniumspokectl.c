#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "ctl.h"

#define DEFAULT_TIMEOUT_MS 5000
#define ARGS_MAX 4
#define DESCRIPTION_MAX 4096
#define OPTION_EXPECT 1000
#define OPTION_AGAINST 1001

struct options {
	struct ctl ctl;
	const char *command;
	const char *args[ARGS_MAX];
	size_t arg_count;
};

static const struct argp_option argp_options[] = {
	{ "daemon", 'd', "ADDRESS:PORT", 0,
	  "Operators' port of a daemon; may be given several times", 0 },
	{ "json", 'j', NULL, 0, "Print JSON", 0 },
	{ "timeout", 't', "MS", 0, "Longest wait for an answer (default 5000)",
	  0 },
	{ "expect", OPTION_EXPECT, "VERSION", 0,
	  "publish: refuse if another version is published (0: none yet)", 0 },
	{ "against", OPTION_AGAINST, "FILE", 0,
	  "check: show the differences from this manifest", 0 },
	{ 0 }
};

static void add_daemon(struct options *options, const char *text,
		       struct argp_state *state)
{
	struct err err = { 0 };

	if (options->ctl.daemon_count == CTL_DAEMONS_MAX)
		argp_error(state, "too many daemons");
	else if (!ctl_parse_endpoint(
			 text,
			 &options->ctl.daemons[options->ctl.daemon_count++],
			 &err))
		argp_error(state, "%s", err.text);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'd':
		add_daemon(options, arg, state);
		return 0;
	case 'j':
		options->ctl.json = true;
		return 0;
	case 't':
		options->ctl.timeout_ms = (unsigned int)strtoul(arg, NULL, 10);
		if (!options->ctl.timeout_ms)
			argp_error(state, "--timeout requires milliseconds");
		return 0;
	case OPTION_EXPECT:
		if (arg[strspn(arg, "0123456789")] || !arg[0])
			argp_error(state, "--expect requires a version");
		options->ctl.expect = arg;
		return 0;
	case OPTION_AGAINST:
		options->ctl.against = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (!options->command)
			options->command = arg;
		else if (options->arg_count < ARGS_MAX)
			options->args[options->arg_count++] = arg;
		else
			argp_error(state, "too many arguments");
		return 0;
	case ARGP_KEY_END:
		if (!options->command)
			argp_error(state, "no command");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Formats the list of commands and exit statuses for --help. */
static void format_description(char *out, size_t size)
{
	size_t n = (size_t)snprintf(
		out, size, "Drives geraniumspoke daemons.\vCommands:\n");

	for (const struct ctl_command *c = ctl_commands; c->name; c++)
		n += (size_t)snprintf(out + n, size - n, "  %-11s %s\n",
				      c->name, c->help);
	snprintf(out + n, size - n,
		 "\nExit status: 0 done, 1 refused (nothing changed), 2 wrong "
		 "usage, 3 conflict (nothing changed), 4 unreachable (nothing "
		 "changed), 5 outcome unknown.\n");
}

static const struct ctl_command *find_command(const char *name)
{
	for (const struct ctl_command *c = ctl_commands; c->name; c++) {
		if (strcmp(c->name, name) == 0)
			return c;
	}
	return NULL;
}

static int run_command(struct options *options,
		       const struct ctl_command *command)
{
	struct err err = { 0 };
	int exit_status;

	options->ctl.args = options->args;
	options->ctl.arg_count = options->arg_count;
	options->ctl.loop = lwsloop_create(clk_system(), 0, &err);
	if (!options->ctl.loop) {
		fprintf(stderr, "geraniumspokectl: %s\n", err.text);
		return CTL_EXIT_UNREACHABLE;
	}
	exit_status = command->run(&options->ctl);
	lwsloop_destroy(options->ctl.loop);
	return exit_status;
}

int main(int argc, char **argv)
{
	static char description[DESCRIPTION_MAX];
	struct options options = { .ctl.timeout_ms = DEFAULT_TIMEOUT_MS };
	const struct argp arguments = {
		argp_options, parse_option, "COMMAND [ARGUMENT...]",
		description,  NULL,	    NULL,
		NULL
	};
	const struct ctl_command *command;

	format_description(description, sizeof(description));
	argp_err_exit_status = CTL_EXIT_USAGE;
	argp_parse(&arguments, argc, argv, 0, NULL, &options);
	command = find_command(options.command);
	if (!command || command->arg_count != options.arg_count) {
		fprintf(stderr, "geraniumspokectl: %s; see --help\n",
			command ? "wrong number of arguments" :
				  "no such command");
		return CTL_EXIT_USAGE;
	}
	if (command->run != ctl_validate && command->run != ctl_check &&
	    !options.ctl.daemon_count) {
		fprintf(stderr, "geraniumspokectl: --daemon is needed\n");
		return CTL_EXIT_USAGE;
	}
	return run_command(&options, command);
}
