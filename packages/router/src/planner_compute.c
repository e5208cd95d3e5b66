#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "keylease.h"
#include "planner_int.h"
#include "log.h"
#include "keysample.h"

/* Maximum age of a report. */
#define REPORT_MAX_AGE_US (3 * US_PER_S)
/* Bounds of the measured speed, as a multiple of the mean of the service. */
#define SPEED_MIN 0.3
#define SPEED_MAX 3.0
/* Maximum speed assumed during the slow start of an upstream. */
#define SLOW_START_SPEED_MAX 0.6
#define LOADS_MAX 8192

/* Lists the nodes with a valid lease. */
char *planner_format_members(const struct planner_input *in)
{
	json_t *list = json_array();
	char *text;

	for (size_t i = 0; i < in->node_count; i++) {
		const struct noderow *r = &in->nodes[i].row;

		if (!in->nodes[i].alive || in->nodes[i].unreadable)
			continue;
		json_array_append_new(
			list,
			json_pack(
				"[s,s,s,s,I,I,s,I,b]", r->node, r->data_centre,
				r->peer_address, r->incarnation.id,
				(json_int_t)r->incarnation.start_unix_ms,
				(json_int_t)r->incarnation.attached, r->service,
				(json_int_t)r->slots, r->takes_work));
	}
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return text;
}

/* Returns the node of an incarnation that may still hold keys, else NULL. */
const struct planner_node *planner_find_alive(const struct planner_input *in,
					      const struct incarnation *l)
{
	for (size_t i = 0; i < in->node_count; i++) {
		const struct planner_node *n = &in->nodes[i];

		if (n->alive && incarnation_equal(&n->row.incarnation, l))
			return n;
	}
	return NULL;
}

/* Returns the recent report of an incarnation, NULL if there is none. */
const struct noderpt *planner_find_report(const struct planner_input *in,
					  const struct incarnation *l)
{
	for (size_t i = 0; i < in->report_count; i++) {
		const struct planner_report *k = &in->reports[i];

		if (incarnation_equal(&k->report.incarnation, l) &&
		    clk_elapsed(in->now_us, k->at_us) < REPORT_MAX_AGE_US)
			return &k->report;
	}
	return NULL;
}

/*
 * True if the row of an incarnation may be lost or cannot be read. A node that
 * has written its row in the present era has no other incarnation than that.
 */
static bool may_be_lost(const struct planner_input *in,
			const struct incarnation *l)
{
	for (size_t i = 0; i < in->node_count; i++) {
		const struct planner_node *n = &in->nodes[i];

		if (strcmp(n->row.node, l->node) != 0)
			continue;
		if (n->unreadable)
			return n->alive;
		if (!n->earlier)
			return false;
	}
	return in->table_now_ms <=
	       in->era_ms + KEYLEASE_TERM_MS + PLANNER_EXPIRY_MARGIN_MS;
}

/* Removes the incarnations that no longer hold keys from the map. */
static void remove_ended(const struct planner_input *in, struct keymap *map)
{
	for (uint16_t i = 0; i < keymap_incarnation_count(map); i++) {
		const struct incarnation *l = keymap_incarnation(map, i);

		if (planner_find_alive(in, l) || may_be_lost(in, l))
			continue;
		if (keymap_end_incarnation(map, l))
			log_emit(LOG_LIFE_TAKEN_OUT, "id=%s node=%s", l->id,
				 l->node);
	}
}

/* Returns the mean work of a request in us, over all reports of a service. */
static double mean_work_us(const struct planner_input *in, const char *service)
{
	double sum = 0;
	size_t n = 0;

	for (size_t i = 0; i < in->report_count; i++) {
		const struct planner_report *k = &in->reports[i];

		if (strcmp(k->report.service, service) != 0 ||
		    clk_elapsed(in->now_us, k->at_us) >= REPORT_MAX_AGE_US ||
		    k->report.mean_us == 0)
			continue;
		sum += (double)k->report.mean_us;
		n++;
	}
	return n > 0 ? sum / (double)n : 0;
}

/* Returns the speed of an upstream as a multiple of the mean of its service. */
static double relative_speed(const struct noderpt *r, double mean_us)
{
	double speed;

	if (!r || r->mean_us == 0 || mean_us <= 0)
		return 1;
	speed = mean_us / (double)r->mean_us;
	if (r->slow_left_ms > 0 && speed > SLOW_START_SPEED_MAX)
		speed = SLOW_START_SPEED_MAX;
	if (speed < SPEED_MIN)
		return SPEED_MIN;
	return speed > SPEED_MAX ? SPEED_MAX : speed;
}

/*
 * True if the local upstream of a node may own keys of the service. Those of an
 * evacuated data centre may not, whatever their rows still say.
 */
static bool is_target(const struct planner_input *in,
		      const struct planner_node *n, const char *service)
{
	return n->alive && !n->earlier && n->row.takes_work &&
	       !evac_is_evacuated(in->evac, n->row.data_centre) &&
	       n->row.incarnation.id[0] != '\0' && n->row.slots > 0 &&
	       strcmp(n->row.service, service) == 0;
}

/* Returns the number of upstreams that may own keys of the service. */
size_t planner_count_targets(const struct planner_input *in,
			     const char *service)
{
	size_t n = 0;

	for (size_t i = 0; i < in->node_count; i++)
		n += is_target(in, &in->nodes[i], service);
	return n;
}

/* Lists the upstreams that may own keys of the service. */
static size_t list_targets(const struct planner_input *in, const char *service,
			   struct keyplan_target *out)
{
	double mean_us = mean_work_us(in, service);
	size_t n = 0;

	for (size_t i = 0; i < in->node_count; i++) {
		const struct planner_node *x = &in->nodes[i];
		const struct noderpt *r =
			planner_find_report(in, &x->row.incarnation);

		if (!is_target(in, x, service))
			continue;
		out[n].incarnation = x->row.incarnation;
		out[n].capacity =
			(double)x->row.slots * relative_speed(r, mean_us);
		out[n].request_work = mean_us / (double)KEYSAMPLE_WINDOW_US;
		n++;
	}
	return n;
}

/* Compares two loads by their first key, for qsort(). */
static int compare_loads(const void *a, const void *b)
{
	const struct keyplan_load *x = a;
	const struct keyplan_load *y = b;

	return (x->first > y->first) - (x->first < y->first);
}

/*
 * Lists the measured work of all upstreams, scaled by their speed so that the
 * work of fast and slow upstreams is comparable.
 */
static size_t list_loads(const struct planner_input *in, const char *service,
			 struct keyplan_load *out)
{
	double mean_us = mean_work_us(in, service);
	size_t n = 0;

	for (size_t i = 0; i < in->report_count; i++) {
		const struct noderpt *r = &in->reports[i].report;
		double speed = relative_speed(r, mean_us);

		if (strcmp(r->service, service) != 0 ||
		    clk_elapsed(in->now_us, in->reports[i].at_us) >=
			    REPORT_MAX_AGE_US)
			continue;
		for (size_t p = 0; p < r->piece_count && n < LOADS_MAX; p++) {
			out[n] = r->pieces[p];
			out[n++].work *= speed;
		}
	}
	qsort(out, n, sizeof(out[0]), compare_loads);
	return n;
}

/* Adopts keys first, as their owners need not be targets. */
struct planner_result planner_plan_keys(const struct planner_input *in,
					const char *service, struct keymap *map,
					bool known, uint64_t settled)
{
	struct keyplan_target *targets =
		calloc(in->node_count + 1, sizeof(*targets));
	struct keyplan_load *loads = calloc(LOADS_MAX, sizeof(*loads));
	struct planner_result result = { 0 };

	result.incomplete = planner_may_be_held(in, map, service, known);
	if (result.incomplete)
		result.adopted = planner_adopt_holds(in, map, service);
	if (targets && loads) {
		size_t target_count = list_targets(in, service, targets);
		size_t load_count = list_loads(in, service, loads);

		remove_ended(in, map);
		result.keys = (result.incomplete ? keyplan_run_incomplete :
						   keyplan_run)(
			map, targets, target_count, loads, load_count, settled);
	}
	free(targets);
	free(loads);
	return result;
}
