/*
 * placement_report: prints the imbalance and churn of the daemon's placement
 * and of two stateless placements, or the time and memory of placement
 * decisions.
 */

#include <argp.h>
#include <errno.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "placement_sim.h"

#define DECISIONS 200
#define PARTITIONS_MAX 65536
#define MEMBERS_MAX 10000

/*
 * With more members than this, the rolling replacement is skipped: each of its
 * steps iterates over all members and partitions.
 */
#define ROLLING_MEMBERS_MAX 200

enum option_key {
	OPT_SEED = 's',
	OPT_MEMBERS = 'm',
	OPT_OTHERS = 'o',
	OPT_PARTITIONS = 'p',
	OPT_CENTRES = 'd',
	OPT_REGIONS = 'r',
	OPT_SLOTS = 'l',
	OPT_TOLERANCE = 't',
	OPT_MOVES = 'v',
	OPT_WEIGH = 'w',
	OPT_COST = 'c'
};

static const struct argp_option options[] = {
	{ "members", OPT_MEMBERS, "N", 0, "Members of the service (8)", 0 },
	{ "others", OPT_OTHERS, "N", 0, "Members of another service (3)", 0 },
	{ "partitions", OPT_PARTITIONS, "N", 0, "Partitions (256)", 0 },
	{ "centres", OPT_CENTRES, "N", 0, "Data centres (3)", 0 },
	{ "regions", OPT_REGIONS, "N", 0, "Regions (1)", 0 },
	{ "slots", OPT_SLOTS, "N", 0, "Slots of each member (6)", 0 },
	{ "seed", OPT_SEED, "N", 0, "Seed of the loads (1)", 0 },
	{ "tolerance", OPT_TOLERANCE, "PCT", 0, "Imbalance tolerance (25)", 0 },
	{ "moves", OPT_MOVES, "N", 0, "Moves per minute and owner (4)", 0 },
	{ "weigh", OPT_WEIGH, "POLICY", 0, "unavailable_time or churn", 0 },
	{ "cost", OPT_COST, 0, 0,
	  "Print time and memory of decisions at 10 to 6,700 members", 0 },
	{ 0 }
};

struct arguments {
	struct sim_config config;
	bool cost;
};

static uint32_t read_number(struct argp_state *state, const char *text,
			    unsigned long min, unsigned long max)
{
	char *end;
	unsigned long value;

	errno = 0;
	value = strtoul(text, &end, 10);
	if (errno || *text < '0' || *text > '9' || *end || value < min ||
	    value > max)
		argp_error(state, "%s is not a number from %lu to %lu", text,
			   min, max);
	return (uint32_t)value;
}

static enum placement_cost read_weigh(struct argp_state *state,
				      const char *text)
{
	if (!strcmp(text, "churn"))
		return PLACEMENT_COST_CHURN;
	if (strcmp(text, "unavailable_time") != 0)
		argp_error(state, "%s is not unavailable_time or churn", text);
	return PLACEMENT_COST_UNAVAILABLE;
}

static void read_policy(int key, char *arg, struct argp_state *state,
			struct placement_policy *policy)
{
	if (key == OPT_TOLERANCE)
		policy->imbalance_tolerance_pct =
			read_number(state, arg, 0, 1000);
	else if (key == OPT_MOVES)
		policy->moves_per_minute = read_number(state, arg, 0, 10000);
	else
		policy->weigh = read_weigh(state, arg);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;
	struct sim_config *c = &a->config;

	switch (key) {
	case OPT_MEMBERS:
		c->members = read_number(state, arg, 1, MEMBERS_MAX);
		return 0;
	case OPT_OTHERS:
		c->others = read_number(state, arg, 0, MEMBERS_MAX);
		return 0;
	case OPT_PARTITIONS:
		c->partitions = read_number(state, arg, 1, PARTITIONS_MAX);
		return 0;
	case OPT_CENTRES:
		c->data_centres = read_number(state, arg, 1, 1000);
		return 0;
	case OPT_REGIONS:
		c->regions = read_number(state, arg, 1, 1000);
		return 0;
	case OPT_SLOTS:
		c->slots =
			(uint16_t)read_number(state, arg, 1, MEMBER_SLOTS_MAX);
		return 0;
	case OPT_SEED:
		c->seed = read_number(state, arg, 0, UINT32_MAX);
		return 0;
	case OPT_TOLERANCE:
	case OPT_MOVES:
	case OPT_WEIGH:
		read_policy(key, arg, state, &c->policy);
		return 0;
	case OPT_COST:
		a->cost = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int print_placement(const struct sim_config *config,
			   enum sim_placement placement)
{
	struct sim *s = sim_create(config, placement);

	if (!s)
		return -1;
	for (int event = 0; event < SIM_EVENTS; event++) {
		struct sim_result r;

		if (event == SIM_ROLLING &&
		    config->members > ROLLING_MEMBERS_MAX)
			continue;
		sim_run_event(s, (enum sim_event)event, &r);
		printf("%-10s  %-19s  %9.2f  %7u  %7u  %7u  %7u\n",
		       sim_placement_name(placement),
		       sim_event_name((enum sim_event)event), r.imbalance,
		       r.churn, r.forced, r.writes, r.minutes);
	}
	sim_destroy(s);
	return 0;
}

static int print_events(const struct sim_config *config)
{
	printf("%-10s  %-19s  %9s  %7s  %7s  %7s  %7s\n", "placement", "event",
	       "imbalance", "churn", "forced", "writes", "minutes");
	for (int placement = 0; placement < SIM_PLACEMENTS; placement++) {
		if (print_placement(config, (enum sim_placement)placement))
			return -1;
	}
	return 0;
}

/* Creates a replica with all members and rows, like that of a daemon. */
static struct table_replica *fill_replica(const struct sim *s,
					  uint32_t partitions)
{
	struct table_replica *table_replica = replica_create();
	const struct placement_view *view = sim_view(s);
	struct replica_entry e = { .version = 1 };

	for (size_t i = 0; table_replica && i < view->count; i++) {
		struct member m = *view->members[i].member;

		snprintf(m.address, sizeof(m.address), "127.0.0.1");
		member_key(m.proc.instance, e.key);
		e.seq++;
		e.value = member_encode(&m);
		replica_apply(table_replica, &e, NULL);
		free(e.value);
	}
	for (uint32_t i = 0; table_replica && i < partitions; i++) {
		struct row row = { .part = part_id(1, i),
				   .set = *sim_row_set(s, i) };

		row_key(row.part, e.key);
		e.seq++;
		e.value = row_encode(&row);
		replica_apply(table_replica, &e, NULL);
		free(e.value);
	}
	return table_replica;
}

static size_t heap_bytes_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static double mean_us(uint64_t start_us, uint32_t count)
{
	return (double)(clk_mono_us(clk_system()) - start_us) / count;
}

static double time_view(const struct table_replica *table_replica,
			size_t *bytes)
{
	uint64_t start = clk_mono_us(clk_system());
	struct placement_view view;

	*bytes = 0;
	for (int i = 0; i < DECISIONS / 10; i++) {
		size_t before = heap_bytes_in_use();

		if (!placement_view_create(table_replica, 1, NULL, NULL, &view))
			return 0;
		*bytes = heap_bytes_in_use() - before;
		placement_view_free(&view);
	}
	return mean_us(start, DECISIONS / 10);
}

static double time_choose(const struct sim *s, const struct sim_config *c)
{
	uint64_t start = clk_mono_us(clk_system());
	struct row_set set;

	for (uint32_t i = 0; i < DECISIONS; i++)
		placement_choose_owner(sim_view(s), part_id(1, i), 1,
				       &c->policy, &set);
	return mean_us(start, DECISIONS);
}

static double time_arm(const struct sim *s, const struct sim_config *c)
{
	uint64_t start = clk_mono_us(clk_system());
	struct row_set set;

	for (uint32_t i = 0; i < DECISIONS; i++) {
		const struct row_set *old = sim_row_set(s, i % c->partitions);

		placement_assign_witnesses(sim_view(s),
					   part_id(1, i % c->partitions), old,
					   &old->owner, &c->policy, &set);
	}
	return mean_us(start, DECISIONS);
}

/*
 * 10 partitions, about as many as the busiest member has at the largest size.
 */
static double time_move(const struct sim *s, const struct sim_config *c)
{
	const struct placement_view *view = sim_view(s);
	struct placement_policy policy = c->policy;
	struct placement_load loads[10];
	struct proc target;
	uint64_t part;
	uint64_t start;

	policy.moves_per_minute = 1;
	for (uint32_t i = 0; i < 10; i++)
		loads[i] = (struct placement_load){ part_id(1, i), 0.01 * i };
	view->members[0].load += 1;
	start = clk_mono_us(clk_system());
	for (uint32_t i = 0; i < DECISIONS; i++)
		placement_next_move(view, &view->members[0].member->proc, loads,
				    10, &policy, &part, &target);
	view->members[0].load -= 1;
	return mean_us(start, DECISIONS);
}

static int print_cost(struct sim_config c)
{
	struct sim *s = sim_create(&c, SIM_STICKY);
	size_t before;
	struct table_replica *table_replica;
	size_t mirror_bytes;
	size_t view_bytes;
	double view_us;

	if (!s)
		return -1;
	before = heap_bytes_in_use();
	table_replica = fill_replica(s, c.partitions);
	mirror_bytes = heap_bytes_in_use() - before;
	view_us = time_view(table_replica, &view_bytes);
	printf("%7u  %10u  %8.1f  %9.1f  %7.1f  %8.1f  %9zu  %10zu\n",
	       c.members, c.partitions, view_us, time_choose(s, &c),
	       time_arm(s, &c), time_move(s, &c), view_bytes,
	       mirror_bytes / 1024);
	fflush(stdout);
	replica_destroy(table_replica);
	sim_destroy(s);
	return 0;
}

static int print_costs(struct sim_config c)
{
	static const uint32_t members[] = { 10, 100, 1000, 6700 };
	static const uint32_t partitions[] = { 100, 1024, 8192, 65536 };

	printf("%7s  %10s  %8s  %9s  %7s  %8s  %9s  %10s\n", "members",
	       "partitions", "view us", "choose us", "arm us", "move us",
	       "view B", "mirror KiB");
	c.others = 0;
	c.policy.moves_per_minute = 0; /* rows need not be balanced */
	for (size_t m = 0; m < sizeof(members) / sizeof(members[0]); m++) {
		for (size_t p = 0;
		     p < sizeof(partitions) / sizeof(partitions[0]); p++) {
			c.members = members[m];
			c.partitions = partitions[p];
			if (print_cost(c))
				return -1;
		}
	}
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Prints imbalance and churn of placements.",
	};
	struct arguments a = {
		.config = { .members = 8,
			    .others = 3,
			    .data_centres = 3,
			    .regions = 1,
			    .slots = 6,
			    .partitions = 256,
			    .seed = 1,
			    .policy = { .weigh = PLACEMENT_COST_UNAVAILABLE,
					.imbalance_tolerance_pct = 25,
					.moves_per_minute = 4 } },
	};

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (a.cost ? print_costs(a.config) : print_events(&a.config)) {
		fprintf(stderr, "placement_report: no memory\n");
		return 1;
	}
	return 0;
}
