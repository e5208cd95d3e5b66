#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "log.h"
#include "routerd_int.h"

#define METRICS_BYTES 65536
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

/* Interval of log lines about the upstream and the configuration. */
#define PERIOD_US (5 * US_PER_S)
#define PERCENT 100

/* Writes the quantiles and the count of one histogram. Returns the length. */
static size_t write_quantiles(const char *name, const struct histogram *h,
			      char *out, size_t size)
{
	static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
	size_t n = 0;

	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		n += (size_t)snprintf(out + n, size - n,
				      "%s{quantile=\"%g\"} %llu\n", name,
				      quantiles[i],
				      (unsigned long long)histogram_quantile(
					      h, quantiles[i]));
	n += (size_t)snprintf(out + n, size - n, "%s_count %llu\n", name,
			      (unsigned long long)h->count);
	return n;
}

/* Returns the time since the configuration was last confirmed, in us. */
static uint64_t config_age_us(const struct routerd *r)
{
	return clk_elapsed(evloop_now_us(r->loop), r->config_age.confirmed_us);
}

/* Serves counters and histograms as text. */
void *routerd_on_metrics(void *arg, struct httpconn *c, const struct httpmsg *m,
			 const struct buf *body)
{
	struct routerd *r = arg;
	char *text = calloc(1, METRICS_BYTES);
	struct reqrun_load load;
	size_t n;

	(void)m;
	(void)body;
	if (!text) {
		httpconn_reply(c, STATUS_UNAVAILABLE, "", "", 0);
		return NULL;
	}
	reqrun_load(r->runner, &load);
	ctr_set(CTR_UPSTREAM_RUNNING, load.running);
	ctr_set(CTR_UPSTREAM_WAITING, load.waiting);
	ctr_set(CTR_CONFIG_VERSION, r->config.version);
	ctr_set(CTR_CONFIG_AGE_MS, config_age_us(r) / US_PER_MS);
	ctr_set(CTR_CONFIG_REFUSED, r->config_refused);
	ctr_set(CTR_CONFIG_REFUSED_VERSION,
		r->config_refused ? r->config_refused_version : 0);
	ctr_set(CTR_CONFIG_UNREAD_ENTRIES, r->config.unread_count);
	ctr_set(CTR_EVACUATED, evac_current(r->evac)->count);
	ctr_set(CTR_EVACUATED_RUNNING,
		evac_is_evacuated(r->evac, r->settings.data_centre) ?
			load.running :
			0);
	ctr_set(CTR_PLAN_EPOCH, planview_epoch(r->view));
	n = ctr_write(text, METRICS_BYTES / 2);
	n = n < METRICS_BYTES / 2 ? n : strlen(text);
	n += write_quantiles("geraniumspoke_response_us",
			     fwd_response_times(r->forwards), text + n,
			     METRICS_BYTES - n);
	n += write_quantiles("geraniumspoke_refusal_us",
			     fwd_rejection_times(r->forwards), text + n,
			     METRICS_BYTES - n);
	n += routerd_write_evacuated_metrics(r, text + n, METRICS_BYTES - n);
	httpconn_reply(c, STATUS_OK, "Content-Type: text/plain\r\n", text, n);
	free(text);
	return NULL;
}

/* Logs the load of the upstream since the last line, if it had requests. */
static void log_load(struct routerd *r)
{
	const struct reqrun_load *last = &r->stats_last;
	struct reqrun_load now;
	uint64_t capacity_us;

	reqrun_load(r->runner, &now);
	capacity_us = now.slots * PERIOD_US;
	if (now.finished != last->finished || now.refused != last->refused)
		log_emit(LOG_UPSTREAM_LOAD,
			 "finished=%llu failed=%llu refused=%llu used_pct=%llu "
			 "slots=%u running=%u waiting=%u mean_us=%llu",
			 (unsigned long long)(now.finished - last->finished),
			 (unsigned long long)(now.failed - last->failed),
			 (unsigned long long)(now.refused - last->refused),
			 (unsigned long long)(capacity_us ?
						      (now.total_run_us -
						       last->total_run_us) *
							      PERCENT /
							      capacity_us :
						      0),
			 now.slots, now.running, now.waiting,
			 (unsigned long long)now.mean_us);
	if (now.bound_waited != last->bound_waited ||
	    now.bound_refused != last->bound_refused)
		log_emit(LOG_BOUND_LOAD, "waited=%llu refused=%llu",
			 (unsigned long long)(now.bound_waited -
					      last->bound_waited),
			 (unsigned long long)(now.bound_refused -
					      last->bound_refused));
	r->stats_last = now;
}

/*
 * Logs which configuration the daemon uses, for how long nothing has confirmed
 * it, and for how long the table service has not; waited_ms is the time for
 * which the call in progress has had no answer. refused is 1 if a newer text
 * could not be read, unread counts the entries of the one in use that could not.
 */
static void log_config(struct routerd *r)
{
	log_emit(LOG_CONFIG_STATUS,
		 "version=%llu age_ms=%llu table_age_ms=%llu waited_ms=%llu "
		 "refused=%d refused_version=%llu unread=%zu leader=%s",
		 (unsigned long long)r->config.version,
		 (unsigned long long)(config_age_us(r) / US_PER_MS),
		 (unsigned long long)(clk_elapsed(evloop_now_us(r->loop),
						  tblwatch_answered_us(
							  r->config_watch)) /
				      US_PER_MS),
		 (unsigned long long)(tblwatch_waited_us(r->config_watch) /
				      US_PER_MS),
		 r->config_refused,
		 (unsigned long long)(r->config_refused ?
					      r->config_refused_version :
					      0),
		 r->config.unread_count, planview_leader(r->view)->node);
}

/*
 * Logs the calls of the table service since the last line: of each table those
 * that read it, write it and watch it.
 */
static void log_calls(struct routerd *r)
{
	uint64_t n[TBLCOUNT_TABLES][TBLCOUNT_KINDS];
	uint64_t all = 0;

	for (int t = 0; t < TBLCOUNT_TABLES; t++) {
		for (int k = 0; k < TBLCOUNT_KINDS; k++) {
			uint64_t total = tblcount_calls(r->calls, t, k);

			n[t][k] = total - r->calls_last[t][k];
			r->calls_last[t][k] = total;
			all += n[t][k];
		}
	}
	if (all == 0)
		return;
	log_emit(LOG_TABLE_LOAD,
		 "leases=%llu/%llu/%llu plan=%llu/%llu/%llu "
		 "config=%llu/%llu/%llu leader=%d",
		 (unsigned long long)n[TBLCOUNT_LEASES][TBLCOUNT_READ],
		 (unsigned long long)n[TBLCOUNT_LEASES][TBLCOUNT_WRITE],
		 (unsigned long long)n[TBLCOUNT_LEASES][TBLCOUNT_WATCH],
		 (unsigned long long)n[TBLCOUNT_PLAN][TBLCOUNT_READ],
		 (unsigned long long)n[TBLCOUNT_PLAN][TBLCOUNT_WRITE],
		 (unsigned long long)n[TBLCOUNT_PLAN][TBLCOUNT_WATCH],
		 (unsigned long long)n[TBLCOUNT_CONFIG][TBLCOUNT_READ],
		 (unsigned long long)n[TBLCOUNT_CONFIG][TBLCOUNT_WRITE],
		 (unsigned long long)n[TBLCOUNT_CONFIG][TBLCOUNT_WATCH],
		 planner_is_leader(r->leader));
}

/* Returns the counters of messages to a member. */
const struct httpcall_counters *routerd_traffic(const struct routerd *r,
						enum traffic_kind kind,
						const struct memb *m)
{
	return traffic_counters(kind, r->settings.data_centre,
				m ? m->data_centre : "");
}

/*
 * Logs the bytes sent to and received from other daemons and the store since
 * the last line, if there were any.
 */
static void log_traffic(struct routerd *r)
{
	struct buf line = { 0 };

	if (traffic_write(r->traffic_last, &line) && buf_add(&line, "", 1))
		log_emit(LOG_TRAFFIC_LOAD, "%s", buf_data(&line));
	buf_free(&line);
}

/* Logs the longest time for which other events waited for those in hand. */
static void log_loop(const struct routerd *r)
{
	uint64_t longest = evloop_take_longest_round_us(r->loop);

	log_emit(LOG_LOOP_LOAD, "longest_us=%llu", (unsigned long long)longest);
}

/* Writes the periodic log lines. */
static void on_period(void *arg, uint64_t now_us)
{
	(void)now_us;
	log_loop(arg);
	log_load(arg);
	log_config(arg);
	log_calls(arg);
	routerd_log_evacuated(arg);
	log_traffic(arg);
}

/* Starts the periodic log lines. */
void routerd_start_stats(struct routerd *r)
{
	r->stats_timer = tmr_every(evloop_timers(r->loop),
				   evloop_now_us(r->loop) + PERIOD_US,
				   PERIOD_US, on_period, r);
}

/* Writes a last log line and stops them. */
void routerd_stop_stats(struct routerd *r)
{
	if (!r->stats_timer)
		return;
	log_load(r);
	tmr_cancel(evloop_timers(r->loop), r->stats_timer);
}
