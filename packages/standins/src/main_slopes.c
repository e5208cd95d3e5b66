/*
 * slopes: measures processor time and bytes of the decision modules and codecs
 * at several sizes, without sockets and with a driven clock, and prints lines
 * fitted over the sizes. docs/CAPACITY.md is worked out from its output.
 */

#include <argp.h>
#include <errno.h>
#include <stdlib.h>

#include "slp_run.h"

#define NS_PER_MS 1000000

static const struct argp_option options[] = {
	{ "seed", 's', "N", 0, "Seed of rows and keys (1)", 0 },
	{ "repetitions", 'r', "N", 0, "Repetitions of each measurement (5)",
	  0 },
	{ "batch", 'b', "MS", 0, "Shortest time of a repetition (2)", 0 },
	{ "max", 'm', "N", 0, "Largest size measured (100000)", 0 },
	{ "charts", 'c', "DIR", 0, "Directory of the state charts (charts)",
	  0 },
	{ 0 }
};

static uint32_t read_number(struct argp_state *state, const char *text,
			    unsigned long min, unsigned long max)
{
	char *end;
	unsigned long value;

	errno = 0;
	value = strtoul(text, &end, 10);
	if (errno || *text < '0' || *text > '9' || *end || value < min ||
	    value > max)
		argp_error(state, "%s is not a number from %lu to %lu", text,
			   min, max);
	return (uint32_t)value;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct slp_options *o = state->input;

	switch (key) {
	case 's':
		o->seed = read_number(state, arg, 0, UINT32_MAX);
		return 0;
	case 'r':
		o->repetitions = read_number(state, arg, 1, 1000);
		return 0;
	case 'b':
		o->batch_ns =
			(uint64_t)read_number(state, arg, 0, 10000) * NS_PER_MS;
		return 0;
	case 'm':
		o->size_max = read_number(state, arg, 1, 1000000);
		return 0;
	case 'c':
		o->charts = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Prints time and memory of decisions and codecs.",
	};
	struct slp_options o = { .seed = 1,
				 .repetitions = 5,
				 .batch_ns = 2 * NS_PER_MS,
				 .size_max = 100000,
				 .charts = "charts" };
	struct slp *s;
	bool ok;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	s = slp_create(&o);
	ok = s && slp_lease(s) && slp_dup(s) && slp_mirror(s) && slp_place(s) &&
	     slp_route(s) && slp_config(s) && slp_wire(s) && slp_spread(s) &&
	     slp_rows(s);
	if (ok)
		slp_print(s, stdout);
	else
		fprintf(stderr, "slopes: a measurement failed\n");
	if (!SLP_HAS_LEASE)
		fprintf(stderr, "slopes: built without lease and route\n");
	slp_destroy(s);
	return ok ? 0 : 1;
}
