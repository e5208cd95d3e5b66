#include "rnw.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

/* A lease is renewed this often; several renewals may fail before it ends. */
#define RENEW_US (2 * US_PER_S)
/* Pause after a failed call; drawn at random around it. */
#define PAUSE_US (400 * US_PER_MS)

struct rnw {
	struct evl *loop;
	struct tbl tbl;
	const struct rnw_ops *ops;
	void *arg;
	struct nrw row;
	struct lea_clock clock;
	uint64_t version; /* of the row */
	uint64_t lease_end_us;
	uint64_t changes; /* of the row, made here */
	uint64_t written; /* changes that the row contains */
	uint64_t writing; /* changes that the call under way contains */
	uint32_t timer;
	bool found; /* the row has been read since the last doubt */
	bool adopted; /* on_found() was called */
	bool fenced; /* the lease was lost and has not been renewed since */
	bool calling;
	bool lost;
	bool dead;
};

static void act(void *arg, uint64_t now_us);

/* Plans the next call. */
static void act_in(struct rnw *r, uint64_t wait_us)
{
	tmr_cancel(evl_timers(r->loop), r->timer);
	r->timer = tmr_at(evl_timers(r->loop), evl_now_us(r->loop) + wait_us,
			  act, r);
}

/* Plans the next call after a failure. */
static void act_after_failure(struct rnw *r, const char *reason)
{
	if (!r->lost)
		log_emit(LOG_TABLE_LOST, "table=%s reason=\"%s\"", NRW_TABLE,
			 reason);
	r->lost = true;
	act_in(r,
	       PAUSE_US / 2 + clk_random_below(evl_clock(r->loop), PAUSE_US));
}

/* Notes the time of the table. */
static void learn_time(struct rnw *r, const struct tbl_result *result)
{
	r->clock.told_ms = result->now_ms;
	r->clock.sent_us = result->sent_us;
	r->clock.received_us = evl_now_us(r->loop);
	r->clock.known = true;
	if (r->lost)
		log_emit(LOG_TABLE_BACK, "table=%s", NRW_TABLE);
	r->lost = false;
}

/* Declares the lease lost once. */
static void lapse(struct rnw *r, const char *reason)
{
	if (r->fenced)
		return;
	r->fenced = true;
	r->lease_end_us = 0;
	r->ops->on_lapsed(r->arg, reason);
}

/* Finds the own row among those of the table. */
static void take_row(struct rnw *r, const struct tbl_result *result)
{
	struct nrw row = { 0 };
	bool found = false;

	r->version = 0;
	for (size_t i = 0; i < result->count; i++) {
		const struct tbl_row *t = &result->rows[i];

		if (t->removed || strcmp(t->key, r->row.node) != 0)
			continue;
		r->version = t->version;
		found = nrw_parse(t->value, t->len, &row);
		if (!found)
			log_emit(LOG_ROW_INVALID, "key=%s", t->key);
	}
	r->found = true;
	if (found && row.expired)
		lapse(r, "the leader has taken the lease away");
	else if (!found && r->adopted)
		lapse(r, "the row of this daemon is gone");
	if (!r->adopted) {
		r->adopted = true;
		r->ops->on_found(r->arg, found ? &row : NULL);
	}
}

/* The table has been read. */
static void on_read(void *arg, const struct tbl_result *result)
{
	struct rnw *r = arg;

	r->calling = false;
	if (r->dead) {
		free(r);
		return;
	}
	if (result->status != TBL_OK) {
		act_after_failure(r, result->reason);
		return;
	}
	learn_time(r, result);
	take_row(r, result);
	act(r, evl_now_us(r->loop));
}

/* The row has been written, or it is not known whether. */
static void on_written(void *arg, const struct tbl_result *result)
{
	struct rnw *r = arg;

	r->calling = false;
	if (r->dead) {
		free(r);
		return;
	}
	if (result->status != TBL_OK) {
		/* After a refusal the row is as it was; otherwise it is read
		 * before the next write. */
		r->found = result->status == TBL_REFUSED;
		if (result->status == TBL_CONFLICT) {
			/* Without the row in the answer it is read. */
			if (result->count > 0)
				take_row(r, result);
			act(r, evl_now_us(r->loop));
		} else {
			act_after_failure(r, result->reason);
		}
		return;
	}
	learn_time(r, result);
	r->version = result->version;
	r->lease_end_us = result->sent_us + LEA_TERM_MS * US_PER_MS;
	r->fenced = false;
	r->written = r->writing;
	act_in(r, r->written == r->changes ? RENEW_US : 0);
	r->ops->on_renewed(r->arg);
}

/*
 * Writes the row with a new end of the lease. Whoever takes the lease away
 * changes the row, so that a write on the known version proves that nobody has,
 * also after the end of the lease.
 */
static void write_row(struct rnw *r, uint64_t now_us)
{
	struct tbl_change change = { .table = NRW_TABLE,
				     .key = r->row.node,
				     .expected = r->version };
	char *text;

	r->row.lease_until_ms =
		lea_table_latest_ms(&r->clock, now_us) + LEA_TERM_MS;
	text = nrw_write(&r->row);
	change.value = text;
	r->calling = true;
	r->writing = r->changes;
	r->tbl.ops->write(r->tbl.self, &change, 1, on_written, r);
	free(text);
}

/* Reads the row if it is not known, else renews it. */
static void act(void *arg, uint64_t now_us)
{
	struct rnw *r = arg;

	if (r->calling)
		return;
	tmr_cancel(evl_timers(r->loop), r->timer);
	r->timer = 0;
	if (r->found) {
		write_row(r, now_us);
		return;
	}
	r->calling = true;
	r->tbl.ops->read(r->tbl.self, NRW_TABLE, on_read, r);
}

/* Begins with a read of the row that an earlier process left. */
struct rnw *rnw_create(struct evl *l, struct tbl tbl, const struct nrw *row,
		       const struct rnw_ops *ops, void *arg)
{
	struct rnw *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->loop = l;
	r->tbl = tbl;
	r->ops = ops;
	r->arg = arg;
	r->row = *row;
	r->fenced = true;
	act_in(r, 0);
	return r;
}

/* Ends; the lease runs out by itself. */
void rnw_destroy(struct rnw *r)
{
	if (!r)
		return;
	tmr_cancel(evl_timers(r->loop), r->timer);
	r->dead = true;
	if (!r->calling)
		free(r);
}

/* Sets what the row says of the upstream. */
void rnw_set_upstream(struct rnw *r, const struct life *life,
		      const char *service, uint32_t slots, bool takes_work)
{
	r->row.life = *life;
	strncpy(r->row.service, service, sizeof(r->row.service) - 1);
	r->row.slots = slots;
	r->row.takes_work = takes_work;
	r->changes++;
	if (r->adopted)
		act(r, evl_now_us(r->loop));
}

/* Returns the end of the lease. */
uint64_t rnw_lease_end_us(const struct rnw *r)
{
	return r->fenced ? 0 : r->lease_end_us;
}

/* True once all changes are in the row. */
bool rnw_is_written(const struct rnw *r)
{
	return r->written == r->changes;
}

/* True unless the last call has failed. */
bool rnw_is_reached(const struct rnw *r)
{
	return !r->lost;
}
