#include <string.h>

#include "membs.h"
#include "placing.h"

/* Cost that is above that of any member which is not avoided. */
#define AVOIDED_COST 1e12
/* Utilisation added to upstreams of other data centres. */
#define REMOTE_PENALTY 0.8
/* Utilisation subtracted from the local upstream, which needs no network. */
#define LOCAL_BONUS 0.25
/* Times on the way and back before the first measurement. */
#define TRANSIT_FAR_US (3 * US_PER_MS)
#define TRANSIT_NEAR_US (1 * US_PER_MS)

/* True if the request was already sent to the member. */
static bool was_tried(const struct memb *r, const struct membs_query *q)
{
	for (size_t i = 0; i < q->tried_count; i++) {
		if (strcmp(r->incarnation.node, q->tried[i]) == 0)
			return true;
	}
	return false;
}

/* True if the member has an upstream of the service, in an allowed region. */
static bool serves(const struct memb *r, const char *service,
		   const struct rconfig_policy *policy)
{
	return r->listed && r->incarnation.id[0] != '\0' &&
	       strcmp(r->service, service) == 0 &&
	       rconfig_allows_region(policy, r->region);
}

/* True if the request may be sent to the member. */
static bool is_candidate(const struct membs *m, const struct memb *r,
			 const struct membs_query *q)
{
	return serves(r, q->service, q->policy) && r->takes_work &&
	       !evac_is_evacuated(membs_evac(m), r->data_centre) &&
	       memb_is_open(r, q->now_us) && !was_tried(r, q);
}

/* Compares the data centres of all upstreams of the service. */
bool membs_all_evacuated(const struct membs *m, const char *service,
			 const struct rconfig_policy *policy)
{
	bool any = false;

	for (size_t i = 0; i < membs_count(m); i++) {
		const struct memb *r = membs_at(m, i);

		if (!serves(r, service, policy))
			continue;
		if (!evac_is_evacuated(membs_evac(m), r->data_centre))
			return false;
		any = true;
	}
	return any;
}

/* Returns the cost of a member by its utilisation and its distance. */
static double cost_by_use(const struct memb *r, const struct membs_query *q)
{
	double cost = memb_utilisation(r, q->now_us);

	if (strcmp(r->incarnation.node, q->own) == 0)
		cost -= LOCAL_BONUS;
	else if (strcmp(r->data_centre, q->data_centre) != 0)
		cost += REMOTE_PENALTY;
	return cost;
}

/*
 * Returns the cost of a member by the time in which it is likely to answer.
 * mean_run_us is that of the upstreams which tell it.
 */
static double cost_by_time(const struct memb *r, const struct membs_query *q,
			   uint64_t mean_run_us, const struct clk *clock)
{
	bool near = strcmp(r->data_centre, q->data_centre) == 0;
	struct placing_request request = { 1, near ? 0 : q->request.bytes,
					   q->request.objective_us };
	struct placing_option o = {
		.use = memb_utilisation(r, q->now_us),
		.run_us = r->run_us ? r->run_us : mean_run_us,
		.slowdown_pct = r->slowdown_pct,
		.confidence = memb_confidence(r, q->now_us),
		.transit_us = r->transit_us,
	};

	if (strcmp(r->incarnation.node, q->own) == 0)
		o.transit_us = 0;
	else if (o.transit_us == 0)
		o.transit_us = near ? TRANSIT_NEAR_US : TRANSIT_FAR_US;
	if (q->request.run_us > 0)
		request.size = (double)q->request.run_us / (double)mean_run_us;
	return (double)placing_cost(
		&o, &request,
		(uint32_t)clk_random_below(clock, PLACING_RANDOM_RANGE));
}

/* Returns the mean time of a run of the upstreams that tell it, else 0. */
static uint64_t mean_run_us(const struct membs *m, const char *service)
{
	uint64_t sum = 0, count = 0;

	for (size_t i = 0; i < membs_count(m); i++) {
		const struct memb *r = membs_at(m, i);

		if (r->run_us == 0 || strcmp(r->service, service) != 0)
			continue;
		sum += r->run_us;
		count++;
	}
	return count > 0 ? sum / count : 0;
}

/*
 * Chooses the lowest cost. Draws among equal ones: hundreds of daemons, most of
 * which know of no load, would otherwise all choose the first one of the list.
 */
struct memb *membs_choose(const struct membs *m, const struct membs_query *q)
{
	uint64_t run_us = mean_run_us(m, q->service);
	const struct clk *clock = membs_clock(m);
	struct memb *best = NULL;
	double best_cost = 0;
	uint32_t equal = 0; /* members with this cost */

	for (size_t i = 0; i < membs_count(m); i++) {
		struct memb *r = membs_at(m, i);
		double cost;

		if (!is_candidate(m, r, q))
			continue;
		cost = run_us > 0 ? cost_by_time(r, q, run_us, clock) :
				    cost_by_use(r, q);
		if (q->now_us < r->avoid_until_us)
			cost += AVOIDED_COST;
		if (!best || cost < best_cost) {
			best = r;
			best_cost = cost;
			equal = 1;
		} else if (cost <= best_cost &&
			   clk_random_below(clock, ++equal) == 0) {
			best = r;
		}
	}
	return best;
}

/* Does not count members that could not be reached lately. */
size_t membs_count_choices(const struct membs *m, const struct membs_query *q)
{
	size_t n = 0;

	for (size_t i = 0; i < membs_count(m); i++) {
		const struct memb *r = membs_at(m, i);

		n += is_candidate(m, r, q) && q->now_us >= r->avoid_until_us;
	}
	return n;
}
