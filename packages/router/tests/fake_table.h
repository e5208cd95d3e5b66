#ifndef FAKE_TABLE_H
#define FAKE_TABLE_H

/*
 * In-memory table service for tests. It answers from the event loop, or reports
 * failures while it is down.
 */

#include "evloop.h"
#include "tbl.h"

#define FAKETBL_ROWS_MAX 128
#define FAKETBL_CALLS_MAX 32

struct faketbl_row {
	char table[64], key[96], value[8192];
	uint64_t version;
};

struct fake;

struct faketbl_call {
	struct fake *f;
	tbl_fn fn;
	void *arg;
	char table[64];
	enum tbl_status status;
	bool reads;
	bool used;
};

struct fake {
	struct evloop *loop;
	struct tbl tbl; /* the interface for the module under test */
	struct faketbl_row rows[FAKETBL_ROWS_MAX];
	size_t row_count;
	uint64_t version;
	struct faketbl_call calls[FAKETBL_CALLS_MAX];
	struct {
		tbl_fn fn;
		void *arg;
	} waiting[FAKETBL_CALLS_MAX]; /* watches, in the order of the calls */
	size_t watch_count;
	bool down; /* all calls fail */
	bool hasty; /* watches return without changes and do not wait */
	uint32_t reads, writes, watches;
	uint32_t watch_wait_ms; /* of the last watch */
};

void faketbl_open(struct fake *f, struct evloop *l);

void faketbl_close(struct fake *f);

struct faketbl_row *faketbl_find(struct fake *f, const char *table,
				 const char *key);

void faketbl_put(struct fake *f, const char *table, const char *key,
		 const char *value);

#endif
