#ifndef LEASECOLL_H
#define LEASECOLL_H

/*
 * Collects renewals of the leases of many daemons, at the leader, and writes
 * them to the table in one call. Only the table decides: each row is written on
 * the version that its daemon knows, and a daemon without a result in time
 * writes its row itself. If one of the two writes is late, its condition fails.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "evloop.h"
#include "name.h"
#include "tbl.h"

struct leasecoll;

/* A renewal that was written. */
struct leasecoll_result {
	uint64_t expected; /* version of the row before */
	uint64_t version; /* and after it */
	uint64_t now_ms; /* clock of the table at the write */
};

/* Returns NULL if out of memory. */
struct leasecoll *leasecoll_create(struct evloop *l, struct tbl tbl);
void leasecoll_destroy(struct leasecoll *c);

/*
 * Adds the row of a daemon, which replaces one that has not been written yet.
 * False if the text is not its row, or out of memory.
 */
bool leasecoll_add(struct leasecoll *c, const char *node, uint64_t expected,
		   const char *text, size_t len);

/* Finds the last result of a daemon; false if it has none. */
bool leasecoll_find_result(const struct leasecoll *c, const char *node,
			   struct leasecoll_result *out);

#endif
