#ifndef MIR_H
#define MIR_H

/*
 * Replica of the table: a copy in memory of the rows that this daemon has
 * received from the platform's table or from peers. The table gives each write
 * a sequence number. The replica may lack recent writes; it knows the sequence
 * number up to which it holds all.
 */

#include <stddef.h>
#include <stdint.h>

#include "row.h"

/* A row as stored in the table. */
struct mir_entry {
	char key[ROW_KEY_MAX];
	uint64_t version; /* of the row, for conditional writes */
	uint64_t seq; /* sequence number of the last write of the row */
	char *value; /* JSON text */
};

struct mir;

/* Called after a row has changed; entry is valid only during the call. */
typedef void (*mir_change_fn)(void *arg, const struct mir_entry *entry);

/* Returns an empty replica, NULL if memory is exhausted. */
struct mir *mir_create(void);

/* Frees the replica and all its rows; NULL is allowed. */
void mir_destroy(struct mir *mirror);

#define MIR_SUBSCRIBERS_MAX 8

/*
 * Registers a function that is called for each change. Returns false if there
 * are MIR_SUBSCRIBERS_MAX already.
 */
bool mir_subscribe(struct mir *mirror, mir_change_fn fn, void *arg);

/*
 * For use within a mir_change_fn: returns the changed assignment row, NULL
 * if the change is of another kind of row. Sets *previous_set to the set before
 * the change, NULL for a new row. Both are valid only during the call of the
 * mir_change_fn.
 */
const struct row *mir_changed_row(const struct mir *mirror,
				  const struct row_set **previous_set);

enum mir_result {
	MIR_NEW, /* the row is new or has changed */
	MIR_OLD, /* the version is not newer; nothing has changed */
	MIR_INVALID /* an error; nothing has changed */
};

/*
 * Stores a copy of a row if its version is newer than the one held, and calls
 * the subscribers. Errors, also of exhausted memory: layer rows, a code of enum
 * row_error.
 */
enum mir_result mir_apply(struct mir *mirror, const struct mir_entry *entry,
			  struct err *err);

/* Returns the sequence number up to which the replica holds all writes. */
uint64_t mir_complete(const struct mir *mirror);

/* Raises the result of mir_complete(); ignores a lower number. */
void mir_set_complete(struct mir *mirror, uint64_t seq);

/*
 * Sets out to up to max rows last written after the sequence number seq, in
 * ascending order of their sequence numbers. Returns their count. The pointers
 * are valid until the next mir_apply().
 */
size_t mir_since(const struct mir *mirror, uint64_t seq,
		 const struct mir_entry **out, size_t max);

/* Returns the row of a key, NULL if there is none. */
const struct mir_entry *mir_get(const struct mir *mirror, const char *key);

/* Returns the assignment row of a partition, NULL if there is none. */
const struct row *mir_row(const struct mir *mirror, uint64_t part);

/* Returns the member of an instance, NULL if there is none. */
const struct member *mir_member(const struct mir *mirror, uint32_t instance);

/*
 * Return the members and the assignment rows one by one, NULL after the last.
 * *pos must be 0 at first and is advanced by each call.
 */
const struct member *mir_next_member(const struct mir *mirror, size_t *pos);
const struct row *mir_next_row(const struct mir *mirror, size_t *pos);

/* Returns the number of members, including those in state MEMBER_GONE. */
size_t mir_member_count(const struct mir *mirror);

#endif
