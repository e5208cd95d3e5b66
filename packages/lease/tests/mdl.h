#ifndef MDL_H
#define MDL_H

/*
 * Model for the state-space search: three processes with the real module lse,
 * a table row and a network. A step makes a new state from an old one.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lse.h"
#include "lse_model.h"

#define MDL_NODES 3
#define MDL_NET_MAX 3
#define MDL_TEXT_MAX 1024
#define MDL_PART 1

/*
 * What may happen in one search, and how often. Any number of messages may be
 * lost. Time is in units of 1 us.
 */
#define MDL_SWAP_OWNER (1U << 2) /* successor and owner change places */
#define MDL_SWAP_WITNESSES (1U << 1)
#define MDL_SECOND_OWNS (1U << 4) /* the second witness becomes the owner */
#define MDL_ALL_ORDERS 63U

struct mdl_bounds {
	const char *name;
	unsigned int promise; /* units; the term of the owner is one less */
	unsigned int time; /* units that pass in all */
	unsigned int net; /* messages in flight, at most MDL_NET_MAX */
	unsigned int copies;
	unsigned int pauses;
	unsigned int restarts;
	unsigned int cuts;
	unsigned int rewrites;
	unsigned int orders; /* bits: new places of the three, see mdl.c */
	unsigned int releases;
};

enum mdl_kind {
	MDL_DELIVER,
	MDL_LOSE,
	MDL_COPY, /* deliver and keep */
	MDL_TICK,
	MDL_PAUSE,
	MDL_RESUME,
	MDL_RESTART,
	MDL_PROVE, /* learn that the former incarnation has ended */
	MDL_CUT,
	MDL_RESTORE,
	MDL_REWRITE,
	MDL_LEARN,
	MDL_DRAINED,
	MDL_RELEASE,
	MDL_ADVANCE,
	MDL_KINDS
};

struct mdl_step {
	uint8_t kind;
	uint8_t arg; /* message, node, link, or writer and order of roles */
};

/* A process; states share it until a step changes it. */
struct mdl_node {
	unsigned int refs;
	struct lse *lse;
	struct proc self;
	struct proc former; /* incarnation 0 if it was never restarted */
	uint64_t known; /* version of the row that it has learned */
	bool paused;
	uint64_t hashed_at; /* time for which hash is valid; 0 for none */
	uint64_t hash[2]; /* of the text of the module */
};

struct mdl_msg {
	int from;
	int to;
	struct proc sender;
	struct lse_msg msg;
};

struct mdl_state {
	uint64_t now;
	struct mdl_node *nodes[MDL_NODES];
	struct row row; /* of the table */
	size_t net_count;
	struct mdl_msg net[MDL_NET_MAX];
	bool cut[MDL_NODES][MDL_NODES];
	uint64_t fence; /* highest that has acted */
	struct mdl_bounds left; /* net stays as it is */
	struct mdl_state *next; /* in the queue of the search */
	uint32_t number; /* of the search */
};

/* Returns the first state; NULL when memory is exhausted. */
struct mdl_state *mdl_create(const struct mdl_bounds *bounds,
			     const struct cht *chart, enum lse_fault fault);
void mdl_destroy(struct mdl_state *s);

/* Returns how many args a kind of step has in a state. */
unsigned int mdl_args(const struct mdl_state *s, enum mdl_kind kind);

/* Returns the state after a step, NULL if the step is not possible. */
struct mdl_state *mdl_apply(const struct mdl_state *s, struct mdl_step step);

/* Checks the invariants and notes the fence; NULL or what is violated. */
const char *mdl_check(struct mdl_state *s);

/* Writes a text that two states share only if they behave alike. */
size_t mdl_encode(const struct mdl_state *s, uint8_t out[MDL_TEXT_MAX]);

const char *mdl_kind_name(enum mdl_kind kind);

/* Result of a search; violation is NULL if there is none. */
struct mdl_result {
	uint64_t states;
	uint64_t steps;
	const char *violation;
};

/* Looks at all states within the bounds; prints the steps to a violation. */
struct mdl_result mdl_search(const struct mdl_bounds *bounds,
			     const struct cht *chart, enum lse_fault fault);

#endif
