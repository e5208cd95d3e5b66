#ifndef NRW_H
#define NRW_H

/* Row of one daemon in the table of daemons: lease, addresses and upstream. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "life.h"
#include "routing_config.h"
#include "router_settings.h"

#define NRW_TABLE "geraniumspoke-nodes"

struct nrw {
	char node[LIFE_NODE_MAX];
	char data_centre[RSETTINGS_NAME_MAX];
	char peer_address[RSETTINGS_ADDRESS_MAX];
	uint64_t process; /* drawn at random by each process */
	uint64_t lease_until_ms; /* time of the table */
	bool expired; /* written by the leader: the lease is over */
	struct life life; /* of the upstream; id "" for none */
	char service[RCONFIG_NAME_MAX];
	uint32_t slots;
	bool takes_work; /* the upstream is up and does not leave */
};

/* Returns the JSON form, which the caller frees. */
char *nrw_write(const struct nrw *n);

/* False if it is not the JSON form of a row. */
bool nrw_parse(const char *json, size_t len, struct nrw *n);

#endif
