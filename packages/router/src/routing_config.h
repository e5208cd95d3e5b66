#ifndef ROUTING_CONFIG_H
#define ROUTING_CONFIG_H

/* Routing configuration, as published by the operator. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "httpmsg.h"
#include "name.h"

struct rconfig_weighted_service {
	char service[NAME_SIZE]; /* identifier of its name */
	double weight; /* relative share of the requests, greater than 0 */
};

/*
 * Most regions that a route may name. Each request has a copy of the list, as
 * it may outlast the configuration.
 */
#define RCONFIG_REGIONS_MAX 16

/* How a request of a route is handled; it may outlast the configuration. */
struct rconfig_policy {
	char name[NAME_SIZE]; /* identifier of the name of the route */
	bool idempotent;
	uint32_t timeout_ms; /* to the end of the response, 0 for default */
	uint32_t objective_ms; /* target latency, 0 for the deadline */
	uint32_t attempts_max; /* upstreams that one request may reach */
	uint32_t rank; /* 0 is the most urgent */
	/* Regions whose upstreams it may reach, as identifiers; 0: all. */
	uint32_t region_count;
	char regions[RCONFIG_REGIONS_MAX][NAME_SIZE];
};

struct rconfig_route {
	struct rconfig_policy policy;
	char *host;
	char *prefix; /* begins and ends with a slash */
	struct rconfig_weighted_service *parts;
	size_t part_count;
};

struct rconfig_service {
	char name[NAME_SIZE]; /* identifier of its name */
	uint32_t connections_max; /* for each upstream */
	bool keyed; /* upstreams own keys */
	double cold_start_s; /* upstreams are cold so long after a start */
	/* Requests per second that a cold upstream takes, 0 for any number. */
	double cold_per_s;
};

/* Finds routes by host and prefix. */
struct rconfig_index {
	uint32_t *slots; /* hash table of positions + 1, 0 if unused */
	size_t slot_count; /* a power of two */
	size_t *lengths; /* of prefixes, longest first */
	size_t length_count;
};

struct rconfig {
	uint64_t version;
	struct rconfig_route *routes;
	size_t route_count;
	struct rconfig_index index;
	struct rconfig_service *services;
	size_t service_count;
	uint32_t header_bytes_max;
	uint32_t body_bytes_max;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
	/* Entries that could not be read, and why, of the first one. */
	size_t unread_count;
	struct err unread_reason;
};

void rconfig_free(struct rconfig *c);

/* Frees what a route points to, and copies a route; false if out of memory. */
void rconfig_free_route(struct rconfig_route *r);
bool rconfig_copy_route(struct rconfig_route *out,
			const struct rconfig_route *r);

/* To be called once all routes are set. False if out of memory. */
bool rconfig_build_index(struct rconfig *c);

const struct rconfig_route *rconfig_find_route(const struct rconfig *c,
					       struct span host,
					       struct span target);

const struct rconfig_service *rconfig_service(const struct rconfig *c,
					      const char *name);

/* True if requests may reach upstreams of a region, "" if it is not known. */
bool rconfig_allows_region(const struct rconfig_policy *p, const char *region);

const char *rconfig_choose_service(const struct rconfig_route *r,
				   uint64_t sequence);

#endif
