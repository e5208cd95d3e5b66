#include "fake_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_US (1 * US_PER_MS)

/* Returns a row, NULL if there is none. */
struct faketbl_row *faketbl_find(struct fake *f, const char *table,
				 const char *key)
{
	for (size_t i = 0; i < f->row_count; i++) {
		if (strcmp(f->rows[i].table, table) == 0 &&
		    strcmp(f->rows[i].key, key) == 0)
			return &f->rows[i];
	}
	return NULL;
}

/* Adds or replaces a row, with the current version of the table. */
void faketbl_put(struct fake *f, const char *table, const char *key,
		 const char *value)
{
	struct faketbl_row *r = faketbl_find(f, table, key);

	if (!r)
		r = &f->rows[f->row_count++];
	snprintf(r->table, sizeof(r->table), "%s", table);
	snprintf(r->key, sizeof(r->key), "%s", key);
	snprintf(r->value, sizeof(r->value), "%s", value);
	r->version = f->version;
}

/* Answers a call. */
static void answer(void *arg, uint64_t now_us)
{
	struct faketbl_call *c = arg;
	struct fake *f = c->f;
	struct tbl_row rows[FAKETBL_ROWS_MAX];
	struct tbl_result r = { .status = c->status,
				.rows = rows,
				.version = f->version,
				.now_ms = now_us / US_PER_MS,
				.sent_us = now_us,
				.reason = "down" };

	c->used = false;
	for (size_t i = 0; i < f->row_count; i++) {
		struct faketbl_row *x = &f->rows[i];

		if ((c->reads && strcmp(x->table, c->table) == 0) ||
		    c->status == TBL_CONFLICT)
			rows[r.count++] =
				(struct tbl_row){ x->table,   x->key,
						  x->value,   strlen(x->value),
						  x->version, false };
	}
	c->fn(c->arg, &r);
}

/* Schedules the answer of a call. */
static struct faketbl_call *schedule_answer(struct fake *f, tbl_fn fn,
					    void *arg)
{
	for (size_t i = 0; i < FAKETBL_CALLS_MAX; i++) {
		struct faketbl_call *c = &f->calls[i];

		if (c->used)
			continue;
		memset(c, 0, sizeof(*c));
		c->f = f;
		c->fn = fn;
		c->arg = arg;
		c->used = true;
		c->status = f->down ? TBL_REFUSED : TBL_OK;
		tmr_at(evloop_timers(f->loop),
		       evloop_now_us(f->loop) + ANSWER_US, answer, c);
		return c;
	}
	abort();
}

static void faketbl_read(void *self, const char *table, tbl_fn fn, void *arg)
{
	struct fake *f = self;
	struct faketbl_call *c = schedule_answer(f, fn, arg);

	f->reads++;
	c->reads = !f->down;
	snprintf(c->table, sizeof(c->table), "%s", table);
}

/* Counts the conditions and the values of a write. */
static size_t count_entries(const struct tbl_change *changes, size_t count)
{
	size_t entries = 0;

	for (size_t i = 0; i < count; i++)
		entries += (changes[i].expected != TBL_VERSION_ANY) +
			   (changes[i].value || changes[i].remove);
	return entries;
}

static void faketbl_write(void *self, const struct tbl_change *changes,
			  size_t count, tbl_fn fn, void *arg)
{
	struct fake *f = self;
	struct faketbl_call *c = schedule_answer(f, fn, arg);

	f->writes++;
	if (f->down)
		return;
	if (count_entries(changes, count) > TBL_ENTRIES_MAX) {
		c->status = TBL_UNKNOWN;
		return;
	}
	for (size_t i = 0; i < count; i++) {
		const struct faketbl_row *r =
			faketbl_find(f, changes[i].table, changes[i].key);

		if (changes[i].expected != (r ? r->version : 0))
			c->status = TBL_CONFLICT;
	}
	if (c->status != TBL_OK)
		return;
	f->version++;
	for (size_t i = 0; i < count; i++) {
		if (changes[i].value)
			faketbl_put(f, changes[i].table, changes[i].key,
				    changes[i].value);
	}
}

/*
 * Watches for changes. A watch that waits is answered only by faketbl_close(),
 * or at once without changes if hasty is set: tests need no notification of
 * their own writes.
 */
static void faketbl_watch(void *self, const char *table, uint64_t after,
			  uint32_t wait_ms, tbl_fn fn, void *arg)
{
	struct fake *f = self;

	(void)table;
	(void)after;
	f->watches++;
	f->watch_wait_ms = wait_ms;
	if (f->hasty || wait_ms == 0) {
		schedule_answer(f, fn, arg);
		return;
	}
	if (f->watch_count == FAKETBL_CALLS_MAX)
		abort();
	f->waiting[f->watch_count].fn = fn;
	f->waiting[f->watch_count++].arg = arg;
}

/* Answers arrive as a whole. */
static bool faketbl_is_arriving(void *self, const void *arg)
{
	(void)self;
	(void)arg;
	return false;
}

/* Cancels a watch that waits. */
static void faketbl_cancel(void *self, const void *arg)
{
	struct fake *f = self;

	for (size_t i = 0; i < f->watch_count; i++) {
		if (f->waiting[i].arg == arg)
			f->waiting[i] = f->waiting[--f->watch_count];
	}
}

static const struct tbl_ops fake_ops = { faketbl_read, faketbl_write,
					 faketbl_watch, faketbl_is_arriving,
					 faketbl_cancel };

/* Opens a zeroed table service without rows. */
void faketbl_open(struct fake *f, struct evloop *l)
{
	f->loop = l;
	f->tbl = (struct tbl){ &fake_ops, f };
}

/*
 * Ends the pending watches with a failure, so that their users can be freed.
 * The loop has to run once more after it.
 */
void faketbl_close(struct fake *f)
{
	struct tbl_result none = { .status = TBL_REFUSED };

	size_t count = f->watch_count;

	f->watch_count = 0;
	for (size_t i = 0; i < count; i++)
		f->waiting[i].fn(f->waiting[i].arg, &none);
}
