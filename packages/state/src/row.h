#ifndef ROW_H
#define ROW_H

/*
 * Types of the rows of the platform's table and their JSON form: members, and
 * assignment rows of partitions.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"

enum row_error {
	ROW_BAD_JSON = 1, /* the value is not JSON */
	ROW_BAD_FIELD, /* a field is missing, of a wrong type or out of range */
	ROW_BAD_KEY, /* the key is empty, too long or not that of its row */
	ROW_NO_MEMORY /* memory is exhausted */
};

/*
 * A process of an instance. Each start draws another incarnation; 0 stands for
 * no process.
 */
struct proc {
	uint32_t instance;
	uint64_t incarnation;
};

/* Position of the service, 1 to 65535, in a partition id. */
#define PART_SERVICE_SHIFT 32

/* Returns the id of a partition, which is unique among all services. */
uint64_t part_id(uint16_t service, uint32_t partition);

/* Return the service of a partition id and the index within that service. */
uint16_t part_service(uint64_t part);
uint32_t part_index(uint64_t part);

#define ROW_WITNESSES 2
#define ROW_PREV_MAX 4
#define ROW_SUCCESSOR 0 /* index of the witness that is the successor */

/*
 * One version of the assignment of a partition to processes. The fence of its
 * owner is twice the version, that of its successor is one higher.
 */
struct row_set {
	uint64_t version;
	struct proc owner;
	struct proc witness[ROW_WITNESSES];
};

/* Assignment row: the current set and earlier ones that may still be active. */
struct row {
	uint64_t part;
	struct row_set set;
	uint32_t prev_count; /* 0 to ROW_PREV_MAX */
	struct row_set prev[ROW_PREV_MAX];
	struct proc writer; /* process that wrote the row */
};

/* Return the fence of the owner and that of the successor of a set. */
uint64_t row_fence(const struct row_set *set);
uint64_t row_successor_fence(const struct row_set *set);

/* True if instance and incarnation are equal. */
bool proc_equal(const struct proc *a, const struct proc *b);

/* True if the process is the owner or a witness of the set. */
bool row_set_has(const struct row_set *set, const struct proc *proc);

/* Returns true if a process is proved to have ended. */
typedef bool (*row_ended_fn)(const void *arg, const struct proc *proc);

/*
 * True if no set of the row, current or earlier, can be active: the owner and
 * the successor of each have ended.
 */
bool row_is_inactive(const struct row *row, row_ended_fn ended,
		     const void *arg);

#define MEMBER_NAME_MAX 32
#define MEMBER_ADDRESS_MAX 46
#define MEMBER_SLOTS_MAX 1000

enum member_state {
	MEMBER_UP,
	MEMBER_DRAINING,
	MEMBER_GONE
};

/* A daemon and the upstream on its instance. */
struct member {
	struct proc proc;
	char name[MEMBER_NAME_MAX];
	char data_centre[MEMBER_NAME_MAX];
	char region[MEMBER_NAME_MAX];
	char address[MEMBER_ADDRESS_MAX]; /* IP address for all its ports */
	uint16_t http_port; /* for callers */
	uint16_t peer_port; /* ONC RPC, TCP and UDP */
	uint16_t admin_port; /* for operators */
	uint16_t service; /* 0 before an upstream has announced itself */
	uint16_t slots; /* of the upstream, 0 to MEMBER_SLOTS_MAX */
	enum member_state state;
};

/* Longest key of a row in bytes, with the terminating NUL. */
#define ROW_KEY_MAX 96

/* Write the key of a row: row/<service>/<partition>, member/<instance>. */
void row_key(uint64_t part, char out[ROW_KEY_MAX]);
void member_key(uint32_t instance, char out[ROW_KEY_MAX]);

/*
 * Return the JSON form, which the caller frees. NULL if memory is exhausted, a
 * string is not UTF-8 or the state of the member is invalid. A process is
 * written as [instance, "incarnation"] to keep messages between peers small.
 */
char *row_encode(const struct row *row);
char *member_encode(const struct member *member);

/*
 * Parse the JSON form; the output is unchanged on errors. Unknown fields are
 * ignored, so that older daemons can read rows of newer ones. Errors: layer
 * rows, a code of enum row_error.
 */
bool row_decode(const char *text, struct row *row, struct err *err);
bool member_decode(const char *text, struct member *member, struct err *err);

#endif
