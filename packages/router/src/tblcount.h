#ifndef TBLCOUNT_H
#define TBLCOUNT_H

/*
 * Counts the calls of the table service by table and kind, as each of them has
 * a price. Passes all calls on.
 */

#include <stdint.h>

#include "tbl.h"

enum tblcount_table {
	TBLCOUNT_LEASES, /* rows of the daemons */
	TBLCOUNT_PLAN,
	TBLCOUNT_CONFIG, /* any other table */
	TBLCOUNT_TABLES
};

enum tblcount_kind {
	TBLCOUNT_READ,
	TBLCOUNT_WRITE,
	TBLCOUNT_WATCH,
	TBLCOUNT_KINDS
};

struct tblcount;

/* Returns NULL if out of memory. */
struct tblcount *tblcount_create(struct tbl inner);
void tblcount_destroy(struct tblcount *c);

/* The interface that counts; valid as long as c. */
struct tbl tblcount_interface(struct tblcount *c);

/* Calls so far. */
uint64_t tblcount_calls(const struct tblcount *c, enum tblcount_table table,
			enum tblcount_kind kind);

#endif
