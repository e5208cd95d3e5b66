#include "slotmap.h"

#include <stdlib.h>

#define INDEX_BITS 16
#define INDEX_MASK ((1U << INDEX_BITS) - 1)
#define NO_SLOT UINT32_MAX

struct slot {
	void *entry;
	uint16_t generation; /* not 0, so that no handle is 0 */
	uint32_t next_free;
};

struct slotmap {
	struct slot *slots;
	size_t allocated; /* slots that have ever held an entry */
	size_t capacity;
	size_t max;
	size_t count;
	uint32_t free_list; /* first free slot */
};

/* Creates an empty table; slots are allocated on demand. */
struct slotmap *slotmap_create(size_t max)
{
	struct slotmap *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->max = max > SLOTMAP_MAX_ENTRIES ? SLOTMAP_MAX_ENTRIES : max;
	t->free_list = NO_SLOT;
	return t;
}

/* Frees the table but not the objects that its entries point to. */
void slotmap_destroy(struct slotmap *t)
{
	if (!t)
		return;
	free(t->slots);
	free(t);
}

/* Doubles the number of slots up to max; returns -1 on failure. */
static int grow(struct slotmap *t)
{
	size_t capacity = t->capacity ? t->capacity * 2 : 16;
	struct slot *slots;

	if (capacity > t->max)
		capacity = t->max;
	if (capacity <= t->capacity)
		return -1;
	slots = realloc(t->slots, capacity * sizeof(*slots));
	if (!slots)
		return -1;
	t->slots = slots;
	t->capacity = capacity;
	return 0;
}

/* Adds an entry in a free slot or a new one; returns 0 on failure. */
uint32_t slotmap_add(struct slotmap *t, void *entry)
{
	uint32_t i = t->free_list;

	if (i != NO_SLOT) {
		t->free_list = t->slots[i].next_free;
	} else {
		if (t->allocated == t->capacity && grow(t) != 0)
			return 0;
		i = (uint32_t)t->allocated++;
		t->slots[i].generation = 1;
	}
	t->slots[i].entry = entry;
	t->count++;
	return (uint32_t)t->slots[i].generation << INDEX_BITS | i;
}

/* Returns the slot of a handle, NULL if the handle is not in use. */
static struct slot *find_slot(const struct slotmap *t, uint32_t handle)
{
	uint32_t i = handle & INDEX_MASK;

	if (i >= t->allocated || !t->slots[i].entry)
		return NULL;
	if (t->slots[i].generation != handle >> INDEX_BITS)
		return NULL;
	return &t->slots[i];
}

/* Returns the entry of a handle, NULL if the handle is not in use. */
void *slotmap_get(const struct slotmap *t, uint32_t handle)
{
	struct slot *s = find_slot(t, handle);

	return s ? s->entry : NULL;
}

/* Removes an entry and increments the generation of its slot. */
void *slotmap_remove(struct slotmap *t, uint32_t handle)
{
	struct slot *s = find_slot(t, handle);
	void *entry;

	if (!s)
		return NULL;
	entry = s->entry;
	s->entry = NULL;
	s->generation++;
	if (!s->generation)
		s->generation = 1;
	s->next_free = t->free_list;
	t->free_list = (uint32_t)(s - t->slots);
	t->count--;
	return entry;
}

/* Returns the number of entries. */
size_t slotmap_count(const struct slotmap *t)
{
	return t->count;
}

/* Returns the next entry from *pos on, skipping free slots. */
void *slotmap_next(const struct slotmap *t, size_t *pos)
{
	while (*pos < t->allocated) {
		void *entry = t->slots[(*pos)++].entry;

		if (entry)
			return entry;
	}
	return NULL;
}
