#include "wrt.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "log.h"
#include "syn.h"

#define SETTLE_PAUSE_US (300 * US_PER_MS)
#define SETTLE_ATTEMPTS_MAX 20

/* One conditional write in progress. */
struct write {
	struct wrt *w;
	char key[ROW_KEY_MAX];
	uint64_t part; /* 0 for rows other than assignments */
	uint64_t expect;
	char *value;
	int settle_attempts;
	wrt_done_fn fn;
	void *arg;
	struct write *next;
};

struct wrt {
	struct nod *n;
	struct write *writes;
	size_t count;
};

/* Makes the module. */
struct wrt *wrt_create(struct nod *n)
{
	struct wrt *w = calloc(1, sizeof(*w));

	if (w)
		w->n = n;
	return w;
}

static void free_write(struct write *x)
{
	free(x->value);
	free(x);
}

/* Frees the module; writes in progress are forgotten. */
void wrt_destroy(struct wrt *w)
{
	if (!w)
		return;
	while (w->writes) {
		struct write *x = w->writes;

		w->writes = x->next;
		free_write(x);
	}
	free(w);
}

/* Looks for a write of the partition's row. */
bool wrt_is_busy(const struct wrt *w, uint64_t part)
{
	for (const struct write *x = w->writes; x; x = x->next) {
		if (x->part == part && part)
			return true;
	}
	return false;
}

/* Tells how many writes may still be started. */
size_t wrt_room(const struct wrt *w)
{
	return w->count < WRT_IN_FLIGHT_MAX ? WRT_IN_FLIGHT_MAX - w->count : 0;
}

/* Takes a write out of the list, tells its user and frees it. */
static void finish(struct write *x, enum platapi_result result)
{
	struct wrt *w = x->w;
	struct write **at = &w->writes;

	while (*at != x)
		at = &(*at)->next;
	*at = x->next;
	w->count--;
	if (x->fn)
		x->fn(x->arg, result);
	free_write(x);
}

static void settle_due(void *arg, uint64_t now_us);

static void settle_later(struct write *x)
{
	if (x->settle_attempts++ >= SETTLE_ATTEMPTS_MAX) {
		log_emit(LOG_WRITE_UNSETTLED, "key=%s", x->key);
		finish(x, PLATAPI_UNKNOWN);
		return;
	}
	tmr_at(x->w->n->timers, nod_now_us(x->w->n) + SETTLE_PAUSE_US,
	       settle_due, x);
}

/* The row was read back: it holds either this value or another. */
static void settled(void *arg, enum platapi_result result,
		    const struct replica_entry *row)
{
	struct write *x = arg;
	bool is_ours;

	if (result != PLATAPI_OK && result != PLATAPI_NOT_FOUND) {
		settle_later(x);
		return;
	}
	is_ours = row && result == PLATAPI_OK &&
		  strcmp(row->value, x->value) == 0;
	if (row && result == PLATAPI_OK)
		syn_apply(x->w->n->syn, row);
	log_emit(LOG_WRITE_SETTLED, "key=%s took_effect=%d", x->key, is_ours);
	finish(x, is_ours ? PLATAPI_OK : PLATAPI_CONFLICT);
}

static void settle_due(void *arg, uint64_t now_us)
{
	struct write *x = arg;

	(void)now_us;
	ctr_add(CTR_PLATFORM_READS, 1);
	platapi_get(x->w->n->platform, x->key, settled, x);
}

/* The platform has answered, or the answer was lost. */
static void written(void *arg, enum platapi_result result,
		    const struct replica_entry *row)
{
	struct write *x = arg;

	if (result == PLATAPI_UNKNOWN) {
		settle_later(x);
		return;
	}
	if (row)
		syn_apply(x->w->n->syn, row);
	finish(x, result);
}

/* Starts a write with a value that is freed with it. */
static bool start(struct wrt *w, const char *key, uint64_t part,
		  uint64_t expect, char *value, wrt_done_fn fn, void *arg)
{
	struct write *x = calloc(1, sizeof(*x));

	if (!x || !value) {
		free(x);
		free(value);
		return false;
	}
	x->w = w;
	snprintf(x->key, sizeof(x->key), "%s", key);
	x->part = part;
	x->expect = expect;
	x->value = value;
	x->fn = fn;
	x->arg = arg;
	x->next = w->writes;
	w->writes = x;
	w->count++;
	ctr_add(CTR_PLATFORM_WRITES, 1);
	platapi_put(w->n->platform, key, expect, value, written, x);
	return true;
}

/* Puts the sets that may still act into the new row. */
static bool fill_prev(struct row *row, const struct row *old, bool active)
{
	if (!old)
		return true;
	if (!active) {
		if (old->prev_count == ROW_PREV_MAX)
			return false;
		row->prev_count = old->prev_count;
		memcpy(row->prev, old->prev, sizeof(old->prev));
	}
	row->prev[row->prev_count++] = old->set;
	return true;
}

/* Writes a new version over the one that the replica holds. */
bool wrt_row(struct wrt *w, uint64_t part, const struct row_set *set,
	     bool active)
{
	const struct row *old = replica_row(w->n->replica, part);
	const struct replica_entry *entry;
	struct row row = { .part = part, .set = *set, .writer = w->n->self };
	char key[ROW_KEY_MAX];

	if (wrt_is_busy(w, part) || !wrt_room(w) ||
	    !fill_prev(&row, old, active))
		return false;
	row.set.version = old ? old->set.version + 1 : 1;
	row_key(part, key);
	entry = replica_get(w->n->replica, key);
	return start(w, key, part, entry ? entry->version : 0, row_encode(&row),
		     NULL, NULL);
}

/* Writes a value over the version that the replica holds. */
void wrt_value(struct wrt *w, const char *key, const char *value,
	       wrt_done_fn fn, void *arg)
{
	const struct replica_entry *entry = replica_get(w->n->replica, key);

	if (!start(w, key, 0, entry ? entry->version : 0, strdup(value), fn,
		   arg) &&
	    fn)
		fn(arg, PLATAPI_UNAVAILABLE);
}
