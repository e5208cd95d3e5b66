#ifndef CTR_H
#define CTR_H

/*
 * Counters and gauges of the process, listed in counters.def, and latency
 * histograms. They are written in the text format that scrapers read.
 */

#include <stddef.h>
#include <stdint.h>

enum ctr {
#define COUNTER(name, kind, metric, help) CTR_##name,
#include "counters.def"
#undef COUNTER
	CTR_COUNT
};

/* Adds to a counter. */
void ctr_add(enum ctr c, uint64_t n);

/* Sets a gauge. */
void ctr_set(enum ctr c, uint64_t value);

uint64_t ctr_get(enum ctr c);

/* Sets all counters to zero, for tests. */
void ctr_reset(void);

/*
 * Writes all counters in the text exposition format. Returns the length that
 * the whole text has; the text is cut when the buffer is smaller.
 */
size_t ctr_write(char *buf, size_t size);

/*
 * Histogram of durations in microseconds with a relative error of 1/32. It has
 * a fixed size and holds values up to HST_MAX_US; larger ones count as that.
 */
#define HST_SUB_BITS 5
#define HST_GROUPS 27
#define HST_BUCKETS ((HST_GROUPS + 1) << HST_SUB_BITS)
#define HST_MAX_US ((1ULL << (HST_GROUPS + HST_SUB_BITS)) - 1)

struct hst {
	uint64_t count;
	uint64_t max_us;
	uint64_t buckets[HST_BUCKETS];
};

void hst_add(struct hst *h, uint64_t us);

/* Returns the value at a quantile from 0 to 1; 0 for an empty histogram. */
uint64_t hst_quantile(const struct hst *h, double quantile);

#endif
