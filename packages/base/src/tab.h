#ifndef TAB_H
#define TAB_H

/*
 * Table of pointers addressed by small handles. A handle holds an index and a
 * generation, so that a handle of a removed entry finds nothing.
 */

#include <stddef.h>
#include <stdint.h>

struct tab;

/* max is the largest number of entries, from 1 to TAB_MAX. */
#define TAB_MAX 65536
struct tab *tab_create(size_t max);

/* Frees the table, not what its entries point to. */
void tab_destroy(struct tab *t);

/* Returns the handle of a new entry, 0 when the table is full. */
uint32_t tab_add(struct tab *t, void *entry);

/* Returns NULL for a handle that is not in use. */
void *tab_get(const struct tab *t, uint32_t handle);

/* Removes an entry and returns it, NULL if the handle is not in use. */
void *tab_remove(struct tab *t, uint32_t handle);

size_t tab_count(const struct tab *t);

/* Returns the entry at or after *pos and moves *pos on; NULL at the end. */
void *tab_next(const struct tab *t, size_t *pos);

#endif
