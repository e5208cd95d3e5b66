#include "hot_keys.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A failed insertion leaves hh.tbl NULL instead of ending the process. */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

#define HOT_SIZE_MAX 10000

struct entry {
	struct hot_key key;
	size_t index; /* position in the heap */
	UT_hash_handle hh; /* by key.hash */
};

/*
 * heap points to all entries. The first count of them are in use and form a
 * min-heap by the counts of their keys.
 */
struct hot_keys {
	struct entry *entries;
	struct entry **heap;
	struct entry *by_hash;
	size_t size;
	size_t count;
};

/* hot_keys_add() later allocates nothing but the buckets of the hash table. */
struct hot_keys *hot_keys_create(size_t size)
{
	struct hot_keys *h;

	if (size < 1 || size > HOT_SIZE_MAX)
		return NULL;
	h = calloc(1, sizeof(*h));
	if (!h)
		return NULL;
	h->size = size;
	h->entries = calloc(size, sizeof(*h->entries));
	h->heap = calloc(size, sizeof(struct entry *));
	if (!h->entries || !h->heap) {
		hot_keys_destroy(h);
		return NULL;
	}
	for (size_t i = 0; i < size; i++)
		h->heap[i] = &h->entries[i];
	return h;
}

/* h may be NULL. */
void hot_keys_destroy(struct hot_keys *h)
{
	if (!h)
		return;
	HASH_CLEAR(hh, h->by_hash);
	free(h->entries);
	free(h->heap);
	free(h);
}

static void set_heap_entry(struct hot_keys *h, size_t index, struct entry *e)
{
	h->heap[index] = e;
	e->index = index;
}

/* Restores the heap after the count of an entry has risen. */
static void sift_down(struct hot_keys *h, size_t index)
{
	struct entry *e = h->heap[index];

	for (;;) {
		size_t child = index * 2 + 1;

		if (child >= h->count)
			break;
		if (child + 1 < h->count &&
		    h->heap[child + 1]->key.count < h->heap[child]->key.count)
			child++;
		if (h->heap[child]->key.count >= e->key.count)
			break;
		set_heap_entry(h, index, h->heap[child]);
		index = child;
	}
	set_heap_entry(h, index, e);
}

/* Restores the heap after an entry was appended. */
static void sift_up(struct hot_keys *h, size_t index)
{
	struct entry *e = h->heap[index];

	while (index > 0) {
		size_t parent = (index - 1) / 2;

		if (h->heap[parent]->key.count <= e->key.count)
			break;
		set_heap_entry(h, index, h->heap[parent]);
		index = parent;
	}
	set_heap_entry(h, index, e);
}

/* Removes the root from the heap and makes it an unused entry. */
static void remove_root(struct hot_keys *h)
{
	struct entry *root = h->heap[0];

	h->count--;
	h->heap[0] = h->heap[h->count];
	h->heap[h->count] = root;
	if (h->count)
		sift_down(h, 0);
}

static bool set_key(struct hot_keys *h, struct entry *e,
		    const struct hot_key *key)
{
	e->key = *key;
	HASH_ADD(hh, h->by_hash, key.hash, sizeof(e->key.hash), e);
	return e->hh.tbl != NULL;
}

static void add_new(struct hot_keys *h, struct hot_key *key)
{
	struct entry *e = h->heap[h->count];

	key->count = 1;
	if (!set_key(h, e, key))
		return;
	h->count++;
	sift_up(h, h->count - 1);
}

/* The new key takes over the smallest count, which becomes its error. */
static void replace_smallest(struct hot_keys *h, struct hot_key *key)
{
	struct entry *e = h->heap[0];

	key->error = e->key.count;
	key->count = e->key.count + 1;
	HASH_DEL(h->by_hash, e);
	if (set_key(h, e, key))
		sift_down(h, 0);
	else
		remove_root(h);
}

/* Equal bytes in different partitions are different keys. */
void hot_keys_add(struct hot_keys *h, uint64_t part, const char *key,
		  size_t len)
{
	size_t kept = len < HOT_KEY_BYTES_MAX ? len : HOT_KEY_BYTES_MAX - 1;
	struct hot_key k = { .part = part };
	struct entry *e;

	k.hash = XXH3_64bits_withSeed(key, len, part);
	HASH_FIND(hh, h->by_hash, &k.hash, sizeof(k.hash), e);
	if (e) {
		e->key.count++;
		sift_down(h, e->index);
		return;
	}
	memcpy(k.key, key, kept);
	if (h->count < h->size)
		add_new(h, &k);
	else
		replace_smallest(h, &k);
}

/* Halving preserves the order of the counts, so the heap stays valid. */
void hot_keys_decay(struct hot_keys *h)
{
	for (size_t i = 0; i < h->count; i++) {
		h->heap[i]->key.count /= 2;
		h->heap[i]->key.error /= 2;
	}
}

static int compare_keys(const void *a, const void *b)
{
	const struct hot_key *left = a;
	const struct hot_key *right = b;

	if (left->count != right->count)
		return left->count > right->count ? -1 : 1;
	return (left->hash > right->hash) - (left->hash < right->hash);
}

/* Omits keys whose count has decayed to 0. */
size_t hot_keys_top(const struct hot_keys *h, struct hot_key *out, size_t max)
{
	struct hot_key *all = calloc(h->count + 1, sizeof(*all));
	size_t count = 0;

	if (!all)
		return 0;
	for (size_t i = 0; i < h->count; i++) {
		if (h->heap[i]->key.count)
			all[count++] = h->heap[i]->key;
	}
	qsort(all, count, sizeof(*all), compare_keys);
	if (count > max)
		count = max;
	memcpy(out, all, count * sizeof(*out));
	free(all);
	return count;
}
