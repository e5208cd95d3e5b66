#include "placement_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "placement_rank.h"

#define SERVICE 1
#define OTHER_SERVICE 2

/* Mean load of the members of the service. */
#define UTILISATION 0.5

/* One of HOT_EVERY partitions is hot, with HOT_FACTOR times its usual load. */
#define HOT_EVERY 32
#define HOT_FACTOR 6.0

/* Ratio of the largest to the smallest load of a partition that is not hot. */
#define LOAD_SPREAD 4.0

/* Balancing stops after this time even if partitions still move. */
#define MINUTES_MAX 500

struct sim {
	struct sim_config config;
	enum sim_placement placement;
	struct member *members; /* by instance; room for all that will join */
	size_t member_max;
	uint64_t hot_round;
	struct placement_view view;
	struct row_set *sets; /* by partition */
	double *busy; /* by partition, in slots */
	uint32_t *starts; /* by instance: offsets into parts */
	uint32_t *parts; /* partitions sorted by owner */
	struct placement_load *loads; /* of one owner */
	uint32_t *instances; /* up members of the service */
	uint32_t up;
	struct sim_result result;
};

static const char *const event_names[] = { "hot set moves", "join",
					   "planned leave", "crash",
					   "rolling replacement" };
static const char *const placement_names[] = { "sticky", "modulo",
					       "rendezvous" };

const char *sim_event_name(enum sim_event event)
{
	return event_names[event];
}

const char *sim_placement_name(enum sim_placement placement)
{
	return placement_names[placement];
}

const struct placement_view *sim_view(const struct sim *s)
{
	return &s->view;
}

/* Returns the current set of a partition. */
const struct row_set *sim_row_set(const struct sim *s, uint32_t partition)
{
	return &s->sets[partition];
}

/* Returns a pseudo-random number from 0 to 1 for the seed and the arguments. */
static double random_fraction(const struct sim *s, uint64_t kind,
			      uint64_t number)
{
	uint64_t block[3] = { s->config.seed, kind, number };

	return (double)(XXH3_64bits(block, sizeof(block)) >> 11) / (1ULL << 53);
}

static void generate_loads(struct sim *s)
{
	double total = UTILISATION * s->config.members * s->config.slots;
	double sum = 0;

	for (uint32_t i = 0; i < s->config.partitions; i++) {
		bool is_hot = random_fraction(s, 2 + s->hot_round, i) <
			      1.0 / HOT_EVERY;

		s->busy[i] = 1 + (LOAD_SPREAD - 1) * random_fraction(s, 1, i);
		if (is_hot)
			s->busy[i] *= HOT_FACTOR;
		sum += s->busy[i];
	}
	for (uint32_t i = 0; i < s->config.partitions; i++)
		s->busy[i] *= total / sum;
}

static void count_loads(struct sim *s)
{
	for (size_t i = 0; i < s->view.count; i++)
		s->view.members[i].load = 0;
	for (uint32_t i = 0; i < s->config.partitions; i++) {
		struct placement_member *m =
			rank_find_member(&s->view, s->sets[i].owner.instance);

		if (m)
			m->load += s->busy[i] / rank_slots(m);
	}
}

/* Instances are numbered from 1, so that the view is sorted by them. */
static void add_member(struct sim *s, uint16_t service, uint32_t number)
{
	uint32_t instance = (uint32_t)s->view.count + 1;
	uint32_t centre = number % s->config.data_centres;
	struct member *m = &s->members[s->view.count];

	if (s->view.count == s->member_max)
		return;
	m->proc = (struct proc){ instance, instance };
	m->service = service;
	m->slots = s->config.slots;
	m->state = MEMBER_UP;
	snprintf(m->data_centre, sizeof(m->data_centre), "dc-%u", centre);
	snprintf(m->region, sizeof(m->region), "region-%u",
		 centre % s->config.regions);
	s->view.members[s->view.count++] =
		(struct placement_member){ .member = m };
}

static struct member *mutable_member(struct sim *s,
				     const struct placement_member *m)
{
	return &s->members[m - s->view.members];
}

static void list_instances(struct sim *s)
{
	s->up = 0;
	for (size_t i = 0; i < s->view.count; i++) {
		if (rank_may_own(&s->view.members[i], SERVICE))
			s->instances[s->up++] = s->members[i].proc.instance;
	}
}

/* Replaces the set of a partition and updates the view and the result. */
static void write_set(struct sim *s, uint32_t i, const struct row_set *set)
{
	const struct row_set *before = s->sets[i].version ? &s->sets[i] : NULL;
	const struct placement_member *m =
		rank_find_member(&s->view, before ? before->owner.instance :
						    set->owner.instance);

	if (before && !proc_equal(&before->owner, &set->owner))
		s->result.churn++;
	placement_view_apply(&s->view, before, set, s->busy[i] / rank_slots(m));
	s->sets[i] = *set;
	s->result.writes++;
}

static void move_part(struct sim *s, uint32_t i, const struct proc *owner)
{
	struct row_set set;

	placement_assign_witnesses(&s->view, part_id(SERVICE, i), &s->sets[i],
				   owner, &s->config.policy, &set);
	write_set(s, i, &set);
}

/* Computes the owner of each partition by the stateless placement. */
static void place_stateless(struct sim *s)
{
	list_instances(s);
	for (uint32_t i = 0; i < s->config.partitions; i++) {
		uint64_t part = part_id(SERVICE, i);
		struct row_set set = { .version = 1 };
		size_t at = s->placement == SIM_MODULO ?
				    placement_owner_modulo(part, s->up) :
				    placement_owner_rendezvous(
					    part, s->instances, s->up);

		set.owner = s->members[s->instances[at] - 1].proc;
		if (!proc_equal(&set.owner, &s->sets[i].owner))
			write_set(s, i, &set);
	}
}

/* Counting sort of the partitions by owner. */
static void sort_parts(struct sim *s)
{
	memset(s->starts, 0, (s->member_max + 2) * sizeof(*s->starts));
	for (uint32_t i = 0; i < s->config.partitions; i++)
		s->starts[s->sets[i].owner.instance + 1]++;
	for (size_t i = 1; i < s->member_max + 2; i++)
		s->starts[i] += s->starts[i - 1];
	for (uint32_t i = 0; i < s->config.partitions; i++)
		s->parts[s->starts[s->sets[i].owner.instance]++] = i;
}

/* After sort_parts(), starts[n] is the end of the partitions of instance n. */
static size_t list_loads(struct sim *s, const struct placement_member *m)
{
	uint32_t instance = m->member->proc.instance;
	size_t count = 0;

	for (uint32_t at = s->starts[instance - 1]; at < s->starts[instance];
	     at++) {
		uint32_t i = s->parts[at];

		if (s->sets[i].owner.instance != instance)
			continue;
		s->loads[count].part = part_id(SERVICE, i);
		s->loads[count].load = s->busy[i] / rank_slots(m);
		count++;
	}
	return count;
}

/* Moves partitions of a member for a minute; returns how many were moved. */
static uint32_t balance_member(struct sim *s, const struct placement_member *m)
{
	uint32_t moved = 0;

	while (moved < s->config.policy.moves_per_minute) {
		size_t count = list_loads(s, m);
		struct proc target;
		uint64_t part;

		if (!placement_next_move(&s->view, &m->member->proc, s->loads,
					 count, &s->config.policy, &part,
					 &target))
			break;
		move_part(s, part_index(part), &target);
		moved++;
	}
	return moved;
}

static void balance(struct sim *s)
{
	uint32_t moved = 1;

	while (moved && s->result.minutes < MINUTES_MAX) {
		moved = 0;
		sort_parts(s);
		for (size_t i = 0; i < s->view.count; i++)
			moved += balance_member(s, &s->view.members[i]);
		s->result.minutes += moved ? 1 : 0;
	}
}

static void rebalance(struct sim *s)
{
	if (s->placement == SIM_STICKY)
		balance(s);
	else
		place_stateless(s);
}

static void create_rows(struct sim *s)
{
	for (uint32_t i = 0; i < s->config.partitions; i++) {
		struct row_set set;

		if (placement_choose_owner(&s->view, part_id(SERVICE, i), 1,
					   &s->config.policy, &set))
			write_set(s, i, &set);
	}
}

static bool allocate(struct sim *s)
{
	const struct sim_config *c = &s->config;
	size_t max = (size_t)c->members * 2 + c->others + SIM_EVENTS;

	s->member_max = max;
	s->members = calloc(max, sizeof(*s->members));
	s->view.members = calloc(max, sizeof(*s->view.members));
	s->instances = calloc(max, sizeof(*s->instances));
	s->starts = calloc(max + 2, sizeof(*s->starts));
	s->sets = calloc(c->partitions, sizeof(*s->sets));
	s->busy = calloc(c->partitions, sizeof(*s->busy));
	s->parts = calloc(c->partitions, sizeof(*s->parts));
	s->loads = calloc(c->partitions, sizeof(*s->loads));
	return s->members && s->view.members && s->instances && s->starts &&
	       s->sets && s->busy && s->parts && s->loads;
}

/* The members of each service are spread evenly over the data centres. */
struct sim *sim_create(const struct sim_config *config,
		       enum sim_placement placement)
{
	struct sim *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->config = *config;
	s->placement = placement;
	if (!allocate(s)) {
		sim_destroy(s);
		return NULL;
	}
	for (uint32_t i = 0; i < config->members; i++)
		add_member(s, SERVICE, i);
	for (uint32_t i = 0; i < config->others; i++)
		add_member(s, OTHER_SERVICE, i);
	generate_loads(s);
	if (placement == SIM_STICKY)
		create_rows(s);
	rebalance(s);
	return s;
}

/* s may be NULL. */
void sim_destroy(struct sim *s)
{
	if (!s)
		return;
	placement_view_free(&s->view);
	free(s->members);
	free(s->instances);
	free(s->starts);
	free(s->sets);
	free(s->busy);
	free(s->parts);
	free(s->loads);
	free(s);
}

/* Moves all partitions of a member away, then marks it as gone. */
static void drain(struct sim *s, struct placement_member *m)
{
	s->result.forced += m->owned;
	mutable_member(s, m)->state = MEMBER_DRAINING;
	for (uint32_t i = 0;
	     s->placement == SIM_STICKY && i < s->config.partitions; i++) {
		struct proc target;

		if (proc_equal(&s->sets[i].owner, &m->member->proc) &&
		    placement_drain_target_of_row(
			    &s->view, &m->member->proc, part_id(SERVICE, i),
			    &s->sets[i], &s->config.policy, &target))
			move_part(s, i, &target);
	}
	mutable_member(s, m)->state = MEMBER_GONE;
	sim_replace_lost(s);
}

/* If the owner is gone, the successor becomes the owner. */
uint32_t sim_replace_lost(struct sim *s)
{
	uint32_t writes = 0;

	for (uint32_t i = 0;
	     s->placement == SIM_STICKY && i < s->config.partitions; i++) {
		struct proc owner = s->sets[i].owner;

		if (placement_is_complete(&s->view, &s->sets[i]))
			continue;
		if (!rank_find_up_member(&s->view, &owner))
			owner = s->sets[i].witness[ROW_SUCCESSOR];
		move_part(s, i, &owner);
		writes++;
	}
	return writes;
}

static void mark_gone(struct sim *s, struct placement_member *m)
{
	s->result.forced += m->owned;
	mutable_member(s, m)->state = MEMBER_GONE;
}

void sim_fail_data_centre(struct sim *s, uint32_t centre)
{
	char name[MEMBER_NAME_MAX];

	snprintf(name, sizeof(name), "dc-%u", centre);
	for (size_t i = 0; i < s->view.count; i++) {
		if (!strcmp(s->members[i].data_centre, name))
			mark_gone(s, &s->view.members[i]);
	}
}

static void replace_members(struct sim *s)
{
	size_t count = s->view.count;

	for (size_t i = 0; i < count; i++) {
		struct placement_member *old = &s->view.members[i];

		if (!rank_may_own(old, SERVICE))
			continue;
		add_member(s, SERVICE, (uint32_t)i);
		rebalance(s);
		drain(s, old);
		rebalance(s);
	}
}

static void compute_result(struct sim *s, struct sim_result *result)
{
	double *loads = calloc(s->up + 1, sizeof(*loads));
	double max = 0;
	double sum = 0;

	for (uint32_t i = 0; loads && i < s->up; i++) {
		loads[i] = rank_find_member(&s->view, s->instances[i])->load;
		sum += loads[i];
	}
	for (uint32_t i = 0; i < s->config.partitions; i++)
		max = s->busy[i] > max ? s->busy[i] : max;
	s->result.imbalance = loads ? placement_imbalance(loads, s->up) : 0;
	s->result.granularity = max / s->config.slots / (sum / s->up);
	free(loads);
	*result = s->result;
}

/* SIM_LEAVE and SIM_CRASH affect the first member that is up. */
void sim_run_event(struct sim *s, enum sim_event event,
		   struct sim_result *result)
{
	struct placement_member *leaving;

	s->result = (struct sim_result){ 0 };
	list_instances(s);
	leaving = rank_find_member(&s->view, s->instances[0]);
	switch (event) {
	case SIM_HOT_SET:
		s->hot_round++;
		generate_loads(s);
		count_loads(s);
		break;
	case SIM_JOIN:
		add_member(s, SERVICE, s->up);
		break;
	case SIM_LEAVE:
		drain(s, leaving);
		break;
	case SIM_CRASH:
		mark_gone(s, leaving);
		sim_replace_lost(s);
		break;
	case SIM_ROLLING:
		replace_members(s);
		break;
	case SIM_EVENTS:
		break;
	}
	rebalance(s);
	list_instances(s);
	compute_result(s, result);
}
