#ifndef FNC_H
#define FNC_H

/*
 * The highest fence seen for each partition, in a file that all upstreams of
 * a service share, as they share the state that the fences protect.
 */

#include <stdbool.h>
#include <stdint.h>

/* Partitions of a service. */
#define FNC_PARTITIONS_MAX (1U << 20)

struct fnc;

/* Opens or makes the file; NULL with errno on an error. */
struct fnc *fnc_open(const char *path);
void fnc_close(struct fnc *f);

/*
 * Records the fence. Returns false when a higher one is recorded for the
 * partition, and when the file cannot be read or written.
 */
bool fnc_pass(struct fnc *f, uint64_t partition, uint64_t fence);

#endif
