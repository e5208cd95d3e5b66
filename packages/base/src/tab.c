#include "tab.h"

#include <stdlib.h>

#define INDEX_BITS 16
#define INDEX_MASK ((1U << INDEX_BITS) - 1)
#define NO_SLOT UINT32_MAX

struct slot {
	void *entry;
	uint16_t generation; /* never 0, so that no handle is 0 */
	uint32_t next_free;
};

struct tab {
	struct slot *slots;
	size_t used; /* slots handed out at least once */
	size_t capacity;
	size_t max;
	size_t count;
	uint32_t free;
};

/* Creates an empty table; the slots are allocated as they are needed. */
struct tab *tab_create(size_t max)
{
	struct tab *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->max = max > TAB_MAX ? TAB_MAX : max;
	t->free = NO_SLOT;
	return t;
}

/* Frees the table and its slots. */
void tab_destroy(struct tab *t)
{
	if (!t)
		return;
	free(t->slots);
	free(t);
}

/* Doubles the number of slots up to the largest number of entries. */
static int grow(struct tab *t)
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

/* Takes a freed slot if there is one, else a fresh one. */
uint32_t tab_add(struct tab *t, void *entry)
{
	uint32_t i = t->free;

	if (i != NO_SLOT) {
		t->free = t->slots[i].next_free;
	} else {
		if (t->used == t->capacity && grow(t) != 0)
			return 0;
		i = (uint32_t)t->used++;
		t->slots[i].generation = 1;
	}
	t->slots[i].entry = entry;
	t->count++;
	return (uint32_t)t->slots[i].generation << INDEX_BITS | i;
}

/* Finds the slot of a handle that is in use. */
static struct slot *find_slot(const struct tab *t, uint32_t handle)
{
	uint32_t i = handle & INDEX_MASK;

	if (i >= t->used || !t->slots[i].entry)
		return NULL;
	if (t->slots[i].generation != handle >> INDEX_BITS)
		return NULL;
	return &t->slots[i];
}

/* Looks an entry up by its handle. */
void *tab_get(const struct tab *t, uint32_t handle)
{
	struct slot *s = find_slot(t, handle);

	return s ? s->entry : NULL;
}

/* Frees the slot under a new generation. */
void *tab_remove(struct tab *t, uint32_t handle)
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
	s->next_free = t->free;
	t->free = (uint32_t)(s - t->slots);
	t->count--;
	return entry;
}

/* Counts the entries in use. */
size_t tab_count(const struct tab *t)
{
	return t->count;
}

/* Skips the free slots from *pos on. */
void *tab_next(const struct tab *t, size_t *pos)
{
	while (*pos < t->used) {
		void *entry = t->slots[(*pos)++].entry;

		if (entry)
			return entry;
	}
	return NULL;
}
