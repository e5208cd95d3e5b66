#ifndef SLP_TAB_H
#define SLP_TAB_H

/*
 * Table of measurements: processor time and bytes of an operation at several
 * sizes, and straight lines fitted over the sizes.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define SLP_NAME_MAX 40
#define SLP_NONE (-1.0) /* not measured */

struct slp_options {
	uint64_t seed;
	uint32_t repetitions; /* the median of them counts; at least 1 */
	uint64_t batch_ns; /* shortest time of one repetition */
	uint32_t size_max; /* larger sizes are left out */
	const char *charts; /* directory of the state charts */
};

struct slp_line {
	char name[SLP_NAME_MAX];
	double size; /* in units that the name tells */
	double ns; /* processor time of one operation, SLP_NONE */
	double bytes; /* of memory or of a message, SLP_NONE */
};

/* value = base + slope * size */
struct slp_fit {
	double base;
	double slope;
	double error; /* largest relative difference from a measurement */
};

enum slp_column {
	SLP_NS,
	SLP_BYTES
};

struct slp;
typedef void (*slp_op)(void *arg);

struct slp *slp_create(const struct slp_options *options);
void slp_destroy(struct slp *s);
const struct slp_options *slp_options(const struct slp *s);

/* Returns the next of a sequence that follows from the seed. */
uint64_t slp_random(struct slp *s);

/* True if a size is to be measured. */
bool slp_wants(const struct slp *s, uint32_t size);

/* Processor time of this process in nanoseconds. */
double slp_cpu_ns(void);

/* Bytes that are allocated now; 0 where the allocator does not tell. */
size_t slp_heap_bytes(void);

/* Returns the median processor time of one call of op in nanoseconds. */
double slp_time(struct slp *s, slp_op op, void *arg);

/* Returns the median of values, which it sorts; count is over 0. */
double slp_median(double *values, size_t count);

/* A line that cannot be stored ends the program. */
void slp_add(struct slp *s, const char *name, double size, double ns,
	     double bytes);

/* Returns a line, NULL if there is none. */
const struct slp_line *slp_find(const struct slp *s, const char *name,
				double size);

/* Returns false if fewer than two sizes of the name were measured. */
bool slp_fit(const struct slp *s, const char *name, enum slp_column column,
	     struct slp_fit *fit);

void slp_print(const struct slp *s, FILE *out);

#endif
