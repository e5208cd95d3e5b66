#ifndef ROW_H
#define ROW_H

/*
 * Types of the rows of the platform's table, and their JSON form: processes,
 * members, and assignment rows of partitions.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"

enum row_error {
	ROW_BAD_JSON = 1, /* the value is not JSON */
	ROW_BAD_FIELD, /* a field is missing, of a wrong type or out of range */
	ROW_BAD_KEY, /* the key of the row is not one of this system's */
	ROW_NO_MEMORY
};

/*
 * A process: an instance and the incarnation that it drew at start. A restart
 * gives another incarnation. Incarnation 0 means no process.
 */
struct proc {
	uint32_t instance;
	uint64_t incarnation;
};

/* A partition of a service; service ids are from 1 to 65535. */
#define PART_SERVICE_SHIFT 32

/* Returns the number under which a partition is known everywhere. */
uint64_t part_id(uint16_t service, uint32_t partition);
uint16_t part_service(uint64_t part);
uint32_t part_index(uint64_t part);

#define ROW_WITNESSES 2
#define ROW_PREV_MAX 4
#define ROW_SUCCESSOR 0 /* index of the witness that is the successor */

/*
 * One version of the assignment of a partition. fence is twice the version,
 * the fence of the successor one more.
 */
struct row_set {
	uint64_t version;
	struct proc owner;
	struct proc witness[ROW_WITNESSES];
};

/* The assignment row: the set in force, and earlier sets that may still act. */
struct row {
	uint64_t part;
	struct row_set set;
	uint32_t prev_count; /* 0 to ROW_PREV_MAX */
	struct row_set prev[ROW_PREV_MAX];
	struct proc writer;
};

uint64_t row_fence(const struct row_set *set);
uint64_t row_successor_fence(const struct row_set *set);

bool proc_equal(const struct proc *a, const struct proc *b);

/* True if the process is the owner or a witness of the set. */
bool row_set_has(const struct row_set *set, const struct proc *p);

/* Tells whether there is proof that a process has ended. */
typedef bool (*row_ended_fn)(const void *arg, const struct proc *p);

/*
 * True if nobody can act in a set of the row any more: the owner and the
 * successor of each, also of the earlier ones, have ended.
 */
bool row_is_over(const struct row *row, row_ended_fn ended, const void *arg);

#define MEMBER_NAME_MAX 32
#define MEMBER_ADDRESS_MAX 46
#define MEMBER_SLOTS_MAX 1000

enum member_state {
	MEMBER_UP,
	MEMBER_DRAINING,
	MEMBER_GONE
};

/* A daemon and the upstream beside it. */
struct member {
	struct proc proc;
	char name[MEMBER_NAME_MAX];
	char data_centre[MEMBER_NAME_MAX];
	char region[MEMBER_NAME_MAX];
	char address[MEMBER_ADDRESS_MAX]; /* IP address of all its ports */
	uint16_t http_port; /* for callers */
	uint16_t peer_port; /* ONC RPC, TCP and UDP */
	uint16_t admin_port; /* for operators */
	uint16_t service; /* 0 while no upstream has announced itself */
	uint16_t slots; /* of the upstream, 0 to MEMBER_SLOTS_MAX */
	enum member_state state;
};

/* Longest key of a row of the table in bytes, with the closing NUL. */
#define ROW_KEY_MAX 96

/* Writes the key of a row: row/<service>/<partition>, member/<instance>. */
void row_key(uint64_t part, char out[ROW_KEY_MAX]);
void member_key(uint32_t instance, char out[ROW_KEY_MAX]);

/*
 * Return a JSON text that the caller frees, NULL when memory is exhausted or a
 * text is not UTF-8. A process is written as [instance, "incarnation"] to keep
 * the exchange of rows between peers small.
 */
char *row_encode(const struct row *row);
char *member_encode(const struct member *m);

/*
 * Read a JSON text. Fields that are unknown are ignored, so that older daemons
 * read rows of newer ones. Errors: layer rows, a code of enum row_error.
 */
bool row_decode(const char *text, struct row *row, struct err *err);
bool member_decode(const char *text, struct member *m, struct err *err);

#endif
