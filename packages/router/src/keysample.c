#include "keysample.h"

#include <stdlib.h>
#include <string.h>

#include "clk.h"

#define SAMPLES_MAX 2048

struct sample {
	uint64_t at_us;
	uint32_t key;
	uint32_t work_us;
};

struct keysample {
	struct sample samples[SAMPLES_MAX];
	size_t next;
};

/* Creates an empty set of samples; NULL if out of memory. */
struct keysample *keysample_create(void)
{
	return calloc(1, sizeof(struct keysample));
}

void keysample_destroy(struct keysample *s)
{
	free(s);
}

/* Adds a sample in place of the oldest one. */
void keysample_add(struct keysample *s, uint32_t key, uint64_t work_us,
		   uint64_t now_us)
{
	struct sample *x = &s->samples[s->next++ % SAMPLES_MAX];

	x->at_us = now_us;
	x->key = key;
	x->work_us = (uint32_t)work_us;
}

/* Compares two samples by key, for qsort(). */
static int compare_samples(const void *a, const void *b)
{
	const struct sample *x = a;
	const struct sample *y = b;

	return (x->key > y->key) - (x->key < y->key);
}

/*
 * Copies the samples of the window, sorted by key; total is their work in us.
 */
static size_t collect(const struct keysample *s, struct sample *out,
		      double *total, uint64_t now_us)
{
	size_t n = 0;

	*total = 0;
	for (size_t i = 0; i < SAMPLES_MAX; i++) {
		const struct sample *x = &s->samples[i];

		if (x->at_us == 0 ||
		    clk_elapsed(now_us, x->at_us) > KEYSAMPLE_WINDOW_US)
			continue;
		out[n++] = *x;
		*total += (double)x->work_us;
	}
	qsort(out, n, sizeof(out[0]), compare_samples);
	return n;
}

/* Extends a range until it has its share of the work; a key is never split. */
size_t keysample_ranges(struct keysample *s, struct keyplan_load *out,
			size_t max, uint64_t now_us)
{
	struct sample *list = malloc(sizeof(*list) * SAMPLES_MAX);
	double total, range_work;
	size_t pieces = 0;
	size_t n;

	if (!list)
		return 0;
	n = collect(s, list, &total, now_us);
	range_work = total / (double)max;
	for (size_t i = 0; i < n; i++) {
		struct keyplan_load *p = &out[pieces];
		double work =
			(double)list[i].work_us / (double)KEYSAMPLE_WINDOW_US;

		if (i > 0 && list[i].key == out[pieces - 1].last) {
			out[pieces - 1].work += work;
			continue;
		}
		if (pieces > 0 &&
		    (out[pieces - 1].work * (double)KEYSAMPLE_WINDOW_US <
			     range_work ||
		     pieces == max)) {
			out[pieces - 1].last = list[i].key;
			out[pieces - 1].work += work;
			continue;
		}
		p->first = p->last = list[i].key;
		p->work = work;
		pieces++;
	}
	free(list);
	return pieces;
}
