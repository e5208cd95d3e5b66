#include "membs.h"
#include "txt.h"

#include <stdlib.h>
#include <string.h>

#define MEMBERS_MAX 8192
/* Exponential backoff for a member that cannot be reached. */
#define BACKOFF_MIN_US (250 * US_PER_MS)
#define BACKOFF_MAX_US (2 * US_PER_S)
/* Time in which the weight of a reported load falls from 1 to 0. */
#define REPORT_VALID_US (300 * US_PER_MS)
/* Weight of the newest transit time in its mean. */
#define TRANSIT_WEIGHT 8
/* Idle timeout of connections between daemons. */
#define PEER_IDLE_US (8 * US_PER_S)

struct membs {
	struct evloop *loop;
	struct memb **list;
	size_t count;
	const struct evac *evac; /* NULL if there is none */
	const struct rsettings *settings; /* with regions, or NULL */
};

/* Creates an empty list; NULL if out of memory. */
struct membs *membs_create(struct evloop *l)
{
	struct membs *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->loop = l;
	m->list = calloc(MEMBERS_MAX, sizeof(struct memb *));
	if (!m->list) {
		free(m);
		return NULL;
	}
	return m;
}

/* Sets the evacuated data centres. */
void membs_set_evac(struct membs *m, const struct evac *e)
{
	m->evac = e;
}

/* Sets the regions of data centres. */
void membs_set_regions(struct membs *m, const struct rsettings *s)
{
	m->settings = s;
}

/* Returns the evacuated data centres, NULL if none were set. */
const struct evac *membs_evac(const struct membs *m)
{
	return m->evac;
}

/* Frees a member and closes its connections. */
static void destroy_member(struct memb *r)
{
	httppool_destroy(r->pool);
	free(r);
}

/* Frees all members. */
void membs_destroy(struct membs *m)
{
	if (!m)
		return;
	for (size_t i = 0; i < m->count; i++)
		destroy_member(m->list[i]);
	free(m->list);
	free(m);
}

/* Returns the number of members. */
size_t membs_count(const struct membs *m)
{
	return m->count;
}

/* Returns the clock for random draws. */
const struct clk *membs_clock(const struct membs *m)
{
	return evloop_clock(m->loop);
}

/* Returns the member at an index, which is valid until the next update. */
struct memb *membs_at(const struct membs *m, size_t i)
{
	return m->list[i];
}

/* Returns the member of an instance, NULL if there is none. */
struct memb *membs_find(const struct membs *m, const char *node)
{
	for (size_t i = 0; i < m->count; i++) {
		if (strcmp(m->list[i]->incarnation.node, node) == 0)
			return m->list[i];
	}
	return NULL;
}

/* Returns the listed member with this upstream; l may be NULL. */
struct memb *membs_find_incarnation(const struct membs *m,
				    const struct incarnation *l)
{
	struct memb *r = l ? membs_find(m, l->node) : NULL;

	return r && r->listed && incarnation_equal(&r->incarnation, l) ? r :
									 NULL;
}

/* Sets the address; a new one replaces the pool once no request is left. */
static void set_address(struct membs *m, struct memb *r, const char *address)
{
	struct sockaddr_in a;

	if (strcmp(r->peer_address, address) == 0 && r->pool)
		return;
	if (r->outstanding > 0 || !tcpsock_parse_address(address, &a))
		return;
	httppool_destroy(r->pool);
	r->pool = httppool_create(m->loop, &a, PEER_IDLE_US);
	if (r->pool)
		httppool_set_compact(r->pool);
	strncpy(r->peer_address, address, sizeof(r->peer_address) - 1);
}

/* Adds or updates one member of a plan; false if it is invalid. */
static bool update_member(struct membs *m, const json_t *item)
{
	const char *node, *dc, *address, *id, *service;
	json_int_t born, attached, slots;
	int takes_work;
	struct memb *r;

	if (json_unpack((json_t *)item, "[s,s,s,s,I,I,s,I,b!]", &node, &dc,
			&address, &id, &born, &attached, &service, &slots,
			&takes_work) < 0 ||
	    slots < 0)
		return false;
	r = membs_find(m, node);
	if (!r) {
		if (m->count == MEMBERS_MAX)
			return false;
		r = calloc(1, sizeof(*r));
		if (!r || !txt_copy(r->incarnation.node,
				    sizeof(r->incarnation.node), node)) {
			free(r);
			return false;
		}
		m->list[m->count++] = r;
	}
	if (strcmp(r->incarnation.id, id) != 0 ||
	    r->incarnation.start_unix_ms != born)
		r->drain_end_us = 0;
	r->listed =
		txt_copy(r->incarnation.id, sizeof(r->incarnation.id), id) &&
		txt_copy(r->data_centre, sizeof(r->data_centre), dc) &&
		txt_copy(r->service, sizeof(r->service), service);
	txt_copy(r->region, sizeof(r->region),
		 m->settings ? rsettings_region(m->settings, r->data_centre) :
			       "");
	r->incarnation.start_unix_ms = born;
	r->incarnation.attached = attached;
	r->slots = (uint32_t)slots;
	r->takes_work = takes_work != 0;
	set_address(m, r, address);
	return r->listed;
}

/* Removes unlisted members that have no outstanding requests. */
static void remove_unlisted(struct membs *m)
{
	size_t kept = 0;

	for (size_t i = 0; i < m->count; i++) {
		struct memb *r = m->list[i];

		if (r->listed || r->outstanding > 0)
			m->list[kept++] = r;
		else
			destroy_member(r);
	}
	m->count = kept;
}

/* Updates the list; an invalid member does not affect the others. */
bool membs_update(struct membs *m, const char *json, size_t len)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	bool ok = json_is_array(root);
	json_t *item;
	size_t i;

	for (i = 0; ok && i < m->count; i++)
		m->list[i]->listed = false;
	if (ok) {
		json_array_foreach(root, i, item) {
			if (!update_member(m, item))
				ok = false;
		}
		remove_unlisted(m);
	}
	json_decref(root);
	return ok;
}

/* The weight falls evenly to 0. */
double memb_confidence(const struct memb *m, uint64_t now_us)
{
	uint64_t age_us = clk_elapsed(now_us, m->told_us);

	return age_us < REPORT_VALID_US ?
		       1.0 - (double)age_us / (double)REPORT_VALID_US :
		       0;
}

/*
 * Counts requests of this daemon in full. The load reported by the member loses
 * weight with its age.
 */
double memb_utilisation(const struct memb *m, uint64_t now_us)
{
	double reported = m->waiting * memb_confidence(m, now_us);

	if (m->slots == 0)
		return 1;
	if (reported < (double)m->outstanding)
		reported = (double)m->outstanding;
	return reported / (double)m->slots;
}

/* Updates the mean; the first time counts in full. */
void memb_record_transit(struct memb *m, uint64_t transit_us)
{
	if (m->transit_us == 0)
		m->transit_us = transit_us;
	m->transit_us = (m->transit_us * (TRANSIT_WEIGHT - 1) + transit_us) /
			TRANSIT_WEIGHT;
}

/* Avoids the member for a time that doubles with each failure. */
void memb_record_failure(struct memb *m, uint64_t now_us)
{
	uint64_t wait = BACKOFF_MIN_US << (m->failures < 3 ? m->failures : 3);

	m->failures++;
	m->avoid_until_us =
		now_us + (wait < BACKOFF_MAX_US ? wait : BACKOFF_MAX_US);
}

/* Ends the backoff. */
void memb_record_answer(struct memb *m)
{
	m->failures = 0;
	m->avoid_until_us = 0;
}

/* False once the drain time of an upstream that leaves is over. */
bool memb_is_open(const struct memb *m, uint64_t now_us)
{
	return m->drain_end_us == 0 || now_us < m->drain_end_us;
}
