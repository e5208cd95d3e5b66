#ifndef PLACEMENT_SIM_H
#define PLACEMENT_SIM_H

/*
 * Simulation of placement: members, partitions with a skewed and changing load,
 * and members that join and leave. Runs the decisions of plc.h or a stateless
 * placement, and measures imbalance and churn.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "placement.h"

enum sim_placement {
	SIM_STICKY, /* the decisions of plc.h */
	SIM_MODULO,
	SIM_RENDEZVOUS,
	SIM_PLACEMENTS
};

enum sim_event {
	SIM_HOT_SET, /* other partitions become hot */
	SIM_JOIN,
	SIM_LEAVE, /* planned: the member drains */
	SIM_CRASH,
	SIM_ROLLING, /* each member is replaced: one joins, then one drains */
	SIM_EVENTS
};

struct sim_config {
	uint32_t members; /* of the service, at least 1 */
	uint32_t others; /* members of another service */
	uint32_t data_centres; /* members are assigned round robin */
	uint32_t regions; /* data centres are assigned round robin */
	uint16_t slots;
	uint32_t partitions;
	uint64_t seed;
	struct placement_policy policy;
};

struct sim_result {
	double imbalance; /* final max over mean load of members that are up */
	double granularity; /* largest partition load over mean member load */
	uint32_t churn; /* partitions that changed owner */
	uint32_t forced; /* of these, those whose owner left */
	uint32_t writes; /* rows written, those for new witnesses included */
	uint32_t minutes; /* until no owner moved a partition */
};

struct sim;

/* Creates and balances all rows. Returns NULL when memory is exhausted. */
struct sim *sim_create(const struct sim_config *config,
		       enum sim_placement placement);
void sim_destroy(struct sim *s);

/* Simulates an event and the balancing that follows. */
void sim_run_event(struct sim *s, enum sim_event event,
		   struct sim_result *result);

/* Marks all members of a data centre as gone; the rows are not changed. */
void sim_fail_data_centre(struct sim *s, uint32_t centre);

/* Rewrites the rows whose owner or a witness is gone; returns how many. */
uint32_t sim_replace_lost(struct sim *s);

/* State of the simulation, for tests and reports. */
const struct placement_view *sim_view(const struct sim *s);
const struct row_set *sim_row_set(const struct sim *s, uint32_t partition);
const char *sim_event_name(enum sim_event event);
const char *sim_placement_name(enum sim_placement placement);

#endif
