#ifndef MIR_H
#define MIR_H

/*
 * The mirror: a copy in memory of the rows of the platform's table that this
 * daemon has learned, from the table or from peers. The table orders all its
 * writes by a sequence number; the mirror knows up to which one it is complete.
 */

#include <stddef.h>
#include <stdint.h>

#include "row.h"

/* One row as the table holds it. */
struct mir_entry {
	char key[ROW_KEY_MAX];
	uint64_t version; /* version of the row, for conditional writes */
	uint64_t seq; /* sequence number of its last write */
	char *value; /* JSON text */
};

struct mir;

/* Called after a row has changed; entry is valid during the call. */
typedef void (*mir_change_fn)(void *arg, const struct mir_entry *entry);

struct mir *mir_create(void);
void mir_destroy(struct mir *m);

/* Subscribes to changes; at most MIR_SUBSCRIBERS_MAX. */
#define MIR_SUBSCRIBERS_MAX 8
bool mir_subscribe(struct mir *m, mir_change_fn fn, void *arg);

/*
 * The assignment row that a mir_change_fn is called for, NULL if it is called
 * for another kind of row. *before is the set that the row had until now, NULL
 * for a new row. Valid during the call of the mir_change_fn.
 */
const struct row *mir_changed_row(const struct mir *m,
				  const struct row_set **before);

enum mir_result {
	MIR_NEW,
	MIR_OLD,
	MIR_INVALID
};

/*
 * Applies a row; the mirror copies it. A row that is not newer than the one
 * held changes nothing. A value that cannot be read is refused, the row held
 * stays. Errors: layer rows.
 */
enum mir_result mir_apply(struct mir *m, const struct mir_entry *e,
			  struct err *err);

/* The mirror holds every write up to this sequence number. */
uint64_t mir_complete(const struct mir *m);

/* Raises the number up to which the mirror is complete; it never falls. */
void mir_set_complete(struct mir *m, uint64_t seq);

/*
 * Copies up to max pointers to rows with a sequence number over seq, in
 * ascending order. Returns their count. Valid until the next mir_apply().
 */
size_t mir_since(const struct mir *m, uint64_t seq,
		 const struct mir_entry **out, size_t max);

/* Returns the row of a key as text, NULL if there is none. */
const struct mir_entry *mir_get(const struct mir *m, const char *key);

/* Returns the assignment row of a partition, NULL if there is none. */
const struct row *mir_row(const struct mir *m, uint64_t part);

/* Returns the member of an instance, NULL if there is none. */
const struct member *mir_member(const struct mir *m, uint32_t instance);

/* Returns the members one after the other; start with *pos 0. */
const struct member *mir_next_member(const struct mir *m, size_t *pos);

/* Returns the assignment rows one after the other; start with *pos 0. */
const struct row *mir_next_row(const struct mir *m, size_t *pos);

size_t mir_member_count(const struct mir *m);

#endif
