#include "adn_view.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "admission.h"
#include "exe.h"
#include "ing.h"
#include "own.h"
#include "placement.h"
#include "pub.h"
#include "syn.h"
#include "upd.h"

#define HOT_MAX 100
#define QUARANTINE_MAX 1000
#define HEX_MAX 20

static json_t *hex(uint64_t value)
{
	char text[HEX_MAX];

	snprintf(text, sizeof(text), "%016" PRIx64, value);
	return json_string(text);
}

static json_t *view_proc(const struct proc *p)
{
	return json_pack("{s:I,s:o}", "instance", (json_int_t)p->instance,
			 "incarnation", hex(p->incarnation));
}

static const char *member_state_name(enum member_state state)
{
	static const char *const names[] = { "up", "draining", "gone" };

	return names[state];
}

/* What this daemon is and does. */
json_t *adn_view_status(const struct nod *n)
{
	const struct admitter *admitter = upd_admission(n->upstream);

	return json_pack(
		"{s:s,s:o,s:s,s:s,s:I,s:I,s:I,s:b,s:b,s:s,s:I,s:I,s:I,s:I,s:f}",
		"name", n->set.name, "process", view_proc(&n->self),
		"data_centre", n->set.data_centre, "region", n->set.region,
		"manifest", (json_int_t)pub_version(n->pub), "mirror",
		(json_int_t)replica_complete_seq(n->replica), "members",
		(json_int_t)replica_member_count(n->replica), "ready",
		syn_is_ready(n->syn), "platform_up", syn_platform_up(n->syn),
		"upstream", upd_state_name(n->upstream), "partitions",
		(json_int_t)own_acting_count(n->own), "running",
		(json_int_t)exe_count(n->exec), "callers",
		(json_int_t)ing_count(n->ingress), "slots",
		(json_int_t)(admitter ? admit_limit(admitter) : 0), "load",
		admitter ? admit_load(admitter, nod_now_us(n)) : 0.0);
}

/* All members as the replica knows them. */
json_t *adn_view_members(const struct nod *n)
{
	json_t *list = json_array();
	const struct member *m;
	size_t pos = 0;

	while ((m = replica_next_member(n->replica, &pos)))
		json_array_append_new(
			list,
			json_pack(
				"{s:o,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:s,s:f}",
				"process", view_proc(&m->proc), "name", m->name,
				"data_centre", m->data_centre, "region",
				m->region, "address", m->address, "http_port",
				m->http_port, "peer_port", m->peer_port,
				"admin_port", m->admin_port, "service",
				m->service, "slots", m->slots, "state",
				member_state_name(m->state), "load",
				syn_load_of(n->syn, m->proc.instance)));
	return list;
}

/* One assignment row and what this daemon knows of its lease. */
static json_t *view_row(const struct nod *n, const struct row *row)
{
	struct proc actor = own_actor(n->own, row->part);
	struct lease_term term = { 0 };
	bool acts = own_may_act(n->own, row->part, &term);
	uint64_t now = nod_now_us(n);
	json_int_t left = 0;

	if (acts)
		left = (json_int_t)((term.until_us - now) / US_PER_MS);
	return json_pack(
		"{s:i,s:i,s:I,s:I,s:o,s:[o,o],s:o,s:i,s:b,s:b,s:I}", "service",
		part_service(row->part), "partition", part_index(row->part),
		"version", (json_int_t)row->set.version, "fence",
		(json_int_t)(acts ? term.fence : row_fence(&row->set)), "owner",
		view_proc(&row->set.owner), "witnesses",
		view_proc(&row->set.witness[0]),
		view_proc(&row->set.witness[1]), "acts", view_proc(&actor),
		"earlier_sets", row->prev_count, "held_here", acts, "draining",
		term.draining, "lease_left_ms", left);
}

/* All assignment rows. */
json_t *adn_view_owners(const struct nod *n)
{
	json_t *list = json_array();
	const struct row *row;
	size_t pos = 0;

	while ((row = replica_next_row(n->replica, &pos)))
		json_array_append_new(list, view_row(n, row));
	return list;
}

/* The keys that are requested most here. */
json_t *adn_view_hot(const struct nod *n)
{
	struct hot_key keys[HOT_MAX];
	size_t count = hot_keys_top(exe_hot_keys(n->exec), keys, HOT_MAX);
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			list,
			json_pack("{s:i,s:i,s:s,s:I,s:I}", "service",
				  part_service(keys[i].part), "partition",
				  part_index(keys[i].part), "key", keys[i].key,
				  "count", (json_int_t)keys[i].count, "error",
				  (json_int_t)keys[i].error));
	return list;
}

/* Requests with strikes. */
json_t *adn_view_quarantine(const struct nod *n)
{
	struct quarantine_entry entries[QUARANTINE_MAX];
	size_t count = quarantine_list(exe_quarantine(n->exec), entries,
				       QUARANTINE_MAX);
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			list, json_pack("{s:o,s:i,s:b,s:s}", "fingerprint",
					hex(entries[i].fingerprint), "strikes",
					entries[i].strikes, "quarantined",
					entries[i].strikes >=
						QUARANTINE_STRIKES_LIMIT,
					"label", entries[i].label));
	return list;
}

/* The partition of a key, its row, and who is tried in which order. */
json_t *adn_view_explain(const struct nod *n, const char *service,
			 const char *key)
{
	const struct manifest *man = pub_manifest(n->pub);
	const struct manifest_service *s =
		man ? manifest_service_by_name(man, service) : NULL;
	const struct row *row;
	uint32_t index;

	if (!s)
		return NULL;
	index = placement_partition_of_key(key, strlen(key), s->partitions);
	row = replica_row(n->replica, part_id(s->id, index));
	return json_pack("{s:s,s:s,s:i,s:i,s:o}", "service", service, "key",
			 key, "partition", index, "partitions", s->partitions,
			 "row", row ? view_row(n, row) : json_null());
}
