#ifndef MEMBS_H
#define MEMBS_H

/*
 * Membership: the daemons listed in the plan, each with its local upstream, and
 * the state that this daemon keeps for them (connections, load, failures).
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "evac.h"
#include "httppool.h"
#include "tcpsock.h"
#include "incarnation.h"
#include "routing_config.h"
#include "router_settings.h"

struct memb {
	/* From the plan. */
	/* Of the upstream; id "" if there is none. */
	struct incarnation incarnation;
	char data_centre[NAME_SIZE];
	char region[NAME_SIZE]; /* of the data centre; "" if not known */
	char peer_address[RSETTINGS_ADDRESS_MAX];
	char service[NAME_SIZE];
	uint32_t slots;
	bool takes_work; /* the upstream is up and not draining */
	/* Kept by this daemon. */
	struct httppool *pool; /* connections; NULL if the address is invalid */
	uint32_t outstanding; /* requests from this daemon */
	double waiting; /* requests of all callers, as last reported */
	uint32_t slowdown_pct; /* of a run at that time, 100 is usual */
	uint64_t told_us; /* time of that report */
	uint64_t run_us; /* mean time of a run, 0 if it is not told */
	uint64_t transit_us; /* mean time to the upstream and back */
	uint64_t avoid_until_us;
	uint32_t failures; /* consecutive */
	/*
	 * Last time to send requests to an upstream that has said in an answer
	 * to this daemon that it leaves, 0 if it has not. It binds although the
	 * member's daemon may have restarted and forgotten it.
	 */
	uint64_t drain_end_us;
	uint64_t config_next_us; /* earliest time to send a configuration */
	bool listed; /* in the newest plan */
};

struct membs;

struct membs *membs_create(struct evloop *l);
void membs_destroy(struct membs *m);

/*
 * Sets the evacuated data centres, whose upstreams are not chosen from now on;
 * NULL stands for none. The set is the owner's, which changes it in place.
 */
void membs_set_evac(struct membs *m, const struct evac *e);
const struct evac *membs_evac(const struct membs *m);

/* Sets the regions of data centres for later updates; NULL stands for none. */
void membs_set_regions(struct membs *m, const struct rsettings *s);

/*
 * True if the service has upstreams that the policy of a route allows, and all
 * of them are in evacuated data centres.
 */
bool membs_all_evacuated(const struct membs *m, const char *service,
			 const struct rconfig_policy *policy);

/* Replaces the members by those of a plan; false if any of them is invalid. */
bool membs_update(struct membs *m, const char *json, size_t len);

size_t membs_count(const struct membs *m);
const struct clk *membs_clock(const struct membs *m);
struct memb *membs_at(const struct membs *m, size_t i);

/* Returns the member of an instance, NULL if there is none. */
struct memb *membs_find(const struct membs *m, const char *node);

/* Returns the listed member with this upstream, NULL if there is none. */
struct memb *membs_find_incarnation(const struct membs *m,
				    const struct incarnation *l);

/* What is known of a request before it is sent. */
struct memb_request {
	uint64_t run_us; /* mean run time of its kind, 0 if not known */
	uint64_t bytes; /* that cross the way to another daemon */
	uint64_t objective_us; /* time left to its objective */
};

/* A choice among the upstreams of a service without key ranges. */
struct membs_query {
	const char *service;
	const struct rconfig_policy *policy; /* names the regions allowed */
	const char *own; /* this instance */
	const char *data_centre; /* of this instance */
	const char *const *tried; /* instances to skip */
	size_t tried_count;
	struct memb_request request;
	uint64_t now_us;
};

/*
 * Chooses an upstream. If upstreams of the service tell how fast they are, the
 * one that is likely to answer first. Otherwise the least loaded one, with
 * preference for this instance and this data centre. Skips evacuated data
 * centres. Returns NULL if none is left.
 */
struct memb *membs_choose(const struct membs *m, const struct membs_query *q);

/* Counts the members that membs_choose() could return at present. */
size_t membs_count_choices(const struct membs *m, const struct membs_query *q);

/* Adds the time that a request has spent on the way to a member and back. */
void memb_record_transit(struct memb *m, uint64_t transit_us);

/* Records a failed connection: the member is avoided for a short time. */
void memb_record_failure(struct memb *m, uint64_t now_us);
/* Records an answer: the member is no longer avoided. */
void memb_record_answer(struct memb *m);

/* True if requests may be sent to the member's upstream. */
bool memb_is_open(const struct memb *m, uint64_t now_us);

/* Weight of the last report of the member, 1 to 0 with its age. */
double memb_confidence(const struct memb *m, uint64_t now_us);

/* Returns the estimated requests at the member as a share of its slots. */
double memb_utilisation(const struct memb *m, uint64_t now_us);

#endif
