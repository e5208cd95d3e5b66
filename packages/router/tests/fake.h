#ifndef FAKE_H
#define FAKE_H

/* A table service in memory that answers from the loop, or does not. */

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
	struct tbl tbl; /* to be given to the parts under test */
	struct fake_row rows[FAKE_ROWS_MAX];
	size_t row_count;
	uint64_t version;
	struct fake_call calls[FAKE_CALLS_MAX];
	tbl_fn watch_fn;
	void *watch_arg;
	bool down;
	bool hasty; /* the feed answers at once, without changes */
	uint32_t reads, writes, watches;
};

void fake_open(struct fake *f, struct evl *l);

/* Ends the feed, so that its user can be freed; the loop runs on after it. */
void fake_close(struct fake *f);

/* Finds a row, NULL if there is none. */
struct fake_row *fake_find(struct fake *f, const char *table, const char *key);

/* Writes a row with the present version. */
void fake_put(struct fake *f, const char *table, const char *key,
	      const char *value);

#endif
