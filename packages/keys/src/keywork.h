#ifndef KEYWORK_H
#define KEYWORK_H

/*
 * Work by key, summed up so that the work of any range takes one look-up: a
 * plan asks for that of many thousands.
 */

#include <stddef.h>
#include <stdint.h>

struct keyplan_load;
struct keywork;

/*
 * Sums up measured loads, each spread evenly over its keys, and even_work that
 * is spread over all keys. Returns NULL if memory is exhausted.
 */
struct keywork *keywork_create(const struct keyplan_load *loads, size_t count,
			       double even_work);
void keywork_destroy(struct keywork *w);

/* Returns the work of the keys from first to last. */
double keywork_sum(const struct keywork *w, uint32_t first, uint32_t last);

/*
 * Returns the last key of the load that ends first at this key or after it, the
 * last of all keys if there is none.
 */
uint32_t keywork_load_end(const struct keywork *w, uint32_t key);

#endif
