#include "placement_rank.h"

#include <stdlib.h>
#include <xxhash.h>

/* The load is already relative to the slots of the member. */
double rank_load_cost(const struct placement_member *m)
{
	return m->load;
}

uint64_t rank_score(uint64_t key, uint32_t instance)
{
	uint64_t block[2] = { key, instance };

	return XXH3_64bits(block, sizeof(block));
}

/* Inserts in order of the scores; drops the last candidate if full. */
void rank_add_candidate(struct rank *r, uint64_t key,
			const struct placement_member *m)
{
	uint64_t score = rank_score(key, m->member->proc.instance);
	size_t at = r->count;

	if (at == RANK_CANDIDATES_MAX && score <= r->scores[at - 1])
		return;
	if (at < RANK_CANDIDATES_MAX)
		r->count++;
	else
		at--;
	for (; at > 0 && r->scores[at - 1] < score; at--) {
		r->scores[at] = r->scores[at - 1];
		r->members[at] = r->members[at - 1];
	}
	r->scores[at] = score;
	r->members[at] = m;
}

/* Of candidates of equal cost, the first has the highest score. */
const struct placement_member *rank_cheapest(const struct rank *r,
					     rank_cost_fn cost)
{
	const struct placement_member *best = NULL;

	for (size_t i = 0; i < r->count; i++) {
		if (!best || cost(r->members[i]) < cost(best))
			best = r->members[i];
	}
	return best;
}

static int compare_instance(const void *key, const void *entry)
{
	uint32_t instance = *(const uint32_t *)key;
	const struct placement_member *m = entry;

	if (instance == m->member->proc.instance)
		return 0;
	return instance < m->member->proc.instance ? -1 : 1;
}

/* Binary search, as the members of a view are sorted by instance. */
struct placement_member *rank_find_member(const struct placement_view *view,
					  uint32_t instance)
{
	if (!view->count)
		return NULL;
	return bsearch(&instance, view->members, view->count,
		       sizeof(*view->members), compare_instance);
}

/* A restarted process has another incarnation than the row names. */
const struct placement_member *
rank_find_up_member(const struct placement_view *view, const struct proc *p)
{
	const struct placement_member *m = rank_find_member(view, p->instance);

	if (!m || m->member->state != MEMBER_UP ||
	    !proc_equal(&m->member->proc, p))
		return NULL;
	return m;
}

/* A draining or gone member must not get new partitions. */
bool rank_may_own(const struct placement_member *m, uint16_t service)
{
	return m->member->state == MEMBER_UP && m->member->service == service;
}

/* Returns 0 when no member is up. */
double rank_mean_load(const struct placement_view *view, uint16_t service)
{
	double busy = 0;
	double slots = 0;

	for (size_t i = 0; i < view->count; i++) {
		const struct placement_member *m = &view->members[i];

		if (!rank_may_own(m, service))
			continue;
		busy += m->load * rank_slots(m);
		slots += rank_slots(m);
	}
	return slots > 0 ? busy / slots : 0;
}

/* An upstream that has announced no slots counts as one. */
double rank_slots(const struct placement_member *m)
{
	return m->member->slots ? m->member->slots : 1;
}
