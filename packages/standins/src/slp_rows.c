#include "slp_run.h"

#include <stdlib.h>
#include <string.h>

#include "placement_sim.h"

#define CENTRES 10
#define REGIONS 4
#define PARTITIONS_PER_MEMBER 10
#define PARTITIONS_MAX 65536
#define TOLERANCE_PCT 25
#define SLOTS 9

static int compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Counts the pairs of an owner and one of its witnesses: each pair exchanges
 * at least one datagram in each direction in a round of renewal.
 */
static size_t count_pairs(const struct sim *sim, uint32_t partitions)
{
	uint64_t *pairs = calloc(partitions, ROW_WITNESSES * sizeof(*pairs));
	size_t count = 0;
	size_t distinct = 0;

	for (uint32_t i = 0; pairs && i < partitions; i++) {
		const struct row_set *set = sim_row_set(sim, i);

		for (int k = 0; k < ROW_WITNESSES; k++)
			pairs[count++] = (uint64_t)set->owner.instance << 32 |
					 set->witness[k].instance;
	}
	if (pairs)
		qsort(pairs, count, sizeof(*pairs), compare);
	for (size_t i = 0; i < count; i++)
		distinct += !i || pairs[i] != pairs[i - 1];
	free(pairs);
	return distinct;
}

static const char *region_of(const struct sim *sim, const struct proc *p)
{
	return sim_view(sim)->members[p->instance - 1].member->region;
}

/* Counts the rows whose owner and witness k are in different regions. */
static uint32_t count_split(const struct sim *sim, uint32_t partitions, int k)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < partitions; i++) {
		const struct row_set *set = sim_row_set(sim, i);

		count += strcmp(region_of(sim, &set->owner),
				region_of(sim, &set->witness[k])) != 0;
	}
	return count;
}

/* Rows that are written for a planned leave, a crash and a lost data centre. */
static bool measure(struct slp *s, uint32_t members)
{
	struct sim_config c = { .members = members,
				.data_centres = CENTRES,
				.regions = REGIONS,
				.slots = SLOTS,
				.partitions = members * PARTITIONS_PER_MEMBER,
				.seed = slp_options(s)->seed,
				.policy = { .imbalance_tolerance_pct =
						    TOLERANCE_PCT } };
	struct sim_result leave;
	struct sim_result crash;
	struct sim *sim;
	size_t pairs;

	if (c.partitions > PARTITIONS_MAX)
		c.partitions = PARTITIONS_MAX;
	sim = sim_create(&c, SIM_STICKY);
	if (!sim)
		return false;
	pairs = count_pairs(sim, c.partitions);
	printf("regions: members=%u rows_with_successor_elsewhere=%u "
	       "rows_with_second_witness_elsewhere=%u\n",
	       members, count_split(sim, c.partitions, ROW_SUCCESSOR),
	       count_split(sim, c.partitions, 1));
	sim_run_event(sim, SIM_LEAVE, &leave);
	sim_run_event(sim, SIM_CRASH, &crash);
	sim_fail_data_centre(sim, 1);
	printf("rows: members=%u partitions=%u lease_pairs=%zu "
	       "pairs_per_member=%.2f leave_writes=%u crash_writes=%u "
	       "centre_loss_writes=%u\n",
	       members, c.partitions, pairs, (double)pairs / members,
	       leave.writes, crash.writes, sim_replace_lost(sim));
	sim_destroy(sim);
	return pairs > 0;
}

/* Writes of rows and pairs of lease messages at 100 to 6,700 members. */
bool slp_rows(struct slp *s)
{
	static const uint32_t sizes[] = { 100, 1000, 6700 };
	bool ok = true;

	for (int i = 0; ok && i < 3; i++) {
		if (slp_wants(s, sizes[i]))
			ok = measure(s, sizes[i]);
	}
	return ok;
}
