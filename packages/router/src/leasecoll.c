#include "leasecoll.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "log.h"
#include "noderow.h"
#include "txt.h"

/* Renewals that arrive within this time share a call. */
#define FLUSH_US (300 * US_PER_MS)
/* Rows in one call. */
#define ROWS_MAX TBL_CHANGES_MAX

enum entry_state {
	ENTRY_IDLE,
	ENTRY_WAITING,
	ENTRY_WRITING
};

/* The renewal of one daemon. */
struct entry {
	char node[NAME_SIZE];
	enum entry_state state;
	uint64_t expected;
	char *text; /* NULL if idle */
	bool done; /* result is valid */
	struct leasecoll_result result;
};

struct leasecoll {
	struct evloop *loop;
	struct tbl tbl;
	struct entry *entries;
	size_t count, capacity;
	struct tbl_change changes[ROWS_MAX];
	char keys[ROWS_MAX][NAME_SIZE];
	size_t change_count;
	uint32_t timer;
	bool calling;
	bool dead; /* destroyed, but a call is in progress */
};

static void flush(void *arg, uint64_t now_us);

/* Returns the entry of a daemon, NULL if there is none. */
static struct entry *find_entry(const struct leasecoll *c, const char *node)
{
	for (size_t i = 0; i < c->count; i++) {
		if (strcmp(c->entries[i].node, node) == 0)
			return &c->entries[i];
	}
	return NULL;
}

/* Schedules the next write, unless one is scheduled or in progress. */
static void schedule_flush(struct leasecoll *c, uint64_t wait_us)
{
	if (!c->timer && !c->calling)
		c->timer = tmr_at(evloop_timers(c->loop),
				  evloop_now_us(c->loop) + wait_us, flush, c);
}

static void clear_text(struct entry *e)
{
	free(e->text);
	e->text = NULL;
	e->state = ENTRY_IDLE;
}

/* Frees a destroyed collector after its last call. */
static bool free_if_dead(struct leasecoll *c)
{
	if (!c->dead || c->calling)
		return c->dead;
	for (size_t i = 0; i < c->count; i++)
		clear_text(&c->entries[i]);
	free(c->entries);
	free(c);
	return true;
}

/* True if the row of the entry has another version than it expects. */
static bool has_conflict(const struct entry *e, const struct tbl_result *r)
{
	for (size_t i = 0; i < r->count; i++) {
		if (strcmp(r->rows[i].key, e->node) == 0)
			return r->rows[i].removed ||
			       r->rows[i].version != e->expected;
	}
	return true;
}

/*
 * After a conflict, the renewals whose rows are as expected are written again
 * without the others. Their number falls each time. Those that are given up are
 * written by their daemons.
 */
static void settle_entry(struct entry *e, const struct tbl_result *r,
			 bool *again)
{
	if (r->status == TBL_OK) {
		e->result = (struct leasecoll_result){ e->expected, r->version,
						       r->now_ms };
		e->done = true;
	} else if (r->status == TBL_CONFLICT && r->count > 0 &&
		   !has_conflict(e, r)) {
		e->state = ENTRY_WAITING;
		*again = true;
		return;
	}
	clear_text(e);
}

/* Handles the result of a write. */
static void on_written(void *arg, const struct tbl_result *r)
{
	struct leasecoll *c = arg;
	size_t written = c->change_count;
	bool again = false, waiting = false;

	c->calling = false;
	if (free_if_dead(c))
		return;
	for (size_t i = 0; i < c->count; i++) {
		struct entry *e = &c->entries[i];

		if (e->state == ENTRY_WRITING)
			settle_entry(e, r, &again);
		waiting = waiting || e->state == ENTRY_WAITING;
	}
	if (r->status != TBL_OK)
		log_emit(LOG_RENEWALS_NOT_WRITTEN,
			 "rows=%zu status=%d reason=\"%s\"", written, r->status,
			 r->reason ? r->reason : "");
	/* A full write has left others behind. */
	if (waiting)
		schedule_flush(c, again || written == ROWS_MAX ? 0 : FLUSH_US);
}

/* Writes the renewals that wait, as many as fit into one call. */
static void flush(void *arg, uint64_t now_us)
{
	struct leasecoll *c = arg;

	(void)now_us;
	c->timer = 0;
	c->change_count = 0;
	for (size_t i = 0; i < c->count && c->change_count < ROWS_MAX; i++) {
		struct entry *e = &c->entries[i];
		size_t n = c->change_count;

		if (e->state != ENTRY_WAITING)
			continue;
		txt_copy(c->keys[n], sizeof(c->keys[n]), e->node);
		c->changes[n] = (struct tbl_change){ .table = NODEROW_TABLE,
						     .key = c->keys[n],
						     .expected = e->expected,
						     .value = e->text };
		e->state = ENTRY_WRITING;
		c->change_count++;
	}
	if (c->change_count == 0)
		return;
	c->calling = true;
	c->tbl.ops->write(c->tbl.self, c->changes, c->change_count, on_written,
			  c);
}

/* Creates a collector without renewals. */
struct leasecoll *leasecoll_create(struct evloop *l, struct tbl tbl)
{
	struct leasecoll *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->loop = l;
	c->tbl = tbl;
	return c;
}

/* Discards the renewals; their daemons write them. */
void leasecoll_destroy(struct leasecoll *c)
{
	if (!c)
		return;
	tmr_cancel(evloop_timers(c->loop), c->timer);
	c->dead = true;
	free_if_dead(c);
}

/* A row that another daemon could not have written is rejected. */
static bool is_row_of(const char *node, const char *text, size_t len)
{
	struct noderow row;

	return noderow_parse(text, len, 0, &row) && !row.expired &&
	       strcmp(row.node, node) == 0;
}

bool leasecoll_add(struct leasecoll *c, const char *node, uint64_t expected,
		   const char *text, size_t len)
{
	struct entry *e = find_entry(c, node);

	if (!is_row_of(node, text, len))
		return false;
	/* A repetition is answered by the result of the first one. */
	if (e && ((e->state != ENTRY_IDLE && e->expected == expected) ||
		  (e->done && e->result.expected == expected)))
		return true;
	if (!e) {
		e = array_extend(c->entries, c->count, &c->capacity,
				 sizeof(*c->entries));
		if (!e)
			return false;
		c->entries = e;
		e = &c->entries[c->count];
		memset(e, 0, sizeof(*e));
		if (!txt_copy(e->node, sizeof(e->node), node))
			return false;
		c->count++;
	}
	/* The row of a write in progress is in use. */
	if (e->state == ENTRY_WRITING)
		return false;
	clear_text(e);
	e->text = strndup(text, len);
	if (!e->text)
		return false;
	e->expected = expected;
	e->done = false;
	e->state = ENTRY_WAITING;
	schedule_flush(c, FLUSH_US);
	return true;
}

bool leasecoll_find_result(const struct leasecoll *c, const char *node,
			   struct leasecoll_result *out)
{
	const struct entry *e = find_entry(c, node);

	if (!e || !e->done)
		return false;
	*out = e->result;
	return true;
}
