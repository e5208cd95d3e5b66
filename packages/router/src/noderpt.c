#include "noderpt.h"
#include "txt.h"

#include <string.h>

#include <jansson.h>

/* Work is sent as an integer, in microseconds per second. */
#define WORK_UNITS_PER_S 1000000.0
/* Position of the held keys, which most reports lack. */
#define HOLDS_INDEX 12

/* Returns the held keys as JSON. */
static json_t *format_holds(const struct noderpt *r)
{
	json_t *list = json_array();

	for (size_t i = 0; i < r->hold_count; i++)
		json_array_append_new(list,
				      json_pack("[I,I,I]",
						(json_int_t)r->holds[i].first,
						(json_int_t)r->holds[i].last,
						(json_int_t)r->holds[i].fence));
	return list;
}

/* Returns the report as JSON, which the caller frees. */
char *noderpt_format(const struct noderpt *r)
{
	json_t *pieces = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < r->piece_count; i++) {
		const struct keyplan_load *p = &r->pieces[i];

		json_array_append_new(
			pieces,
			json_pack("[I,I,I]", (json_int_t)p->first,
				  (json_int_t)p->last,
				  (json_int_t)(p->work * WORK_UNITS_PER_S)));
	}
	root = json_pack(
		"[s,s,I,I,s,i,i,i,I,i,o,I]", r->incarnation.node,
		r->incarnation.id, (json_int_t)r->incarnation.start_unix_ms,
		(json_int_t)r->incarnation.attached, r->service, (int)r->slots,
		(int)r->running, (int)r->waiting, (json_int_t)r->mean_us,
		(int)r->slow_left_ms, pieces, (json_int_t)r->config_version);
	/* Daemons without this list know only reports that lack it. */
	if (r->states_holds)
		json_array_append_new(root, format_holds(r));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Parses the loads; false if one is invalid or there are too many. */
static bool parse_pieces(const json_t *list, struct noderpt *r)
{
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item) {
		struct keyplan_load *p = &r->pieces[r->piece_count];
		json_int_t first, last, work;

		if (r->piece_count == NODERPT_PIECES_MAX ||
		    json_unpack(item, "[I,I,I!]", &first, &last, &work) < 0 ||
		    first < 0 || last < first || last >= KEYMAP_KEYS ||
		    work < 0)
			return false;
		p->first = (uint32_t)first;
		p->last = (uint32_t)last;
		p->work = (double)work / WORK_UNITS_PER_S;
		r->piece_count++;
	}
	return true;
}

/* Parses the held keys; false if an entry is invalid or there are too many. */
static bool parse_holds(const json_t *list, struct noderpt *r)
{
	json_t *item;
	size_t i;

	r->states_holds = true;
	json_array_foreach(list, i, item) {
		struct noderpt_hold *h = &r->holds[r->hold_count];
		json_int_t first, last, fence;

		if (r->hold_count == NODERPT_HOLDS_MAX ||
		    json_unpack(item, "[I,I,I!]", &first, &last, &fence) < 0 ||
		    first < 0 || last < first || last >= KEYMAP_KEYS ||
		    fence < 0)
			return false;
		h->first = (uint32_t)first;
		h->last = (uint32_t)last;
		h->fence = (uint64_t)fence;
		r->hold_count++;
	}
	return json_is_array(list);
}

/* Parses the optional last element of a report and removes it. */
static bool take_holds(json_t *root, struct noderpt *r)
{
	bool ok;

	if (json_array_size(root) <= HOLDS_INDEX)
		return true;
	ok = parse_holds(json_array_get(root, HOLDS_INDEX), r);
	json_array_remove(root, HOLDS_INDEX);
	return ok;
}

/* Parses a report; r is cleared first. */
bool noderpt_parse(const char *json, size_t len, struct noderpt *r)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	const char *node, *id, *service;
	json_int_t born, attached, mean, config;
	int slots, running, waiting, slow_left_ms;
	json_t *pieces;
	bool ok;

	memset(r, 0, sizeof(*r));
	ok = root && take_holds(root, r) &&
	     json_unpack(root, "[s,s,I,I,s,i,i,i,I,i,o,I!]", &node, &id, &born,
			 &attached, &service, &slots, &running, &waiting, &mean,
			 &slow_left_ms, &pieces, &config) == 0 &&
	     strlen(node) < sizeof(r->incarnation.node) &&
	     strlen(id) < sizeof(r->incarnation.id) &&
	     strlen(service) < sizeof(r->service) && slots >= 0 &&
	     running >= 0 && waiting >= 0 && slow_left_ms >= 0 && mean >= 0 &&
	     parse_pieces(pieces, r);
	if (ok) {
		txt_copy(r->incarnation.node, sizeof(r->incarnation.node),
			 node);
		txt_copy(r->incarnation.id, sizeof(r->incarnation.id), id);
		txt_copy(r->service, sizeof(r->service), service);
		r->incarnation.start_unix_ms = born;
		r->incarnation.attached = attached;
		r->slots = (uint32_t)slots;
		r->running = (uint32_t)running;
		r->waiting = (uint32_t)waiting;
		r->mean_us = (uint64_t)mean;
		r->slow_left_ms = (uint32_t)slow_left_ms;
		r->config_version = (uint64_t)config;
	}
	json_decref(root);
	return ok;
}
