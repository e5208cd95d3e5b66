#ifndef SIMNET_H
#define SIMNET_H

/*
 * Five processes with lease managers that exchange messages over a simulated
 * network. The simulation has a true time; each process has a clock of its own.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "clk.h"
#include "lease.h"

#define PART 9
#define NODES 5
#define QUEUE_MAX 4096
#define STEP_US (5 * US_PER_MS)
#define LATENCY_US (3 * US_PER_MS)
#define TICK_US (50 * US_PER_MS)
#define EPOCH_US (1000 * US_PER_S)
#define NOBODY (-1)

enum node_name {
	A,
	B,
	C,
	D,
	E
};

/* A message in flight; due is in true time. */
struct packet {
	bool used;
	int from;
	int to;
	uint64_t due;
	struct lease_msg msg;
};

struct node {
	int id;
	struct proc self;
	struct lease_mgr *mgr;
	bool running; /* false if paused */
	double rate; /* speed of its clock relative to true time */
	bool drains_at_once;
	int drains;
	int row_requests[3];
	int starts;
	struct simnet *net;
};

struct simnet {
	struct statechart *chart;
	uint64_t now; /* true time */
	uint64_t highest_fence;
	uint64_t takeover_extra_us;
	uint64_t idle_us; /* time without an acting process in the last run */
	struct node nodes[NODES];
	bool cut[NODES][NODES];
	int copies; /* of each message; 0 drops all */
	struct packet queue[QUEUE_MAX];
};

uint64_t simnet_now(const struct node *n);
void simnet_start_node(struct simnet *net, int id, uint64_t incarnation);
int simnet_setup(void **state);
int simnet_teardown(void **state);
int simnet_acting(struct simnet *net);
void simnet_run(struct simnet *net, uint64_t ms);
struct row simnet_next_row(struct simnet *net, const struct row *old, int owner,
			   int successor, int second);
void simnet_learn(struct simnet *net, const struct row *row);
struct row simnet_start_with_owner(struct simnet *net);
void simnet_cut_off(struct simnet *net, int id, bool cut);
void simnet_kill(struct simnet *net, int id);
void simnet_prove_ended(struct simnet *net, int id);

#endif
