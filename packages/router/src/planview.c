#include "planview.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "array.h"
#include "log.h"
#include "planage.h"
#include "txt.h"

/*
 * Pause of the table watch while the leader confirms the plan. It is ended when
 * confirmations are missing.
 */
#define WATCH_DELAY_US (60 * US_PER_S)
/* Minimum interval of reads of a plan that may be outdated. */
#define REFRESH_MIN_US (1 * US_PER_S)

struct service_map {
	char service[NAME_SIZE];
	struct keymap *map;
	uint64_t version; /* era and number of the write of the map */
	uint64_t row_version; /* of the row in the table */
	bool unconfirmed; /* only known from an older copy */
	bool copied; /* the same, and no daemon has sent it */
};

struct planview {
	struct tblwatch *watch;
	struct membs *members;
	uint64_t members_version;
	char *members_text;
	struct planview_leader leader;
	struct service_map *maps;
	size_t map_count, map_capacity;
	struct crashes crashes;
	char *crashes_text;
	uint64_t crashes_version;
	planview_changed_fn fn;
	void *arg;
	struct evloop *loop;
	uint64_t refreshed_us;
	struct planage age;
	uint64_t epoch;
	bool ready;
	bool changed;
};

/* Writes the row key of a service's map to out. */
void planview_map_key(const char *service, char *out)
{
	snprintf(out, PLANVIEW_KEY_MAX, "%s%s", PLANVIEW_KEYS_PREFIX, service);
}

/*
 * Returns the entry of a service, new if need be; it is valid until the next
 * one is added. NULL if out of memory or if the key names no identifier.
 */
static struct service_map *find_map(struct planview *v, const char *service)
{
	struct service_map *m;

	for (size_t i = 0; i < v->map_count; i++) {
		if (strcmp(v->maps[i].service, service) == 0)
			return &v->maps[i];
	}
	m = array_extend(v->maps, v->map_count, &v->map_capacity,
			 sizeof(*v->maps));
	if (!m)
		return NULL;
	v->maps = m;
	m += v->map_count;
	if (!txt_copy(m->service, sizeof(m->service), service))
		return NULL;
	v->map_count++;
	return m;
}

/*
 * Applies a row with a map; an invalid one is logged and ignored. A row of an
 * older copy has the map of an earlier era. It does not replace a newer one,
 * by which keys have been granted.
 */
static void apply_map(struct planview *v, const char *key, const char *value,
		      size_t len, uint64_t version)
{
	struct service_map *m = find_map(v, key + strlen(PLANVIEW_KEYS_PREFIX));
	struct err err = { 0 };
	struct keymap *map;
	uint64_t written = version;

	if (m && version == m->version)
		m->copied = false;
	if (!m || (version <= m->version && version <= m->row_version))
		return;
	map = keymap_parse(value, len, &err);
	if (map && keymap_era(map) != KEYMAP_NO_ERA &&
	    keymap_era(map) > tbl_era(version)) {
		err_set(&err, ERR_ROWS, KEYMAP_BAD_VALUE,
			"key range map: of a later era than its row");
		keymap_destroy(map);
		map = NULL;
	}
	if (!map) {
		log_emit(LOG_ROW_INVALID, "key=%s version=%llu reason=\"%s\"",
			 key, (unsigned long long)version, err.text);
		return;
	}
	if (keymap_era(map) != KEYMAP_NO_ERA)
		written = tbl_version(keymap_era(map), tbl_number(version));
	if (version > m->row_version)
		m->row_version = version;
	if (written <= m->version) {
		keymap_destroy(map);
		return;
	}
	m->unconfirmed = tbl_era(written) < tbl_era(m->row_version) &&
			 (!m->map || m->unconfirmed);
	m->copied = tbl_era(written) < tbl_era(version);
	if (tbl_era(version) < tbl_era(m->row_version))
		log_emit(LOG_EARLIER_MAP_TAKEN, "service=%s version=%llu",
			 m->service, (unsigned long long)written);
	keymap_destroy(m->map);
	m->map = map;
	m->version = written;
	v->changed = true;
}

/* Applies the leader's row; an invalid one is ignored. */
static void apply_leader(struct planview *v, const char *value, size_t len,
			 uint64_t version)
{
	json_t *root = json_loadb(value, len, 0, NULL);
	const char *node, *peer;
	json_int_t process = 0; /* missing in rows of earlier versions */

	if (version > v->leader.version &&
	    json_unpack(root, "{s:s,s:s,s?I}", "node", &node, "peer", &peer,
			"process", &process) == 0 &&
	    strlen(node) < NAME_SIZE && strlen(peer) < RSETTINGS_ADDRESS_MAX) {
		log_emit(LOG_LEADER_CHANGED, "from=%s to=%s version=%llu",
			 v->leader.node[0] ? v->leader.node : "-", node,
			 (unsigned long long)version);
		txt_copy(v->leader.node, sizeof(v->leader.node), node);
		txt_copy(v->leader.peer_address, sizeof(v->leader.peer_address),
			 peer);
		v->leader.process = (uint64_t)process;
		v->leader.version = version;
		v->changed = true;
	}
	json_decref(root);
}

/*
 * Applies the row of the requests that crash upstreams. One of a later era may
 * lack known ones, which are kept.
 */
static void apply_crashes(struct planview *v, const char *value, size_t len,
			  uint64_t version)
{
	struct crashes list;

	if (version <= v->crashes_version)
		return;
	if (!crashes_parse(value, len, &list))
		log_emit(LOG_ROW_INVALID, "key=%s version=%llu",
			 PLANVIEW_CRASHES, (unsigned long long)version);
	if (tbl_era(version) > tbl_era(v->crashes_version))
		crashes_merge(&list, &v->crashes);
	v->crashes = list;
	v->crashes_version = version;
	free(v->crashes_text);
	v->crashes_text = strndup(value, len);
}

/* Applies one row of the plan; rows with an unknown key are ignored. */
void planview_apply_row(struct planview *v, const char *key, const char *value,
			size_t len, uint64_t version)
{
	if (strcmp(key, PLANVIEW_LEADER) == 0) {
		apply_leader(v, value, len, version);
	} else if (strcmp(key, PLANVIEW_MEMBERS) == 0) {
		if (version <= v->members_version)
			return;
		if (!membs_update(v->members, value, len))
			log_emit(LOG_ROW_INVALID, "key=%s version=%llu", key,
				 (unsigned long long)version);
		v->members_version = version;
		free(v->members_text);
		v->members_text = strndup(value, len);
		v->changed = true;
	} else if (strcmp(key, PLANVIEW_CRASHES) == 0) {
		apply_crashes(v, value, len, version);
	} else if (strncmp(key, PLANVIEW_KEYS_PREFIX,
			   strlen(PLANVIEW_KEYS_PREFIX)) == 0) {
		apply_map(v, key, value, len, version);
	}
	if (v->changed)
		v->epoch++;
}

/* Applies a row of the watch; rows of the plan are never removed. */
static void on_row(void *arg, const struct tbl_row *r)
{
	struct planview *v = arg;

	if (!r->removed)
		planview_apply_row(v, r->key, r->value, r->len, r->version);
}

/*
 * After a snapshot, a known row of an earlier era does not exist any more. What
 * it held stays known; its next write requires that there is no such row.
 */
static void forget_lost_rows(struct planview *v)
{
	uint64_t era = tbl_era(tblwatch_version(v->watch));

	if (tbl_era(v->leader.version) < era)
		memset(&v->leader, 0, sizeof(v->leader));
	if (tbl_era(v->members_version) < era)
		v->members_version = 0;
	if (tbl_era(v->crashes_version) < era)
		v->crashes_version = 0;
	for (size_t i = 0; i < v->map_count; i++) {
		if (tbl_era(v->maps[i].row_version) < era)
			v->maps[i].row_version = 0;
	}
}

/* Reports all changes of an answer in one call. */
static void on_synced(void *arg, bool whole)
{
	struct planview *v = arg;

	if (whole) {
		v->ready = true;
		forget_lost_rows(v);
	}
	if (!v->changed && !whole)
		return;
	v->changed = false;
	/* Without a leader no daemon sends changes, so the delay stays 0. */
	if (v->leader.version > 0)
		tblwatch_set_delay(v->watch, WATCH_DELAY_US);
	v->fn(v->arg);
}

/* Logs the failure; the known plan stays in use. */
static void on_lost(void *arg, const char *reason)
{
	struct planview *v = arg;

	log_emit(LOG_TABLE_LOST, "table=%s reason=\"%s\" epoch=%llu",
		 PLANVIEW_TABLE, reason, (unsigned long long)v->epoch);
}

static const struct tblwatch_ops watch_ops = { on_row, on_synced, on_lost };

/* Starts to watch the plan table; NULL if out of memory. */
struct planview *planview_create(struct evloop *l, struct tbl tbl,
				 planview_changed_fn fn, void *arg)
{
	struct planview *v = calloc(1, sizeof(*v));

	if (!v)
		return NULL;
	v->loop = l;
	v->fn = fn;
	v->arg = arg;
	v->members = membs_create(l);
	v->watch = v->members ? tblwatch_create(l, tbl, PLANVIEW_TABLE, 0,
						&watch_ops, v) :
				NULL;
	if (!v->watch) {
		planview_destroy(v);
		return NULL;
	}
	return v;
}

/* Frees the plan and stops the watch. */
void planview_destroy(struct planview *v)
{
	if (!v)
		return;
	tblwatch_destroy(v->watch);
	membs_destroy(v->members);
	free(v->members_text);
	free(v->crashes_text);
	for (size_t i = 0; i < v->map_count; i++)
		keymap_destroy(v->maps[i].map);
	free(v->maps);
	free(v);
}

/* True once the whole plan has been read. */
bool planview_is_ready(const struct planview *v)
{
	return v->ready;
}

/* Reads a new snapshot of the plan; returns a ticket for planview_ticket(). */
uint64_t planview_request_read(struct planview *v)
{
	return tblwatch_request_read(v->watch);
}

/* Replaces a poll that may never be answered. */
void planview_restart_watch(struct planview *v)
{
	tblwatch_restart(v->watch);
}

/* Applies the current rows returned with a conflict. */
void planview_apply_conflict(struct planview *v, const struct tbl_result *r)
{
	for (size_t i = 0; i < r->count; i++) {
		if (strcmp(r->rows[i].table, PLANVIEW_TABLE) == 0)
			on_row(v, &r->rows[i]);
	}
	on_synced(v, false);
}

/* Adds the version of a row to the digest. */
static uint64_t digest_row(const char *key, uint64_t version)
{
	return XXH3_64bits_withSeed(key, strlen(key), version);
}

/* Returns a digest of the versions of all rows. */
uint64_t planview_digest(const struct planview *v)
{
	uint64_t sum = digest_row(PLANVIEW_LEADER, v->leader.version) +
		       digest_row(PLANVIEW_MEMBERS, v->members_version) +
		       digest_row(PLANVIEW_CRASHES, v->crashes_version);

	for (size_t i = 0; i < v->map_count; i++)
		sum += digest_row(v->maps[i].service, v->maps[i].version);
	return sum;
}

/* Compares the plan with that of the leader, by a response to a report. */
void planview_confirm(struct planview *v, uint64_t digest)
{
	planage_record(&v->age, digest == planview_digest(v),
		       evloop_now_us(v->loop));
}

/* Polls the table early if the plan may be out of date; to be called often. */
void planview_check_age(struct planview *v)
{
	enum planage_poll poll =
		planage_due(&v->age, tblwatch_answered_us(v->watch),
			    evloop_now_us(v->loop));

	if (poll != PLANAGE_NONE)
		tblwatch_end_pause(v->watch, poll == PLANAGE_SNAPSHOT);
}

/* Reads the plan again, at most once per REFRESH_MIN_US. */
void planview_refresh(struct planview *v)
{
	uint64_t now = evloop_now_us(v->loop);

	if (clk_elapsed(now, v->refreshed_us) < REFRESH_MIN_US)
		return;
	v->refreshed_us = now;
	planview_request_read(v);
}

/* Returns the ticket of the last completed read. */
uint64_t planview_ticket(const struct planview *v)
{
	return tblwatch_ticket(v->watch);
}

/* Returns the leader; its version is 0 if there was no leader yet. */
const struct planview_leader *planview_leader(const struct planview *v)
{
	return &v->leader;
}

/* Returns the members. */
struct membs *planview_members(struct planview *v)
{
	return v->members;
}

/* Returns the version of the members' row, 0 if there is none. */
uint64_t planview_members_version(const struct planview *v)
{
	return v->members_version;
}

/* Returns the members' row as it was read, NULL if there is none. */
const char *planview_members_text(const struct planview *v)
{
	return v->members_text;
}

/* Returns the entry of a service, NULL if there is none. */
static const struct service_map *get_map(const struct planview *v,
					 const char *service)
{
	for (size_t i = 0; i < v->map_count; i++) {
		if (strcmp(v->maps[i].service, service) == 0)
			return &v->maps[i];
	}
	return NULL;
}

/* Returns the map of a service and sets its version; NULL and 0 if none. */
const struct keymap *planview_map(const struct planview *v, const char *service,
				  uint64_t *version)
{
	const struct service_map *m = get_map(v, service);

	*version = m ? m->version : 0;
	return m ? m->map : NULL;
}

/* Returns the version of the row of a map in the table, 0 if there is none. */
uint64_t planview_map_row_version(const struct planview *v, const char *service)
{
	const struct service_map *m = get_map(v, service);

	return m ? m->row_version : 0;
}

/* True if the map of a service is only known from an older copy. */
bool planview_map_is_unconfirmed(const struct planview *v, const char *service)
{
	const struct service_map *m = get_map(v, service);

	return m && m->unconfirmed;
}

/* A row of a map that a daemon sends has the version that it was written with. */
bool planview_map_is_copied(const struct planview *v, const char *service)
{
	const struct service_map *m = get_map(v, service);

	return m && m->copied;
}

/* Lists the maps of an earlier era that this daemon has granted keys by. */
struct planview_row *planview_list_earlier(const struct planview *v,
					   uint64_t era, size_t *count)
{
	struct planview_row *rows = calloc(v->map_count + 1, sizeof(*rows));

	*count = 0;
	for (size_t i = 0; rows && i < v->map_count; i++) {
		const struct service_map *m = &v->maps[i];

		if (!m->map || m->unconfirmed || tbl_era(m->version) >= era)
			continue;
		planview_map_key(m->service, rows[*count].key);
		rows[*count].value = keymap_encode(m->map);
		rows[(*count)++].version = m->version;
	}
	if (*count > 0)
		return rows;
	free(rows);
	return NULL;
}

/* Frees the rows of planview_list_earlier(). */
void planview_free_rows(struct planview_row *rows, size_t count)
{
	for (size_t i = 0; i < count; i++)
		free(rows[i].value);
	free(rows);
}

/* Returns the requests that crash upstreams. */
const struct crashes *planview_crashes(const struct planview *v)
{
	return &v->crashes;
}

/* Returns the text of their row, "" if there is none. */
const char *planview_crashes_text(const struct planview *v)
{
	return v->crashes_text ? v->crashes_text : "";
}

/* Returns the version of their row, 0 if there is none. */
uint64_t planview_crashes_version(const struct planview *v)
{
	return v->crashes_version;
}

/* Returns the number of changes of the plan. */
uint64_t planview_epoch(const struct planview *v)
{
	return v->epoch;
}
