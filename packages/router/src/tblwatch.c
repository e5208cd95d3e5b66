#include "tblwatch.h"

#include <stdlib.h>

/* Time that one watch call waits for a change, unless it is set. */
#define WATCH_WAIT_MS 15000
/* Exponential backoff after a failure, with random jitter. */
#define BACKOFF_MIN_US (50 * US_PER_MS)
#define BACKOFF_MAX_US (600 * US_PER_MS)

/* A call of the watch; a requested read is not one. */
struct watch_call {
	struct tblwatch *watch;
};

struct tblwatch {
	struct evloop *loop;
	struct tbl tbl;
	const char *table;
	const struct tblwatch_ops *ops;
	void *arg;
	uint64_t version;
	uint64_t backoff_us;
	uint64_t delay_us;
	uint64_t called_us; /* start of the call in progress */
	uint64_t answered_us; /* last answer, 0 if there was none yet */
	struct watch_call *call; /* the current call, if in progress */
	uint32_t wait_ms;
	uint32_t timer;
	bool read_next; /* the next call reads a snapshot, not changes */
	bool reading; /* the current call reads a snapshot */
	bool check_next; /* the next call does not wait for a change */
	bool waiting; /* the current call waits for a change */
	bool reading_again; /* a requested read, parallel to the watch */
	bool read_wanted; /* another read was requested meanwhile */
	uint32_t read_timer;
	uint64_t reads_begun; /* requested reads */
	uint64_t reads_done;
	bool lost; /* the last call failed */
	bool dead;
	uint32_t calls; /* calls in progress */
};

static void call_next(void *arg, uint64_t now_us);

/* Frees a destroyed watch after its last call. True if it was destroyed. */
static bool free_if_dead(struct tblwatch *f)
{
	if (f->dead && f->calls == 0)
		free(f);
	else if (!f->dead)
		return false;
	return true;
}

/*
 * Passes the rows of an answer to the user. A poll that has waited is complete
 * as of its answer, any other call as of its start.
 */
static void deliver_rows(struct tblwatch *f, const struct tbl_result *r,
			 bool whole, bool waited)
{
	uint64_t as_of = waited ? evloop_now_us(f->loop) : r->sent_us;

	for (size_t i = 0; i < r->count; i++)
		f->ops->on_row(f->arg, &r->rows[i]);
	if (r->version > f->version || whole)
		f->version = r->version;
	f->lost = false;
	if (as_of > f->answered_us)
		f->answered_us = as_of;
	f->backoff_us = BACKOFF_MIN_US;
	f->ops->on_synced(f->arg, whole);
}

/* Schedules the next call after a failure. */
static void retry_later(struct tblwatch *f, const struct tbl_result *r)
{
	uint64_t wait = f->backoff_us / 2 +
			clk_random_below(evloop_clock(f->loop), f->backoff_us);

	if (!f->lost)
		f->ops->on_lost(f->arg, r->reason);
	f->lost = true;
	/* The table service may be back, or the connection dead. */
	f->check_next = true;
	f->backoff_us = f->backoff_us * 2 < BACKOFF_MAX_US ? f->backoff_us * 2 :
							     BACKOFF_MAX_US;
	f->timer = tmr_at(evloop_timers(f->loop), evloop_now_us(f->loop) + wait,
			  call_next, f);
}

/* Handles the answer of a watch call or of a snapshot. */
static void on_answer(void *arg, const struct tbl_result *r)
{
	struct watch_call *call = arg;
	struct tblwatch *f = call->watch;
	bool waited = f->waiting;

	free(call);
	f->call = NULL;
	f->calls--;
	if (free_if_dead(f))
		return;
	f->waiting = false;
	if (r->status == TBL_OK) {
		bool whole = f->reading;

		f->read_next = false;
		f->check_next = false;
		deliver_rows(f, r, whole, waited);
		f->timer = tmr_at(evloop_timers(f->loop),
				  evloop_now_us(f->loop) + f->delay_us,
				  call_next, f);
		return;
	}
	if (r->status == TBL_COMPACTED) {
		f->read_next = true;
		call_next(f, 0);
		return;
	}
	retry_later(f, r);
}

/* Reads a snapshot, or waits for changes. */
static void call_next(void *arg, uint64_t now_us)
{
	struct tblwatch *f = arg;
	struct watch_call *call = malloc(sizeof(*call));

	(void)now_us;
	if (!call)
		abort();
	f->call = call;
	call->watch = f;
	f->timer = 0;
	f->calls++;
	f->called_us = evloop_now_us(f->loop);
	f->reading = f->read_next;
	f->waiting = !f->reading && !f->check_next;
	if (f->reading)
		f->tbl.ops->read(f->tbl.self, f->table, on_answer, call);
	else
		f->tbl.ops->watch(f->tbl.self, f->table, f->version,
				  f->waiting ? f->wait_ms : 0, on_answer, call);
}

/* Starts with a snapshot; NULL if out of memory. */
struct tblwatch *tblwatch_create(struct evloop *l, struct tbl tbl,
				 const char *table, uint64_t delay_us,
				 const struct tblwatch_ops *ops, void *arg)
{
	struct tblwatch *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->loop = l;
	f->tbl = tbl;
	f->table = table;
	f->delay_us = delay_us;
	f->wait_ms = WATCH_WAIT_MS;
	f->ops = ops;
	f->arg = arg;
	f->read_next = true;
	f->backoff_us = BACKOFF_MIN_US;
	call_next(f, 0);
	return f;
}

/* Sets the pause after each answer in us, from the next answer on. */
void tblwatch_set_delay(struct tblwatch *f, uint64_t delay_us)
{
	f->delay_us = delay_us;
}

/* Sets the time that a poll waits for a change, from the next call on. */
void tblwatch_set_wait(struct tblwatch *f, uint32_t wait_ms)
{
	f->wait_ms = wait_ms;
}

/*
 * Replaces a waiting poll by one that is answered at once. A poll whose answer
 * is arriving goes on: a large one would never arrive if it were begun again.
 * The replaced poll is cancelled, as its answer would take its share of the
 * link beside the other one.
 */
void tblwatch_restart(struct tblwatch *f)
{
	if (!f->waiting || f->tbl.ops->is_arriving(f->tbl.self, f->call))
		return;
	f->tbl.ops->cancel(f->tbl.self, f->call);
	free(f->call);
	f->calls--;
	f->check_next = true;
	call_next(f, 0);
}

/* Polls at once for what has changed since the last answer. */
void tblwatch_end_pause(struct tblwatch *f, bool snapshot)
{
	if (!f->timer || f->lost)
		return;
	f->read_next = f->read_next || snapshot;
	tmr_cancel(evloop_timers(f->loop), f->timer);
	call_next(f, 0);
}

/* Stops the watch; the result of a call in progress is discarded. */
void tblwatch_destroy(struct tblwatch *f)
{
	if (!f)
		return;
	tmr_cancel(evloop_timers(f->loop), f->timer);
	tmr_cancel(evloop_timers(f->loop), f->read_timer);
	f->dead = true;
	free_if_dead(f);
}

static void begin_read(struct tblwatch *f);

/* Repeats a failed read. */
static void read_after_pause(void *arg, uint64_t now_us)
{
	struct tblwatch *f = arg;

	(void)now_us;
	f->read_timer = 0;
	begin_read(f);
}

/* Handles the answer of a requested read. */
static void on_read(void *arg, const struct tbl_result *r)
{
	struct tblwatch *f = arg;

	f->calls--;
	if (free_if_dead(f))
		return;
	if (r->status != TBL_OK) {
		f->read_timer =
			tmr_at(evloop_timers(f->loop),
			       evloop_now_us(f->loop) + BACKOFF_MAX_US / 2 +
				       clk_random_below(evloop_clock(f->loop),
							BACKOFF_MAX_US),
			       read_after_pause, f);
		return;
	}
	f->reads_done = f->reads_begun;
	f->reading_again = false;
	if (f->read_wanted)
		begin_read(f);
	deliver_rows(f, r, true, false);
}

/* Starts a requested read; a retry keeps its ticket. */
static void begin_read(struct tblwatch *f)
{
	if (!f->reading_again || f->read_wanted)
		f->reads_begun++;
	f->reading_again = true;
	f->read_wanted = false;
	f->calls++;
	f->tbl.ops->read(f->tbl.self, f->table, on_read, f);
}

/* A read in progress may be too old for this request; another one follows. */
uint64_t tblwatch_request_read(struct tblwatch *f)
{
	if (!f->reading_again) {
		begin_read(f);
		return f->reads_begun;
	}
	f->read_wanted = true;
	return f->reads_begun + 1;
}

/* Returns the version of the last answer, 0 without one. */
uint64_t tblwatch_version(const struct tblwatch *f)
{
	return f->version;
}

/* Returns the time of the last answer's rows in us, 0 without an answer. */
uint64_t tblwatch_answered_us(const struct tblwatch *f)
{
	return f->answered_us;
}

/* Returns how long the call in progress has waited, in us; 0 between calls. */
uint64_t tblwatch_waited_us(const struct tblwatch *f)
{
	return f->timer ? 0 : clk_elapsed(evloop_now_us(f->loop), f->called_us);
}

/* Returns the ticket of the last completed read. */
uint64_t tblwatch_ticket(const struct tblwatch *f)
{
	return f->reads_done;
}
