#include "slp_run.h"

#include <stdlib.h>

#include "clk.h"
#include "hot_keys.h"
#include "placement.h"

/* Linear congruential generator with 64 bits; the high ones are used. */
#define MULTIPLIER 6364136223846793005u
#define INCREMENT 1442695040888963407u

#define KEYS 1048576
#define PARTITIONS 65536
#define ROWS_OF_MEMBER 10

struct fixture {
	struct table_replica *table_replica;
	struct placement_counts *counts;
	struct placement_view view;
	struct placement_policy policy;
	struct row row;
	struct row_set after;
	struct proc self;
	uint64_t part;
};

static void apply(void *arg)
{
	struct fixture *f = arg;

	placement_view_apply(&f->view, &f->row.set, &f->after, 0.01);
}

static void is_armed(void *arg)
{
	struct fixture *f = arg;

	placement_is_complete(&f->view, &f->row.set);
}

static void is_creator(void *arg)
{
	struct fixture *f = arg;

	placement_is_creator(&f->view, f->part++, &f->self);
}

static void is_creator_in(void *arg)
{
	struct fixture *f = arg;

	placement_is_creator_in_replica(f->table_replica, f->part++, &f->self);
}

/* A look-up in a hash table of all members, as syn_load_of() does. */
static double look_up_load(void *arg, uint32_t instance)
{
	return replica_member(arg, instance) ? 0.5 : 0;
}

static void make_view(void *arg)
{
	struct fixture *f = arg;
	struct placement_view view;

	if (placement_view_create(f->table_replica, 1, look_up_load,
				  f->table_replica, &view))
		placement_view_free(&view);
}

static void make_counts_view(void *arg)
{
	struct fixture *f = arg;
	struct placement_view view;

	if (placement_view_from_counts(f->counts, f->table_replica, 1,
				       look_up_load, f->table_replica, &view))
		placement_view_free(&view);
}

/* A change and its reversal. */
static void count_row(void *arg)
{
	struct fixture *f = arg;

	placement_counts_update(f->counts, f->row.part, &f->row.set, &f->after);
	placement_counts_update(f->counts, f->row.part, &f->after, &f->row.set);
}

/* What the search for orphan rows does for a row with a live witness. */
static void check_row(void *arg)
{
	struct fixture *f = arg;
	uint32_t rows = (uint32_t)f->view.count * ROWS_OF_MEMBER;
	const struct row *row =
		replica_row(f->table_replica, part_id(1, f->part++ % rows));

	if (row)
		replica_member(f->table_replica, row->set.witness[0].instance);
}

/* The rows of slp_fill() name random incarnations, which no member has. */
static struct proc as_member(const struct fixture *f, struct proc p)
{
	const struct member *m = replica_member(f->table_replica, p.instance);

	return m ? m->proc : p;
}

static struct row_set with_members(const struct fixture *f, struct row_set set)
{
	set.owner = as_member(f, set.owner);
	for (size_t i = 0; i < ROW_WITNESSES; i++)
		set.witness[i] = as_member(f, set.witness[i]);
	return set;
}

/* Returns the bytes of the counts of all rows, SLP_NONE without memory. */
static double count_rows(struct fixture *f)
{
	size_t before = slp_heap_bytes();
	const struct row *row;
	size_t pos = 0;

	f->counts = placement_counts_create();
	if (!f->counts)
		return SLP_NONE;
	while ((row = replica_next_row(f->table_replica, &pos))) {
		struct row_set set = with_members(f, row->set);

		placement_counts_update(f->counts, row->part, NULL, &set);
	}
	return (double)slp_heap_bytes() - (double)before;
}

/* Views from all rows and from counts that are kept. */
static bool measure_views(struct slp *s, struct fixture *f, uint32_t members)
{
	double bytes = count_rows(f);

	if (!f->counts)
		return false;
	slp_add(s, "plc view, members", members, slp_time(s, make_view, f),
		SLP_NONE);
	slp_add(s, "plc counts view, members", members,
		slp_time(s, make_counts_view, f), bytes);
	f->row = *replica_row(f->table_replica, part_id(1, 1));
	f->row.set = with_members(f, f->row.set);
	f->after = with_members(f, f->after);
	slp_add(s, "plc counts row, twice, members", members,
		slp_time(s, count_row, f), SLP_NONE);
	slp_add(s, "plc is_creator_in, members", members,
		slp_time(s, is_creator_in, f), SLP_NONE);
	slp_add(s, "mir row and member, members", members,
		slp_time(s, check_row, f), SLP_NONE);
	placement_counts_destroy(f->counts);
	return true;
}

static void drain_target(void *arg)
{
	struct fixture *f = arg;
	struct proc target;

	placement_drain_target(&f->view, &f->self, f->part++, &target);
}

static void partition(void *arg)
{
	static const char key[] = "client-0000000017";
	struct fixture *f = arg;

	f->part += placement_partition_of_key(key, sizeof(key) - 1, PARTITIONS);
}

/* Picks a random member as syn.c does for each digest. */
static void pick(void *arg)
{
	struct fixture *f = arg;
	size_t pos = clk_random_below(clk_system(), f->view.count);

	replica_next_member(f->table_replica, &pos);
}

/* Decisions that placement_report does not measure. */
static bool measure(struct slp *s, uint32_t members)
{
	struct table_replica *table_replica =
		slp_fill(s, members * ROWS_OF_MEMBER, members);
	struct fixture f = { .table_replica = table_replica,
			     .part = part_id(1, 0) };
	bool ok;

	if (!table_replica ||
	    !placement_view_create(table_replica, 1, NULL, NULL, &f.view)) {
		replica_destroy(table_replica);
		return false;
	}
	f.row = slp_row(s, 1, members, 1);
	f.after = slp_row(s, 1, members, 1).set;
	f.self = f.view.members[members / 2].member->proc;
	slp_add(s, "plc view_apply, members", members, slp_time(s, apply, &f),
		SLP_NONE);
	slp_add(s, "plc is_armed, members", members, slp_time(s, is_armed, &f),
		SLP_NONE);
	slp_add(s, "plc is_creator, members", members,
		slp_time(s, is_creator, &f), SLP_NONE);
	slp_add(s, "plc drain_target, members", members,
		slp_time(s, drain_target, &f), SLP_NONE);
	slp_add(s, "pick of a peer, members", members, slp_time(s, pick, &f),
		SLP_NONE);
	if (members == 11)
		slp_add(s, "plc partition of a key", 1,
			slp_time(s, partition, &f), SLP_NONE);
	ok = measure_views(s, &f, members);
	placement_view_free(&f.view);
	replica_destroy(table_replica);
	return ok;
}

struct sketch {
	uint64_t random;
	struct hot_keys *hot;
	bool skewed;
};

/*
 * Half of the requests are for one of 420 keys when the load is skewed. How
 * often this is called depends on the time it takes, so it has random numbers
 * of its own: the others stay the same for a seed.
 */
static void add_key(void *arg)
{
	struct sketch *k = arg;
	uint64_t r = k->random = k->random * MULTIPLIER + INCREMENT;
	uint32_t keys = k->skewed && r >> 63 ? 420 : KEYS;
	char key[24];
	int len = snprintf(key, sizeof(key), "client-%010u",
			   (uint32_t)(r >> 32) % keys);

	hot_keys_add(k->hot, 1, key, (size_t)len);
}

static bool measure_sketch(struct slp *s, uint32_t size)
{
	struct sketch k = { .random = slp_random(s) };
	size_t before = slp_heap_bytes();
	double bytes;

	k.hot = hot_keys_create(size);
	if (!k.hot)
		return false;
	for (uint32_t i = 0; i < size * 2; i++)
		add_key(&k);
	bytes = (double)slp_heap_bytes() - (double)before;
	slp_add(s, "hot add, uniform, keys kept", size,
		slp_time(s, add_key, &k), bytes);
	k.skewed = true;
	slp_add(s, "hot add, skewed, keys kept", size, slp_time(s, add_key, &k),
		bytes);
	hot_keys_destroy(k.hot);
	return true;
}

/* Placement at 11 to 6,700 members, the sketch with 100 to 10,000 keys. */
bool slp_place(struct slp *s)
{
	static const uint32_t members[] = { 11, 100, 1000, 6700 };
	static const uint32_t keys[] = { 100, 1000, 10000 };
	bool ok = true;

	for (uint32_t i = 0; ok && i < 4; i++) {
		if (!slp_wants(s, members[i]))
			continue;
		ok = measure(s, members[i]);
	}
	for (uint32_t i = 0; ok && i < 3; i++) {
		if (slp_wants(s, keys[i]))
			ok = measure_sketch(s, keys[i]);
	}
	return ok;
}
