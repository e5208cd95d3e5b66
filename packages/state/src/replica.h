#ifndef REPLICA_H
#define REPLICA_H

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
struct replica_entry {
	char key[ROW_KEY_MAX];
	uint64_t version; /* of the row, for conditional writes */
	uint64_t seq; /* sequence number of the last write of the row */
	char *value; /* JSON text */
};

struct table_replica;

/* Called after a row has changed; entry is valid only during the call. */
typedef void (*replica_change_fn)(void *arg, const struct replica_entry *entry);

/* Returns an empty replica, NULL if memory is exhausted. */
struct table_replica *replica_create(void);

/* Frees the replica and all its rows; NULL is allowed. */
void replica_destroy(struct table_replica *replica);

#define REPLICA_SUBSCRIBERS_MAX 8

/*
 * Registers a function that is called for each change. Returns false if there
 * are REPLICA_SUBSCRIBERS_MAX already.
 */
bool replica_subscribe(struct table_replica *replica, replica_change_fn fn,
		       void *arg);

/*
 * For use within a replica_change_fn: returns the changed assignment row, NULL
 * if the change is of another kind of row. Sets *previous_set to the set before
 * the change, NULL for a new row. Both are valid only during the call of the
 * replica_change_fn.
 */
const struct row *replica_changed_row(const struct table_replica *replica,
				      const struct row_set **previous_set);

enum replica_result {
	REPLICA_UPDATED, /* the row is new or has changed */
	REPLICA_OLD_VERSION, /* the version is not newer; nothing has changed */
	REPLICA_INVALID /* an error; nothing has changed */
};

/*
 * Stores a copy of a row if its version is newer than the one held, and calls
 * the subscribers. Errors, also of exhausted memory: layer rows, a code of enum
 * row_error.
 */
enum replica_result replica_apply(struct table_replica *replica,
				  const struct replica_entry *entry,
				  struct err *err);

/* Returns the sequence number up to which the replica holds all writes. */
uint64_t replica_complete_seq(const struct table_replica *replica);

/* Raises the result of replica_complete_seq(); ignores a lower number. */
void replica_set_complete_seq(struct table_replica *replica, uint64_t seq);

/*
 * Sets out to up to max rows last written after the sequence number seq, in
 * ascending order of their sequence numbers. Returns their count. The pointers
 * are valid until the next replica_apply().
 */
size_t replica_rows_since(const struct table_replica *replica, uint64_t seq,
			  const struct replica_entry **out, size_t max);

/* Returns the row of a key, NULL if there is none. */
const struct replica_entry *replica_get(const struct table_replica *replica,
					const char *key);

/* Returns the assignment row of a partition, NULL if there is none. */
const struct row *replica_row(const struct table_replica *replica,
			      uint64_t part);

/* Returns the member of an instance, NULL if there is none. */
const struct member *replica_member(const struct table_replica *replica,
				    uint32_t instance);

/*
 * Return the members and the assignment rows one by one, NULL after the last.
 * *pos must be 0 at first and is advanced by each call.
 */
const struct member *replica_next_member(const struct table_replica *replica,
					 size_t *pos);
const struct row *replica_next_row(const struct table_replica *replica,
				   size_t *pos);

/* Returns the number of members, including those in state MEMBER_GONE. */
size_t replica_member_count(const struct table_replica *replica);

#endif
