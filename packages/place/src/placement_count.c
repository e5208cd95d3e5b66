#include "placement.h"

#include <stdlib.h>
#include <string.h>

/* A failed insertion leaves hh.tbl NULL instead of ending the process. */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

/* Must not have padding, as its bytes are hashed. */
struct count_key {
	uint64_t incarnation;
	uint32_t instance;
	uint32_t service;
};

struct count {
	struct count_key key;
	uint32_t owned;
	uint32_t succeeds;
	uint32_t witnesses;
	UT_hash_handle hh;
};

struct placement_counts {
	struct count *counts;
};

/* Returns NULL when memory is exhausted. */
struct placement_counts *placement_counts_create(void)
{
	return calloc(1, sizeof(struct placement_counts));
}

/* c may be NULL. */
void placement_counts_destroy(struct placement_counts *c)
{
	struct count *count;

	if (!c)
		return;
	count = c->counts;
	HASH_CLEAR(hh, c->counts);
	while (count) {
		struct count *next = count->hh.next;

		free(count);
		count = next;
	}
	free(c);
}

static struct count *find(const struct placement_counts *c, uint16_t service,
			  const struct proc *p)
{
	struct count_key key;
	struct count *count;

	memset(&key, 0, sizeof(key));
	key.incarnation = p->incarnation;
	key.instance = p->instance;
	key.service = service;
	HASH_FIND(hh, c->counts, &key, sizeof(key), count);
	return count;
}

static struct count *add(struct placement_counts *c, uint16_t service,
			 const struct proc *p)
{
	struct count *count = calloc(1, sizeof(*count));

	if (!count)
		return NULL;
	count->key = (struct count_key){ p->incarnation, p->instance, service };
	HASH_ADD(hh, c->counts, key, sizeof(count->key), count);
	if (count->hh.tbl)
		return count;
	free(count);
	return NULL;
}

/* Returns NULL if the process is unset or memory is exhausted. */
static struct count *find_or_add(struct placement_counts *c, uint16_t service,
				 const struct proc *p)
{
	struct count *count;

	if (!p->incarnation)
		return NULL;
	count = find(c, service, p);
	return count ? count : add(c, service, p);
}

/* Stops at 0, as an increment may have been lost for lack of memory. */
static void decrement(uint32_t *value)
{
	if (*value)
		--*value;
}

static void remove_if_zero(struct placement_counts *c, struct count *count)
{
	if (!c->counts || count->owned || count->succeeds || count->witnesses)
		return;
	HASH_DEL(c->counts, count);
	free(count);
}

static void subtract_set(struct placement_counts *c, uint16_t service,
			 const struct row_set *set)
{
	struct count *owner = find(c, service, &set->owner);
	struct count *successor;
	struct count *second;

	if (owner) {
		decrement(&owner->owned);
		remove_if_zero(c, owner);
	}
	successor = find(c, service, &set->witness[ROW_SUCCESSOR]);
	if (successor) {
		decrement(&successor->succeeds);
		remove_if_zero(c, successor);
	}
	second = find(c, service, &set->witness[1]);
	if (second) {
		decrement(&second->witnesses);
		remove_if_zero(c, second);
	}
}

/* Takes constant time, so that it can be called for each changed row. */
void placement_counts_update(struct placement_counts *c, uint64_t part,
			     const struct row_set *before,
			     const struct row_set *after)
{
	uint16_t service = part_service(part);
	struct count *count;

	if (before)
		subtract_set(c, service, before);
	count = find_or_add(c, service, &after->owner);
	if (count)
		count->owned++;
	count = find_or_add(c, service, &after->witness[ROW_SUCCESSOR]);
	if (count)
		count->succeeds++;
	count = find_or_add(c, service, &after->witness[1]);
	if (count)
		count->witnesses++;
}

/* Looks up the counts of each member instead of iterating over the rows. */
bool placement_view_from_counts(const struct placement_counts *c,
				const struct table_replica *table_replica,
				uint16_t service, placement_load_fn load_of,
				void *arg, struct placement_view *view)
{
	if (!placement_view_create_uncounted(table_replica, load_of, arg, view))
		return false;
	for (size_t i = 0; i < view->count; i++) {
		struct placement_member *m = &view->members[i];
		const struct count *count = find(c, service, &m->member->proc);

		if (!count)
			continue;
		m->owned = count->owned;
		m->succeeds = count->succeeds;
		m->witnesses = count->witnesses;
	}
	return true;
}
