#ifndef TAB_H
#define TAB_H

/*
 * Slot map: a table of pointers addressed by handles. A handle combines a slot
 * index with a generation, so the handle of a removed entry is not valid for a
 * later entry in the same slot.
 */

#include <stddef.h>
#include <stdint.h>

struct tab;

#define TAB_MAX 65536

/*
 * Creates a table of at most max entries, from 1 to TAB_MAX. Returns
 * NULL if memory is exhausted.
 */
struct tab *tab_create(size_t max);

/* Frees the table but not the objects that its entries point to. */
void tab_destroy(struct tab *t);

/*
 * Adds an entry, which must not be NULL. Returns its handle, 0 if the table is
 * full or memory is exhausted.
 */
uint32_t tab_add(struct tab *t, void *entry);

/* Returns the entry of a handle, NULL if the handle is not in use. */
void *tab_get(const struct tab *t, uint32_t handle);

/* Removes an entry. Returns it, or NULL if the handle is not in use. */
void *tab_remove(struct tab *t, uint32_t handle);

size_t tab_count(const struct tab *t);

/*
 * Iterates over the entries, starting with *pos = 0: returns the next entry and
 * advances *pos, or returns NULL at the end.
 */
void *tab_next(const struct tab *t, size_t *pos);

#endif
