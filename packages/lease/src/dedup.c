#include "dedup_int.h"

#include <stdlib.h>
#include <string.h>

#define SENT_DIGITS_MAX 15

/* Creates an empty table. Returns NULL when memory is exhausted. */
struct dedup *dedup_create(size_t max_entries)
{
	struct dedup *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->max_entries = max_entries;
	d->running = slotmap_create(SLOTMAP_MAX_ENTRIES);
	if (!d->running) {
		free(d);
		return NULL;
	}
	return d;
}

static void free_entry(struct dedup_entry *e)
{
	free((void *)e->response.body);
	free(e);
}

/*
 * Unlinks an entry from the tables and prepends it to *list, so that
 * free_list() frees it after an iteration over the tables.
 */
static void unlink_entry(struct dedup *d, struct dedup_entry *e,
			 struct dedup_entry **list)
{
	if (e->handle)
		slotmap_remove(d->running, e->handle);
	HASH_DEL(d->entries, e);
	e->next_unlinked = *list;
	*list = e;
}

static void free_list(struct dedup_entry *list)
{
	while (list) {
		struct dedup_entry *next = list->next_unlinked;

		free_entry(list);
		list = next;
	}
}

static void remove_entry(struct dedup *d, struct dedup_entry *e)
{
	struct dedup_entry *list = NULL;

	unlink_entry(d, e, &list);
	free_list(list);
}

/* Frees the table with all windows and entries. */
void dedup_destroy(struct dedup *d)
{
	struct dedup_entry *e;
	struct dedup_window *w;

	if (!d)
		return;
	e = d->entries;
	w = d->windows;
	HASH_CLEAR(hh, d->entries);
	HASH_CLEAR(hh, d->windows);
	while (e) {
		struct dedup_entry *next = e->hh.next;

		free_entry(e);
		e = next;
	}
	while (w) {
		struct dedup_window *next = w->hh.next;

		free(w);
		w = next;
	}
	slotmap_destroy(d->running);
	free(d);
}

/* Returns the window of a partition, NULL if it is not open. */
struct dedup_window *dedup_window(const struct dedup *d, uint64_t part)
{
	struct dedup_window *w;

	HASH_FIND(hh, d->windows, &part, sizeof(part), w);
	return w;
}

/*
 * Sets the time in ms since which a window is complete, and opens the window if
 * needed. If memory is exhausted the window stays closed, which makes
 * dedup_begin() refuse every request of the partition.
 */
void dedup_set_start(struct dedup *d, uint64_t part, uint64_t start_ms)
{
	struct dedup_window *w = dedup_window(d, part);

	if (!w) {
		w = calloc(1, sizeof(*w));
		if (!w)
			return;
		w->part = part;
		HASH_ADD(hh, d->windows, part, sizeof(w->part), w);
	}
	w->start_ms = start_ms;
}

/*
 * Opens a window that starts at now_ms and discards an earlier one of the same
 * partition.
 */
void dedup_open(struct dedup *d, uint64_t part, uint64_t now_ms)
{
	dedup_close(d, part);
	dedup_set_start(d, part, now_ms);
}

/* Removes a window and all its entries, including those of running requests. */
void dedup_close(struct dedup *d, uint64_t part)
{
	struct dedup_window *w = dedup_window(d, part);
	struct dedup_entry *list = NULL;
	struct dedup_entry *e;
	struct dedup_entry *next;

	if (!w)
		return;
	HASH_ITER(hh, d->entries, e, next) {
		if (e->key.part == part)
			unlink_entry(d, e, &list);
	}
	free_list(list);
	HASH_DEL(d->windows, w);
	free(w);
}

/*
 * Parses <unix ms>-<text>, where text is printable ASCII without spaces.
 * Returns false if id is malformed.
 */
bool dedup_parse_id(const char *id, uint64_t *sent_ms)
{
	size_t len = strnlen(id, DEDUP_ID_MAX);
	size_t digits = strspn(id, "0123456789");

	if (len == DEDUP_ID_MAX || !digits || digits > SENT_DIGITS_MAX ||
	    id[digits] != '-' || !id[digits + 1])
		return false;
	for (size_t i = 0; i < len; i++) {
		if (id[i] <= ' ' || id[i] > '~')
			return false;
	}
	*sent_ms = strtoull(id, NULL, 10);
	return true;
}

static void make_key(struct dedup_key *key, uint64_t part, const char *id)
{
	memset(key, 0, sizeof(*key));
	key->part = part;
	memcpy(key->id, id, strnlen(id, DEDUP_ID_MAX - 1));
}

/* Returns the entry of a request, NULL if there is none. */
struct dedup_entry *dedup_find(const struct dedup *d, uint64_t part,
			       const char *id)
{
	struct dedup_key key;
	struct dedup_entry *e;

	make_key(&key, part, id);
	HASH_FIND(hh, d->entries, &key, sizeof(key), e);
	return e;
}

/*
 * Adds an entry in the state unknown. Returns NULL if the table is full or
 * memory is exhausted.
 */
struct dedup_entry *dedup_add(struct dedup *d, uint64_t part, const char *id,
			      uint64_t sent_ms)
{
	struct dedup_entry *e;

	if (HASH_COUNT(d->entries) >= d->max_entries)
		return NULL;
	e = calloc(1, sizeof(*e));
	if (!e)
		return NULL;
	make_key(&e->key, part, id);
	e->sent_ms = sent_ms;
	e->state = DEDUP_STATE_UNKNOWN;
	HASH_ADD(hh, d->entries, key, sizeof(e->key), e);
	return e;
}

static enum dedup_result judge_known(const struct dedup_entry *e,
				     struct dedup_response *response)
{
	if (e->state == DEDUP_STATE_RUNNING)
		return DEDUP_RUNNING;
	if (e->state == DEDUP_STATE_UNKNOWN)
		return DEDUP_UNKNOWN;
	*response = e->response;
	return DEDUP_DONE;
}

/*
 * True if the request is not covered by the window: it may have run here and
 * been removed since, or have run on another process.
 */
static bool is_unseen(const struct dedup *d, uint64_t part, uint64_t sent_ms,
		      uint64_t now_ms)
{
	const struct dedup_window *w = dedup_window(d, part);

	return !w || sent_ms < w->start_ms + DEDUP_SKEW_MS ||
	       sent_ms + DEDUP_WINDOW_MS < now_ms || sent_ms < d->horizon_ms;
}

/*
 * The lookup comes before the age check, because an old request that is still
 * stored gets its stored result.
 */
enum dedup_result dedup_begin(struct dedup *d, uint64_t part, const char *id,
			      uint64_t now_ms, uint32_t *handle,
			      struct dedup_response *response)
{
	uint64_t sent_ms;
	struct dedup_entry *e;

	*handle = 0;
	if (!dedup_parse_id(id, &sent_ms) || sent_ms > now_ms + DEDUP_SKEW_MS)
		return DEDUP_INVALID;
	e = dedup_find(d, part, id);
	if (e)
		return judge_known(e, response);
	if (is_unseen(d, part, sent_ms, now_ms))
		return DEDUP_OUTSIDE_WINDOW;
	e = dedup_add(d, part, id, sent_ms);
	if (!e)
		return DEDUP_FULL;
	e->handle = slotmap_add(d->running, e);
	if (!e->handle) {
		remove_entry(d, e);
		return DEDUP_FULL;
	}
	e->state = DEDUP_STATE_RUNNING;
	*handle = e->handle;
	return DEDUP_NEW;
}

/*
 * Copies a response into an entry. A body longer than DEDUP_BODY_MAX is not
 * stored. Returns false when memory is exhausted.
 */
bool dedup_store(struct dedup_entry *e, const struct dedup_response *response)
{
	void *body = NULL;

	e->response = *response;
	e->response.body = NULL;
	if (response->body_len > DEDUP_BODY_MAX)
		e->response.body_cut = true;
	if (e->response.body_cut)
		e->response.body_len = 0;
	if (e->response.body_len) {
		body = malloc(e->response.body_len);
		if (!body)
			return false;
		memcpy(body, response->body, e->response.body_len);
	}
	e->response.body = body;
	return true;
}

static struct dedup_entry *end_running(struct dedup *d, uint32_t handle)
{
	struct dedup_entry *e = slotmap_remove(d->running, handle);

	if (e)
		e->handle = 0;
	return e;
}

/* Stores the response. When memory is exhausted the result becomes unknown. */
void dedup_finish(struct dedup *d, uint32_t handle,
		  const struct dedup_response *response)
{
	struct dedup_entry *e = end_running(d, handle);

	if (e)
		e->state = dedup_store(e, response) ? DEDUP_STATE_DONE :
						      DEDUP_STATE_UNKNOWN;
}

/* Keeps the request with an unknown result. */
void dedup_mark_unknown(struct dedup *d, uint32_t handle)
{
	struct dedup_entry *e = end_running(d, handle);

	if (e)
		e->state = DEDUP_STATE_UNKNOWN;
}

/* Removes the request, so that a resend of it runs. */
void dedup_remove(struct dedup *d, uint32_t handle)
{
	struct dedup_entry *e = slotmap_get(d->running, handle);

	if (e)
		remove_entry(d, e);
}

/*
 * Removes the entries that dedup_begin() would refuse because of their age,
 * except those of running requests.
 */
void dedup_expire(struct dedup *d, uint64_t now_ms)
{
	struct dedup_entry *list = NULL;
	struct dedup_entry *e;
	struct dedup_entry *next;

	if (now_ms > DEDUP_WINDOW_MS &&
	    d->horizon_ms < now_ms - DEDUP_WINDOW_MS)
		d->horizon_ms = now_ms - DEDUP_WINDOW_MS;
	HASH_ITER(hh, d->entries, e, next) {
		if (e->sent_ms < d->horizon_ms &&
		    e->state != DEDUP_STATE_RUNNING)
			unlink_entry(d, e, &list);
	}
	free_list(list);
}
