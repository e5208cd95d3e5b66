#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "log.h"
#include "peer_headers.h"
#include "peer_message.h"
#include "routerd_int.h"
#include "txt.h"

/* Interval of reports and of rounds of the election. */
#define REPORT_US (500 * US_PER_MS)
#define POOL_IDLE_US (5 * US_PER_S)
/* A leader that has not responded for this long gets no renewals. */
#define LEADER_SILENT_US (1100 * US_PER_MS)

#define REPORT_TARGET "/-/report"
#define WAKE_TARGET "/-/wake"
#define CRASHES_TARGET "/-/crashes"
#define RENEW_TARGET "/-/renew"
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_NOT_LEADER 409

/* Fills a report about the local upstream. */
static void fill_report(struct routerd *r, struct noderpt *report)
{
	struct reqrun_load load;

	memset(report, 0, sizeof(*report));
	reqrun_load(r->runner, &load);
	report->incarnation = *upstr_incarnation(r->upstream);
	txt_copy(report->service, sizeof(report->service),
		 upstr_service(r->upstream));
	report->slots = load.slots;
	report->running = load.running;
	report->waiting = load.waiting;
	if (load.finished > 0)
		report->mean_us = load.long_mean_us;
	report->slow_left_ms =
		upstr_slow_left_ms(r->upstream, evloop_now_us(r->loop));
	report->config_version = r->config.version;
	report->piece_count =
		reqrun_key_loads(r->runner, report->pieces, NODERPT_PIECES_MAX);
	upstr_state_holds(r->upstream, report);
}

/* Returns the connections to the leader, NULL if its address is invalid. */
static struct httppool *get_leader_pool(struct routerd *r)
{
	const struct planview_leader *l = planview_leader(r->view);
	struct sockaddr_in a;

	if (!elect_set_leader(&r->election, l->version,
			      evloop_now_us(r->loop)) &&
	    r->leader_pool)
		return r->leader_pool;
	httppool_destroy(r->leader_pool);
	r->leader_pool = NULL;
	if (tcpsock_parse_address(l->peer_address, &a))
		r->leader_pool = httppool_create(r->loop, &a, POOL_IDLE_US);
	if (r->leader_pool)
		httppool_set_compact(r->leader_pool);
	return r->leader_pool;
}

/* Records a response of the leader; other daemons answer with an error. */
static void on_answer(void *arg, const struct httpmsg *m)
{
	struct routerd *r = arg;

	if (m && m->status == STATUS_OK)
		elect_leader_responded(&r->election, evloop_now_us(r->loop));
	else
		log_emit(LOG_LEADER_UNREACHED, "leader=%s status=%u",
			 planview_leader(r->view)->node, m ? m->status : 0);
}

/* Records the response to a report, with the leader's configuration. */
static void on_report_answer(void *arg, const struct httpmsg *m)
{
	struct routerd_report *x = arg;

	struct routerd *r = x->owner;
	struct leasecoll_result renewal;
	uint64_t digest;

	on_answer(r, m);
	if (!m || m->status != STATUS_OK)
		return;
	routerd_read_evacuated(r, m, "leader");
	routerd_confirm_config(r, m, x->sent_us);
	if (peerhdr_read_plan(m, &digest))
		planview_confirm(r->view, digest);
	if (peerhdr_read_lease(m, &renewal))
		nodelease_collected(r->lease, renewal.expected, renewal.version,
				    renewal.now_ms);
}

/* Returns the member that leads, NULL if it is not in the plan. */
static const struct memb *find_leader(const struct routerd *r)
{
	return membs_find(planview_members(r->view),
			  planview_leader(r->view)->node);
}

/* Sends a message to the leader, if its address is known. */
void routerd_send_to_leader(struct routerd *r, enum traffic_kind kind,
			    const char *target, const char *bytes, size_t len,
			    const struct peermsg_sender *s)
{
	struct httppool *pool = get_leader_pool(r);

	if (pool &&
	    !peermsg_send_bytes(pool, target, bytes, len,
				routerd_traffic(r, kind, find_leader(r)), s))
		log_emit(LOG_NO_DESCRIPTOR, "to=leader");
}

/* Sends a text to the leader. */
static void send_to_leader(struct routerd *r, enum traffic_kind kind,
			   const char *target, const char *text,
			   const struct peermsg_sender *s)
{
	routerd_send_to_leader(r, kind, target, text, strlen(text), s);
}

/* Sends a report. Its response is matched to the time of sending. */
static void send_report(struct routerd *r, const struct noderpt *report)
{
	struct routerd_report *x =
		&r->reports[r->next_report++ % ROUTERD_REPORTS_MAX];
	struct httppool *pool = get_leader_pool(r);
	char *text = noderpt_format(report);
	struct buf fields = { 0 };

	x->owner = r;
	x->sent_us = evloop_now_us(r->loop);
	x->sender = (struct peermsg_sender){ on_report_answer, x };
	if (r->evac_tell)
		routerd_write_evacuated(r, &fields);
	buf_add(&fields, "", 1);
	if (pool &&
	    !peermsg_send_fields(
		    pool, REPORT_TARGET, buf_data(&fields), text, strlen(text),
		    routerd_traffic(r, TRAFFIC_REPORT, find_leader(r)),
		    &x->sender))
		log_emit(LOG_NO_DESCRIPTOR, "to=leader");
	buf_free(&fields);
	free(text);
}

/*
 * Sends the row to the leader, whose responses to reports bring the result. The
 * leader writes its own row itself.
 */
bool routerd_collect_lease(void *arg, uint64_t expected, const char *text)
{
	struct routerd *r = arg;
	uint64_t now = evloop_now_us(r->loop);
	json_t *message;
	char *body;

	if (r->stop_began_us || planner_is_leader(r->leader) ||
	    planview_leader(r->view)->version == 0 ||
	    clk_elapsed(now, r->election.heard_us) >= LEADER_SILENT_US)
		return false;
	message = json_pack("[s,I,s]", r->settings.instance,
			    (json_int_t)expected, text);
	body = json_dumps(message, JSON_COMPACT);
	json_decref(message);
	send_to_leader(r, TRAFFIC_MESSAGE, RENEW_TARGET, body,
		       &r->leader_sender);
	free(body);
	return true;
}

/* Collects the renewal of a message; false if it cannot be parsed. */
static bool add_renewal(struct routerd *r, const struct buf *body)
{
	json_t *message = buf_len(body) ? json_loadb(buf_data(body),
						     buf_len(body), 0, NULL) :
					  NULL;
	const char *node, *text;
	json_int_t expected;
	bool ok = json_unpack(message, "[s,I,s!]", &node, &expected, &text) ==
			  0 &&
		  expected > 0 &&
		  leasecoll_add(r->renewals, node, (uint64_t)expected, text,
				strlen(text));

	json_decref(message);
	return ok;
}

/*
 * Writes what the response to a report tells: the version of the configuration,
 * the evacuated data centres, the digest of the plan and a renewal of the lease.
 */
static void write_report_answer(const struct routerd *r, const char *node,
				struct buf *fields)
{
	struct leasecoll_result renewal;

	routerd_write_config_version(r, fields);
	routerd_write_evacuated(r, fields);
	peerhdr_write_plan(fields, planview_digest(r->view));
	if (leasecoll_find_result(r->renewals, node, &renewal))
		peerhdr_write_lease(fields, &renewal);
}

/* Returns why there is no active leader, NULL if there is one. */
static const char *find_vacancy(const struct routerd *r, uint64_t now_us)
{
	if (planner_is_leader(r->leader))
		return NULL;
	if (planner_was_leader(r->leader))
		return "the leader was an earlier process of this daemon";
	if (!elect_is_vacant(&r->election, now_us))
		return NULL;
	return r->election.version ? "leader timed out" : "no leader known";
}

/* Claims leadership if the conditions still hold after the delay. */
static void claim(void *arg, uint64_t now_us)
{
	struct routerd *r = arg;
	const char *reason;

	r->claim_timer = 0;
	/* Updates the known leader, whose timeout begins when it is new. */
	get_leader_pool(r);
	reason = find_vacancy(r, now_us);
	if (r->stop_began_us || !nodelease_end_us(r->lease) ||
	    !nodelease_table_reachable(r->lease) || !reason)
		return;
	planner_claim_leadership(r->leader, reason);
}

/* Sends a report, and schedules a claim if there is no active leader. */
static void on_report_timer(void *arg, uint64_t now_us)
{
	struct routerd *r = arg;
	struct noderpt report;
	uint64_t wait;
	bool was_leader;

	if (!planview_is_ready(r->view))
		return;
	planview_check_age(r->view);
	fill_report(r, &report);
	if (planner_is_leader(r->leader)) {
		elect_leader_responded(&r->election, now_us);
		planner_add_report(r->leader, &report);
		return;
	}
	was_leader = planner_was_leader(r->leader);
	if (planview_leader(r->view)->version > 0 && !was_leader) {
		send_report(r, &report);
		routerd_send_earlier_maps(r, nodelease_era(r->lease));
	}
	if (r->claim_timer || !find_vacancy(r, now_us))
		return;
	wait = 0;
	if (!was_leader)
		wait = elect_claim_delay_us(
			evloop_clock(r->loop),
			membs_count(planview_members(r->view)), REPORT_US);
	if (wait != UINT64_MAX)
		r->claim_timer =
			tmr_at(evloop_timers(r->loop), now_us + wait, claim, r);
}

/* Requests that the leader reads the rows of the daemons now. */
void routerd_wake_leader(struct routerd *r)
{
	if (planner_is_leader(r->leader))
		planner_request_read(r->leader);
	else if (planview_leader(r->view)->version > 0)
		send_to_leader(r, TRAFFIC_MESSAGE, WAKE_TARGET, "",
			       &r->leader_sender);
}

/* Sends changes to the leader; the watch sends them again if they are lost. */
void routerd_send_crashes(void *arg, const struct crashwatch_change *changes,
			  size_t count)
{
	struct routerd *r = arg;
	json_t *list;
	char *text;

	if (planner_is_leader(r->leader)) {
		for (size_t i = 0; i < count; i++)
			planner_add_crash(r->leader, changes[i].fingerprint,
					  changes[i].ended);
		return;
	}
	if (planview_leader(r->view)->version == 0)
		return;
	list = json_array();
	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			list,
			json_pack("[I,I]", (json_int_t)changes[i].fingerprint,
				  (json_int_t)changes[i].ended));
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	send_to_leader(r, TRAFFIC_MESSAGE, CRASHES_TARGET, text,
		       &r->leader_sender);
	free(text);
}

/* Adds the changes of a message to the plan; false if it is no list. */
bool routerd_apply_crashes_message(struct routerd *r, const struct buf *body)
{
	json_t *list = buf_len(body) ? json_loadb(buf_data(body), buf_len(body),
						  0, NULL) :
				       NULL;
	bool ok = json_is_array(list);
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item) {
		json_int_t fingerprint, ended;

		if (json_unpack(item, "[I,I!]", &fingerprint, &ended) == 0 &&
		    fingerprint >= 0 && ended >= 0)
			planner_add_crash(r->leader, (uint64_t)fingerprint,
					  (uint64_t)ended);
	}
	json_decref(list);
	return ok;
}

/* Handles rows of the plan, a configuration, a report or a wake-up. */
void routerd_handle_peer_message(struct routerd *r, struct httpconn *c,
				 const struct httpmsg *m,
				 const struct buf *body)
{
	struct noderpt report;
	struct buf fields = { 0 };
	uint16_t status = STATUS_NOT_FOUND;

	if (span_is(httpmsg_target(m), ROUTERD_PLAN_TARGET)) {
		if (routerd_apply_rows_message(r, body))
			status = STATUS_OK;
	} else if (span_is(httpmsg_target(m), ROUTERD_RELAY_TARGET)) {
		if (routerd_relay_rows_message(r, body))
			status = STATUS_OK;
	} else if (span_is(httpmsg_target(m), ROUTERD_CONFIG_TARGET)) {
		if (routerd_apply_config_message(r, body))
			status = STATUS_OK;
	} else if (!planner_is_leader(r->leader) ||
		   planner_is_stuck(r->leader)) {
		status = STATUS_NOT_LEADER;
	} else if (span_is(httpmsg_target(m), REPORT_TARGET)) {
		if (noderpt_parse(buf_data(body), buf_len(body), &report)) {
			planner_add_report(r->leader, &report);
			routerd_read_evacuated(r, m, "report");
			routerd_send_config(r, &report);
			write_report_answer(r, report.incarnation.node,
					    &fields);
			status = STATUS_OK;
		}
	} else if (span_is(httpmsg_target(m), WAKE_TARGET)) {
		planner_request_read(r->leader);
		status = STATUS_OK;
	} else if (span_is(httpmsg_target(m), RENEW_TARGET)) {
		if (add_renewal(r, body))
			status = STATUS_OK;
	} else if (span_is(httpmsg_target(m), CRASHES_TARGET)) {
		if (routerd_apply_crashes_message(r, body))
			status = STATUS_OK;
	}
	buf_add(&fields, "", 1);
	/* Other daemons repeat their messages, also to the end of a stop. */
	httpconn_set_expendable(c);
	httpconn_reply(c, status, buf_data(&fields), "", 0);
	buf_free(&fields);
}

/* Starts the reports after a random delay, to spread those of all daemons. */
void routerd_start_reports(struct routerd *r)
{
	uint64_t now = evloop_now_us(r->loop);

	r->leader_sender = (struct peermsg_sender){ on_answer, r };
	elect_leader_responded(&r->election, now);
	r->leader_timer = tmr_every(
		evloop_timers(r->loop),
		now + clk_random_below(evloop_clock(r->loop), REPORT_US),
		REPORT_US, on_report_timer, r);
}

/* Stops the reports and closes the connections to the leader. */
void routerd_stop_reports(struct routerd *r)
{
	tmr_cancel(evloop_timers(r->loop), r->leader_timer);
	tmr_cancel(evloop_timers(r->loop), r->claim_timer);
	httppool_destroy(r->leader_pool);
}
