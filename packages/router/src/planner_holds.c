#include <stdlib.h>
#include <string.h>

#include "keylease.h"
#include "planner_int.h"

/*
 * Keys that upstreams hold by grants of a map that the table service has lost.
 * At most one upstream holds a key, so one that reports it may become its owner
 * at once. Other keys wait until all leases of earlier eras have ended, unless
 * nothing speaks for such grants.
 */

/* Held keys of an upstream. */
struct claim {
	const struct noderpt_hold *hold;
	const struct incarnation *holder;
};

/* Returns the recent report of a node about an upstream of the service. */
static const struct noderpt *find_statement(const struct planner_input *in,
					    const struct planner_report *k,
					    const char *service)
{
	const struct noderpt *r = &k->report;

	if (!r->states_holds || strcmp(r->service, service) != 0 ||
	    planner_find_report(in, &r->incarnation) != r)
		return NULL;
	return r;
}

bool planner_has_reported_holds(const struct planner_input *in,
				const struct keymap *map, const char *service)
{
	for (size_t i = 0; i < in->report_count; i++) {
		const struct noderpt *r =
			find_statement(in, &in->reports[i], service);

		for (size_t h = 0; r && h < r->hold_count; h++) {
			if (keymap_has_unassigned_in(map, r->holds[h].first,
						     r->holds[h].last))
				return true;
		}
	}
	return false;
}

/* True if planner_has_silent_daemon() means the daemon of this node. */
static bool is_silent(const struct planner_node *n, const char *service)
{
	return n->alive && n->earlier &&
	       (n->row.service[0] == '\0' ||
		strcmp(n->row.service, service) == 0);
}

bool planner_has_silent_daemon(const struct planner_input *in,
			       const char *service)
{
	for (size_t i = 0; i < in->node_count; i++) {
		if (is_silent(&in->nodes[i], service))
			return true;
	}
	return false;
}

/*
 * True if a daemon has written its row in the present era, but its upstream may
 * not have announced itself to it, or it has not reported so.
 */
static bool is_unheard(const struct planner_input *in,
		       const struct planner_node *n, const char *service)
{
	const struct noderpt *r;

	if (!n->alive || n->earlier || n->row.incarnation.id[0] == '\0' ||
	    strcmp(n->row.service, service) != 0)
		return false;
	r = planner_find_report(in, &n->row.incarnation);
	return !r || !r->states_holds;
}

static bool has_unheard(const struct planner_input *in, const char *service)
{
	for (size_t i = 0; i < in->node_count; i++) {
		if (is_unheard(in, &in->nodes[i], service))
			return true;
	}
	return false;
}

/*
 * A map in the table with unassigned keys was made while others could be held,
 * and shows no more than that. Without a map, rows of earlier eras, upstreams
 * that hold keys and upstreams that have not said so speak for a lost one.
 */
bool planner_may_be_held(const struct planner_input *in,
			 const struct keymap *map, const char *service,
			 bool known)
{
	if (!keymap_has_unassigned(map) ||
	    in->table_now_ms >
		    in->era_ms + KEYLEASE_TERM_MS + PLANNER_EXPIRY_MARGIN_MS)
		return false;
	return known || planner_has_reported_holds(in, map, service) ||
	       (in->era > TBL_FIRST_ERA &&
		(planner_has_silent_daemon(in, service) ||
		 has_unheard(in, service)));
}

/* Highest fence first, for qsort(). */
static int compare_claims(const void *a, const void *b)
{
	const struct claim *x = a;
	const struct claim *y = b;

	return (x->hold->fence < y->hold->fence) -
	       (x->hold->fence > y->hold->fence);
}

/* Lists the reported holds of living upstreams, which the caller frees. */
static struct claim *list_claims(const struct planner_input *in,
				 const char *service, size_t *count)
{
	struct claim *list =
		calloc(in->report_count * NODERPT_HOLDS_MAX + 1, sizeof(*list));

	*count = 0;
	for (size_t i = 0; list && i < in->report_count; i++) {
		const struct noderpt *r =
			find_statement(in, &in->reports[i], service);

		if (!r || !planner_find_alive(in, &r->incarnation))
			continue;
		for (size_t h = 0; h < r->hold_count; h++)
			list[(*count)++] =
				(struct claim){ &r->holds[h], &r->incarnation };
	}
	return list;
}

/* Assigns the unassigned keys of a claim. Returns their number. */
static uint32_t adopt(struct keymap *map, const struct claim *c)
{
	uint32_t key = c->hold->first;
	uint32_t adopted = 0;

	while (key <= c->hold->last) {
		const struct keymap_range *range = keymap_find(map, key);
		uint32_t last = range->last < c->hold->last ? range->last :
							      c->hold->last;

		if (keymap_is_unassigned(range))
			adopted += keymap_assign(map, key, last, c->holder);
		key = last + 1;
	}
	return adopted;
}

/*
 * An upstream reports a range also while it works on requests for keys that
 * another one holds already, with a higher fence: that one gets it.
 */
uint32_t planner_adopt_holds(const struct planner_input *in, struct keymap *map,
			     const char *service)
{
	size_t count;
	struct claim *list = list_claims(in, service, &count);
	uint32_t adopted = 0;

	if (count > 0)
		qsort(list, count, sizeof(*list), compare_claims);
	for (size_t i = 0; i < count; i++)
		adopted += adopt(map, &list[i]);
	free(list);
	return adopted;
}
