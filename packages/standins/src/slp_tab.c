#include "slp_tab.h"

#include <malloc.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define NS_PER_S 1e9
#define LINES_MAX 1024
#define COUNT_MAX (1u << 26)

struct slp {
	struct slp_options options;
	uint64_t random;
	struct slp_line lines[LINES_MAX];
	size_t count;
};

/* Creates an empty table; NULL when memory is exhausted. */
struct slp *slp_create(const struct slp_options *options)
{
	struct slp *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->options = *options;
	s->random = options->seed;
	return s;
}

/* Frees the table; s may be NULL. */
void slp_destroy(struct slp *s)
{
	free(s);
}

/* Returns the options that the table was created with. */
const struct slp_options *slp_options(const struct slp *s)
{
	return &s->options;
}

/* SplitMix64: each seed gives another sequence without warming up. */
uint64_t slp_random(struct slp *s)
{
	uint64_t z = s->random += 0x9e3779b97f4a7c15;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
	z = (z ^ z >> 27) * 0x94d049bb133111eb;
	return z ^ z >> 31;
}

/* Compares the size with the limit of the options. */
bool slp_wants(const struct slp *s, uint32_t size)
{
	return size <= s->options.size_max;
}

/* Reads the processor clock, which stands still while others run. */
double slp_cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * NS_PER_S + (double)t.tv_nsec;
}

/* Adds up heap and mapped blocks. */
size_t slp_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* The median is not moved by a repetition that the machine disturbed. */
double slp_median(double *values, size_t count)
{
	qsort(values, count, sizeof(*values), compare);
	return values[count / 2];
}

static double run(slp_op op, void *arg, uint32_t count)
{
	double start = slp_cpu_ns();

	for (uint32_t i = 0; i < count; i++)
		op(arg);
	return slp_cpu_ns() - start;
}

/* Doubles the calls of a repetition until it lasts long enough. */
double slp_time(struct slp *s, slp_op op, void *arg)
{
	uint32_t repetitions = s->options.repetitions;
	double *ns = calloc(repetitions, sizeof(*ns));
	uint32_t count = 1;
	double median;

	if (!ns)
		abort();
	while (run(op, arg, count) < (double)s->options.batch_ns &&
	       count < COUNT_MAX)
		count *= 2;
	for (uint32_t i = 0; i < repetitions; i++)
		ns[i] = run(op, arg, count) / count;
	median = slp_median(ns, repetitions);
	free(ns);
	return median;
}

/* Adds a line at the end. */
void slp_add(struct slp *s, const char *name, double size, double ns,
	     double bytes)
{
	struct slp_line *l;

	if (s->count == LINES_MAX)
		abort();
	l = &s->lines[s->count++];
	snprintf(l->name, sizeof(l->name), "%s", name);
	l->size = size;
	l->ns = ns;
	l->bytes = bytes;
}

/* Goes through the lines. */
const struct slp_line *slp_find(const struct slp *s, const char *name,
				double size)
{
	for (size_t i = 0; i < s->count; i++) {
		const struct slp_line *l = &s->lines[i];

		if (strcmp(l->name, name) == 0 && l->size == size)
			return l;
	}
	return NULL;
}

static double value_of(const struct slp_line *l, enum slp_column column)
{
	return column == SLP_NS ? l->ns : l->bytes;
}

static bool counts(const struct slp_line *l, const char *name,
		   enum slp_column column)
{
	return strcmp(l->name, name) == 0 && value_of(l, column) > 0;
}

static double fit_error(const struct slp *s, const char *name,
			enum slp_column column, const struct slp_fit *fit)
{
	double worst = 0;

	for (size_t i = 0; i < s->count; i++) {
		const struct slp_line *l = &s->lines[i];
		double v = value_of(l, column);

		if (counts(l, name, column))
			worst = fmax(
				worst,
				fabs(fit->base + fit->slope * l->size - v) / v);
	}
	return worst;
}

/*
 * Least squares of the relative differences. With absolute ones the largest
 * size alone would decide, and the base would mean nothing.
 */
bool slp_fit(const struct slp *s, const char *name, enum slp_column column,
	     struct slp_fit *fit)
{
	double w = 0;
	double wx = 0;
	double wy = 0;
	double wxx = 0;
	double wxy = 0;
	double d;

	for (size_t i = 0; i < s->count; i++) {
		const struct slp_line *l = &s->lines[i];
		double y = value_of(l, column);

		if (!counts(l, name, column))
			continue;
		w += 1 / (y * y);
		wx += l->size / (y * y);
		wy += 1 / y;
		wxx += l->size * l->size / (y * y);
		wxy += l->size / y;
	}
	d = w * wxx - wx * wx;
	if (!(d > 1e-9 * w * wxx))
		return false;
	fit->slope = (w * wxy - wx * wy) / d;
	fit->base = (wy - fit->slope * wx) / w;
	fit->error = fit_error(s, name, column, fit);
	return true;
}

static void print_value(FILE *out, double value)
{
	if (value < 0)
		fprintf(out, "  %13s", "-");
	else
		fprintf(out, "  %13.1f", value);
}

static void print_fit(const struct slp *s, const char *name,
		      enum slp_column column, const char *unit, FILE *out)
{
	struct slp_fit fit;

	if (slp_fit(s, name, column, &fit))
		fprintf(out, "%-34s  %-5s  %14.1f  %14.3f  %8.1f\n", name, unit,
			fit.base, fit.slope, fit.error * 100);
}

/* True if no earlier line has the name of this one. */
static bool is_first(const struct slp *s, size_t i)
{
	for (size_t k = 0; k < i; k++) {
		if (strcmp(s->lines[k].name, s->lines[i].name) == 0)
			return false;
	}
	return true;
}

/* Prints the lines, then the fits of the names with several sizes. */
void slp_print(const struct slp *s, FILE *out)
{
	fprintf(out, "%-34s  %8s  %13s  %13s  %13s\n", "name", "size",
		"ns/operation", "bytes", "bytes/unit");
	for (size_t i = 0; i < s->count; i++) {
		const struct slp_line *l = &s->lines[i];

		fprintf(out, "%-34s  %8.0f", l->name, l->size);
		print_value(out, l->ns);
		print_value(out, l->bytes);
		print_value(out, l->bytes < 0 || l->size < 1 ?
					 SLP_NONE :
					 l->bytes / l->size);
		fprintf(out, "\n");
	}
	fprintf(out, "\n%-34s  %-5s  %14s  %14s  %8s\n", "fit", "value", "base",
		"slope", "error %");
	for (size_t i = 0; i < s->count; i++) {
		if (!is_first(s, i))
			continue;
		print_fit(s, s->lines[i].name, SLP_NS, "ns", out);
		print_fit(s, s->lines[i].name, SLP_BYTES, "bytes", out);
	}
}
