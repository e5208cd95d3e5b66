#include "slp_run.h"

#include <stdlib.h>
#include <string.h>

#define CENTRES 10
#define REGIONS 4
#define MEMBERS 6700
#define ROWS_MAX 256 /* of one reply to SYNC */
#define FIRST_PEER_PORT 7002

static struct proc random_proc(struct slp *s, uint32_t members)
{
	uint32_t instance = (uint32_t)(slp_random(s) % members) + 1;
	uint64_t incarnation = slp_random(s);

	return (struct proc){ instance, incarnation };
}

static void fill_set(struct slp *s, uint32_t members, struct row_set *set)
{
	set->owner = random_proc(s, members);
	set->witness[0] = random_proc(s, members);
	set->witness[1] = random_proc(s, members);
}

/* The processes are drawn at random; the versions ascend to that of the set. */
struct row slp_row(struct slp *s, uint32_t partition, uint32_t members,
		   uint32_t prev)
{
	struct row row = { .part = part_id(1, partition), .prev_count = prev };

	fill_set(s, members, &row.set);
	row.set.version = ROW_PREV_MAX + 1;
	for (uint32_t i = 0; i < prev; i++) {
		fill_set(s, members, &row.prev[i]);
		row.prev[i].version = ROW_PREV_MAX - i;
	}
	row.writer = row.set.owner;
	return row;
}

/* Names and addresses are as long as those in use. */
struct member slp_member(uint32_t instance)
{
	struct member m = { .proc = { instance, instance * 0x9e3779b97f4a7c15 },
			    .http_port = 7001,
			    .peer_port = FIRST_PEER_PORT,
			    .admin_port = 7003,
			    .service = 1,
			    .slots = 9,
			    .state = MEMBER_UP };

	snprintf(m.name, sizeof(m.name), "node-%06u", instance);
	snprintf(m.data_centre, sizeof(m.data_centre), "centre-%02u",
		 instance % CENTRES);
	snprintf(m.region, sizeof(m.region), "region-%u",
		 instance % CENTRES % REGIONS);
	snprintf(m.address, sizeof(m.address), "10.%u.%u.%u",
		 instance >> 16 & 255, instance >> 8 & 255, instance & 255);
	return m;
}

/* Entries as the table sends them, made before anything is measured. */
struct entries {
	struct replica_entry *list;
	size_t count;
};

static void free_entries(struct entries *e)
{
	for (size_t i = 0; i < e->count; i++)
		free(e->list[i].value);
	free(e->list);
}

static bool make_entries(struct slp *s, uint32_t rows, uint32_t members,
			 uint32_t prev, struct entries *e)
{
	e->count = 0;
	e->list = calloc(rows + members, sizeof(*e->list));
	if (!e->list)
		return false;
	for (uint32_t i = 0; i < rows + members; i++) {
		struct replica_entry *entry = &e->list[e->count++];
		struct member m = slp_member(i + 1);
		struct row row;

		entry->version = 3;
		entry->seq = i + 1;
		if (i < members) {
			member_key(m.proc.instance, entry->key);
			entry->value = member_encode(&m);
		} else {
			row = slp_row(s, i - members,
				      members ? members : MEMBERS, prev);
			row_key(row.part, entry->key);
			entry->value = row_encode(&row);
		}
		if (!entry->value)
			return false;
	}
	return true;
}

static bool apply_all(struct table_replica *m, const struct entries *e)
{
	for (size_t i = 0; i < e->count; i++) {
		if (replica_apply(m, &e->list[i], NULL) != REPLICA_UPDATED)
			return false;
	}
	replica_set_complete_seq(m, e->count);
	return true;
}

/* Applies all entries to a new replica. */
struct table_replica *slp_fill(struct slp *s, uint32_t rows, uint32_t members)
{
	struct table_replica *m = replica_create();
	struct entries e = { 0 };

	if (!m || !make_entries(s, rows, members, 0, &e) || !apply_all(m, &e)) {
		replica_destroy(m);
		m = NULL;
	}
	free_entries(&e);
	return m;
}

struct since {
	const struct table_replica *table_replica;
	uint64_t seq;
};

static void ask_since(void *arg)
{
	const struct replica_entry *out[ROWS_MAX];
	const struct since *q = arg;

	replica_rows_since(q->table_replica, q->seq, out, ROWS_MAX);
}

/* Writes every entry once more, as a rolling replacement does. */
static double rewrite(struct table_replica *m, struct entries *e)
{
	double start = slp_cpu_ns();

	for (size_t i = 0; i < e->count; i++) {
		e->list[i].version++;
		e->list[i].seq += e->count;
		replica_apply(m, &e->list[i], NULL);
	}
	return (slp_cpu_ns() - start) / (double)e->count;
}

static bool measure(struct slp *s, const char *name, uint32_t rows,
		    uint32_t members, uint32_t prev)
{
	uint32_t size = rows ? rows : members;
	struct entries e = { 0 };
	struct table_replica *m = NULL;
	size_t before;
	double start;
	bool ok = make_entries(s, rows, members, prev, &e);

	if (ok) {
		before = slp_heap_bytes();
		start = slp_cpu_ns();
		m = replica_create();
		ok = m && apply_all(m, &e);
		slp_add(s, name, size, (slp_cpu_ns() - start) / size,
			(double)slp_heap_bytes() - (double)before);
	}
	if (ok && rows && prev) {
		struct since q = { m, rows / 2 };
		double ns = slp_time(s, ask_since, &q);

		slp_add(s, "mir since, rows held", size, ns, SLP_NONE);
		ns = rewrite(m, &e);
		slp_add(s, "mir apply again, rows held", size, ns,
			(double)slp_heap_bytes() - (double)before);
	}
	replica_destroy(m);
	free_entries(&e);
	return ok;
}

struct codec {
	struct row row;
	char *text;
	bool failed;
};

static void encode(void *arg)
{
	struct codec *c = arg;
	char *text = row_encode(&c->row);

	c->failed |= !text;
	free(text);
}

static void decode(void *arg)
{
	struct codec *c = arg;
	struct row row;

	c->failed |= !row_decode(c->text, &row, NULL);
}

/* A row with up to ROW_PREV_MAX earlier sets. */
static bool measure_codec(struct slp *s, uint32_t sets)
{
	struct codec c = { .row = slp_row(s, 65535, MEMBERS, sets) };

	c.text = row_encode(&c.row);
	if (!c.text)
		return false;
	slp_add(s, "row encode, sets", sets + 1, slp_time(s, encode, &c),
		(double)strlen(c.text));
	slp_add(s, "row decode, sets", sets + 1, slp_time(s, decode, &c),
		(double)strlen(c.text));
	free(c.text);
	return !c.failed;
}

/* The replica by rows and by members, and the codec of a row. */
bool slp_mirror(struct slp *s)
{
	static const uint32_t rows[] = { 100, 1024, 8192, 65536 };
	static const uint32_t members[] = { 11, 100, 1000, 6700 };
	bool ok = true;

	for (uint32_t i = 0; ok && i < 4; i++) {
		if (slp_wants(s, rows[i]))
			ok = measure(s, "mir rows, 0 old sets", rows[i], 0,
				     0) &&
			     measure(s, "mir rows, 1 old set", rows[i], 0, 1);
		if (slp_wants(s, members[i]))
			ok = ok && measure(s, "mir members", 0, members[i], 0);
	}
	for (uint32_t sets = 0; ok && sets <= ROW_PREV_MAX; sets++)
		ok = measure_codec(s, sets);
	if (ok && slp_wants(s, rows[3]))
		ok = measure(s, "mir 65,536 rows and 6,700 members", rows[3],
			     members[3], 1);
	return ok;
}
