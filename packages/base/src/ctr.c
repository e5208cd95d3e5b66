#include "ctr.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

struct counter_info {
	const char *kind;
	const char *metric;
	const char *help;
};

static const struct counter_info infos[CTR_COUNT] = {
#define COUNTER(name, kind, metric, help) { #kind, metric, help },
#include "counters.def"
#undef COUNTER
};

static uint64_t values[CTR_COUNT];

/* Adds n to a counter. */
void ctr_add(enum ctr c, uint64_t n)
{
	values[c] += n;
}

/* Sets a gauge to a value. */
void ctr_set(enum ctr c, uint64_t value)
{
	values[c] = value;
}

/* Reads a counter or a gauge. */
uint64_t ctr_get(enum ctr c)
{
	return values[c];
}

/* Sets everything to zero. */
void ctr_reset(void)
{
	memset(values, 0, sizeof(values));
}

/* Writes help, type and value of each counter, one after the other. */
size_t ctr_write(char *buf, size_t size)
{
	size_t n = 0;

	for (int i = 0; i < CTR_COUNT; i++) {
		char *at = n < size ? buf + n : NULL;
		size_t left = n < size ? size - n : 0;
		int added = snprintf(
			at, left,
			"# HELP %s %s\n# TYPE %s %s\n%s %" PRIu64 "\n",
			infos[i].metric, infos[i].help, infos[i].metric,
			infos[i].kind, infos[i].metric, values[i]);

		n += added > 0 ? (size_t)added : 0;
	}
	return n;
}

/* Maps a value to its bucket: exact at first, then 32 buckets for each power. */
static size_t bucket_of(uint64_t us)
{
	int shift;

	if (us < (1ULL << HST_SUB_BITS))
		return us;
	shift = 63 - __builtin_clzll(us) - HST_SUB_BITS;
	return ((size_t)(shift + 1) << HST_SUB_BITS) +
	       ((us >> shift) - (1ULL << HST_SUB_BITS));
}

/* Returns the largest value of a bucket. */
static uint64_t bucket_top(size_t bucket)
{
	uint64_t group = bucket >> HST_SUB_BITS;
	uint64_t sub = bucket & ((1ULL << HST_SUB_BITS) - 1);

	if (group == 0)
		return sub;
	return (((1ULL << HST_SUB_BITS) + sub + 1) << (group - 1)) - 1;
}

/* Counts one duration. */
void hst_add(struct hst *h, uint64_t us)
{
	if (us > HST_MAX_US)
		us = HST_MAX_US;
	if (us > h->max_us)
		h->max_us = us;
	h->buckets[bucket_of(us)]++;
	h->count++;
}

/* Walks the buckets until the quantile is reached. */
uint64_t hst_quantile(const struct hst *h, double quantile)
{
	uint64_t rank = (uint64_t)(quantile * (double)h->count);
	uint64_t seen = 0;

	if (rank >= h->count)
		return h->max_us;
	for (size_t i = 0; i < HST_BUCKETS; i++) {
		seen += h->buckets[i];
		if (seen > rank)
			return bucket_top(i) < h->max_us ? bucket_top(i) :
							   h->max_us;
	}
	return h->max_us;
}
