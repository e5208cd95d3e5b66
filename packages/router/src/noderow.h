#ifndef NODEROW_H
#define NODEROW_H

/* Row of a daemon in the nodes' table: lease, addresses and local upstream. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "incarnation.h"
#include "routing_config.h"
#include "router_settings.h"

#define NODEROW_TABLE "geraniumspoke-nodes"
#define NODEROW_SLOTS_MAX 100000

struct noderow {
	char node[NAME_SIZE];
	char data_centre[NAME_SIZE];
	char peer_address[RSETTINGS_ADDRESS_MAX];
	uint64_t process; /* random number of the process */
	uint64_t lease_until_ms; /* by the clock of the table service */
	uint64_t era; /* of the table service, when the row was written */
	bool expired; /* set by the leader: the lease has expired */
	struct incarnation incarnation; /* of the upstream; id "" for none */
	char service[NAME_SIZE];
	uint32_t slots;
	bool takes_work; /* the upstream is up and not draining */
	bool left; /* the upstream has said that it ends, which is final */
};

/* Returns the row as JSON, which the caller frees. */
char *noderow_format(const struct noderow *n);

/*
 * Parses a row with this version; false if it is invalid. Rows of earlier
 * versions of the daemon have no era and count as written in that of the row.
 */
bool noderow_parse(const char *json, size_t len, uint64_t version,
		   struct noderow *n);

#endif
