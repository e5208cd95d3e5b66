#include "fed.h"

#include <stdlib.h>

/* Longest wait of one call of the feed. */
#define WAIT_MS 15000
/* Pause after a failure: doubles up to the maximum, and is drawn at random. */
#define PAUSE_MIN_US (50 * US_PER_MS)
#define PAUSE_MAX_US (600 * US_PER_MS)

struct fed {
	struct evl *loop;
	struct tbl tbl;
	const char *table;
	const struct fed_ops *ops;
	void *arg;
	uint64_t version;
	uint64_t pause_us;
	uint64_t gather_us;
	uint32_t timer;
	bool read_next; /* the next call reads the whole table */
	bool reading;
	bool reading_again; /* a read besides the waiting feed */
	bool read_wanted; /* another one was asked for meanwhile */
	uint32_t read_timer;
	uint64_t reads_begun; /* besides the feed */
	uint64_t reads_done;
	bool lost;
	bool dead;
	uint32_t calls; /* that have not ended */
};

static void call_next(void *arg, uint64_t now_us);

/* Frees a destroyed follower when its last call has ended. */
static bool free_if_dead(struct fed *f)
{
	if (f->dead && f->calls == 0)
		free(f);
	else if (!f->dead)
		return false;
	return true;
}

/* Gives the rows of an answer to the user. */
static void take_rows(struct fed *f, const struct tbl_result *r, bool whole)
{
	for (size_t i = 0; i < r->count; i++)
		f->ops->on_row(f->arg, &r->rows[i]);
	if (r->version > f->version || whole)
		f->version = r->version;
	f->lost = false;
	f->pause_us = PAUSE_MIN_US;
	f->ops->on_synced(f->arg, whole);
}

/* Plans the next call after a failure. */
static void pause_after_failure(struct fed *f, const struct tbl_result *r)
{
	uint64_t wait = f->pause_us / 2 +
			clk_random_below(evl_clock(f->loop), f->pause_us);

	if (!f->lost)
		f->ops->on_lost(f->arg, r->reason);
	f->lost = true;
	f->pause_us =
		f->pause_us * 2 < PAUSE_MAX_US ? f->pause_us * 2 : PAUSE_MAX_US;
	f->timer = tmr_at(evl_timers(f->loop), evl_now_us(f->loop) + wait,
			  call_next, f);
}

/* An answer of the feed or of the first read has come. */
static void on_answer(void *arg, const struct tbl_result *r)
{
	struct fed *f = arg;
	bool whole = f->reading;

	f->calls--;
	if (free_if_dead(f))
		return;
	if (r->status == TBL_OK) {
		f->read_next = false;
		take_rows(f, r, whole);
		f->timer = tmr_at(evl_timers(f->loop),
				  evl_now_us(f->loop) + f->gather_us, call_next,
				  f);
		return;
	}
	if (r->status == TBL_COMPACTED) {
		f->read_next = true;
		call_next(f, 0);
		return;
	}
	pause_after_failure(f, r);
}

/* Reads the whole table, or waits for changes. */
static void call_next(void *arg, uint64_t now_us)
{
	struct fed *f = arg;

	(void)now_us;
	f->timer = 0;
	f->calls++;
	f->reading = f->read_next;
	if (f->reading)
		f->tbl.ops->read(f->tbl.self, f->table, on_answer, f);
	else
		f->tbl.ops->watch(f->tbl.self, f->table, f->version, WAIT_MS,
				  on_answer, f);
}

/* Starts with a read of the whole table. */
struct fed *fed_create(struct evl *l, struct tbl tbl, const char *table,
		       uint64_t gather_us, const struct fed_ops *ops, void *arg)
{
	struct fed *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->loop = l;
	f->tbl = tbl;
	f->table = table;
	f->gather_us = gather_us;
	f->ops = ops;
	f->arg = arg;
	f->read_next = true;
	f->pause_us = PAUSE_MIN_US;
	call_next(f, 0);
	return f;
}

/* Sets the pause behind an answer, from the next answer on. */
void fed_set_gather(struct fed *f, uint64_t gather_us)
{
	f->gather_us = gather_us;
}

/* Ends; a call that is under way is not reported. */
void fed_destroy(struct fed *f)
{
	if (!f)
		return;
	tmr_cancel(evl_timers(f->loop), f->timer);
	tmr_cancel(evl_timers(f->loop), f->read_timer);
	f->dead = true;
	free_if_dead(f);
}

static void begin_read(struct fed *f);

/* Repeats a read that has failed. */
static void read_after_pause(void *arg, uint64_t now_us)
{
	struct fed *f = arg;

	(void)now_us;
	f->read_timer = 0;
	begin_read(f);
}

/* The answer of a read besides the feed. */
static void on_read(void *arg, const struct tbl_result *r)
{
	struct fed *f = arg;

	f->calls--;
	if (free_if_dead(f))
		return;
	if (r->status != TBL_OK) {
		f->read_timer =
			tmr_at(evl_timers(f->loop),
			       evl_now_us(f->loop) + PAUSE_MAX_US / 2 +
				       clk_random_below(evl_clock(f->loop),
							PAUSE_MAX_US),
			       read_after_pause, f);
		return;
	}
	f->reads_done = f->reads_begun;
	f->reading_again = false;
	if (f->read_wanted)
		begin_read(f);
	take_rows(f, r, true);
}

/* Begins a read besides the feed; a repeated one keeps its ticket. */
static void begin_read(struct fed *f)
{
	if (!f->reading_again || f->read_wanted)
		f->reads_begun++;
	f->reading_again = true;
	f->read_wanted = false;
	f->calls++;
	f->tbl.ops->read(f->tbl.self, f->table, on_read, f);
}

/* Reads the table while the feed waits. */
uint64_t fed_read_again(struct fed *f)
{
	if (!f->reading_again) {
		begin_read(f);
		return f->reads_begun;
	}
	f->read_wanted = true;
	return f->reads_begun + 1;
}

/* Returns the ticket of the last read that has been made. */
uint64_t fed_ticket(const struct fed *f)
{
	return f->reads_done;
}
