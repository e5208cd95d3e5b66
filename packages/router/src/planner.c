#include "planner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "planner_int.h"
#include "log.h"

/* Interval of planning. */
#define TICK_US (500 * US_PER_MS)
/* Interval of reads of all daemons' rows, and delay of a read on request. */
#define READ_US (1000 * US_PER_MS)
#define READ_SOON_US (10 * US_PER_MS)
/* Delay of a retry after a failed call. */
#define RETRY_US (250 * US_PER_MS)
/* A leader without a read for this long is to be replaced. */
#define STUCK_AFTER_US (1500 * US_PER_MS)
/* Changes in one write, and how many of them may mark expired leases. */
#define CHANGES_MAX TBL_CHANGES_MAX
#define EXPIRIES_MAX 20

struct planner {
	struct planner_parts parts;
	struct planner_service *services;
	size_t service_count, service_capacity;
	size_t next_service; /* position of the first one to plan next */
	struct planner_nodes nodes;
	struct planner_report *reports;
	size_t report_count, report_capacity;
	struct planner_crashes crashes;
	uint64_t table_now_ms; /* clock of the table service at the last read */
	struct planner_era era;
	char *texts[CHANGES_MAX]; /* values of the write in progress */
	char keys[CHANGES_MAX][PLANVIEW_KEY_MAX];
	struct tbl_change changes[CHANGES_MAX];
	size_t change_count;
	uint32_t timer;
	uint64_t due_us;
	bool calling;
	bool claiming;
	bool read_requested; /* a read of the rows was requested */
	uint64_t read_us; /* time of the last read */
	uint64_t leader_since_us; /* start of leadership, 0 if not the leader */
	bool dead; /* destroyed, but a call is in progress */
};

static void tick(void *arg, uint64_t now_us);

/* Schedules the next tick, unless one is due sooner. */
static void schedule_tick(struct planner *l, uint64_t wait_us)
{
	uint64_t due = evloop_now_us(l->parts.loop) + wait_us;

	if (l->timer && l->due_us <= due)
		return;
	tmr_cancel(evloop_timers(l->parts.loop), l->timer);
	l->due_us = due;
	l->timer = tmr_at(evloop_timers(l->parts.loop), due, tick, l);
}

/* Frees the values of a write. */
static void clear_changes(struct planner *l)
{
	for (size_t i = 0; i < l->change_count; i++)
		free(l->texts[i]);
	l->change_count = 0;
}

/* Frees a destroyed planner after its last call. True if it was destroyed. */
static bool free_if_dead(struct planner *l)
{
	if (!l->dead || l->calling)
		return l->dead;
	clear_changes(l);
	planner_nodes_free(&l->nodes);
	free(l->reports);
	for (size_t i = 0; i < l->service_count; i++)
		keymap_destroy(l->services[i].reported);
	free(l->services);
	free(l);
	return true;
}

/* True if the leader's row names this instance. */
static bool is_named(const struct planner *l)
{
	return strcmp(planview_leader(l->parts.view)->node,
		      l->parts.settings->instance) == 0;
}

/* True if the leader's row names this process. */
bool planner_is_leader(const struct planner *l)
{
	return is_named(l) &&
	       planview_leader(l->parts.view)->process == l->parts.process;
}

/* True if the leader's row names this instance with another process. */
bool planner_was_leader(const struct planner *l)
{
	return is_named(l) && !planner_is_leader(l);
}

/*
 * Adds a change to the write and takes ownership of the text. A change beyond
 * CHANGES_MAX is discarded; the next plan contains it again.
 */
static void add_change(struct planner *l, const char *table, const char *key,
		       uint64_t expected, char *text)
{
	struct tbl_change *c = &l->changes[l->change_count];

	if (l->change_count == CHANGES_MAX) {
		free(text);
		return;
	}
	snprintf(l->keys[l->change_count], PLANVIEW_KEY_MAX, "%s", key);
	l->texts[l->change_count] = text;
	c->table = table;
	c->key = l->keys[l->change_count];
	c->expected = expected;
	c->value = text;
	c->remove = false;
	l->change_count++;
}

/* Refreshes the known plan after a failed write. */
static void refresh_view(struct planner *l, const struct tbl_result *r)
{
	if (r->status == TBL_CONFLICT && r->count > 0)
		planview_apply_conflict(l->parts.view, r);
	else
		planview_request_read(l->parts.view);
}

/* Handles the result of a write of the plan. */
static void on_written(void *arg, const struct tbl_result *r)
{
	struct planner *l = arg;

	l->calling = false;
	if (free_if_dead(l))
		return;
	if (r->status == TBL_OK)
		l->parts.on_rows(l->parts.arg, l->changes, l->change_count,
				 r->version);
	clear_changes(l);
	if (r->status != TBL_OK) {
		log_emit(LOG_PLAN_NOT_WRITTEN, "status=%d reason=\"%s\"",
			 r->status, r->reason ? r->reason : "");
		l->read_requested = true;
		refresh_view(l, r);
		schedule_tick(l, RETRY_US);
		return;
	}
	schedule_tick(l, l->read_requested ? READ_SOON_US : TICK_US);
}

/* Adds the row of members to the write if it has changed. */
static void plan_members(struct planner *l, const struct planner_input *in)
{
	const char *known = planview_members_text(l->parts.view);
	char *text = planner_format_members(in);

	if (known && strcmp(text, known) == 0) {
		free(text);
		return;
	}
	add_change(l, PLANVIEW_TABLE, PLANVIEW_MEMBERS,
		   planview_members_version(l->parts.view), text);
}

/*
 * Returns the state of a service, new if need be; it is valid until the next one
 * is added. NULL if out of memory.
 */
static struct planner_service *find_service(struct planner *l, const char *name)
{
	struct planner_service *s;

	for (size_t i = 0; i < l->service_count; i++) {
		if (strcmp(l->services[i].name, name) == 0)
			return &l->services[i];
	}
	s = array_extend(l->services, l->service_count, &l->service_capacity,
			 sizeof(*l->services));
	if (!s)
		return NULL;
	l->services = s;
	s = &l->services[l->service_count++];
	snprintf(s->name, sizeof(s->name), "%s", name);
	return s;
}

/* Plans the map of a service, if it is due, and adds it to the write. */
static void plan_service(struct planner *l, const struct planner_input *in,
			 const char *service)
{
	struct planner_map known = { 0 };
	struct planner_service *s = find_service(l, service);
	char key[PLANVIEW_KEY_MAX];
	char *text;

	known.map = planview_map(l->parts.view, service, &known.version);
	known.unconfirmed = planview_map_is_unconfirmed(l->parts.view, service);
	known.copied = planview_map_is_copied(l->parts.view, service);
	text = s ? planner_plan_service(s, &l->era, in, &known) : NULL;
	if (!text)
		return;
	planview_map_key(service, key);
	add_change(l, PLANVIEW_TABLE, key,
		   planview_map_row_version(l->parts.view, service), text);
}

/*
 * Marks ended leases as expired, which makes their renewal fail. Those that do
 * not fit into this write count as valid until the next one.
 */
static void plan_expiries(struct planner *l)
{
	size_t count = 0;

	for (size_t i = 0; i < l->nodes.count; i++) {
		struct planner_node *n = &l->nodes.list[i];

		if (!n->expires)
			continue;
		if (count++ >= EXPIRIES_MAX) {
			n->alive = true;
			continue;
		}
		log_emit(LOG_LEASE_EXPIRED, "node=%s until_ms=%llu",
			 n->row.node,
			 (unsigned long long)n->row.lease_until_ms);
		n->row.expired = true;
		n->row.era = l->era.number;
		add_change(l, NODEROW_TABLE, n->row.node, n->version,
			   noderow_format(&n->row));
	}
}

/*
 * Plans the services whose keys are owned. Once the write is full, the next plan
 * begins with the first service that has not been planned.
 */
static void plan_services(struct planner *l, const struct planner_input *in)
{
	const struct rconfig *config = l->parts.config;
	size_t first = l->next_service;

	l->next_service = 0;
	for (size_t n = 0; n < config->service_count; n++) {
		size_t i = (first + n) % config->service_count;

		if (!config->services[i].keyed)
			continue;
		if (l->change_count == CHANGES_MAX) {
			l->next_service = i;
			return;
		}
		plan_service(l, in, config->services[i].name);
	}
}

/* Computes the plan from the rows of all daemons and writes its changes. */
static void plan(struct planner *l)
{
	struct planner_input in = { l->nodes.list,
				    l->nodes.count,
				    l->reports,
				    l->report_count,
				    evloop_now_us(l->parts.loop),
				    l->table_now_ms,
				    l->era.number,
				    l->era.first_ms,
				    membs_evac(
					    planview_members(l->parts.view)) };
	char *text;

	add_change(l, PLANVIEW_TABLE, PLANVIEW_LEADER,
		   planview_leader(l->parts.view)->version, NULL);
	plan_expiries(l);
	plan_members(l, &in);
	text = planner_crashes_plan(&l->crashes, l->parts.view,
				    l->table_now_ms);
	if (text)
		add_change(l, PLANVIEW_TABLE, PLANVIEW_CRASHES,
			   planview_crashes_version(l->parts.view), text);
	plan_services(l, &in);
	if (l->change_count == 1) {
		clear_changes(l);
		schedule_tick(l, TICK_US);
		return;
	}
	l->calling = true;
	l->parts.tbl.ops->write(l->parts.tbl.self, l->changes, l->change_count,
				on_written, l);
}

/*
 * Records the era of a read. Returns false while the plan has not been read in
 * it, as its rows have other versions.
 */
static bool check_era(struct planner *l, const struct tbl_result *r)
{
	uint64_t era = tbl_era(r->version);

	planner_era_update(&l->era, era, l->read_us, r->now_ms);
	if (tbl_era(planview_leader(l->parts.view)->version) >= era)
		return true;
	planview_request_read(l->parts.view);
	return false;
}

/* Handles the result of a read of all daemons' rows. */
static void on_nodes(void *arg, const struct tbl_result *r)
{
	struct planner *l = arg;

	l->calling = false;
	if (free_if_dead(l))
		return;
	if (r->status != TBL_OK) {
		schedule_tick(l, RETRY_US);
		return;
	}
	l->read_us = evloop_now_us(l->parts.loop);
	l->table_now_ms = r->now_ms;
	if (!check_era(l, r) ||
	    !planner_nodes_read(&l->nodes, r, l->era.first_ms)) {
		schedule_tick(l, RETRY_US);
		return;
	}
	plan(l);
}

/* Plans if this daemon is the leader; reads the rows first if they are old. */
static void tick(void *arg, uint64_t now_us)
{
	struct planner *l = arg;

	l->timer = 0;
	if (l->calling)
		return;
	if (!planner_is_leader(l) || !planview_is_ready(l->parts.view)) {
		l->leader_since_us = 0;
		schedule_tick(l, TICK_US);
		return;
	}
	if (l->leader_since_us == 0) {
		l->leader_since_us = now_us;
		l->era.first_us = 0;
	}
	if (!l->read_requested && clk_elapsed(now_us, l->read_us) < READ_US) {
		plan(l);
		return;
	}
	l->read_requested = false;
	l->calling = true;
	l->parts.tbl.ops->read(l->parts.tbl.self, NODEROW_TABLE, on_nodes, l);
}

/*
 * Creates the planner, which is idle until this daemon is the leader; NULL if
 * out of memory.
 */
struct planner *planner_create(const struct planner_parts *parts)
{
	struct planner *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->parts = *parts;
	schedule_tick(l, TICK_US);
	return l;
}

/* Stops the planner; another daemon will claim leadership. */
void planner_destroy(struct planner *l)
{
	if (!l)
		return;
	tmr_cancel(evloop_timers(l->parts.loop), l->timer);
	l->dead = true;
	free_if_dead(l);
}

/* Handles the result of a claim, which fails if another daemon was faster. */
static void on_claimed(void *arg, const struct tbl_result *r)
{
	struct planner *l = arg;

	l->calling = false;
	l->claiming = false;
	if (free_if_dead(l))
		return;
	if (r->status == TBL_OK)
		l->parts.on_rows(l->parts.arg, l->changes, l->change_count,
				 r->version);
	else
		refresh_view(l, r);
	clear_changes(l);
	schedule_tick(l, READ_SOON_US);
}

/* Writes the leader's row, on condition that its version is the known one. */
void planner_claim_leadership(struct planner *l, const char *reason)
{
	const struct rsettings *s = l->parts.settings;
	json_t *row;

	if (l->calling || !planview_is_ready(l->parts.view))
		return;
	log_emit(LOG_LEAD_CLAIMED, "reason=\"%s\" before=%s", reason,
		 planview_leader(l->parts.view)->node);
	row = json_pack("{s:s,s:s,s:I}", "node", s->instance, "peer",
			s->peer_address, "process",
			(json_int_t)l->parts.process);
	add_change(l, PLANVIEW_TABLE, PLANVIEW_LEADER,
		   planview_leader(l->parts.view)->version,
		   json_dumps(row, JSON_COMPACT));
	json_decref(row);
	l->calling = true;
	l->claiming = true;
	l->parts.tbl.ops->write(l->parts.tbl.self, l->changes, l->change_count,
				on_claimed, l);
}

/* Measures from the last read, or from the start of leadership. */
bool planner_is_stuck(const struct planner *l)
{
	uint64_t since = l->read_us > l->leader_since_us ? l->read_us :
							   l->leader_since_us;

	return planner_is_leader(l) && l->leader_since_us > 0 &&
	       evloop_now_us(l->parts.loop) - since > STUCK_AFTER_US;
}

/* Replaces the last report of the same daemon. */
void planner_add_report(struct planner *l, const struct noderpt *r)
{
	struct planner_report *k = NULL;

	for (size_t i = 0; i < l->report_count && !k; i++) {
		if (strcmp(l->reports[i].report.incarnation.node,
			   r->incarnation.node) == 0)
			k = &l->reports[i];
	}
	if (!k) {
		k = array_extend(l->reports, l->report_count,
				 &l->report_capacity, sizeof(*l->reports));
		if (!k)
			return;
		l->reports = k;
		k = &l->reports[l->report_count++];
	}
	k->report = *r;
	k->at_us = evloop_now_us(l->parts.loop);
}

/* Adds a change to the next plan. */
void planner_add_crash(struct planner *l, uint64_t fingerprint, uint64_t ended)
{
	planner_crashes_add(&l->crashes, fingerprint, ended);
}

/* Schedules a read of the rows after READ_SOON_US. */
void planner_request_read(struct planner *l)
{
	l->read_requested = true;
	if (!l->calling)
		schedule_tick(l, READ_SOON_US);
}
