#ifndef MBR_H
#define MBR_H

/*
 * Members: the daemons that the plan names, each with the upstream beside it,
 * and what this daemon has seen of them.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "hcl.h"
#include "skt.h"
#include "life.h"
#include "routing_config.h"
#include "router_settings.h"

struct mbr {
	/* From the plan. */
	struct life life; /* of the upstream; id "" if there is none */
	char data_centre[RSETTINGS_NAME_MAX];
	char peer_address[RSETTINGS_ADDRESS_MAX];
	char service[RCONFIG_NAME_MAX];
	uint32_t slots;
	bool takes_work; /* the upstream is up and does not leave */
	/* Seen here. */
	struct hcl *pool;
	uint32_t outstanding; /* requests from here */
	double waiting; /* requests there, as last told, from all callers */
	uint64_t told_us;
	uint64_t avoid_until_us;
	uint32_t failures; /* in a row */
	uint64_t config_next_us; /* when it may be sent a configuration */
	bool listed;
};

struct mbs;

struct mbs *mbs_create(struct evl *l);
void mbs_destroy(struct mbs *m);

/* Takes the members of a plan; false if it cannot be read. */
bool mbs_update(struct mbs *m, const char *json, size_t len);

size_t mbs_count(const struct mbs *m);
struct mbr *mbs_at(const struct mbs *m, size_t i);

/* Finds a member by the name of its instance, NULL if there is none. */
struct mbr *mbs_find(const struct mbs *m, const char *node);

/* Finds the member beside a life that takes work. */
struct mbr *mbs_find_life(const struct mbs *m, const struct life *l);

/*
 * Chooses an upstream of a service that owns no keys: the one with the
 * shortest wait, at this instance (own) or in this data centre unless it is busy
 * there. Skips the instances in `tried`.
 */
struct mbr *mbs_choose(const struct mbs *m, const char *service,
		       const char *own, const char *data_centre,
		       const char *const *tried, size_t tried_count,
		       uint64_t now_us);

/* A connection could not be made: no requests go there for a moment. */
void mbr_failed(struct mbr *m, uint64_t now_us);
void mbr_answered(struct mbr *m);

/* Requests at the member now, over its slots, as far as known here. */
double mbr_use(const struct mbr *m, uint64_t now_us);

#endif
