#ifndef ARRAY_H
#define ARRAY_H

/* Arrays that grow by one entry at a time. */

#include <stddef.h>

/*
 * Makes room for one more entry behind the first count ones, and clears it.
 * Returns the array, which may have moved, or NULL if out of memory; the array
 * is then unchanged. An array starts as NULL with a capacity of 0; the caller
 * frees it with free().
 */
void *array_extend(void *array, size_t count, size_t *capacity, size_t size);

#endif
