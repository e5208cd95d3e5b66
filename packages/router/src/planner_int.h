#ifndef PLANNER_INT_H
#define PLANNER_INT_H

/* Input of the planner, and the functions that compute the plan from it. */

#include "planner.h"
#include "noderow.h"

/* A lease expires this long after its end, as a renewal may be in progress. */
#define PLANNER_EXPIRY_MARGIN_MS 50

struct planner_node {
	struct noderow row;
	uint64_t version;
	bool alive; /* its lease is valid */
	bool expires; /* its lease has ended, but is not marked as expired yet */
	/* Its row is of an earlier era, so it may hold more than that shows. */
	bool earlier;
	bool unreadable; /* only its name and its version are known */
	uint64_t seen_ms; /* first read of this version, by the table's clock */
};

/* The nodes of the last read of their table, sorted by name. */
struct planner_nodes {
	struct planner_node *list;
	struct planner_node *before; /* room for the next read */
	size_t count;
	size_t capacity; /* of both arrays */
};

/*
 * Replaces the nodes by those of a read, in an era that was first seen at
 * era_ms. False if out of memory; the nodes are then unchanged.
 */
bool planner_nodes_read(struct planner_nodes *n, const struct tbl_result *r,
			uint64_t era_ms);
void planner_nodes_free(struct planner_nodes *n);

struct planner_report {
	struct noderpt report;
	uint64_t at_us;
};

struct planner_input {
	struct planner_node *nodes;
	size_t node_count;
	const struct planner_report *reports;
	size_t report_count;
	uint64_t now_us;
	uint64_t table_now_ms; /* clock of the table service */
	uint64_t era; /* of the table service */
	uint64_t era_ms; /* clock of the table service when it was first seen */
	const struct evac *evac; /* no keys for these data centres; or NULL */
};

/* State of the planner for one service. */
struct planner_service {
	char name[NAME_SIZE];
	size_t targets; /* number of upstreams at the last check */
	uint64_t changed_us; /* when their number changed */
	uint64_t fence; /* next fence of the map at marked_us */
	uint64_t marked_us;
	uint64_t settled; /* next fence at least SETTLE_US ago */
	bool incomplete; /* unassigned keys wait */
	/* Keys reported as held while the map was that of a copy, or NULL. */
	struct keymap *reported;
};

bool planner_is_first_plan_due(struct planner_service *s, size_t targets,
			       uint64_t now_us);
uint64_t planner_update_settled(struct planner_service *s,
				const struct keymap *map, uint64_t now_us);

#define PLANNER_CRASHES_MAX 256

/* Changes of the list of crashes that are not planned yet. */
struct planner_crashes {
	struct {
		uint64_t fingerprint;
		uint64_t ended; /* incarnation, 0 if a run was completed */
	} changes[PLANNER_CRASHES_MAX];
	size_t count;
};

void planner_crashes_add(struct planner_crashes *c, uint64_t fingerprint,
			 uint64_t ended);
char *planner_crashes_plan(struct planner_crashes *c,
			   const struct planview *view, uint64_t now_ms);

/* The era of the table service, as a leader has seen it. */
struct planner_era {
	uint64_t number;
	uint64_t first_us; /* its first read, 0 if there was none */
	uint64_t first_ms; /* the same by the clock of the table service */
	uint64_t restored; /* last era in which the maps were written again */
};

void planner_era_update(struct planner_era *e, uint64_t number, uint64_t now_us,
			uint64_t now_ms);
bool planner_era_must_wait(struct planner_era *e, const char *service,
			   uint64_t version, uint64_t now_us);

/*
 * Parses the rows of the nodes' table, sorted by key, into out, which has an
 * entry for each row. before are those of the read before. Returns their number.
 */
size_t planner_parse_nodes(const struct tbl_result *r, uint64_t era_ms,
			   const struct planner_node *before,
			   size_t before_count, struct planner_node *out);

/* Returns the members in the JSON form of the plan; the caller frees it. */
char *planner_format_members(const struct planner_input *in);

/* Returns the node of an incarnation that may still hold keys, else NULL. */
const struct planner_node *
planner_find_alive(const struct planner_input *in,
		   const struct incarnation *incarnation);

/* Returns the recent report of an incarnation, NULL if there is none. */
const struct noderpt *
planner_find_report(const struct planner_input *in,
		    const struct incarnation *incarnation);

/*
 * True if upstreams of the service have reported that they hold unassigned keys
 * of the map.
 */
bool planner_has_reported_holds(const struct planner_input *in,
				const struct keymap *map, const char *service);

/*
 * True if a daemon whose upstream may hold keys of the service has not written
 * its row in the present era, and may still have a lease of an earlier one.
 */
bool planner_has_silent_daemon(const struct planner_input *in,
			       const char *service);

/*
 * True if upstreams may hold unassigned keys of the map, by grants of a map that
 * the table service has lost. known: the map has been read from the table.
 */
bool planner_may_be_held(const struct planner_input *in,
			 const struct keymap *map, const char *service,
			 bool known);

/*
 * Assigns the unassigned keys that upstreams have reported as held to these.
 * Returns their number.
 */
uint32_t planner_adopt_holds(const struct planner_input *in, struct keymap *map,
			     const char *service);

struct planner_result {
	struct keyplan_result keys;
	uint32_t adopted; /* unassigned keys that their holders own now */
	bool incomplete; /* the other unassigned keys stay so for now */
};

/*
 * Updates the map of a service from the rows and reports of the nodes: removes
 * ended incarnations, assigns keys that have no usable owner and balances load.
 * known: the map has been read from the table.
 * settled: ranges with a lower fence have been taken over by their owners.
 */
struct planner_result planner_plan_keys(const struct planner_input *in,
					const char *service, struct keymap *map,
					bool known, uint64_t settled);

/* A map as the plan has it. */
struct planner_map {
	const struct keymap *map; /* NULL if there is none */
	uint64_t version; /* 0 if there is none */
	bool unconfirmed; /* no keys are granted by it; gets new fences */
	bool copied; /* only read from an older copy of the table */
};

/*
 * Collects the keys that upstreams report as held, while the map of the service
 * is that of an older copy.
 */
void planner_collect_holds(struct planner_service *s,
			   const struct planner_input *in);

/*
 * Returns the map to go on with, which the caller destroys: a copy of that of
 * the older copy, or one of the reported keys alone, if a silent daemon may
 * grant keys by a later one. NULL if it is too early, or out of memory.
 */
struct keymap *planner_choose_map(struct planner_service *s,
				  const struct planner_input *in,
				  const struct keymap *map);

/*
 * Plans the map of a service, if it is due. Returns the JSON form, which the
 * caller frees; NULL if the table need not be written.
 */
char *planner_plan_service(struct planner_service *s, struct planner_era *e,
			   const struct planner_input *in,
			   const struct planner_map *known);

/* Counts the upstreams that may own keys of the service. */
size_t planner_count_targets(const struct planner_input *in,
			     const char *service);

#endif
