#include "exe.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bal.h"
#include "ctr.h"
#include "exe_run.h"
#include "log.h"
#include "own.h"
#include "syn.h"
#include "upd.h"
#include "wrt.h"

#define DUPLICATES_MAX 1000000
#define HOT_KEYS 100
#define HOUSEKEEPING_US US_PER_S
#define HOT_DECAY_S 10
#define QUARANTINE_TICK_S 60

struct exe {
	struct nod *n;
	struct exe_run *runs;
	size_t count;
	struct dedup *duplicates;
	struct quarantine_table *quarantine;
	struct hot_keys *hot_keys;
	uint64_t ticks;
};

static void housekeeping_due(void *arg, uint64_t now_us)
{
	struct exe *e = arg;
	uint64_t wall_ms = clk_wall_ms(e->n->clk);

	(void)now_us;
	e->ticks++;
	dedup_expire(e->duplicates, wall_ms);
	if (e->ticks % HOT_DECAY_S == 0)
		hot_keys_decay(e->hot_keys);
	if (e->ticks % QUARANTINE_TICK_S == 0)
		quarantine_tick(e->quarantine, wall_ms);
}

/* Strikes that other daemons have counted, and those that are lifted. */
static void row_changed(void *arg, const struct replica_entry *entry)
{
	struct exe *e = arg;
	uint64_t fingerprint;
	char label[96] = "";
	json_t *json;

	if (sscanf(entry->key, "quarantine/%" SCNx64, &fingerprint) != 1)
		return;
	json = json_loads(entry->value, 0, NULL);
	if (!json)
		return;
	if (json_string_value(json_object_get(json, "label")))
		snprintf(label, sizeof(label), "%s",
			 json_string_value(json_object_get(json, "label")));
	quarantine_merge(
		e->quarantine, fingerprint,
		(uint32_t)json_integer_value(json_object_get(json, "strikes")),
		label, clk_wall_ms(e->n->clk));
	json_decref(json);
}

/* Makes the module without requests. */
struct exe *exe_create(struct nod *n)
{
	struct exe *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->n = n;
	e->duplicates = dedup_create(DUPLICATES_MAX);
	e->quarantine = quarantine_create();
	e->hot_keys = hot_keys_create(HOT_KEYS);
	if (!e->duplicates || !e->quarantine || !e->hot_keys) {
		exe_destroy(e);
		return NULL;
	}
	replica_subscribe(n->replica, row_changed, e);
	tmr_every(n->timers, nod_now_us(n) + HOUSEKEEPING_US, HOUSEKEEPING_US,
		  housekeeping_due, e);
	return e;
}

/* Frees the module and forgets what runs. */
void exe_destroy(struct exe *e)
{
	if (!e)
		return;
	while (e->runs)
		exe_cancel(e->runs);
	dedup_destroy(e->duplicates);
	quarantine_destroy(e->quarantine);
	hot_keys_destroy(e->hot_keys);
	free(e);
}

/* Puts a run into the list of its module. */
void exe_link(struct exe *e, struct exe_run *r)
{
	r->next = e->runs;
	if (r->next)
		r->next->prev = r;
	e->runs = r;
	e->count++;
	ctr_set(CTR_RUNS, e->count);
}

/* Takes a run out of the list. */
void exe_unlink(struct exe *e, struct exe_run *r)
{
	if (r->prev)
		r->prev->next = r->next;
	else
		e->runs = r->next;
	if (r->next)
		r->next->prev = r->prev;
	e->count--;
	ctr_set(CTR_RUNS, e->count);
}

/* Returns the node of the module. */
struct nod *exe_node(struct exe *e)
{
	return e->n;
}

/* Looks for a run that has passed the check of ownership. */
bool exe_is_idle(const struct exe *e, uint64_t part)
{
	for (const struct exe_run *r = e->runs; r; r = r->next) {
		if (r->part == part && r->phase >= RUN_QUEUED)
			return false;
	}
	return true;
}

/* Ends everything that runs for a partition that is lost. */
void exe_abandon(struct exe *e, uint64_t part)
{
	struct exe_run *r = e->runs;

	while (r) {
		struct exe_run *next = r->next;

		if (r->part == part && r->phase >= RUN_QUEUED)
			exe_run_abandon(r);
		r = next;
	}
}

/* Counts the runs. */
size_t exe_count(const struct exe *e)
{
	return e->count;
}

/* Returns the duplicate windows. */
struct dedup *exe_duplicates(struct exe *e)
{
	return e->duplicates;
}

/* Returns the quarantine. */
struct quarantine_table *exe_quarantine(struct exe *e)
{
	return e->quarantine;
}

/* Returns the sketch of hot keys. */
struct hot_keys *exe_hot_keys(struct exe *e)
{
	return e->hot_keys;
}

/* Tells the other members of the service at once, by datagrams. */
static void tell_members(struct exe *e, uint64_t fingerprint, uint32_t strikes,
			 const char *label)
{
	struct peer_strike m = { .from = nod_to_peer(&e->n->self),
				 .fingerprint = fingerprint,
				 .strikes = strikes,
				 .label = (char *)label };
	const struct member *member;
	struct peerrpc_address to;
	size_t pos = 0;

	while ((member = replica_next_member(e->n->replica, &pos))) {
		if (member->proc.instance == e->n->self.instance ||
		    member->service == 0 || member->state == MEMBER_GONE)
			continue;
		nod_peer_address(member, &to);
		peerrpc_notify(e->n->peers, &to, PEER_STRIKE, &m);
	}
}

/* Counts a strike here, tells the members, and writes it to the table. */
void exe_strike(struct exe *e, uint64_t fingerprint, const char *label)
{
	uint32_t strikes = quarantine_add_strike(e->quarantine, fingerprint,
						 label, clk_wall_ms(e->n->clk));
	char key[ROW_KEY_MAX];
	json_t *json;
	char *value;

	ctr_add(CTR_STRIKES, 1);
	log_emit(LOG_REQUEST_STRIKE,
		 "fingerprint=%016" PRIx64 " strikes=%u label=\"%s\"",
		 fingerprint, strikes, label);
	tell_members(e, fingerprint, strikes, label);
	snprintf(key, sizeof(key), "quarantine/%016" PRIx64, fingerprint);
	json = json_pack("{s:i,s:s}", "strikes", (int)strikes, "label", label);
	value = json ? json_dumps(json, JSON_COMPACT) : NULL;
	if (value)
		wrt_value(e->n->writer, key, value, NULL, NULL);
	free(value);
	json_decref(json);
}
