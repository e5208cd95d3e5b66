#include <stdio.h>
#include <string.h>

#include "log.h"
#include "peer_headers.h"
#include "routerd_int.h"

/* Returns when a change of the set is known, and since when it can be true. */
static struct evac_time get_time(const struct routerd *r)
{
	return (struct evac_time){ evloop_now_us(r->loop),
				   r->config_age.confirmed_us };
}

/* Applies that the time has come to refuse requests. */
static void on_refuse(void *arg, uint64_t now_us)
{
	struct routerd *r = arg;

	(void)now_us;
	r->evac_timer = 0;
	routerd_update_evacuated(r);
}

/*
 * Requests are refused before the set is known, too: the upstream may have been
 * evacuated before this process began.
 */
void routerd_update_evacuated(struct routerd *r)
{
	const char *own = r->settings.data_centre;
	uint64_t now = evloop_now_us(r->loop);
	bool refuse = evac_must_refuse(r->evac, own, now);

	if (refuse != r->evac_refusing) {
		struct reqrun_load load;

		reqrun_load(r->runner, &load);
		log_emit(LOG_EVACUATION_REFUSING,
			 "refusing=%d running=%u waiting=%u", refuse,
			 load.running, load.waiting);
	}
	r->evac_refusing = refuse;
	reqrun_set_barred(r->runner, refuse || !evac_is_known(r->evac));
	tmr_cancel(evloop_timers(r->loop), r->evac_timer);
	r->evac_timer = 0;
	if (!refuse && evac_is_evacuated(r->evac, own))
		r->evac_timer =
			tmr_at(evloop_timers(r->loop),
			       evac_refuse_us(r->evac, own), on_refuse, r);
}

/* Stops the timer. */
void routerd_stop_evacuated(struct routerd *r)
{
	tmr_cancel(evloop_timers(r->loop), r->evac_timer);
}

/* Logs the data centres of a set that another one does not have. */
static void log_difference(enum log_event event, const struct evac_set *set,
			   const struct evac_set *other, uint64_t version,
			   const char *from)
{
	for (size_t i = 0; i < set->count; i++) {
		if (!evac_set_has(other, set->names[i]))
			log_emit(event, "data_centre=%s version=%llu from=%s",
				 set->names[i], (unsigned long long)version,
				 from);
	}
}

/* Applies a set with other data centres than before. */
static void apply_change(struct routerd *r, const char *from)
{
	const struct evac_set *set = evac_current(r->evac);
	const char *own = r->settings.data_centre;
	bool was_evacuated = evac_set_has(&r->evac_logged, own);

	log_difference(LOG_EVACUATED, set, &r->evac_logged, set->version, from);
	log_difference(LOG_EVACUATION_ENDED, &r->evac_logged, set, set->version,
		       from);
	r->evac_logged = *set;
	r->evac_tell = true;
	if (was_evacuated && !evac_set_has(set, own))
		upstr_forget_warm(r->upstream);
	if (was_evacuated != evac_set_has(set, own))
		routerd_upstream_changed(r);
	if (planner_is_leader(r->leader))
		planner_request_read(r->leader);
}

/* Applies the set after it may have changed; changed: its data centres. */
static void apply(struct routerd *r, bool changed, const char *from)
{
	if (changed)
		apply_change(r, from);
	routerd_update_evacuated(r);
	if (changed)
		fwd_plan_changed(r->forwards);
}

/* Collects a row until the answer of the table ends. */
void routerd_apply_evacuated_row(struct routerd *r, const struct tbl_row *row)
{
	char name[NAME_SIZE];

	if (r->platform.ops->read_evacuated(row->key, name) &&
	    !evac_add_row(r->evac, name, row->removed, row->version))
		log_emit(LOG_EVACUATION_IGNORED, "data_centre=%s", name);
}

/* All rows of an answer have been collected. */
void routerd_evacuated_answered(struct routerd *r, bool whole)
{
	struct evac_time t = get_time(r);

	apply(r,
	      evac_end_answer(r->evac, whole, tblwatch_version(r->config_watch),
			      &t),
	      "table");
}

/*
 * Takes the set of another daemon if it is newer. A leader with an older one
 * and other data centres is told with the next report.
 */
void routerd_read_evacuated(struct routerd *r, const struct httpmsg *m,
			    const char *from)
{
	struct evac_time t = get_time(r);
	struct evac_set set;

	if (!peerhdr_read_evacuated(m, &set))
		return;
	apply(r, evac_merge(r->evac, &set, &t), from);
	r->evac_tell = !evac_sets_equal(&set, evac_current(r->evac));
}

/* Writes the set, unless it is unknown. */
void routerd_write_evacuated(const struct routerd *r, struct buf *fields)
{
	peerhdr_write_evacuated(fields, evac_current(r->evac));
}

/* Logs each evacuated data centre, and what is left at the local upstream. */
void routerd_log_evacuated(struct routerd *r)
{
	const struct evac_set *set = evac_current(r->evac);
	uint64_t now = evloop_now_us(r->loop);
	struct reqrun_load load;

	reqrun_load(r->runner, &load);
	for (size_t i = 0; i < set->count; i++) {
		bool own = strcmp(set->names[i], r->settings.data_centre) == 0;

		log_emit(LOG_EVACUATION_STATUS,
			 "data_centre=%s for_ms=%llu version=%llu own=%d "
			 "running=%u waiting=%u",
			 set->names[i],
			 (unsigned long long)((now -
					       evac_since_us(r->evac,
							     set->names[i])) /
					      US_PER_MS),
			 (unsigned long long)set->version, own,
			 own ? load.running : 0, own ? load.waiting : 0);
	}
}

/* Copies a name as the value of a label, in which quotes are not allowed. */
static const char *make_label(const char *name, char out[NAME_SIZE])
{
	snprintf(out, NAME_SIZE, "%s", name);
	for (char *c = out; *c; c++) {
		if (*c == '"' || *c == '\\')
			*c = '_';
	}
	return out;
}

/* Writes since when each data centre is evacuated. Returns the length. */
size_t routerd_write_evacuated_metrics(struct routerd *r, char *out,
				       size_t size)
{
	const struct evac_set *set = evac_current(r->evac);
	uint64_t now = evloop_now_us(r->loop);
	char label[NAME_SIZE];
	size_t n = 0;

	for (size_t i = 0; i < set->count; i++)
		n += (size_t)snprintf(
			out + n, size - n,
			"geraniumspoke_evacuated_ms{data_centre=\"%s\"} "
			"%llu\n",
			make_label(set->names[i], label),
			(unsigned long long)((now -
					      evac_since_us(r->evac,
							    set->names[i])) /
					     US_PER_MS));
	return n;
}
