#include <string.h>

#include "forward_int.h"

/* Bytes of the heads of a request and its response between daemons. */
#define HEAD_BYTES 200

/*
 * Returns the member that owns the request's key, NULL if none is known or the
 * route does not allow its region.
 */
static struct memb *find_owner(const struct fwd_request *f)
{
	uint64_t version;
	const struct keymap *map =
		planview_map(f->owner->parts.view, f->service, &version);
	const struct keymap_range *r;
	struct memb *m;

	if (!map)
		return NULL;
	r = keymap_find(map, f->request.key % KEYMAP_KEYS);
	m = membs_find_incarnation(planview_members(f->owner->parts.view),
				   keymap_incarnation(map, r->owner));
	return m && rconfig_allows_region(&f->policy, m->region) ? m : NULL;
}

/* True if the daemon beside the upstream refuses, as it is evacuated. */
static bool is_barred(const struct fwd_request *f, const struct memb *m,
		      uint64_t now_us)
{
	return evac_must_refuse(
		membs_evac(planview_members(f->owner->parts.view)),
		m->data_centre, now_us);
}

/* True if the key is still to leave an evacuated data centre. */
bool fwd_is_key_leaving(const struct fwd_request *f, uint64_t now_us)
{
	const struct memb *m = f->keyed ? find_owner(f) : NULL;

	return m && is_barred(f, m, now_us);
}

/* Fills a query for the request, with room for the instances to skip. */
static void make_query(const struct fwd_request *f, uint64_t now_us,
		       const char *tried[FWD_TRIED_MAX], struct membs_query *q)
{
	const struct fwd *w = f->owner;
	uint32_t kind = fwd_request_kind(f) % FWD_KINDS;

	for (uint32_t i = 0; i < f->tried_count; i++)
		tried[i] = f->tried[i];
	*q = (struct membs_query){
		.service = f->service,
		.policy = &f->policy,
		.own = w->parts.settings->instance,
		.data_centre = w->parts.settings->data_centre,
		.tried = tried,
		.tried_count = f->tried_count,
		.request.run_us = (uint64_t)w->kind_run_us[kind],
		.request.bytes = (uint64_t)w->kind_bytes[kind] +
				 buf_len(f->body) + HEAD_BYTES,
		.request.objective_us = clk_elapsed(f->objective_us, now_us),
		.now_us = now_us,
	};
}

/* True if the request may still be sent to another one than its next target. */
bool fwd_has_others(const struct fwd_request *f, uint64_t now_us)
{
	const char *tried[FWD_TRIED_MAX];
	struct membs_query q;

	if (f->keyed || f->tried_count + 1 >= FWD_TRIED_MAX)
		return false;
	make_query(f, now_us, tried, &q);
	return membs_count_choices(planview_members(f->owner->parts.view), &q) >
	       1;
}

/* Updates what is known of the local upstream, if it tells its speed. */
static void update_own(const struct fwd *w, uint64_t now_us)
{
	struct memb *own = membs_find(planview_members(w->parts.view),
				      w->parts.settings->instance);
	struct reqrun_load load;

	if (!own)
		return;
	reqrun_load(w->parts.runner, &load);
	if (load.slowdown_pct == 0)
		return;
	own->waiting = load.running + load.waiting;
	own->told_us = now_us;
	own->run_us = load.mean_us;
	own->slowdown_pct = load.slowdown_pct;
}

/* Returns the member for the next attempt, NULL if there is none now. */
struct memb *fwd_find_target(const struct fwd_request *f, uint64_t now_us)
{
	const struct fwd *w = f->owner;
	const char *tried[FWD_TRIED_MAX];
	struct membs_query q;
	struct memb *m;

	if (f->keyed) {
		m = find_owner(f);
		return m && now_us >= m->avoid_until_us &&
				       memb_is_open(m, now_us) &&
				       !is_barred(f, m, now_us) ?
			       m :
			       NULL;
	}
	update_own(w, now_us);
	make_query(f, now_us, tried, &q);
	m = membs_choose(planview_members(w->parts.view), &q);
	return m && now_us >= m->avoid_until_us ? m : NULL;
}
