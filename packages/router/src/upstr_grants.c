#include <stdlib.h>
#include <string.h>

#include "upstr_int.h"
#include "keylease.h"
#include "log.h"
#include "txt.h"

#define ANSWER_FIELDS "Content-Type: application/json\r\n"

/*
 * Returns the key range map of the upstream's service, NULL if there is none.
 */
static const struct keymap *service_map(const struct upstr *a)
{
	uint64_t version;

	if (a->service[0] == '\0')
		return NULL;
	return planview_map(a->parts.view, a->service, &version);
}

/* True if the known plan is new enough for grants, and the lease is valid. */
static bool may_grant(const struct upstr *a)
{
	return a->announced && planview_is_ready(a->parts.view) &&
	       !planview_map_is_unconfirmed(a->parts.view, a->service) &&
	       planview_ticket(a->parts.view) >= a->ticket &&
	       nodelease_end_us(a->parts.lease) > 0;
}

/* A map that is not confirmed assigns nothing, as no keys are granted by it. */
void upstr_state_holds(const struct upstr *a, struct noderpt *report)
{
	const struct keymap *map = service_map(a);

	if (planview_map_is_unconfirmed(a->parts.view, a->service))
		map = NULL;
	if (!a->announced || (map && !keymap_has_unassigned(map)))
		return;
	report->states_holds = true;
	for (size_t i = 0; i < a->last.hold_count; i++) {
		const struct plat_hold *h = &a->last.holds[i];

		if (report->hold_count == NODERPT_HOLDS_MAX ||
		    (map && !keymap_has_unassigned_in(map, h->first, h->last)))
			continue;
		report->holds[report->hold_count++] =
			(struct noderpt_hold){ h->first, h->last, h->fence };
	}
}

/*
 * True if the upstream holds keys that the map assigns to nobody. An answer
 * without them would make it release them before the leader has assigned them
 * to it, so its grants are not renewed until then.
 */
static bool holds_unassigned(const struct upstr *a)
{
	const struct keymap *map = service_map(a);

	if (!map || !keymap_has_unassigned(map))
		return false;
	for (size_t i = 0; i < a->last.hold_count; i++) {
		if (keymap_has_unassigned_in(map, a->last.holds[i].first,
					     a->last.holds[i].last))
			return true;
	}
	return false;
}

/* True if the upstream reported that it holds the range, with this fence. */
static bool is_reported(const struct upstr *a, const struct keymap_range *r)
{
	for (size_t i = 0; i < a->last.hold_count; i++) {
		const struct plat_hold *h = &a->last.holds[i];

		if (h->first <= r->first && h->last >= r->last &&
		    h->fence == r->fence)
			return true;
	}
	return false;
}

/* Lists the ranges to grant to the upstream. */
static void list_grants(const struct upstr *a, struct plat_grant *g)
{
	const struct keymap *map = service_map(a);

	g->count = 0;
	for (size_t i = 0; map && i < keymap_range_count(map); i++) {
		const struct keymap_range *r = keymap_range_at(map, i);
		struct plat_hold *h = &g->holds[g->count];

		if (!keymap_may_grant(map, r, &a->incarnation) ||
		    g->count == PLAT_HOLDS_MAX)
			continue;
		h->first = r->first;
		h->last = r->last;
		h->fence = r->fence;
		h->handover[0] = '\0';
		/* The handover is needed only for the first grant. */
		if (!is_reported(a, r))
			txt_copy(h->handover, sizeof(h->handover), r->handover);
		g->count++;
	}
}

/* True if the next answer renews the grants. */
static bool may_renew(const struct upstr *a)
{
	return may_grant(a) && service_map(a) && !holds_unassigned(a);
}

/* Fills the answer to the current announcement. */
static void fill_grant(const struct upstr *a, struct plat_grant *g)
{
	uint32_t hold_max = a->parts.settings->hold_max_ms;

	if (hold_max > UPSTR_GRANT_MAX_MS)
		hold_max = UPSTR_GRANT_MAX_MS;
	g->renews = false;
	g->count = 0;
	if (!may_renew(a))
		return;
	g->hold_ms = keylease_hold_ms(nodelease_end_us(a->parts.lease),
				      a->pending_since_us, hold_max);
	if (g->hold_ms == 0)
		return;
	g->renews = true;
	list_grants(a, g);
}

/* Compares the ranges to grant with those that the upstream reported. */
bool upstr_grants_differ(struct upstr *a)
{
	struct plat_grant *g;
	bool differs = false;

	if (!may_renew(a))
		return false;
	g = malloc(sizeof(*g));
	if (!g)
		return false;
	list_grants(a, g);
	differs = g->count != a->last.hold_count;
	for (size_t i = 0; !differs && i < g->count; i++) {
		const struct plat_hold *h = &a->last.holds[i];

		differs = h->first != g->holds[i].first ||
			  h->last != g->holds[i].last ||
			  h->fence != g->holds[i].fence;
	}
	free(g);
	return differs;
}

/* Sends the delayed answer, with the grants that are valid now. */
void upstr_send_answer(struct upstr *a)
{
	struct httpconn *c = a->pending;
	struct buf body = { 0 };

	if (!c)
		return;
	a->pending = NULL;
	tmr_cancel(evloop_timers(a->parts.loop), a->answer_timer);
	a->answer_timer = 0;
	fill_grant(a, &a->granted);
	if (a->granted.renews) {
		a->granted_until_us = a->pending_since_us +
				      (uint64_t)a->granted.hold_ms * US_PER_MS;
		a->granted_once = true;
	}
	a->parts.platform->ops->write_grant(&body, &a->granted);
	httpconn_reply(c, 200, ANSWER_FIELDS, buf_data(&body), buf_len(&body));
	buf_free(&body);
	a->ops->on_keys(a->arg);
}

/* True if the list contains any key from first to last. */
static bool overlaps(const struct plat_hold *list, size_t count, uint32_t first,
		     uint32_t last)
{
	for (size_t i = 0; i < count; i++) {
		if (list[i].first <= last && list[i].last >= first)
			return true;
	}
	return false;
}

/* Returns the handover of a release of the whole range, "" if there is none. */
static const char *find_handover(const struct upstr *a, uint32_t first,
				 uint32_t last)
{
	for (size_t i = 0; i < a->last.freed_count; i++) {
		const struct plat_hold *f = &a->last.freed[i];

		if (f->first <= first && f->last >= last)
			return f->handover;
	}
	return "";
}

/*
 * A key counts as released once the last answer did not grant it and a later
 * announcement does not report it as held. The answers of an earlier process
 * are unknown, but the first answer of this process supersedes them; no release
 * is recorded before it.
 */
void upstr_detect_releases(struct upstr *a)
{
	const struct keymap *map = service_map(a);

	if (!map || !a->granted_once)
		return;
	for (size_t i = 0; i < keymap_range_count(map); i++) {
		const struct keymap_range *r = keymap_range_at(map, i);

		if (!keymap_must_release(map, r, &a->incarnation) ||
		    overlaps(a->last.holds, a->last.hold_count, r->first,
			     r->last) ||
		    overlaps(a->granted.holds, a->granted.count, r->first,
			     r->last))
			continue;
		relqueue_add(a->parts.releases, a->service, &a->incarnation, r,
			     find_handover(a, r->first, r->last));
	}
}

/* Returns whether a request for the key may be sent to the upstream. */
enum upstr_key_state upstr_key_state(const struct upstr *a, uint32_t key,
				     uint64_t now_us)
{
	const struct keymap *map = service_map(a);
	const struct keymap_range *r;
	const struct incarnation *owner;

	if (!map || key >= KEYMAP_KEYS)
		return UPSTR_KEY_NOT_OWNED;
	r = keymap_find(map, key);
	owner = keymap_incarnation(map, r->owner);
	if (!owner || !incarnation_equal(owner, &a->incarnation))
		return UPSTR_KEY_NOT_OWNED;
	if (r->former != KEYMAP_NO_INCARNATION ||
	    now_us >= a->granted_until_us ||
	    !overlaps(a->granted.holds, a->granted.count, key, key))
		return UPSTR_KEY_GRANT_PENDING;
	return UPSTR_KEY_GRANTED;
}
