#ifndef SLOTMAP_H
#define SLOTMAP_H

/*
 * Slot map: a table of pointers addressed by handles. A handle combines a slot
 * index with a generation, so the handle of a removed entry is not valid for a
 * later entry in the same slot.
 */

#include <stddef.h>
#include <stdint.h>

struct slotmap;

#define SLOTMAP_MAX_ENTRIES 65536

/*
 * Creates a table of at most max entries, from 1 to SLOTMAP_MAX_ENTRIES.
 * Returns NULL if memory is exhausted.
 */
struct slotmap *slotmap_create(size_t max);

/* Frees the table but not the objects that its entries point to. */
void slotmap_destroy(struct slotmap *t);

/*
 * Adds an entry, which must not be NULL. Returns its handle, 0 if the table is
 * full or memory is exhausted.
 */
uint32_t slotmap_add(struct slotmap *t, void *entry);

/* Returns the entry of a handle, NULL if the handle is not in use. */
void *slotmap_get(const struct slotmap *t, uint32_t handle);

/* Removes an entry. Returns it, or NULL if the handle is not in use. */
void *slotmap_remove(struct slotmap *t, uint32_t handle);

size_t slotmap_count(const struct slotmap *t);

/*
 * Iterates over the entries, starting with *pos = 0: returns the next entry and
 * advances *pos, or returns NULL at the end.
 */
void *slotmap_next(const struct slotmap *t, size_t *pos);

#endif
