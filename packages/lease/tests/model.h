#ifndef MODEL_H
#define MODEL_H

/*
 * Model for the model checker: three processes that run the real lease manager,
 * the assignment row in the table, and a network. A step produces a new state
 * from an existing one.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lease.h"
#include "lease_testing.h"

#define MODEL_NODES 3
#define MODEL_NET_MAX 3
#define MODEL_ENCODING_MAX 1024
#define MODEL_PART 1

/*
 * Limits of one search: which events may happen and how often. Any number
 * of messages may be lost. The unit of time is 1 us.
 */
#define MODEL_SWAP_OWNER (1U << 2) /* swaps owner and successor */
#define MODEL_SWAP_WITNESSES (1U << 1)
#define MODEL_SECOND_OWNS (1U << 4) /* makes the second witness the owner */
#define MODEL_ALL_ORDERS 63U

struct model_bounds {
	const char *name;
	unsigned int promise; /* units; the owner term is one unit less */
	unsigned int time; /* total units of time */
	unsigned int net; /* messages in flight, at most MODEL_NET_MAX */
	unsigned int copies;
	unsigned int pauses;
	unsigned int restarts;
	unsigned int cuts;
	unsigned int rewrites;
	unsigned int orders; /* bits: allowed orders of roles, see model.c */
	unsigned int releases;
};

enum model_kind {
	MODEL_DELIVER,
	MODEL_LOSE,
	MODEL_COPY, /* deliver and keep */
	MODEL_TICK,
	MODEL_PAUSE,
	MODEL_RESUME,
	MODEL_RESTART,
	MODEL_PROVE, /* deliver proof that the former incarnation has ended */
	MODEL_CUT,
	MODEL_RESTORE,
	MODEL_REWRITE,
	MODEL_LEARN,
	MODEL_DRAINED,
	MODEL_RELEASE,
	MODEL_ADVANCE,
	MODEL_KINDS
};

struct model_step {
	uint8_t kind;
	uint8_t arg; /* message, node, link, or writer and order of roles */
};

/* A process. States share it until a step changes it. */
struct model_node {
	unsigned int refs;
	struct lease_mgr *mgr;
	struct proc self;
	struct proc former; /* incarnation 0 if never restarted */
	uint64_t known; /* version of the row that it has learned */
	bool paused;
	uint64_t hashed_at; /* time at which hash was computed; 0 for none */
	uint64_t hash[2]; /* of the encoding of the lease manager */
};

struct model_msg {
	int from;
	int to;
	struct proc sender;
	struct lease_msg msg;
};

struct model_state {
	uint64_t now;
	struct model_node *nodes[MODEL_NODES];
	struct row row; /* the row in the table */
	size_t net_count;
	struct model_msg net[MODEL_NET_MAX];
	bool cut[MODEL_NODES][MODEL_NODES];
	uint64_t fence; /* highest fence used so far */
	struct model_bounds left; /* remaining events; net is constant */
	struct model_state *next; /* queue of the search */
	uint32_t index; /* index in the search */
};

/* Returns the initial state; NULL when memory is exhausted. */
struct model_state *model_create(const struct model_bounds *bounds,
				 const struct statechart *chart,
				 enum lease_fault fault);
void model_destroy(struct model_state *s);

/* Returns the number of possible args of a kind of step in a state. */
unsigned int model_args(const struct model_state *s, enum model_kind kind);

/* Returns the state after a step, NULL if the step is not possible. */
struct model_state *model_apply(const struct model_state *s,
				struct model_step step);

/*
 * Checks the invariants and updates the highest fence. Returns NULL, or a
 * description of the violation.
 */
const char *model_check(struct model_state *s);

/*
 * Encodes a state. Two states have the same encoding only if they behave alike.
 * Returns the length in bytes.
 */
size_t model_encode(const struct model_state *s,
		    uint8_t out[MODEL_ENCODING_MAX]);

const char *model_kind_name(enum model_kind kind);

/* Result of a search; violation is NULL if none was found. */
struct model_result {
	uint64_t states;
	uint64_t steps;
	const char *violation;
};

/*
 * Explores all states within the bounds and prints the steps that lead to a
 * violation.
 */
struct model_result model_search(const struct model_bounds *bounds,
				 const struct statechart *chart,
				 enum lease_fault fault);

#endif
