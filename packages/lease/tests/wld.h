#ifndef WLD_H
#define WLD_H

/*
 * Five processes with the module lse that exchange messages over a simulated
 * network. Time is true time; each process has a clock of its own.
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
#include "lse.h"

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

/* A message on its way; its time is true time. */
struct packet {
	bool used;
	int from;
	int to;
	uint64_t due;
	struct lse_msg msg;
};

struct node {
	int id;
	struct proc self;
	struct lse *lse;
	bool running; /* false: paused, or killed */
	double rate; /* of its clock against true time */
	bool drains_at_once;
	int drains;
	int wants[3];
	int starts;
	struct world *w;
};

struct world {
	struct cht *chart;
	uint64_t now; /* true time */
	uint64_t highest_fence;
	uint64_t extra_us;
	uint64_t idle_us; /* how long nobody has acted in the current run */
	struct node nodes[NODES];
	bool cut[NODES][NODES];
	int copies; /* of each message; 0 loses all */
	struct packet queue[QUEUE_MAX];
};

uint64_t wld_now(const struct node *n);
void wld_start(struct world *w, int id, uint64_t incarnation);
int wld_set_up(void **state);
int wld_tear_down(void **state);
int wld_acting(struct world *w);
void wld_run(struct world *w, uint64_t ms);
struct row wld_next_row(struct world *w, const struct row *old, int owner,
			int successor, int second);
void wld_learn(struct world *w, const struct row *row);
struct row wld_begin(struct world *w);
void wld_cut_off(struct world *w, int id, bool cut);
void wld_kill(struct world *w, int id);
void wld_prove_end(struct world *w, int id);

#endif
