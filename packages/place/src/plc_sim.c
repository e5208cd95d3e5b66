#include "plc_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "plc_rank.h"

#define SERVICE 1
#define OTHER_SERVICE 2

/* Every member of the service is busy to this degree on the mean. */
#define UTILISATION 0.5

/* One partition in HOT_EVERY is hot and has HOT_FACTOR of the usual load. */
#define HOT_EVERY 32
#define HOT_FACTOR 6.0

/* The load of a partition before it is hot is spread by this factor. */
#define SKEW 4.0

/* Balancing ends then, should it not settle before. */
#define MINUTES_MAX 500

struct sim {
	struct sim_config config;
	enum sim_placement placement;
	struct member *members; /* by instance; room for all that ever join */
	size_t member_max;
	uint64_t hot_round;
	struct plc_view view;
	struct row_set *sets; /* by partition */
	double *busy; /* by partition, in slots */
	uint32_t *starts; /* by member: its first place in parts */
	uint32_t *parts; /* partitions in the order of their owners */
	struct plc_load *loads; /* of one owner */
	uint32_t *instances; /* up members of the service */
	uint32_t up;
	struct sim_result result;
};

static const char *const event_names[] = { "hot set moves", "join",
					   "planned leave", "crash",
					   "rolling replacement" };
static const char *const placement_names[] = { "sticky", "modulo",
					       "rendezvous" };

/* Returns the name of an event for reports. */
const char *sim_event_name(enum sim_event event)
{
	return event_names[event];
}

/* Returns the name of a placement for reports. */
const char *sim_placement_name(enum sim_placement placement)
{
	return placement_names[placement];
}

/* Returns the members with their counts and loads. */
const struct plc_view *sim_view(const struct sim *s)
{
	return &s->view;
}

/* Returns the set in force of a partition. */
const struct row_set *sim_set(const struct sim *s, uint32_t partition)
{
	return &s->sets[partition];
}

/* A number from 0 to 1 that depends on the seed alone. */
static double draw(const struct sim *s, uint64_t kind, uint64_t number)
{
	uint64_t block[3] = { s->config.seed, kind, number };

	return (double)(XXH3_64bits(block, sizeof(block)) >> 11) / (1ULL << 53);
}

static void draw_loads(struct sim *s)
{
	double wanted = UTILISATION * s->config.members * s->config.slots;
	double sum = 0;

	for (uint32_t i = 0; i < s->config.partitions; i++) {
		bool hot = draw(s, 2 + s->hot_round, i) < 1.0 / HOT_EVERY;

		s->busy[i] = 1 + (SKEW - 1) * draw(s, 1, i);
		if (hot)
			s->busy[i] *= HOT_FACTOR;
		sum += s->busy[i];
	}
	for (uint32_t i = 0; i < s->config.partitions; i++)
		s->busy[i] *= wanted / sum;
}

static void count_loads(struct sim *s)
{
	for (size_t i = 0; i < s->view.count; i++)
		s->view.members[i].load = 0;
	for (uint32_t i = 0; i < s->config.partitions; i++) {
		struct plc_member *m =
			rank_find(&s->view, s->sets[i].owner.instance);

		if (m)
			m->load += s->busy[i] / rank_slots(m);
	}
}

/* Instances count from 1, so that the view is in their order. */
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
	s->view.members[s->view.count++] = (struct plc_member){ .member = m };
}

static struct member *member_of(struct sim *s, const struct plc_member *m)
{
	return &s->members[m - s->view.members];
}

static void list_up(struct sim *s)
{
	s->up = 0;
	for (size_t i = 0; i < s->view.count; i++) {
		if (rank_serves(&s->view.members[i], SERVICE))
			s->instances[s->up++] = s->members[i].proc.instance;
	}
}

/* Writes a new set of a partition. */
static void write_set(struct sim *s, uint32_t i, const struct row_set *set)
{
	const struct row_set *before = s->sets[i].version ? &s->sets[i] : NULL;
	const struct plc_member *m =
		rank_find(&s->view, before ? before->owner.instance :
					     set->owner.instance);

	if (before && !proc_equal(&before->owner, &set->owner))
		s->result.churn++;
	plc_view_apply(&s->view, before, set, s->busy[i] / rank_slots(m));
	s->sets[i] = *set;
	s->result.writes++;
}

static void move_part(struct sim *s, uint32_t i, const struct proc *owner)
{
	struct row_set set;

	plc_arm(&s->view, part_id(SERVICE, i), &s->sets[i], owner,
		&s->config.policy, &set);
	write_set(s, i, &set);
}

/* Places all partitions without state, for comparison. */
static void place_stateless(struct sim *s)
{
	list_up(s);
	for (uint32_t i = 0; i < s->config.partitions; i++) {
		uint64_t part = part_id(SERVICE, i);
		struct row_set set = { .version = 1 };
		size_t at = s->placement == SIM_MODULO ?
				    plc_modulo(part, s->up) :
				    plc_rendezvous(part, s->instances, s->up);

		set.owner = s->members[s->instances[at] - 1].proc;
		if (!proc_equal(&set.owner, &s->sets[i].owner))
			write_set(s, i, &set);
	}
}

/* Sorts the partitions by their owners, by counting. */
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

/* After sort_parts() starts[n] is the end of the partitions of instance n. */
static size_t list_loads(struct sim *s, const struct plc_member *m)
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

/* Lets a member move partitions for a minute; returns how many it moved. */
static uint32_t balance_member(struct sim *s, const struct plc_member *m)
{
	uint32_t moved = 0;

	while (moved < s->config.policy.moves_per_minute) {
		size_t count = list_loads(s, m);
		struct proc target;
		uint64_t part;

		if (!plc_next_move(&s->view, &m->member->proc, s->loads, count,
				   &s->config.policy, &part, &target))
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

static void settle(struct sim *s)
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

		if (plc_choose(&s->view, part_id(SERVICE, i), 1,
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

/* Members of both services are dealt out to the data centres in turn. */
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
	draw_loads(s);
	if (placement == SIM_STICKY)
		create_rows(s);
	settle(s);
	return s;
}

/* s may be NULL. */
void sim_destroy(struct sim *s)
{
	if (!s)
		return;
	plc_view_free(&s->view);
	free(s->members);
	free(s->instances);
	free(s->starts);
	free(s->sets);
	free(s->busy);
	free(s->parts);
	free(s->loads);
	free(s);
}

/* A draining member moves its partitions away one after the other. */
static void drain(struct sim *s, struct plc_member *m)
{
	s->result.forced += m->owned;
	member_of(s, m)->state = MEMBER_DRAINING;
	for (uint32_t i = 0;
	     s->placement == SIM_STICKY && i < s->config.partitions; i++) {
		struct proc target;

		if (proc_equal(&s->sets[i].owner, &m->member->proc) &&
		    plc_drain_row(&s->view, &m->member->proc,
				  part_id(SERVICE, i), &s->sets[i],
				  &s->config.policy, &target))
			move_part(s, i, &target);
	}
	member_of(s, m)->state = MEMBER_GONE;
	sim_rearm(s);
}

/* The successor becomes the owner in a new version, see sim_rearm(). */
uint32_t sim_rearm(struct sim *s)
{
	uint32_t writes = 0;

	for (uint32_t i = 0;
	     s->placement == SIM_STICKY && i < s->config.partitions; i++) {
		struct proc owner = s->sets[i].owner;

		if (plc_is_armed(&s->view, &s->sets[i]))
			continue;
		if (!rank_find_up(&s->view, &owner))
			owner = s->sets[i].witness[ROW_SUCCESSOR];
		move_part(s, i, &owner);
		writes++;
	}
	return writes;
}

static void crash(struct sim *s, struct plc_member *m)
{
	s->result.forced += m->owned;
	member_of(s, m)->state = MEMBER_GONE;
}

/* Marks the members as gone; the rows are left as they are. */
void sim_lose_centre(struct sim *s, uint32_t centre)
{
	char name[MEMBER_NAME_MAX];

	snprintf(name, sizeof(name), "dc-%u", centre);
	for (size_t i = 0; i < s->view.count; i++) {
		if (!strcmp(s->members[i].data_centre, name))
			crash(s, &s->view.members[i]);
	}
}

static void replace_all(struct sim *s)
{
	size_t count = s->view.count;

	for (size_t i = 0; i < count; i++) {
		struct plc_member *old = &s->view.members[i];

		if (!rank_serves(old, SERVICE))
			continue;
		add_member(s, SERVICE, (uint32_t)i);
		settle(s);
		drain(s, old);
		settle(s);
	}
}

static void finish(struct sim *s, struct sim_result *result)
{
	double *loads = calloc(s->up + 1, sizeof(*loads));
	double max = 0;
	double sum = 0;

	for (uint32_t i = 0; loads && i < s->up; i++) {
		loads[i] = rank_find(&s->view, s->instances[i])->load;
		sum += loads[i];
	}
	for (uint32_t i = 0; i < s->config.partitions; i++)
		max = s->busy[i] > max ? s->busy[i] : max;
	s->result.imbalance = loads ? plc_imbalance(loads, s->up) : 0;
	s->result.granularity = max / s->config.slots / (sum / s->up);
	free(loads);
	*result = s->result;
}

/* Leaves and crashes hit the first member that is up. */
void sim_run(struct sim *s, enum sim_event event, struct sim_result *result)
{
	struct plc_member *victim;

	s->result = (struct sim_result){ 0 };
	list_up(s);
	victim = rank_find(&s->view, s->instances[0]);
	switch (event) {
	case SIM_HOT_SET:
		s->hot_round++;
		draw_loads(s);
		count_loads(s);
		break;
	case SIM_JOIN:
		add_member(s, SERVICE, s->up);
		break;
	case SIM_LEAVE:
		drain(s, victim);
		break;
	case SIM_CRASH:
		crash(s, victim);
		sim_rearm(s);
		break;
	case SIM_ROLLING:
		replace_all(s);
		break;
	case SIM_EVENTS:
		break;
	}
	settle(s);
	list_up(s);
	finish(s, result);
}
