#include "tblcount.h"

#include <stdlib.h>
#include <string.h>

#include "noderow.h"
#include "planview.h"

struct tblcount {
	struct tbl inner;
	uint64_t calls[TBLCOUNT_TABLES][TBLCOUNT_KINDS];
};

/* Counts one call. */
static void count(struct tblcount *c, const char *table,
		  enum tblcount_kind kind)
{
	enum tblcount_table t = TBLCOUNT_CONFIG;

	if (strcmp(table, NODEROW_TABLE) == 0)
		t = TBLCOUNT_LEASES;
	else if (strcmp(table, PLANVIEW_TABLE) == 0)
		t = TBLCOUNT_PLAN;
	c->calls[t][kind]++;
}

static void read_table(void *self, const char *table, tbl_fn fn, void *arg)
{
	struct tblcount *c = self;

	count(c, table, TBLCOUNT_READ);
	c->inner.ops->read(c->inner.self, table, fn, arg);
}

/* A write of rows of several tables counts for the first one. */
static void write_rows(void *self, const struct tbl_change *changes, size_t n,
		       tbl_fn fn, void *arg)
{
	struct tblcount *c = self;

	if (n > 0)
		count(c, changes[0].table, TBLCOUNT_WRITE);
	c->inner.ops->write(c->inner.self, changes, n, fn, arg);
}

static void watch_table(void *self, const char *table, uint64_t after,
			uint32_t wait_ms, tbl_fn fn, void *arg)
{
	struct tblcount *c = self;

	count(c, table, TBLCOUNT_WATCH);
	c->inner.ops->watch(c->inner.self, table, after, wait_ms, fn, arg);
}

static bool is_arriving(void *self, const void *arg)
{
	const struct tblcount *c = self;

	return c->inner.ops->is_arriving(c->inner.self, arg);
}

static void cancel(void *self, const void *arg)
{
	struct tblcount *c = self;

	c->inner.ops->cancel(c->inner.self, arg);
}

static const struct tbl_ops counting_ops = { read_table, write_rows,
					     watch_table, is_arriving, cancel };

/* Creates a counter in front of a table service. */
struct tblcount *tblcount_create(struct tbl inner)
{
	struct tblcount *c = calloc(1, sizeof(*c));

	if (c)
		c->inner = inner;
	return c;
}

void tblcount_destroy(struct tblcount *c)
{
	free(c);
}

struct tbl tblcount_interface(struct tblcount *c)
{
	return (struct tbl){ &counting_ops, c };
}

uint64_t tblcount_calls(const struct tblcount *c, enum tblcount_table table,
			enum tblcount_kind kind)
{
	return c->calls[table][kind];
}
