/*
 * The planner with the table service in memory. Guards against a first plan
 * that leaves keys without an owner, a leader that cannot write but stays the
 * leader, and a lease that can be renewed after its keys have moved.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fake_table.h"
#include "planner_int.h"
#include "noderow.h"

#define PROCESS 1

struct fixture {
	struct evloop *loop;
	struct fake db;
	struct rsettings settings;
	struct rconfig config;
	struct rconfig_service service;
	struct planview *view;
	struct planner *leader;
};

static void on_plan(void *arg)
{
	(void)arg;
}

static void on_rows(void *arg, const struct tbl_change *rows, size_t count,
		    uint64_t version)
{
	struct fixture *f = arg;

	for (size_t i = 0; i < count; i++) {
		if (rows[i].value && strcmp(rows[i].table, PLANVIEW_TABLE) == 0)
			planview_apply_row(f->view, rows[i].key, rows[i].value,
					   strlen(rows[i].value), version);
	}
}

/* Writes the row of a node with an upstream and a lease of lease_ms. */
static void put_node_of(struct fixture *f, const char *name,
			const char *service, uint64_t lease_ms)
{
	uint64_t era = tbl_era(f->db.version);
	struct noderow n = {
		.process = 1,
		.slots = 6,
		.takes_work = true,
		.era = era,
		.lease_until_ms = evloop_now_us(f->loop) / US_PER_MS + lease_ms
	};
	char *text;

	snprintf(n.node, sizeof(n.node), "%s", name);
	snprintf(n.incarnation.node, sizeof(n.incarnation.node), "%s", name);
	snprintf(n.incarnation.id, sizeof(n.incarnation.id), "u-%s", name);
	snprintf(n.service, sizeof(n.service), "%s", service);
	text = noderow_format(&n);
	f->db.version++;
	faketbl_put(&f->db, NODEROW_TABLE, name, text);
	free(text);
}

/* Same with an upstream of service s. */
static void put_node(struct fixture *f, const char *name, uint64_t lease_ms)
{
	put_node_of(f, name, "s", lease_ms);
}

static void run(struct fixture *f, uint32_t ms)
{
	uint64_t end = evloop_now_us(f->loop) + (uint64_t)ms * US_PER_MS;

	while (evloop_now_us(f->loop) < end)
		evloop_run_once(f->loop, 10 * US_PER_MS);
}

/* Creates the planner of a process of node a. */
static struct planner *create_planner(struct fixture *f, struct planview *view,
				      uint64_t process)
{
	struct planner_parts parts = { f->loop,	     f->db.tbl, view,
				       &f->settings, process,	&f->config,
				       on_rows,	     f };

	return planner_create(&parts);
}

/* Starts a leader for a service with two upstreams. */
static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct err err = { 0 };

	f->loop = evloop_create(clk_system(), &err);
	faketbl_open(&f->db, f->loop);
	snprintf(f->settings.instance, NAME_SIZE, "a");
	snprintf(f->settings.peer_address, RSETTINGS_ADDRESS_MAX,
		 "127.0.0.1:1");
	snprintf(f->service.name, NAME_SIZE, "s");
	f->service.keyed = true;
	f->config = (struct rconfig){ .version = 1,
				      .services = &f->service,
				      .service_count = 1 };
	f->view = planview_create(f->loop, f->db.tbl, on_plan, f);
	f->leader = create_planner(f, f->view, PROCESS);
	put_node(f, "a", 60000);
	put_node(f, "b", 60000);
	run(f, 50);
	planner_claim_leadership(f->leader, "test");
	run(f, 2500);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;
	planner_destroy(f->leader);
	planview_destroy(f->view);
	faketbl_close(&f->db);
	run(f, 20);
	evloop_destroy(f->loop);
	free(f);
	return 0;
}

/* Returns the id of the owner of a key of a service, "" for none. */
static const char *owner_of_service(const struct fixture *f,
				    const char *service, uint32_t key)
{
	uint64_t version;
	const struct keymap *map = planview_map(f->view, service, &version);
	const struct incarnation *l =
		map ? keymap_incarnation(map, keymap_find(map, key)->owner) :
		      NULL;

	return l ? l->id : "";
}

/* Same for a key of service s. */
static const char *owner_of(const struct fixture *f, uint32_t key)
{
	return owner_of_service(f, "s", key);
}

/* The first plan assigns keys to each upstream. */
static void test_first_plan(void **state)
{
	struct fixture *f = *state;

	assert_true(planner_is_leader(f->leader));
	assert_false(planner_is_stuck(f->leader));
	assert_string_not_equal(owner_of(f, 0), "");
	assert_string_not_equal(owner_of(f, 65535), "");
	assert_string_not_equal(owner_of(f, 0), owner_of(f, 65535));
}

/*
 * Guards against a leader that cannot reach the table service but goes on
 * answering reports: it stayed the leader, and there was no plan for 9 s.
 */
static void test_leader_without_table_is_stuck(void **state)
{
	struct fixture *f = *state;
	uint32_t before;

	f->db.down = true;
	before = f->db.reads;
	run(f, 3200);
	assert_true(planner_is_stuck(f->leader));
	/* It retries, at a limited rate. */
	assert_in_range(f->db.reads - before, 2, 20);
	f->db.down = false;
	run(f, 1000);
	assert_false(planner_is_stuck(f->leader));
}

/* An ended lease is marked as expired by the write that moves its keys. */
static void test_expired_lease_is_fenced(void **state)
{
	struct fixture *f = *state;
	struct noderow row;
	struct faketbl_row *b;

	put_node(f, "b", 0);
	run(f, 2500);
	b = faketbl_find(&f->db, NODEROW_TABLE, "b");
	assert_true(
		noderow_parse(b->value, strlen(b->value), b->version, &row));
	assert_true(row.expired);
	assert_string_equal(owner_of(f, 0), "u-a");
	assert_string_equal(owner_of(f, 65535), "u-a");
}

/* Overwrites the row of a node. */
static void put_text(struct fixture *f, const char *name, const char *text)
{
	f->db.version++;
	faketbl_put(&f->db, NODEROW_TABLE, name, text);
}

/* True if the upstream of node b owns the key, or has to release it first. */
static bool may_be_held_by_b(const struct fixture *f, uint32_t key)
{
	uint64_t version;
	const struct keymap *map = planview_map(f->view, "s", &version);
	const struct keymap_range *r = keymap_find(map, key);
	const struct incarnation *owner = keymap_incarnation(map, r->owner);
	const struct incarnation *former = keymap_incarnation(map, r->former);

	return (owner && strcmp(owner->id, "u-b") == 0) ||
	       (former && strcmp(former->id, "u-b") == 0);
}

/*
 * Guards against keys that are taken from a living daemon because its row
 * cannot be read, and against keys that a daemon keeps for good that way.
 */
static void test_odd_row_takes_no_keys_before_its_lease_ends(void **state)
{
	struct fixture *f = *state;
	bool first = strcmp(owner_of(f, 0), "u-b") == 0;
	struct noderow row;
	struct faketbl_row *b;

	put_text(f, "b", "[[[[{\"until\":1e400}]]]]");
	run(f, 5000);
	assert_true(may_be_held_by_b(f, first ? 0 : 65535));
	put_node(f, "a", 10000);
	run(f, 9000);
	b = faketbl_find(&f->db, NODEROW_TABLE, "b");
	assert_true(
		noderow_parse(b->value, strlen(b->value), b->version, &row));
	assert_true(row.expired);
	assert_string_equal(owner_of(f, 0), "u-a");
	assert_string_equal(owner_of(f, 65535), "u-a");
}

/* Guards against a lease that a number out of range makes last for ever. */
static void test_lease_beyond_its_term_is_odd(void **state)
{
	struct fixture *f = *state;
	struct noderow n = { .process = 1, .slots = UINT32_MAX };
	char *text;

	n.takes_work = true;
	n.lease_until_ms = INT64_MAX;
	snprintf(n.node, sizeof(n.node), "b");
	snprintf(n.incarnation.node, sizeof(n.incarnation.node), "b");
	snprintf(n.incarnation.id, sizeof(n.incarnation.id), "u-b");
	snprintf(n.service, sizeof(n.service), "s");
	text = noderow_format(&n);
	put_text(f, "b", text);
	free(text);
	run(f, 7000);
	put_node(f, "a", 10000);
	run(f, 7000);
	assert_string_equal(owner_of(f, 0), "u-a");
	assert_string_equal(owner_of(f, 65535), "u-a");
}

/* Replaces the rows by a copy, in the next era. */
static void restore(struct fixture *f, const struct fake *copy)
{
	uint64_t era = tbl_era(f->db.version) + 1;

	memcpy(f->db.rows, copy->rows, sizeof(f->db.rows));
	f->db.row_count = copy->row_count;
	f->db.version = tbl_version(era, tbl_number(copy->version));
	for (size_t i = 0; i < f->db.row_count; i++)
		f->db.rows[i].version =
			tbl_version(era, tbl_number(f->db.rows[i].version));
}

/* Guards against the expiry of leases that living daemons have renewed. */
static void test_leases_in_an_older_copy_do_not_end(void **state)
{
	struct fixture *f = *state;
	struct fake *copy = malloc(sizeof(*copy));
	struct noderow row;
	struct faketbl_row *b;

	put_node(f, "b", 0);
	*copy = f->db;
	restore(f, copy);
	run(f, 2500);
	b = faketbl_find(&f->db, NODEROW_TABLE, "b");
	assert_true(
		noderow_parse(b->value, strlen(b->value), b->version, &row));
	assert_false(row.expired);
	assert_string_not_equal(owner_of(f, 0), owner_of(f, 65535));
	free(copy);
}

/* Returns the map as it stands in the table; the caller destroys it. */
static struct keymap *stored_map(const struct fixture *f)
{
	struct err err = { 0 };
	struct faketbl_row *r =
		faketbl_find((struct fake *)&f->db, PLANVIEW_TABLE, "keys/s");

	return keymap_parse(r->value, strlen(r->value), &err);
}

/* Guards against an older map, and its fences, that replace the newest ones. */
static void test_lost_map_is_written_again(void **state)
{
	struct fixture *f = *state;
	struct fake *copy = malloc(sizeof(*copy));
	struct keymap *map;
	uint64_t fence, version;

	*copy = f->db;
	put_node(f, "b", 0);
	run(f, 2500);
	assert_string_equal(owner_of(f, 65535), "u-a");
	fence = keymap_next_fence(planview_map(f->view, "s", &version));
	restore(f, copy);
	run(f, 2500);
	map = stored_map(f);
	assert_int_equal(keymap_era(map), 0);
	keymap_destroy(map);
	assert_string_equal(owner_of(f, 65535), "u-a");
	put_node(f, "a", 60000);
	run(f, 4000);
	map = stored_map(f);
	assert_int_equal(keymap_era(map), 1);
	assert_true(keymap_next_fence(map) > fence);
	assert_true(keymap_next_fence(map) > UINT32_MAX);
	assert_string_equal(owner_of(f, 65535), "u-a");
	keymap_destroy(map);
	free(copy);
}

/* Guards against grants by a map that only an older copy shows. */
static void test_map_of_an_older_copy_is_unconfirmed(void **state)
{
	struct fixture *f = *state;
	struct fake *copy = malloc(sizeof(*copy));
	const struct faketbl_row *row;
	struct planview *fresh;

	*copy = f->db;
	row = faketbl_find(copy, PLANVIEW_TABLE, "keys/s");
	assert_false(planview_map_is_unconfirmed(f->view, "s"));
	restore(f, copy);
	fresh = planview_create(f->loop, f->db.tbl, on_plan, f);
	run(f, 1500);
	assert_true(planview_map_is_unconfirmed(fresh, "s"));
	assert_true(planview_map_is_copied(fresh, "s"));
	assert_false(planview_map_is_unconfirmed(f->view, "s"));
	/* A daemon that has granted keys by it sends it. */
	planview_apply_row(fresh, "keys/s", row->value, strlen(row->value),
			   row->version);
	assert_false(planview_map_is_copied(fresh, "s"));
	assert_true(planview_map_is_unconfirmed(fresh, "s"));
	put_node(f, "a", 60000);
	put_node(f, "b", 60000);
	run(f, 5000);
	planview_request_read(fresh);
	run(f, 100);
	assert_false(planview_map_is_unconfirmed(fresh, "s"));
	planview_destroy(fresh);
	free(copy);
}

/*
 * Guards against a restarted leader that leads on under the row of its earlier
 * process: the other daemons send their maps of an earlier era only once for
 * each version of that row, so that keys were planned without them.
 */
static void restarted_leader_writes_its_row_again(void **state)
{
	struct fixture *f = *state;
	struct planview *view = planview_create(f->loop, f->db.tbl, on_plan, f);
	struct planner *next = create_planner(f, view, PROCESS + 1);
	uint64_t before = planview_leader(f->view)->version;

	planner_destroy(f->leader);
	run(f, 1000);
	assert_false(planner_is_leader(next));
	assert_true(planner_was_leader(next));
	planner_claim_leadership(next, "test");
	run(f, 1500);
	planview_request_read(view);
	run(f, 100);
	assert_true(planner_is_leader(next));
	assert_false(planner_was_leader(next));
	assert_true(planview_leader(view)->version > before);
	planview_destroy(f->view);
	f->leader = next;
	f->view = view;
}

#define SERVICES 150

/*
 * Guards against a service whose keys get no owner, as the configuration has
 * many others before it.
 */
static void service_after_many_others_is_planned(void **state)
{
	struct fixture *f = *state;
	struct rconfig_service services[SERVICES] = { 0 };

	for (size_t i = 0; i < SERVICES; i++) {
		snprintf(services[i].name, NAME_SIZE, "s%zu", i);
		services[i].keyed = true;
	}
	snprintf(services[SERVICES - 1].name, NAME_SIZE, "late");
	f->config.services = services;
	f->config.service_count = SERVICES;
	put_node_of(f, "c", "late", 60000);
	put_node_of(f, "d", "late", 60000);
	run(f, 4000);
	assert_string_not_equal(owner_of_service(f, "late", 0), "");
	assert_string_not_equal(owner_of_service(f, "late", 65535), "");
	f->config.services = &f->service;
	f->config.service_count = 1;
}

/* Guards against daemons that ignore the maps of services beyond the first. */
static void maps_of_many_services_are_kept(void **state)
{
	struct fixture *f = *state;
	struct keymap *map = keymap_create();
	char *text = keymap_encode(map);
	char name[NAME_SIZE], key[PLANVIEW_KEY_MAX];
	uint64_t version;

	for (size_t i = 0; i < SERVICES; i++) {
		snprintf(name, sizeof(name), "many-%zu", i);
		planview_map_key(name, key);
		planview_apply_row(f->view, key, text, strlen(text),
				   f->db.version + 1 + i);
	}
	for (size_t i = 0; i < SERVICES; i++) {
		snprintf(name, sizeof(name), "many-%zu", i);
		assert_non_null(planview_map(f->view, name, &version));
		assert_int_equal(version, f->db.version + 1 + i);
	}
	assert_string_not_equal(owner_of(f, 0), "");
	free(text);
	keymap_destroy(map);
}

#define NODES 5000

/* Guards against daemons that are no members, as there are many others. */
static void rows_of_many_daemons_are_read(void **state)
{
	struct planner_node *nodes = calloc(NODES, sizeof(*nodes));
	struct tbl_row *rows = calloc(NODES, sizeof(*rows));
	struct tbl_result r = { .rows = rows, .count = NODES, .now_ms = 1000 };

	(void)state;
	for (size_t i = 0; i < NODES; i++) {
		struct noderow n = { .process = 1, .lease_until_ms = 5000 };

		snprintf(n.node, sizeof(n.node), "n%05zu", i);
		rows[i].key = strdup(n.node);
		rows[i].value = noderow_format(&n);
		rows[i].len = strlen(rows[i].value);
		rows[i].version = i + 1;
	}
	assert_int_equal(planner_parse_nodes(&r, 0, NULL, 0, nodes), NODES);
	for (size_t i = 0; i < NODES; i++) {
		assert_string_equal(nodes[i].row.node, rows[i].key);
		assert_true(nodes[i].alive);
		free((char *)rows[i].key);
		free((char *)rows[i].value);
	}
	free(rows);
	free(nodes);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_first_plan),
		CASE(test_leader_without_table_is_stuck),
		CASE(test_expired_lease_is_fenced),
		CASE(test_odd_row_takes_no_keys_before_its_lease_ends),
		CASE(test_lease_beyond_its_term_is_odd),
		CASE(test_leases_in_an_older_copy_do_not_end),
		CASE(test_lost_map_is_written_again),
		CASE(test_map_of_an_older_copy_is_unconfirmed),
		CASE(restarted_leader_writes_its_row_again),
		CASE(service_after_many_others_is_planned),
		CASE(maps_of_many_services_are_kept),
		cmocka_unit_test(rows_of_many_daemons_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
