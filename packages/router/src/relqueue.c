#include "relqueue.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "txt.h"

#define PENDING_MAX 256
/* Mean delay of a retry; the delay is random, from 50% to 150% of it. */
#define RETRY_US (40 * US_PER_MS)

struct release {
	char service[NAME_SIZE];
	struct incarnation incarnation;
	uint32_t first, last;
	uint64_t fence; /* of the range as it was released */
	char handover[KEYMAP_HANDOVER_MAX];
};

struct relqueue {
	struct evloop *loop;
	struct tbl tbl;
	struct planview *view;
	planview_rows_fn on_rows;
	void *arg;
	struct release pending[PENDING_MAX];
	size_t count;
	char service[NAME_SIZE]; /* of the write in progress */
	char *text; /* map of the write in progress */
	uint32_t timer;
	bool writing;
	bool dead;
};

static void write_next(void *arg, uint64_t now_us);

/* Schedules the next write. */
static void schedule_write(struct relqueue *r, uint64_t wait_us)
{
	tmr_cancel(evloop_timers(r->loop), r->timer);
	r->timer = tmr_at(evloop_timers(r->loop),
			  evloop_now_us(r->loop) + wait_us, write_next, r);
}

/* Removes an entry; the order of entries is not kept. */
static void remove_release(struct relqueue *r, size_t i)
{
	r->pending[i] = r->pending[--r->count];
}

/*
 * Applies the releases of a service to its map and removes those that change
 * nothing. True if the map has changed.
 */
static bool apply_releases(struct relqueue *r, const char *service,
			   struct keymap *map)
{
	bool changed = false;

	for (size_t i = 0; i < r->count;) {
		const struct release *x = &r->pending[i];

		if (strcmp(x->service, service) != 0) {
			i++;
		} else if (keymap_release(map, &x->incarnation, x->first,
					  x->last, x->fence, x->handover)) {
			changed = true;
			i++;
		} else {
			remove_release(r, i);
		}
	}
	return changed;
}

/* Handles the result of a write; it fails if another daemon was faster. */
static void on_written(void *arg, const struct tbl_result *result)
{
	struct relqueue *r = arg;
	char key[PLANVIEW_KEY_MAX];
	struct tbl_change row = { .table = PLANVIEW_TABLE, .key = key };

	r->writing = false;
	if (r->dead) {
		free(r->text);
		free(r);
		return;
	}
	if (result->status == TBL_OK) {
		planview_map_key(r->service, key);
		row.value = r->text;
		r->on_rows(r->arg, &row, 1, result->version);
		log_emit(LOG_RANGE_RELEASED, "service=%s version=%llu",
			 r->service, (unsigned long long)result->version);
	} else if (result->status == TBL_CONFLICT) {
		planview_apply_conflict(r->view, result);
	} else {
		planview_request_read(r->view);
	}
	free(r->text);
	r->text = NULL;
	if (r->count > 0)
		schedule_write(r, result->status == TBL_OK ?
					  0 :
					  RETRY_US / 2 +
						  clk_random_below(
							  evloop_clock(r->loop),
							  RETRY_US));
}

/* Writes the releases of the service of the first entry. */
static void write_next(void *arg, uint64_t now_us)
{
	struct relqueue *r = arg;
	char key[PLANVIEW_KEY_MAX];
	struct tbl_change change = { .table = PLANVIEW_TABLE, .key = key };
	const struct keymap *known;
	struct keymap *map;

	(void)now_us;
	r->timer = 0;
	if (r->writing || r->count == 0)
		return;
	txt_copy(r->service, sizeof(r->service), r->pending[0].service);
	known = planview_map(r->view, r->service, &change.expected);
	map = known ? keymap_copy(known) : NULL;
	if (!map) {
		remove_release(r, 0);
		schedule_write(r, 0);
		return;
	}
	if (apply_releases(r, r->service, map)) {
		r->text = keymap_encode(map);
		change.value = r->text;
		planview_map_key(r->service, key);
		r->writing = true;
		r->tbl.ops->write(r->tbl.self, &change, 1, on_written, r);
	} else {
		schedule_write(r, 0);
	}
	keymap_destroy(map);
}

/* Creates an empty queue; NULL if out of memory. */
struct relqueue *relqueue_create(struct evloop *l, struct tbl tbl,
				 struct planview *v, planview_rows_fn on_rows,
				 void *arg)
{
	struct relqueue *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->loop = l;
	r->tbl = tbl;
	r->view = v;
	r->on_rows = on_rows;
	r->arg = arg;
	return r;
}

/* Frees the queue; the next process detects unwritten releases again. */
void relqueue_destroy(struct relqueue *r)
{
	if (!r)
		return;
	tmr_cancel(evloop_timers(r->loop), r->timer);
	r->dead = true;
	if (!r->writing)
		free(r);
}

/*
 * Adds a release unless it is queued already or the queue is full. A release
 * that did not fit is detected again at the next announcement.
 */
void relqueue_add(struct relqueue *r, const char *service,
		  const struct incarnation *incarnation,
		  const struct keymap_range *range, const char *handover)
{
	struct release *x;

	for (size_t i = 0; i < r->count; i++) {
		x = &r->pending[i];
		if (x->first == range->first && x->last == range->last &&
		    x->fence == range->fence &&
		    incarnation_equal(&x->incarnation, incarnation))
			return;
	}
	if (r->count == PENDING_MAX)
		return;
	x = &r->pending[r->count++];
	txt_copy(x->service, sizeof(x->service), service);
	x->incarnation = *incarnation;
	x->first = range->first;
	x->last = range->last;
	x->fence = range->fence;
	x->handover[0] = '\0';
	if (strlen(handover) < sizeof(x->handover))
		txt_copy(x->handover, sizeof(x->handover), handover);
	if (!r->writing)
		schedule_write(r, 0);
}
