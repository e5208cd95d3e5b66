#ifndef CTR_H
#define CTR_H

/*
 * Counters and gauges of the process, defined in counters.def and exported in
 * the Prometheus text format, and latency histograms.
 */

#include <stddef.h>
#include <stdint.h>

enum ctr {
#define COUNTER(name, kind, metric, help) CTR_##name,
#include "counters.def"
#undef COUNTER
	CTR_COUNT
};

void ctr_add(enum ctr c, uint64_t n);

void ctr_set(enum ctr c, uint64_t value);

uint64_t ctr_get(enum ctr c);

/* Resets all counters and gauges to 0; for tests. */
void ctr_reset(void);

/*
 * Writes all counters and gauges in the Prometheus text exposition format.
 * Returns the length of the whole text in bytes without the closing NUL, as
 * snprintf() does; the text is truncated if the buffer is too small.
 */
size_t ctr_write(char *buf, size_t size);

/*
 * Log-linear histogram of durations in microseconds with a relative error of
 * less than 1/32. It has a fixed size; values above HISTOGRAM_MAX_US are
 * recorded as HISTOGRAM_MAX_US.
 */
#define HISTOGRAM_SUB_BITS 5
#define HISTOGRAM_GROUPS 27
#define HISTOGRAM_BUCKETS ((HISTOGRAM_GROUPS + 1) << HISTOGRAM_SUB_BITS)
#define HISTOGRAM_MAX_US ((1ULL << (HISTOGRAM_GROUPS + HISTOGRAM_SUB_BITS)) - 1)

struct histogram {
	uint64_t count;
	uint64_t max_us;
	uint64_t buckets[HISTOGRAM_BUCKETS];
};

void histogram_add(struct histogram *h, uint64_t us);

/*
 * Returns an upper bound of the quantile (0 to 1) in microseconds, 0 for an
 * empty histogram.
 */
uint64_t histogram_quantile(const struct histogram *h, double quantile);

#endif
