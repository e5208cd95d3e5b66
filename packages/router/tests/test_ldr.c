#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ldr.h"
#include "nrw.h"

/* A table service in memory that answers from the loop, or does not. */

#define ROWS_MAX 32
#define CALLS_MAX 32
#define ANSWER_US (1 * US_PER_MS)

struct fake_row {
	char table[64], key[96], value[8192];
	uint64_t version;
};

struct fake_call {
	struct fixture *f;
	tbl_fn fn;
	void *arg;
	char table[64];
	enum tbl_status status;
	bool reads;
	bool used;
};

struct fixture {
	struct evl *loop;
	struct tbl tbl;
	struct fake_row rows[ROWS_MAX];
	size_t row_count;
	uint64_t version;
	struct fake_call calls[CALLS_MAX];
	tbl_fn watch_fn;
	void *watch_arg;
	bool down;
	uint32_t reads, writes;
	struct rse settings;
	struct rcf config;
	struct rcf_service service;
	struct vew *view;
	struct ldr *leader;
};

static struct fake_row *find_row(struct fixture *f, const char *table,
				 const char *key)
{
	for (size_t i = 0; i < f->row_count; i++) {
		if (strcmp(f->rows[i].table, table) == 0 &&
		    strcmp(f->rows[i].key, key) == 0)
			return &f->rows[i];
	}
	return NULL;
}

/* Writes a row with the present version. */
static void put_row(struct fixture *f, const char *table, const char *key,
		    const char *value)
{
	struct fake_row *r = find_row(f, table, key);

	if (!r)
		r = &f->rows[f->row_count++];
	snprintf(r->table, sizeof(r->table), "%s", table);
	snprintf(r->key, sizeof(r->key), "%s", key);
	snprintf(r->value, sizeof(r->value), "%s", value);
	r->version = f->version;
}

/* Answers a call. */
static void answer(void *arg, uint64_t now_us)
{
	struct fake_call *c = arg;
	struct fixture *f = c->f;
	struct tbl_row rows[ROWS_MAX];
	struct tbl_result r = { .status = c->status,
				.rows = rows,
				.version = f->version,
				.now_ms = now_us / US_PER_MS,
				.sent_us = now_us,
				.reason = "down" };

	c->used = false;
	for (size_t i = 0; i < f->row_count; i++) {
		struct fake_row *x = &f->rows[i];

		if ((c->reads && strcmp(x->table, c->table) == 0) ||
		    c->status == TBL_CONFLICT)
			rows[r.count++] =
				(struct tbl_row){ x->table,   x->key,
						  x->value,   strlen(x->value),
						  x->version, false };
	}
	c->fn(c->arg, &r);
}

/* Plans the answer of a call. */
static struct fake_call *begin(struct fixture *f, tbl_fn fn, void *arg)
{
	for (size_t i = 0; i < CALLS_MAX; i++) {
		struct fake_call *c = &f->calls[i];

		if (c->used)
			continue;
		memset(c, 0, sizeof(*c));
		c->f = f;
		c->fn = fn;
		c->arg = arg;
		c->used = true;
		c->status = f->down ? TBL_REFUSED : TBL_OK;
		tmr_at(evl_timers(f->loop), evl_now_us(f->loop) + ANSWER_US,
		       answer, c);
		return c;
	}
	abort();
}

static void fake_read(void *self, const char *table, tbl_fn fn, void *arg)
{
	struct fixture *f = self;
	struct fake_call *c = begin(f, fn, arg);

	f->reads++;
	c->reads = !f->down;
	snprintf(c->table, sizeof(c->table), "%s", table);
}

static void fake_write(void *self, const struct tbl_change *changes,
		       size_t count, tbl_fn fn, void *arg)
{
	struct fixture *f = self;
	struct fake_call *c = begin(f, fn, arg);

	f->writes++;
	if (f->down)
		return;
	for (size_t i = 0; i < count; i++) {
		const struct fake_row *r =
			find_row(f, changes[i].table, changes[i].key);

		if (changes[i].expected != (r ? r->version : 0))
			c->status = TBL_CONFLICT;
	}
	if (c->status != TBL_OK)
		return;
	f->version++;
	for (size_t i = 0; i < count; i++) {
		if (changes[i].value)
			put_row(f, changes[i].table, changes[i].key,
				changes[i].value);
	}
}

/* The feed answers at the end only: what is written here is taken at once. */
static void fake_watch(void *self, const char *table, uint64_t after,
		       uint32_t wait_ms, tbl_fn fn, void *arg)
{
	struct fixture *f = self;

	(void)table;
	(void)after;
	(void)wait_ms;
	f->watch_fn = fn;
	f->watch_arg = arg;
}

static const struct tbl_ops fake_ops = { fake_read, fake_write, fake_watch };

static void on_plan(void *arg)
{
	(void)arg;
}

static void on_rows(void *arg, const struct tbl_change *rows, size_t count,
		    uint64_t version)
{
	struct fixture *f = arg;

	for (size_t i = 0; i < count; i++) {
		if (rows[i].value && strcmp(rows[i].table, VEW_TABLE) == 0)
			vew_take(f->view, rows[i].key, rows[i].value,
				 strlen(rows[i].value), version);
	}
}

/* Writes the row of a daemon with an upstream and a lease. */
static void put_node(struct fixture *f, const char *name, uint64_t lease_ms)
{
	struct nrw n = { .process = 1,
			 .slots = 6,
			 .takes_work = true,
			 .lease_until_ms =
				 evl_now_us(f->loop) / US_PER_MS + lease_ms };
	char *text;

	snprintf(n.node, sizeof(n.node), "%s", name);
	snprintf(n.life.node, sizeof(n.life.node), "%s", name);
	snprintf(n.life.id, sizeof(n.life.id), "u-%s", name);
	snprintf(n.service, sizeof(n.service), "s");
	text = nrw_write(&n);
	f->version++;
	put_row(f, NRW_TABLE, name, text);
	free(text);
}

static void run(struct fixture *f, uint32_t ms)
{
	uint64_t end = evl_now_us(f->loop) + (uint64_t)ms * US_PER_MS;

	while (evl_now_us(f->loop) < end)
		evl_step(f->loop, 10 * US_PER_MS);
}

/* A leader of a service with two upstreams. */
static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct err err = { 0 };

	f->loop = evl_create(clk_system(), &err);
	f->tbl = (struct tbl){ &fake_ops, f };
	snprintf(f->settings.instance, RSE_NAME_MAX, "a");
	snprintf(f->settings.peer_address, RSE_ADDRESS_MAX, "127.0.0.1:1");
	snprintf(f->service.name, RCF_NAME_MAX, "s");
	f->service.keyed = true;
	f->config = (struct rcf){ .version = 1,
				  .services = &f->service,
				  .service_count = 1 };
	f->view = vew_create(f->loop, f->tbl, on_plan, f);
	struct ldr_parts parts = { f->loop,    f->tbl,	f->view, &f->settings,
				   &f->config, on_rows, f };
	f->leader = ldr_create(&parts);
	put_node(f, "a", 60000);
	put_node(f, "b", 60000);
	run(f, 50);
	ldr_claim(f->leader, "test");
	run(f, 2500);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;
	struct tbl_result none = { .status = TBL_REFUSED };

	ldr_destroy(f->leader);
	vew_destroy(f->view);
	if (f->watch_fn)
		f->watch_fn(f->watch_arg, &none);
	run(f, 20);
	evl_destroy(f->loop);
	free(f);
	return 0;
}

/* Returns the owner of a key, "" for none. */
static const char *owner_of(const struct fixture *f, uint32_t key)
{
	uint64_t version;
	const struct krm *map = vew_map(f->view, "s", &version);
	const struct life *l =
		map ? krm_life(map, krm_find(map, key)->owner) : NULL;

	return l ? l->id : "";
}

/* The first plan gives each upstream its part. */
static void test_first_plan(void **state)
{
	struct fixture *f = *state;

	assert_true(ldr_leads(f->leader));
	assert_false(ldr_is_stuck(f->leader));
	assert_string_not_equal(owner_of(f, 0), "");
	assert_string_not_equal(owner_of(f, 65535), "");
	assert_string_not_equal(owner_of(f, 0), owner_of(f, 65535));
}

/*
 * A leader that does not reach the store must not keep the lead: nobody planned
 * for 9 s, as it went on answering reports.
 */
static void test_leader_without_store_is_stuck(void **state)
{
	struct fixture *f = *state;
	uint32_t before;

	f->down = true;
	before = f->reads;
	run(f, 3200);
	assert_true(ldr_is_stuck(f->leader));
	/* It goes on trying, at a rate that costs little. */
	assert_in_range(f->reads - before, 2, 20);
	f->down = false;
	run(f, 1000);
	assert_false(ldr_is_stuck(f->leader));
}

/* An expired lease is taken away in the same write that moves its keys. */
static void test_expired_lease_is_fenced(void **state)
{
	struct fixture *f = *state;
	struct nrw row;
	struct fake_row *b;

	put_node(f, "b", 0);
	run(f, 2500);
	b = find_row(f, NRW_TABLE, "b");
	assert_true(nrw_parse(b->value, strlen(b->value), &row));
	assert_true(row.expired);
	assert_string_equal(owner_of(f, 0), "u-a");
	assert_string_equal(owner_of(f, 65535), "u-a");
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_first_plan),
		CASE(test_leader_without_store_is_stuck),
		CASE(test_expired_lease_is_fenced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
