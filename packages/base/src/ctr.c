#include "ctr.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

struct counter_info {
	const char *kind;
	const char *metric;
	const char *help;
};

static const struct counter_info counter_infos[CTR_COUNT] = {
#define COUNTER(name, kind, metric, help) { #kind, metric, help },
#include "counters.def"
#undef COUNTER
};

static uint64_t values[CTR_COUNT];

void ctr_add(enum ctr c, uint64_t n)
{
	values[c] += n;
}

void ctr_set(enum ctr c, uint64_t value)
{
	values[c] = value;
}

/* Returns the value of a counter or gauge. */
uint64_t ctr_get(enum ctr c)
{
	return values[c];
}

/* Resets all counters and gauges to 0; for tests. */
void ctr_reset(void)
{
	memset(values, 0, sizeof(values));
}

/*
 * Writes HELP, TYPE and value of each counter and gauge. Returns the length of
 * the whole text in bytes, also when buf is too small to hold it.
 */
size_t ctr_write(char *buf, size_t size)
{
	size_t n = 0;

	for (int i = 0; i < CTR_COUNT; i++) {
		char *pos = n < size ? buf + n : NULL;
		size_t left = n < size ? size - n : 0;
		int added =
			snprintf(pos, left,
				 "# HELP %s %s\n# TYPE %s %s\n%s %" PRIu64 "\n",
				 counter_infos[i].metric, counter_infos[i].help,
				 counter_infos[i].metric, counter_infos[i].kind,
				 counter_infos[i].metric, values[i]);

		n += added > 0 ? (size_t)added : 0;
	}
	return n;
}

/*
 * Maps a value to its bucket. Values below 32 have a bucket each; above that,
 * each power of two is divided into 32 linear buckets.
 */
static size_t bucket_index(uint64_t us)
{
	int shift;

	if (us < (1ULL << HISTOGRAM_SUB_BITS))
		return us;
	shift = 63 - __builtin_clzll(us) - HISTOGRAM_SUB_BITS;
	return ((size_t)(shift + 1) << HISTOGRAM_SUB_BITS) +
	       ((us >> shift) - (1ULL << HISTOGRAM_SUB_BITS));
}

/* Returns the largest value that falls into a bucket. */
static uint64_t bucket_upper_bound(size_t bucket)
{
	uint64_t exponent = bucket >> HISTOGRAM_SUB_BITS;
	uint64_t mantissa = bucket & ((1ULL << HISTOGRAM_SUB_BITS) - 1);

	if (exponent == 0)
		return mantissa;
	return (((1ULL << HISTOGRAM_SUB_BITS) + mantissa + 1)
		<< (exponent - 1)) -
	       1;
}

/* Records a duration in microseconds, at most HISTOGRAM_MAX_US. */
void histogram_add(struct histogram *h, uint64_t us)
{
	if (us > HISTOGRAM_MAX_US)
		us = HISTOGRAM_MAX_US;
	if (us > h->max_us)
		h->max_us = us;
	h->buckets[bucket_index(us)]++;
	h->count++;
}

/*
 * Returns the upper bound of the bucket that holds the quantile, but at most
 * the largest recorded value.
 */
uint64_t histogram_quantile(const struct histogram *h, double quantile)
{
	uint64_t rank = (uint64_t)(quantile * (double)h->count);
	uint64_t seen = 0;

	if (rank >= h->count)
		return h->max_us;
	for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += h->buckets[i];
		if (seen > rank)
			return bucket_upper_bound(i) < h->max_us ?
				       bucket_upper_bound(i) :
				       h->max_us;
	}
	return h->max_us;
}
