#ifndef FAKE_H
#define FAKE_H

/*
 * In-memory table service for tests. It answers from the event loop, or reports
 * failures while it is down.
 */

#include "evl.h"
#include "tbl.h"

#define FAKE_ROWS_MAX 32
#define FAKE_CALLS_MAX 32

struct fake_row {
	char table[64], key[96], value[8192];
	uint64_t version;
};

struct fake;

struct fake_call {
	struct fake *f;
	tbl_fn fn;
	void *arg;
	char table[64];
	enum tbl_status status;
	bool reads;
	bool used;
};

struct fake {
	struct evl *loop;
	struct tbl tbl; /* the interface for the module under test */
	struct fake_row rows[FAKE_ROWS_MAX];
	size_t row_count;
	uint64_t version;
	struct fake_call calls[FAKE_CALLS_MAX];
	tbl_fn watch_fn;
	void *watch_arg;
	bool down; /* all calls fail */
	bool hasty; /* watches return without changes and do not wait */
	uint32_t reads, writes, watches;
};

void fake_open(struct fake *f, struct evl *l);

void fake_close(struct fake *f);

struct fake_row *fake_find(struct fake *f, const char *table, const char *key);

void fake_put(struct fake *f, const char *table, const char *key,
	      const char *value);

#endif
