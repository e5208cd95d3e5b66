#ifndef ROUTERD_INT_H
#define ROUTERD_INT_H

/* State of the daemon, shared by the source files of the module. */

#include "upstr.h"
#include "httpguard.h"
#include "elect.h"
#include "evac.h"
#include "request_runner.h"
#include "tblwatch.h"
#include "forward.h"
#include "cfgage.h"
#include "cfglag.h"
#include "planner.h"
#include "peer_message.h"
#include "relqueue.h"
#include "leasecoll.h"
#include "nodelease.h"
#include "routerd.h"
#include "peer_server.h"
#include "planview.h"
#include "tblcount.h"
#include "traffic.h"

/* Reports in progress whose send time is known. */
#define ROUTERD_REPORTS_MAX 8

/* A report to the leader, to which its response belongs. */
struct routerd_report {
	struct routerd *owner;
	uint64_t sent_us;
	struct peermsg_sender sender;
};

/* Groups of daemons to which a change of the plan is being sent. */
#define ROUTERD_PUSHES_MAX 128

/* Rows that another daemon is asked to pass on to a group. */
struct routerd_push {
	struct routerd *owner;
	struct peermsg_sender sender;
	struct buf names; /* of the group, each with its NUL */
	struct buf rows; /* as they are sent */
	bool active; /* without an answer so far */
};

struct routerd {
	struct rsettings settings;
	const char *settings_path;
	struct evloop *loop;
	struct plat platform;
	struct rconfig config;
	uint64_t config_hash; /* of the text of the configuration in effect */
	/* A text that was refused and that no newer version has replaced. */
	bool config_refused;
	uint64_t config_refused_hash;
	uint64_t config_refused_version; /* 0 if that could not be read */
	struct tblcount *calls;
	uint64_t calls_last[TBLCOUNT_TABLES][TBLCOUNT_KINDS]; /* at last line */
	struct tblwatch *config_watch;
	struct buf config_text; /* compressed configuration, at the leader */
	uint64_t config_read; /* ticket of the last read of that text */
	struct cfglag config_lag;
	struct cfgage config_age;
	uint32_t config_timer; /* when the configuration has to be confirmed */
	struct peermsg_sender config_sender;
	uint32_t config_sending; /* messages in progress */
	struct planview *view;
	struct nodelease *lease;
	struct relqueue *releases;
	struct evac *evac; /* evacuated data centres */
	struct evac_set evac_logged; /* those that the log has */
	uint32_t evac_timer; /* when requests are refused here */
	bool evac_refusing; /* they are, as logged */
	bool evac_tell; /* the leader may not know the set */
	struct crashwatch *crashes;
	struct upstr *upstream;
	struct reqrun *runner;
	struct fwd *forwards;
	struct peersrv *forwarded;
	struct planner *leader;
	struct leasecoll *renewals; /* of other daemons, at the leader */
	struct pacer *link; /* of this instance, NULL if its rate is unknown */
	struct httpguard *guard; /* of memory and descriptors */
	struct httpsrv *callers;
	struct httpsrv *peers;
	struct httpsrv *ready;
	struct httpsrv *announcements;
	struct httpsrv *metrics;
	struct plat_announcement announcement; /* of the current request */
	bool has_lease;
	bool wake_leader; /* once the row of this daemon is written */
	bool was_ready;
	/* Messages to the leader, and leader election. */
	struct httppool *leader_pool;
	struct peermsg_sender leader_sender; /* for other messages */
	struct routerd_report reports[ROUTERD_REPORTS_MAX];
	size_t next_report;
	struct routerd_push pushes[ROUTERD_PUSHES_MAX];
	size_t next_push;
	uint64_t sent_era; /* earlier maps were sent to a leader in this era */
	uint64_t sent_leader; /* version of the row of that leader */
	struct elect election; /* for the leader that leader_pool connects to */
	uint32_t leader_timer;
	uint32_t claim_timer;
	/* Periodic log lines about the upstream. */
	struct reqrun_load stats_last; /* totals at the last line */
	uint64_t traffic_last[TRAFFIC_COUNTERS];
	uint32_t stats_timer;
	/* Graceful stop. */
	uint64_t stop_began_us; /* 0 while not stopping */
	uint32_t stop_timer;
};

/* Passes a renewal of the lease to the leader; false if there is none. */
bool routerd_collect_lease(void *arg, uint64_t expected, const char *text);

/* Starts and stops the reports to the leader and leader election. */
void routerd_start_reports(struct routerd *r);
void routerd_stop_reports(struct routerd *r);

/*
 * Applies rows of the plan that this daemon has written, and sends them to
 * other daemons: the leader to all, another daemon to the new owners of the
 * ranges that its upstream released.
 */
void routerd_publish_rows(void *arg, const struct tbl_change *rows,
			  size_t count, uint64_t version);

/*
 * Sends the maps of an era before the given one to the leader, once in an era
 * to each leader, as the table may have lost them.
 */
void routerd_send_earlier_maps(struct routerd *r, uint64_t era);

/* Applies rows of the plan from a message; false if it cannot be parsed. */
bool routerd_apply_rows_message(struct routerd *r, const struct buf *body);
#define ROUTERD_PLAN_TARGET "/-/plan"

/* The same for rows that are to be passed on to other daemons. */
bool routerd_relay_rows_message(struct routerd *r, const struct buf *body);
#define ROUTERD_RELAY_TARGET "/-/relay"

/* Forgets the rows that wait for an answer. */
void routerd_free_pushes(struct routerd *r);

/* Apply the configuration from the table, or from a message of the leader. */
void routerd_apply_config_row(struct routerd *r, const struct tbl_row *row);
bool routerd_apply_config_message(struct routerd *r, const struct buf *body);
#define ROUTERD_CONFIG_TARGET "/-/config"

/* Take the evacuated data centres from rows of the table and its answers. */
void routerd_apply_evacuated_row(struct routerd *r, const struct tbl_row *row);
void routerd_evacuated_answered(struct routerd *r, bool whole);

/*
 * Reads the evacuated data centres from a response of the leader or from a
 * report, and writes them.
 */
void routerd_read_evacuated(struct routerd *r, const struct httpmsg *m,
			    const char *from);
void routerd_write_evacuated(const struct routerd *r, struct buf *fields);

/* Refuses requests at the local upstream if its data centre is evacuated. */
void routerd_update_evacuated(struct routerd *r);
void routerd_stop_evacuated(struct routerd *r);

/* Logs the evacuated data centres, and writes them to the metrics. */
void routerd_log_evacuated(struct routerd *r);
size_t routerd_write_evacuated_metrics(struct routerd *r, char *out,
				       size_t size);

/* Writes the state of the upstream to the row of this daemon. */
void routerd_upstream_changed(void *arg);

/* Starts and stops the checks of the configuration's age. */
void routerd_start_config_checks(struct routerd *r);
void routerd_stop_config_checks(struct routerd *r);

/* Handles an answer of the table service about the configuration. */
void routerd_config_answered(struct routerd *r);

/*
 * Handles the response of the leader to a report, and adds the version of this
 * daemon and its age to such a response.
 */
void routerd_confirm_config(struct routerd *r, const struct httpmsg *m,
			    uint64_t report_sent_us);
void routerd_write_config_version(const struct routerd *r, struct buf *fields);

/*
 * Sends the configuration to a daemon whose report shows that it lags behind.
 */
void routerd_send_config(struct routerd *r, const struct noderpt *report);

/* Must be called after a change of owners, members or the leader. */
void routerd_plan_changed(void *arg);

/*
 * Sends changes of the list of requests that crash upstreams to the leader, and
 * applies those of another daemon; false if they cannot be parsed.
 */
void routerd_send_crashes(void *arg, const struct crashwatch_change *changes,
			  size_t count);
bool routerd_apply_crashes_message(struct routerd *r, const struct buf *body);

/* Returns the counters of messages to a member; NULL is an unknown one. */
const struct httpcall_counters *routerd_traffic(const struct routerd *r,
						enum traffic_kind kind,
						const struct memb *m);

/* Sends a message to the leader, if its address is known. */
void routerd_send_to_leader(struct routerd *r, enum traffic_kind kind,
			    const char *target, const char *bytes, size_t len,
			    const struct peermsg_sender *s);

/* Requests that the leader reads the rows of the daemons now. */
void routerd_wake_leader(struct routerd *r);

/* Handles a message of another daemon other than a forwarded request. */
void routerd_handle_peer_message(struct routerd *r, struct httpconn *c,
				 const struct httpmsg *m,
				 const struct buf *body);

/* Serves the metrics; logs the load of the upstream periodically. */
void *routerd_on_metrics(void *arg, struct httpconn *c, const struct httpmsg *m,
			 const struct buf *body);
void routerd_start_stats(struct routerd *r);
void routerd_stop_stats(struct routerd *r);

/* Opens the listening sockets; false and err on failure. */
bool routerd_open_servers(struct routerd *r, struct err *err);
void routerd_close_servers(struct routerd *r);

/* Applies the limits for requests from the configuration and the settings. */
void routerd_set_limits(struct routerd *r);

/* Begins a graceful stop. */
void routerd_begin_stop(struct routerd *r);

/* True if callers can be served; false during a stop. */
bool routerd_is_ready(const struct routerd *r);

/* True once a stopping daemon refuses new requests, to complete the others. */
bool routerd_is_refusing(const struct routerd *r);

#endif
