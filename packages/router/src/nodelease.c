#include "nodelease.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

/* Interval of renewals; several may fail before the lease ends. */
#define RENEW_INTERVAL_US (2 * US_PER_S)
/* Mean delay of a retry; the delay is random, from 50% to 150% of it. */
#define RETRY_US (400 * US_PER_MS)
/*
 * A renewal that nobody has confirmed for this long is written by the daemon
 * itself, long before the lease ends.
 */
#define COLLECT_WAIT_US (1800 * US_PER_MS)

struct nodelease {
	struct evloop *loop;
	struct tbl tbl;
	const struct nodelease_ops *ops;
	void *arg;
	struct noderow row;
	struct keylease_clock clock; /* from the last answer */
	struct tblclock table_clock; /* from the answer with the best bounds */
	uint64_t version; /* of the row */
	uint64_t lease_end_us;
	uint64_t era; /* of the table service at the last renewal */
	uint64_t changes; /* number of changes made to the row */
	uint64_t written; /* changes contained in the stored row */
	uint64_t writing; /* changes contained in the call in progress */
	uint32_t timer;
	bool row_known; /* the version of the stored row is known */
	bool found_reported; /* on_found() was called */
	bool fenced; /* the lease was lost and has not been renewed since */
	bool calling; /* a call is in progress */
	bool collecting; /* a collector has been given the row */
	uint64_t collect_us; /* when the row was given to it */
	bool lost; /* the last call failed */
	bool dead; /* destroyed, but a call is in progress */
};

static void make_call(void *arg, uint64_t now_us);

/* Schedules the next call. */
static void schedule_call(struct nodelease *r, uint64_t wait_us)
{
	tmr_cancel(evloop_timers(r->loop), r->timer);
	r->timer = tmr_at(evloop_timers(r->loop),
			  evloop_now_us(r->loop) + wait_us, make_call, r);
}

/* Schedules the next call after a failure. */
static void retry_later(struct nodelease *r, const char *reason)
{
	if (!r->lost)
		log_emit(LOG_TABLE_LOST, "table=%s reason=\"%s\"",
			 NODEROW_TABLE, reason);
	r->lost = true;
	schedule_call(r, RETRY_US / 2 + clk_random_below(evloop_clock(r->loop),
							 RETRY_US));
}

/* Updates the estimate of the table service's clock from an answer. */
static void update_clock(struct nodelease *r, const struct tbl_result *result)
{
	r->clock.table_ms = result->now_ms;
	r->clock.sent_us = result->sent_us;
	r->clock.received_us = evloop_now_us(r->loop);
	r->clock.known = true;
	tblclock_add(&r->table_clock, &r->clock, tbl_era(result->version));
	if (!r->lost)
		return;
	log_emit(LOG_TABLE_BACK, "table=%s", NODEROW_TABLE);
	r->lost = false;
	r->ops->on_table_back(r->arg);
}

/* Reports the loss of the lease, unless it was reported already. */
static void lose_lease(struct nodelease *r, const char *reason)
{
	if (r->fenced)
		return;
	r->fenced = true;
	r->lease_end_us = 0;
	r->ops->on_lapsed(r->arg, reason);
}

/*
 * Decides from the own row whether the lease was lost. A row from an older copy
 * of the table shows nothing, but only a lease that has ended can have been
 * taken away before the writes were lost.
 */
static void check_own_row(struct nodelease *r, const struct noderow *row,
			  uint64_t era)
{
	bool restored = r->lease_end_us > 0 && era > r->era;

	if (row && row->expired && (!restored || row->era >= era))
		lose_lease(r, "the leader marked the lease as expired");
	else if (restored && evloop_now_us(r->loop) >= r->lease_end_us)
		lose_lease(r, "the lease ended before writes were lost");
	else if (!row && r->found_reported && !restored)
		lose_lease(r, "the row of this daemon was removed");
}

/* Processes the row of this daemon from an answer of the table service. */
static void process_own_row(struct nodelease *r,
			    const struct tbl_result *result)
{
	uint64_t era = tbl_era(result->version);
	struct noderow row = { 0 };
	bool found = false;

	r->version = 0;
	r->row.era = era;
	for (size_t i = 0; i < result->count; i++) {
		const struct tbl_row *t = &result->rows[i];

		if (t->removed || strcmp(t->key, r->row.node) != 0)
			continue;
		r->version = t->version;
		found = noderow_parse(t->value, t->len, t->version, &row);
		if (!found)
			log_emit(LOG_ROW_INVALID, "key=%s", t->key);
	}
	r->row_known = true;
	check_own_row(r, found ? &row : NULL, era);
	if (!r->found_reported) {
		r->found_reported = true;
		r->ops->on_found(r->arg, found ? &row : NULL);
	}
}

/* Handles the result of a read of the table. */
static void on_read(void *arg, const struct tbl_result *result)
{
	struct nodelease *r = arg;

	r->calling = false;
	if (r->dead) {
		free(r);
		return;
	}
	if (result->status != TBL_OK) {
		retry_later(r, result->reason);
		return;
	}
	update_clock(r, result);
	process_own_row(r, result);
	make_call(r, evloop_now_us(r->loop));
}

/*
 * Handles a write that has succeeded in another era than that of the read
 * before it: the row has to name this era.
 */
static void check_new_era(struct nodelease *r, const struct tbl_result *result)
{
	uint64_t era = tbl_era(result->version);

	if (r->lease_end_us > 0 && era > r->era)
		check_own_row(r, &r->row, era);
	r->era = era;
	if (era == r->row.era)
		return;
	r->row.era = era;
	r->changes++;
}

/* Records that the row written at sent_us has this version. */
static void record_renewal(struct nodelease *r, uint64_t version,
			   uint64_t sent_us)
{
	r->version = version;
	r->lease_end_us = sent_us + KEYLEASE_TERM_MS * US_PER_MS;
	r->fenced = false;
	r->written = r->writing;
	schedule_call(r, r->written == r->changes ? RENEW_INTERVAL_US : 0);
	r->ops->on_renewed(r->arg);
}

/* Handles the result of a write of the row, which may be unknown. */
static void on_written(void *arg, const struct tbl_result *result)
{
	struct nodelease *r = arg;

	r->calling = false;
	if (r->dead) {
		free(r);
		return;
	}
	if (result->status != TBL_OK) {
		/* A refused write has not changed the row; in other cases
		 * the row is read before the next write. */
		r->row_known = result->status == TBL_REFUSED;
		if (result->status == TBL_CONFLICT) {
			/* If the answer has no row, the table is read. */
			if (result->count > 0)
				process_own_row(r, result);
			make_call(r, evloop_now_us(r->loop));
		} else {
			retry_later(r, result->reason);
		}
		return;
	}
	update_clock(r, result);
	check_new_era(r, result);
	record_renewal(r, result->version, result->sent_us);
}

/* Returns the row with a lease that begins now; the caller frees it. */
static char *format_renewal(struct nodelease *r, uint64_t now_us)
{
	r->row.lease_until_ms =
		keylease_latest_ms(&r->clock, now_us) + KEYLEASE_TERM_MS;
	return noderow_format(&r->row);
}

/*
 * Renews the lease by a write of the row. Marking a lease as expired changes
 * the version of the row, so a write conditional on the known version proves
 * that the lease was not lost, even after its end.
 */
static void write_row(struct nodelease *r, uint64_t now_us)
{
	struct tbl_change change = { .table = NODEROW_TABLE,
				     .key = r->row.node,
				     .expected = r->version };
	char *text = format_renewal(r, now_us);

	change.value = text;
	r->calling = true;
	r->collecting = false;
	r->writing = r->changes;
	r->tbl.ops->write(r->tbl.self, &change, 1, on_written, r);
	free(text);
}

/*
 * Lets a collector renew a lease that is held and whose row has not changed.
 * Without a result, the next call writes the row on the version known now: if
 * the collector has written it after all, that call ends with a conflict and
 * brings the row. True if a collector has taken the row.
 */
static bool collect_row(struct nodelease *r, uint64_t now_us)
{
	char *text;
	bool taken;

	if (!r->ops->collect || r->collecting || r->lost || r->fenced ||
	    r->written != r->changes || r->version == 0 ||
	    r->era != r->row.era ||
	    r->lease_end_us < now_us + 2 * COLLECT_WAIT_US)
		return false;
	text = format_renewal(r, now_us);
	taken = r->ops->collect(r->arg, r->version, text);
	free(text);
	if (!taken)
		return false;
	r->collecting = true;
	r->collect_us = now_us;
	r->writing = r->changes;
	schedule_call(r, COLLECT_WAIT_US);
	return true;
}

/* Renews the lease, or reads the row first if its version is not known. */
static void make_call(void *arg, uint64_t now_us)
{
	struct nodelease *r = arg;

	if (r->calling)
		return;
	tmr_cancel(evloop_timers(r->loop), r->timer);
	r->timer = 0;
	if (r->row_known) {
		if (!collect_row(r, now_us))
			write_row(r, now_us);
		return;
	}
	r->calling = true;
	r->tbl.ops->read(r->tbl.self, NODEROW_TABLE, on_read, r);
}

/*
 * The table read its clock between the start of the renewal and now, as for a
 * call of this daemon. A result in a later era than the row leads to a write by
 * the daemon itself, which brings the row up to date.
 */
void nodelease_collected(struct nodelease *r, uint64_t expected,
			 uint64_t version, uint64_t now_ms)
{
	if (!r->collecting || r->calling || expected != r->version ||
	    tbl_era(version) != r->era || version <= r->version ||
	    now_ms < r->clock.table_ms)
		return;
	r->collecting = false;
	r->clock.table_ms = now_ms;
	r->clock.sent_us = r->collect_us;
	r->clock.received_us = evloop_now_us(r->loop);
	tblclock_add(&r->table_clock, &r->clock, r->era);
	record_renewal(r, version, r->collect_us);
}

/*
 * Starts with a read of the row of an earlier process; NULL if out of memory.
 */
struct nodelease *nodelease_create(struct evloop *l, struct tbl tbl,
				   const struct noderow *row,
				   const struct nodelease_ops *ops, void *arg)
{
	struct nodelease *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->loop = l;
	r->tbl = tbl;
	r->ops = ops;
	r->arg = arg;
	r->row = *row;
	r->fenced = true;
	schedule_call(r, 0);
	return r;
}

/* Stops the renewal; the lease expires by itself. */
void nodelease_destroy(struct nodelease *r)
{
	if (!r)
		return;
	tmr_cancel(evloop_timers(r->loop), r->timer);
	r->dead = true;
	if (!r->calling)
		free(r);
}

/* Sets the upstream in the row and writes the row once it was read. */
void nodelease_set_upstream(struct nodelease *r,
			    const struct incarnation *incarnation,
			    const char *service, uint32_t slots,
			    bool takes_work, bool left)
{
	r->row.incarnation = *incarnation;
	strncpy(r->row.service, service, sizeof(r->row.service) - 1);
	r->row.slots = slots;
	r->row.takes_work = takes_work;
	r->row.left = left;
	r->changes++;
	if (r->found_reported)
		make_call(r, evloop_now_us(r->loop));
}

/* Returns the end of the lease in us, 0 if the lease is lost. */
uint64_t nodelease_end_us(const struct nodelease *r)
{
	return r->fenced ? 0 : r->lease_end_us;
}

/* Returns the era of the table service at the last renewal. */
uint64_t nodelease_era(const struct nodelease *r)
{
	return r->era;
}

/* Returns the table service's clock; valid as long as the lease. */
const struct tblclock *nodelease_clock(const struct nodelease *r)
{
	return &r->table_clock;
}

/* True once the stored row contains all changes. */
bool nodelease_is_written(const struct nodelease *r)
{
	return r->written == r->changes;
}

/* True unless the last call failed. */
bool nodelease_table_reachable(const struct nodelease *r)
{
	return !r->lost;
}
