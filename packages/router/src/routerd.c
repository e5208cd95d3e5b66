#include "routerd.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "routerd_int.h"
#include "txt.h"

/* Minimum time of a stop, in which callers notice and go elsewhere. */
#define STOP_MIN_US (2300 * US_PER_MS)
/*
 * A stop ends this long before the process is killed, even with requests open.
 */
#define STOP_MARGIN_US (600 * US_PER_MS)
/* Time for the last answers to leave before that. */
#define STOP_FLUSH_US (50 * US_PER_MS)
/* Short batching delay, as a configuration has to take effect soon. */
#define CONFIG_WATCH_DELAY_US (20 * US_PER_MS)
#define STOP_CHECK_US (50 * US_PER_MS)
/* Share of the grace period after which a stop refuses new requests. */
#define STOP_REFUSE_PCT 50
#define PERCENT 100

/* Updates grants, waiting requests and forwards to the new plan. */
void routerd_plan_changed(void *arg)
{
	struct routerd *r = arg;

	upstr_plan_changed(r->upstream);
	fwd_plan_changed(r->forwards);
}

/* Handles a row of the configuration table. */
static void on_config_row(void *arg, const struct tbl_row *row)
{
	routerd_apply_evacuated_row(arg, row);
	routerd_apply_config_row(arg, row);
}

/* The configuration took effect in on_config_row(). */
static void on_config_synced(void *arg, bool whole)
{
	routerd_evacuated_answered(arg, whole);
	routerd_config_answered(arg);
}

/* Logs the failure; the configuration in effect is kept. */
static void on_config_lost(void *arg, const char *reason)
{
	struct routerd *r = arg;

	log_emit(LOG_TABLE_LOST, "table=%s reason=\"%s\" config=%llu",
		 r->platform.ops->config_table, reason,
		 (unsigned long long)r->config.version);
}

static const struct tblwatch_ops config_ops = { on_config_row, on_config_synced,
						on_config_lost };

/* Restores the upstream from the row of an earlier process. */
static void on_found(void *arg, const struct noderow *row)
{
	struct routerd *r = arg;

	if (row)
		upstr_restore(r->upstream, row);
}

/* Resumes grants; after a lost lease only with a plan read from now on. */
static void on_renewed(void *arg)
{
	struct routerd *r = arg;

	if (!r->has_lease) {
		r->has_lease = true;
		log_emit(LOG_LEASE_HELD, "until_us=%llu",
			 (unsigned long long)nodelease_end_us(r->lease));
		upstr_wait_for_plan(r->upstream,
				    planview_request_read(r->view));
	}
	if (r->wake_leader && nodelease_is_written(r->lease)) {
		r->wake_leader = false;
		routerd_wake_leader(r);
	}
}

/* Logs the loss of the lease. */
static void on_lapsed(void *arg, const char *reason)
{
	struct routerd *r = arg;

	log_emit(LOG_LEASE_LOST, "reason=\"%s\"", reason);
	r->has_lease = false;
}

/* Polls that were sent before or during the outage may never be answered. */
static void on_table_back(void *arg)
{
	struct routerd *r = arg;

	planview_restart_watch(r->view);
	tblwatch_restart(r->config_watch);
}

static const struct nodelease_ops lease_ops = { on_found, on_renewed, on_lapsed,
						on_table_back,
						routerd_collect_lease };

/*
 * Writes the state of the upstream to the row, then notifies the leader. The
 * keys of an upstream that takes no work move elsewhere.
 */
void routerd_upstream_changed(void *arg)
{
	struct routerd *r = arg;
	bool takes_work = upstr_accepts_work(r->upstream) &&
			  !r->stop_began_us &&
			  !evac_is_evacuated(r->evac, r->settings.data_centre);

	r->wake_leader = true;
	nodelease_set_upstream(r->lease, upstr_incarnation(r->upstream),
			       upstr_service(r->upstream),
			       upstr_slots(r->upstream), takes_work,
			       upstr_has_left(r->upstream));
}

/* Resumes requests that wait for a grant. */
static void on_keys(void *arg)
{
	struct routerd *r = arg;

	if (r->runner)
		reqrun_keys_changed(r->runner);
}

/* Finds the requests that the upstream ran when it crashed. */
static void on_crashed(void *arg, const struct incarnation *ended)
{
	struct routerd *r = arg;

	crashwatch_upstream_ended(r->crashes, ended);
}

static const struct upstr_ops upstream_ops = { routerd_upstream_changed,
					       on_crashed, on_keys };

static const struct crashwatch_ops crash_ops = { routerd_send_crashes };

/* Reloads the settings that can change at run time; addresses cannot. */
static void reload(struct routerd *r)
{
	struct rsettings s;
	struct err err = { 0 };

	if (!rsettings_load(r->settings_path, &s, &err)) {
		log_emit(LOG_SETTINGS_REFUSED, "reason=\"%s\"", err.text);
		return;
	}
	r->settings.announce_ms = s.announce_ms;
	r->settings.hold_max_ms = s.hold_max_ms;
	r->settings.drain_ms = s.drain_ms;
	r->settings.grace_ms = s.grace_ms;
	memcpy(r->settings.cold_over, s.cold_over, sizeof(s.cold_over));
	memcpy(r->settings.cold_slack, s.cold_slack, sizeof(s.cold_slack));
	r->settings.cold_factor = s.cold_factor;
	r->settings.cold_extra = s.cold_extra;
	r->settings.memory_mb = s.memory_mb;
	evac_set_bound(r->evac, s.evacuate_ms);
	r->settings.max_fds = s.max_fds;
	log_set_level(s.log_level);
	rsettings_free(&s);
	routerd_set_limits(r);
	log_emit(LOG_SETTINGS_RELOADED, "path=%s", r->settings_path);
}

/* True once a stopping daemon refuses new requests, to complete the others. */
bool routerd_is_refusing(const struct routerd *r)
{
	uint64_t grace = (uint64_t)r->settings.grace_ms * US_PER_MS;

	return r->stop_began_us > 0 &&
	       evloop_now_us(r->loop) - r->stop_began_us >=
		       grace * STOP_REFUSE_PCT / PERCENT;
}

/*
 * Returns the number of open requests and unsent responses. Announcements are
 * sent without an end: only responses to them count.
 */
static uint32_t count_busy(const struct routerd *r)
{
	return httpsrv_busy_count(r->callers) + httpsrv_busy_count(r->peers) +
	       httpsrv_sending_count(r->announcements) +
	       httpsrv_sending_count(r->ready) +
	       (r->metrics ? httpsrv_sending_count(r->metrics) : 0) +
	       (uint32_t)tcpsock_closing_count();
}

/* Returns the time at which a stop ends even with open requests. */
static uint64_t stop_deadline_us(const struct routerd *r)
{
	uint64_t grace = (uint64_t)r->settings.grace_ms * US_PER_MS;

	return r->stop_began_us +
	       (grace > STOP_MARGIN_US ? grace - STOP_MARGIN_US : 0);
}

/* Stops the loop when no request is open, or at the deadline. */
static void check_stop_done(void *arg, uint64_t now_us)
{
	struct routerd *r = arg;
	uint64_t passed = now_us - r->stop_began_us;
	uint32_t busy = count_busy(r);

	if (busy == 0 && passed >= STOP_MIN_US) {
		evloop_stop(r->loop);
	} else if (now_us >= stop_deadline_us(r)) {
		log_emit(LOG_DRAIN_TIMEOUT, "busy=%u", busy);
		evloop_stop(r->loop);
	}
}

/* Begins a graceful stop: releases the keys and completes open requests. */
void routerd_begin_stop(struct routerd *r)
{
	uint64_t now = evloop_now_us(r->loop);

	if (r->stop_began_us)
		return;
	r->stop_began_us = now;
	log_emit(LOG_DRAIN_BEGUN, "busy=%u", count_busy(r));
	fwd_set_end(r->forwards, stop_deadline_us(r) - STOP_FLUSH_US);
	reqrun_set_end(r->runner, stop_deadline_us(r) - STOP_FLUSH_US);
	httpsrv_drain(r->callers);
	routerd_upstream_changed(r);
	r->stop_timer = tmr_every(evloop_timers(r->loop), now + STOP_CHECK_US,
				  STOP_CHECK_US, check_stop_done, r);
}

/* Reloads the settings on SIGHUP, stops on other signals. */
static void on_signal(void *arg, int signo)
{
	if (signo == SIGHUP)
		reload(arg);
	else
		routerd_begin_stop(arg);
}

/* Creates the planner of this process; NULL if out of memory. */
static struct planner *create_planner(struct routerd *r, struct tbl tbl,
				      uint64_t process)
{
	struct planner_parts parts = {
		.loop = r->loop,
		.tbl = tbl,
		.view = r->view,
		.settings = &r->settings,
		.process = process,
		.config = &r->config,
		.on_rows = routerd_publish_rows,
		.arg = r,
	};

	return planner_create(&parts);
}

/* Creates the modules; each one uses only those created before it. */
static bool create_modules(struct routerd *r, struct err *err)
{
	struct noderow row = { .process =
				       clk_random(evloop_clock(r->loop)) >> 1 };
	struct tbl tbl;

	r->guard = httpguard_create(r->loop);
	r->calls = tblcount_create(r->platform.ops->table(r->platform.self));
	if (!r->guard || !r->calls)
		return err_set(err, ERR_DAEMON, IO_NO_MEMORY, "out of memory");
	tbl = tblcount_interface(r->calls);
	txt_copy(row.node, sizeof(row.node), r->settings.instance);
	txt_copy(row.incarnation.node, sizeof(row.incarnation.node),
		 r->settings.instance);
	txt_copy(row.data_centre, sizeof(row.data_centre),
		 r->settings.data_centre);
	txt_copy(row.peer_address, sizeof(row.peer_address),
		 r->settings.peer_address);
	r->evac = evac_create(r->settings.evacuate_ms);
	r->view = planview_create(r->loop, tbl, routerd_plan_changed, r);
	r->lease = nodelease_create(r->loop, tbl, &row, &lease_ops, r);
	r->releases =
		relqueue_create(r->loop, tbl, r->view, routerd_publish_rows, r);
	r->crashes = crashwatch_create(r->loop, r->view, &crash_ops, r);
	struct upstr_parts upstr = { r->loop,  &r->platform, &r->settings,
				     r->lease, r->view,	     r->releases };
	r->upstream = upstr_create(&upstr, &upstream_ops, r);
	if (r->settings.link_bytes_s > 0)
		r->link = pacer_create(r->loop, r->settings.link_bytes_s);
	r->runner = reqrun_create(r->loop, &r->platform, r->upstream, r->link,
				  r->settings.upstream_address);
	if (r->runner) {
		reqrun_set_crashwatch(r->runner, r->crashes);
		reqrun_set_config(r->runner, &r->config, &r->settings);
	}
	struct fwd_parts fwd = {
		r->loop,     &r->platform, &r->settings,
		&r->config,  r->view,	   r->runner,
		r->upstream, r->crashes,   nodelease_clock(r->lease)
	};
	r->forwards = fwd_create(&fwd);
	r->forwarded = peersrv_create(r->loop, &r->platform, r->runner,
				      nodelease_clock(r->lease));
	r->leader = create_planner(r, tbl, row.process);
	r->renewals = leasecoll_create(r->loop, tbl);
	r->config_watch =
		tblwatch_create(r->loop, tbl, r->platform.ops->config_table,
				CONFIG_WATCH_DELAY_US, &config_ops, r);
	if (!r->evac || !r->view || !r->lease || !r->releases || !r->crashes ||
	    !r->upstream || !r->runner || !r->forwards || !r->forwarded ||
	    !r->leader || !r->renewals || !r->config_watch ||
	    (r->settings.link_bytes_s > 0 && !r->link))
		return err_set(err, ERR_DAEMON, IO_NO_MEMORY, "out of memory");
	membs_set_evac(planview_members(r->view), r->evac);
	membs_set_regions(planview_members(r->view), &r->settings);
	routerd_update_evacuated(r);
	return true;
}

/* Creates the daemon and starts its servers; NULL and err on failure. */
struct routerd *routerd_create(const struct rsettings *s, const char *path,
			       routerd_platform_fn make_platform,
			       const struct clk *clk, struct err *err)
{
	struct routerd *r = calloc(1, sizeof(*r));

	if (!r) {
		err_set(err, ERR_DAEMON, IO_NO_MEMORY, "out of memory");
		return NULL;
	}
	r->settings = *s;
	r->settings_path = path;
	r->loop = evloop_create(clk, err);
	if (r->loop)
		r->platform = make_platform(r->loop, &r->settings, err);
	if (!r->platform.ops || !create_modules(r, err) ||
	    !routerd_open_servers(r, err)) {
		routerd_destroy(r);
		return NULL;
	}
	evloop_on_signal(r->loop, on_signal, r);
	routerd_start_reports(r);
	routerd_start_config_checks(r);
	routerd_start_stats(r);
	log_emit(LOG_DAEMON_STARTED, "instance=%s data_centre=%s service=%s",
		 s->instance, s->data_centre, s->service);
	return r;
}

/* Runs the event loop until the daemon has stopped. */
void routerd_run(struct routerd *r)
{
	evloop_run(r->loop);
	log_emit(LOG_DAEMON_STOPPED, "instance=%s busy=%u",
		 r->settings.instance, count_busy(r));
}

/* Frees the daemon; open requests are aborted. */
void routerd_destroy(struct routerd *r)
{
	if (!r)
		return;
	routerd_free_pushes(r);
	if (r->loop && r->leader) {
		routerd_stop_stats(r);
		routerd_stop_config_checks(r);
		routerd_stop_reports(r);
		routerd_stop_evacuated(r);
	}
	if (r->runner)
		reqrun_close(r->runner);
	routerd_close_servers(r);
	if (r->loop)
		tcpsock_close_all_closing(r->loop);
	httpguard_destroy(r->guard);
	tblwatch_destroy(r->config_watch);
	planner_destroy(r->leader);
	leasecoll_destroy(r->renewals);
	peersrv_destroy(r->forwarded);
	fwd_destroy(r->forwards);
	reqrun_destroy(r->runner);
	upstr_destroy(r->upstream);
	crashwatch_destroy(r->crashes);
	relqueue_destroy(r->releases);
	nodelease_destroy(r->lease);
	planview_destroy(r->view);
	evac_destroy(r->evac);
	if (r->platform.ops)
		r->platform.ops->destroy(r->platform.self);
	tblcount_destroy(r->calls);
	rconfig_free(&r->config);
	buf_free(&r->config_text);
	pacer_destroy(r->link);
	evloop_destroy(r->loop);
	free(r);
}
