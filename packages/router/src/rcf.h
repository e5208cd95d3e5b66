#ifndef RCF_H
#define RCF_H

/* Routing configuration, as published by the operator. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "hmg.h"

#define RCF_NAME_MAX 64
#define RCF_HOST_MAX 128
#define RCF_PREFIX_MAX 256
#define RCF_PARTS_MAX 8

struct rcf_part {
	char service[RCF_NAME_MAX];
	uint32_t weight; /* relative share of the requests, greater than 0 */
};

struct rcf_route {
	char name[RCF_NAME_MAX];
	char host[RCF_HOST_MAX];
	char prefix[RCF_PREFIX_MAX]; /* begins and ends with a slash */
	struct rcf_part parts[RCF_PARTS_MAX];
	uint32_t part_count;
	bool idempotent;
	uint32_t timeout_ms; /* to the end of the response, 0 for default */
	uint32_t objective_ms; /* target latency, 0 for the deadline */
	uint32_t attempts_max; /* upstreams that one request may reach */
	uint32_t rank; /* 0 is the most urgent */
};

struct rcf_service {
	char name[RCF_NAME_MAX];
	uint32_t connections_max; /* for each upstream */
	bool keyed; /* upstreams own keys */
};

struct rcf {
	uint64_t version;
	struct rcf_route *routes;
	size_t route_count;
	struct rcf_service *services;
	size_t service_count;
	uint32_t header_bytes_max;
	uint32_t body_bytes_max;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

void rcf_free(struct rcf *c);

const struct rcf_route *rcf_find(const struct rcf *c, struct span host,
				 struct span target);

const struct rcf_service *rcf_service(const struct rcf *c, const char *name);

const char *rcf_choose(const struct rcf_route *r, uint64_t sequence);

#endif
