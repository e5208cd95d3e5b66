#ifndef RTR_INT_H
#define RTR_INT_H

/* State of the daemon, shared by the source files of the module. */

#include "att.h"
#include "elect.h"
#include "request_runner.h"
#include "tblwatch.h"
#include "forward.h"
#include "cfglag.h"
#include "planner.h"
#include "peer_message.h"
#include "relqueue.h"
#include "nodelease.h"
#include "rtr.h"
#include "peer_server.h"
#include "vew.h"

struct rtr {
	struct rsettings settings;
	const char *settings_path;
	struct evl *loop;
	struct plat platform;
	struct rconfig config;
	struct tblwatch *config_watch;
	struct buf config_text; /* compressed configuration, at the leader */
	struct cfglag config_lag;
	struct peermsg_sender config_sender;
	uint32_t config_sending; /* messages in progress */
	struct vew *view;
	struct nodelease *lease;
	struct relqueue *releases;
	struct att *upstream;
	struct reqrun *runner;
	struct fwd *forwards;
	struct peersrv *forwarded;
	struct planner *leader;
	struct pac *link; /* of this instance, NULL if its rate is unknown */
	struct hsv *callers;
	struct hsv *peers;
	struct hsv *ready;
	struct hsv *announcements;
	struct hsv *metrics;
	struct plat_announcement announcement; /* of the current request */
	bool has_lease;
	bool wake_leader; /* once the row of this daemon is written */
	bool was_ready;
	/* Messages to the leader, and leader election. */
	struct hcl *leader_pool;
	struct peermsg_sender leader_sender;
	struct elect election; /* for the leader that leader_pool connects to */
	uint32_t leader_timer;
	uint32_t claim_timer;
	/* Periodic log lines about the upstream. */
	struct reqrun_load stats_last; /* totals at the last line */
	uint32_t stats_timer;
	/* Graceful stop. */
	uint64_t stop_began_us; /* 0 while not stopping */
	uint32_t stop_timer;
};

/* Starts and stops the reports to the leader and leader election. */
void rtr_start_reports(struct rtr *r);
void rtr_stop_reports(struct rtr *r);

/*
 * Applies rows of the plan that this daemon has written, and sends them to
 * other daemons: the leader to all, another daemon to the new owners of the
 * ranges that its upstream released.
 */
void rtr_rows_written(void *arg, const struct tbl_change *rows, size_t count,
		      uint64_t version);

/* Applies rows of the plan from a message; false if it cannot be parsed. */
bool rtr_take_rows(struct rtr *r, const struct buf *body);
#define RTR_PLAN_TARGET "/-/plan"

/* Apply the configuration from the table, or from a message of the leader. */
void rtr_take_config_row(struct rtr *r, const struct tbl_row *row);
bool rtr_take_config(struct rtr *r, const struct buf *body);
#define RTR_CONFIG_TARGET "/-/config"

/*
 * Sends the configuration to a daemon whose report shows that it lags behind.
 */
void rtr_help_with_config(struct rtr *r, const struct noderpt *report);

/* Must be called after a change of owners, members or the leader. */
void rtr_plan_changed(void *arg);

/* Requests that the leader reads the rows of the daemons now. */
void rtr_wake_leader(struct rtr *r);

/* Handles a message of another daemon other than a forwarded request. */
void rtr_peer_message(struct rtr *r, struct hsc *c, const struct hmg *m,
		      const struct buf *body);

/* Serves the metrics; logs the load of the upstream periodically. */
void *rtr_on_metrics(void *arg, struct hsc *c, const struct hmg *m,
		     const struct buf *body);
void rtr_start_stats(struct rtr *r);
void rtr_stop_stats(struct rtr *r);

/* Opens the listening sockets; false and err on failure. */
bool rtr_open_servers(struct rtr *r, struct err *err);
void rtr_close_servers(struct rtr *r);

/* Applies the limits for requests from the configuration and the settings. */
void rtr_set_limits(struct rtr *r);

/* Begins a graceful stop. */
void rtr_begin_stop(struct rtr *r);

/* True if callers can be served; false during a stop. */
bool rtr_is_ready(const struct rtr *r);

/* True once a stopping daemon refuses new requests, to complete the others. */
bool rtr_refuses(const struct rtr *r);

#endif
