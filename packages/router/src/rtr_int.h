#ifndef RTR_INT_H
#define RTR_INT_H

/* The parts of a daemon. */

#include "att.h"
#include "clm.h"
#include "request_runner.h"
#include "fed.h"
#include "forward.h"
#include "lag.h"
#include "ldr.h"
#include "peer_message.h"
#include "rls.h"
#include "rnw.h"
#include "rtr.h"
#include "peer_server.h"
#include "vew.h"

struct rtr {
	struct rsettings settings;
	const char *settings_path;
	struct evl *loop;
	struct plat platform;
	struct rconfig config;
	struct fed *config_feed;
	struct buf config_text; /* message with the configuration in force */
	struct lag config_lag;
	struct peermsg_sender config_sender;
	uint32_t config_sending; /* messages on their way */
	struct vew *view;
	struct rnw *lease;
	struct rls *releases;
	struct att *upstream;
	struct reqrun *runner;
	struct fwd *forwards;
	struct peersrv *forwarded;
	struct ldr *leader;
	struct pac *link; /* of this machine, NULL if its rate is not known */
	struct hsv *callers;
	struct hsv *peers;
	struct hsv *ready;
	struct hsv *announcements;
	struct hsv *metrics;
	struct plat_announcement announcement; /* the one being read */
	bool has_lease;
	bool wake_leader; /* once the own row is written */
	bool was_ready;
	/* Contact to the leader. */
	struct hcl *leader_pool;
	struct peermsg_sender leader_sender;
	struct clm claim; /* follows the leader that leader_pool is for */
	uint32_t leader_timer;
	uint32_t claim_timer;
	/* Lines about the upstream. */
	struct reqrun_load stats_last;
	uint32_t stats_timer;
	/* Stop. */
	uint64_t stop_began_us; /* 0 while not stopping */
	uint32_t stop_timer;
};

/* Starts the reports to the leader. */
void rtr_start_reports(struct rtr *r);
void rtr_stop_reports(struct rtr *r);

/*
 * Puts rows of the plan that were written here in force. A leader sends them to
 * all daemons, another daemon to the new owners of what it has released.
 */
void rtr_rows_written(void *arg, const struct tbl_change *rows, size_t count,
		      uint64_t version);

/* Takes rows of the plan that another daemon has written. */
bool rtr_take_rows(struct rtr *r, const struct buf *body);
#define RTR_PLAN_TARGET "/-/plan"

/* Takes the configuration from the operator's table, or from the leader. */
void rtr_take_config_row(struct rtr *r, const struct tbl_row *row);
bool rtr_take_config(struct rtr *r, const struct buf *body);
#define RTR_CONFIG_TARGET "/-/config"

/* Sends the configuration to a daemon that is late with it. */
void rtr_help_with_config(struct rtr *r, const struct rpt *report);

/* Owners, members or the leader have changed. */
void rtr_plan_changed(void *arg);

/* Lets the leader look at the rows of the daemons now. */
void rtr_wake_leader(struct rtr *r);

/* Takes a message of another daemon that is no forwarded request. */
void rtr_peer_message(struct rtr *r, struct hsc *c, const struct hmg *m,
		      const struct buf *body);

/* Serves the page of metrics, and logs the work of the upstream. */
void *rtr_on_metrics(void *arg, struct hsc *c, const struct hmg *m,
		     const struct buf *body);
void rtr_start_stats(struct rtr *r);
void rtr_stop_stats(struct rtr *r);

/* Opens the listening addresses. */
bool rtr_open_servers(struct rtr *r, struct err *err);
void rtr_close_servers(struct rtr *r);

/* Sets what the configuration allows callers. */
void rtr_set_limits(struct rtr *r);

/* Stops when nothing is in flight. */
void rtr_begin_stop(struct rtr *r);

bool rtr_is_ready(const struct rtr *r);

/* True once a stopping daemon has to let what runs end. */
bool rtr_refuses(const struct rtr *r);

#endif
