#ifndef LDR_INT_H
#define LDR_INT_H

/* What a leader decides from, and its decision before it is written. */

#include "ldr.h"
#include "nrw.h"

#define LDR_NODES_MAX 2048

struct ldr_node {
	struct nrw row;
	uint64_t version;
	bool alive; /* its lease lasts */
	bool expires; /* its lease has run out and is taken away now */
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

/* Fills the nodes from the rows of their table; rows are sorted by key. */
size_t ldr_read_nodes(const struct tbl_result *r, struct ldr_node *out,
		      size_t max);

/* Returns the members as the plan names them; the caller frees it. */
char *ldr_write_members(const struct ldr_input *in);

/*
 * Changes the map of a service by what the nodes tell: ended lives lose their
 * keys, keys without an able owner get one, load is evened out.
 */
struct krp_result ldr_plan_keys(const struct ldr_input *in, const char *service,
				struct krm *map, uint64_t settled);

/* Counts the upstreams that may own keys of the service. */
size_t ldr_count_targets(const struct ldr_input *in, const char *service);

#endif
