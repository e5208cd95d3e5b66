#ifndef PLC_SIM_H
#define PLC_SIM_H

/*
 * Simulation of placement: members, partitions with a skewed load whose hot set
 * moves, and changes of the members. It runs the decisions of plc.h or one of
 * the placements without state, and counts imbalance and churn.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "plc.h"

enum sim_placement {
	SIM_STICKY, /* the decisions of plc.h */
	SIM_MODULO,
	SIM_RENDEZVOUS,
	SIM_PLACEMENTS
};

enum sim_event {
	SIM_HOT_SET, /* the hot partitions become others */
	SIM_JOIN,
	SIM_LEAVE, /* planned: the member drains */
	SIM_CRASH,
	SIM_ROLLING, /* each member is replaced: one joins, then one drains */
	SIM_EVENTS
};

struct sim_config {
	uint32_t members; /* of the service, at least 1 */
	uint32_t others; /* members of another service */
	uint32_t data_centres; /* members are dealt out to them in turn */
	uint32_t regions; /* data centres are dealt out to them in turn */
	uint16_t slots;
	uint32_t partitions;
	uint64_t seed;
	struct plc_policy policy;
};

struct sim_result {
	double imbalance; /* max over mean of the members that are up, at the end */
	double granularity; /* largest load of a partition over that mean */
	uint32_t churn; /* partitions that changed owner */
	uint32_t forced; /* of these, how many lost their owner */
	uint32_t writes; /* rows written, also for new witnesses */
	uint32_t minutes; /* until no owner wanted to move a partition */
};

struct sim;

/* Creates all rows and balances them. Returns NULL without memory. */
struct sim *sim_create(const struct sim_config *config,
		       enum sim_placement placement);
void sim_destroy(struct sim *s);

/* Runs an event and balances the members afterwards. */
void sim_run(struct sim *s, enum sim_event event, struct sim_result *result);

/* Loses all members of a data centre; rows are taken over, not yet rearmed. */
void sim_lose_centre(struct sim *s, uint32_t centre);

/* Writes the rows whose owner or witness is lost; returns how many. */
uint32_t sim_rearm(struct sim *s);

/* State of the rows, for checks. */
const struct plc_view *sim_view(const struct sim *s);
const struct row_set *sim_set(const struct sim *s, uint32_t partition);
const char *sim_event_name(enum sim_event event);
const char *sim_placement_name(enum sim_placement placement);

#endif
