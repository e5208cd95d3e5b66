#ifndef LDR_INT_H
#define LDR_INT_H

/* Input of the planner, and the functions that compute the plan from it. */

#include "ldr.h"
#include "nrw.h"

#define LDR_NODES_MAX 2048

struct ldr_node {
	struct nrw row;
	uint64_t version;
	bool alive; /* its lease is valid */
	bool expires; /* its lease has ended, but is not marked as expired yet */
};

struct ldr_known {
	struct rpt report;
	uint64_t at_us;
};

struct ldr_input {
	struct ldr_node *nodes;
	size_t node_count;
	const struct ldr_known *reports;
	size_t report_count;
	uint64_t now_us;
};

/* Parses the rows of the nodes' table, sorted by key. Returns their number. */
size_t ldr_read_nodes(const struct tbl_result *r, struct ldr_node *out,
		      size_t max);

/* Returns the members in the JSON form of the plan; the caller frees it. */
char *ldr_write_members(const struct ldr_input *in);

/*
 * Updates the map of a service from the rows and reports of the nodes: removes
 * ended incarnations, assigns keys that have no usable owner and balances load.
 * settled: ranges with a lower fence have been taken over by their owners.
 */
struct krp_result ldr_plan_keys(const struct ldr_input *in, const char *service,
				struct krm *map, uint64_t settled);

/* Counts the upstreams that may own keys of the service. */
size_t ldr_count_targets(const struct ldr_input *in, const char *service);

#endif
