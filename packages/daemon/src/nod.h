#ifndef NOD_H
#define NOD_H

/*
 * The node: what the modules of one daemon share. Each module is created with
 * the node and finds the others through it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "statechart.h"
#include "clk.h"
#include "err.h"
#include "lwsloop.h"
#include "manifest.h"
#include "replica.h"
#include "peerrpc.h"
#include "platapi.h"
#include "settings.h"
#include "tmr.h"
#include "tracer.h"

enum nod_error {
	NOD_NO_MEMORY = 1,
	NOD_BAD_CHART, /* a state chart is missing or wrong */
	NOD_NO_SOCKET /* a port cannot be opened */
};

struct nod {
	struct settings set;
	struct proc self;
	const struct clk *clk;
	struct lwsloop *loop;
	struct tmr *timers;
	struct platapi *platform;
	struct peerrpc *peers;
	struct table_replica *replica;
	struct tracer *traces;

	struct syn *syn; /* spreading of rows */
	struct pub *pub; /* manifest in force */
	struct wrt *writer; /* conditional writes of rows */
	struct mem *member; /* this daemon's member row */
	struct own *own; /* leases */
	struct prb *probes; /* proofs that a process has ended */
	struct bal *balance; /* creation and moves of rows */
	struct upd *upstream; /* the upstream beside this daemon */
	struct exe *exec; /* requests on the upstream */
	struct pin *peer_in; /* requests from peers */
	struct ing *ingress; /* requests from callers */
	struct adn *admin; /* operators' endpoints */

	bool stopping; /* SIGTERM: leave, then end */
};

/* Makes a node and opens its sockets. Errors: layer daemon. */
struct nod *nod_create(const struct settings *set, const struct clk *clk,
		       struct err *err);
void nod_destroy(struct nod *n);

/* Runs until the node has drained after a signal. */
void nod_run(struct nod *n);

/* Monotonic time in microseconds. */
uint64_t nod_now_us(const struct nod *n);

/* Fills the address of the peer port of a member. */
void nod_peer_address(const struct member *m, struct peerrpc_address *out);

/* Converts between the forms of a process in memory and in messages. */
peer_proc nod_to_peer(const struct proc *p);
struct proc nod_from_peer(const peer_proc *p);

/* Path of a state chart, for example "upstream". */
struct statechart *nod_load_chart(const struct nod *n, const char *name,
				  const char *const *states,
				  const char *const *events,
				  const struct statechart_action *actions,
				  size_t count, struct err *err);

#endif
