#ifndef PEER_HEADERS_H
#define PEER_HEADERS_H

/*
 * Header fields that daemons add to a forwarded request and its response, in
 * addition to those of the caller and the upstream.
 */

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "evac.h"
#include "request_runner.h"
#include "httpmsg.h"
#include "leasecoll.h"
#include "tblclock.h"

/* All fields of daemons begin with this; those of callers are not sent on. */
#define PEERHDR_PREFIX "Geranium-"
#define PEERHDR_REQUEST_FIELD "Geranium-Forward"
/* Name of the caller's service if it differs from its identifier. */
#define PEERHDR_CALLER_FIELD "Geranium-Caller"
#define PEERHDR_REJECTED_FIELD "Geranium-Refused"
#define PEERHDR_FAILED_FIELD "Geranium-Failed"
#define PEERHDR_LOAD_FIELD "Geranium-Load"
#define PEERHDR_TIMES_FIELD "Geranium-Times"
#define PEERHDR_SPEED_FIELD "Geranium-Speed"
#define PEERHDR_CONFIG_FIELD "Geranium-Config"
#define PEERHDR_LEASE_FIELD "Geranium-Lease"
#define PEERHDR_PLAN_FIELD "Geranium-Plan"
#define PEERHDR_EVACUATED_FIELD "Geranium-Evacuated"

struct peerhdr_request {
	char upstream_id[NAME_SIZE];
	/* Name; when read, a part of the message. */
	struct span caller_service;
	uint64_t left_us; /* time to the deadline */
	uint64_t objective_left_us; /* 0 if the objective has passed */
	uint32_t rank;
	uint32_t kind;
	bool idempotent;
	bool keyed; /* the request may run only where its key is held */
	bool sender_stopping; /* the sender has little time left */
	bool others_left; /* the sender knows further upstreams for it */
	struct tblclock_stamp sent; /* when left_us was true */
};

/* True for the name of a field that only daemons send. */
bool peerhdr_is_field(struct span name);

void peerhdr_write_request(struct buf *out, const struct peerhdr_request *r);
bool peerhdr_read_request(const struct httpmsg *m, struct peerhdr_request *r);

void peerhdr_write_rejection(struct buf *out, enum reqrun_rejection why,
			     uint64_t wait_us);
bool peerhdr_read_rejection(const struct httpmsg *m, enum reqrun_rejection *why,
			    uint64_t *wait_us);

void peerhdr_write_load(struct buf *out, const struct reqrun_load *load);

void peerhdr_write_times(struct buf *out, const struct reqrun_times *t);
bool peerhdr_read_times(const struct httpmsg *m, struct reqrun_times *t);

bool peerhdr_read_load(const struct httpmsg *m, uint32_t *requests);

/* The mean time of a run, and how much longer it takes now, if it is known. */
bool peerhdr_read_speed(const struct httpmsg *m, uint64_t *run_us,
			uint32_t *slowdown_pct);

/* The newest version of the configuration, as known age_us ago. */
void peerhdr_write_config(struct buf *out, uint64_t version, uint64_t age_us);
bool peerhdr_read_config(const struct httpmsg *m, uint64_t *version,
			 uint64_t *age_us);

/* A renewal of the receiver's lease that was written for it. */
void peerhdr_write_lease(struct buf *out, const struct leasecoll_result *r);
bool peerhdr_read_lease(const struct httpmsg *m, struct leasecoll_result *r);

/* Digest of the plan; see planview_digest(). */
void peerhdr_write_plan(struct buf *out, uint64_t digest);
bool peerhdr_read_plan(const struct httpmsg *m, uint64_t *digest);

/*
 * The set of evacuated data centres: its version and its names. Nothing is
 * written for an unknown set.
 */
void peerhdr_write_evacuated(struct buf *out, const struct evac_set *s);
bool peerhdr_read_evacuated(const struct httpmsg *m, struct evac_set *s);

#endif
