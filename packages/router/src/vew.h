#ifndef VEW_H
#define VEW_H

/*
 * Local copy of the plan: the leader, the members and the key range map of each
 * service, from the rows of the plan table. Changes of a map are written on
 * condition that its row has not changed since it was read.
 */

#include <stdbool.h>
#include <stdint.h>

#include "tblwatch.h"
#include "krm.h"
#include "mbr.h"

#define VEW_TABLE "geraniumspoke-plan"
#define VEW_LEADER "leader"
#define VEW_MEMBERS "members"
#define VEW_KEYS_PREFIX "keys/"
#define VEW_SERVICES_MAX 64
#define VEW_KEY_MAX (RCONFIG_NAME_MAX + 8)

struct vew;

struct vew_leader {
	char node[LIFE_NODE_MAX];
	char peer_address[RSETTINGS_ADDRESS_MAX];
	uint64_t version; /* of its row; 0 if there was no leader yet */
};

typedef void (*vew_changed_fn)(void *arg);

/* Called with rows that this daemon has written, and their new version. */
typedef void (*vew_rows_fn)(void *arg, const struct tbl_change *rows,
			    size_t count, uint64_t version);

/* fn is called after each change that was read from the table. */
struct vew *vew_create(struct evl *l, struct tbl tbl, vew_changed_fn fn,
		       void *arg);
void vew_destroy(struct vew *v);

/* True once the whole plan has been read. */
bool vew_is_ready(const struct vew *v);

/* Call tblwatch_request_read() and tblwatch_ticket() for the plan table. */
uint64_t vew_read_again(struct vew *v);
uint64_t vew_ticket(const struct vew *v);

/*
 * Applies the current rows of the plan from the result of a write that failed
 * with TBL_CONFLICT. After other failures use vew_read_again().
 */
void vew_take_conflict(struct vew *v, const struct tbl_result *r);

/*
 * Reads the plan again, at most once per second. For a sign that it is
 * outdated, such as a missing member or an owner that does not know of its
 * keys.
 */
void vew_doubt(struct vew *v);

const struct vew_leader *vew_leader(const struct vew *v);
struct mbs *vew_members(struct vew *v);
uint64_t vew_members_version(const struct vew *v);

/* Returns the members' row as it was read, NULL if there is none. */
const char *vew_members_text(const struct vew *v);

/* Returns the map of a service and sets its version; NULL and 0 if none. */
const struct krm *vew_map(const struct vew *v, const char *service,
			  uint64_t *version);

/* Returns a counter that increases with each change of the plan. */
uint64_t vew_epoch(const struct vew *v);

/*
 * Applies a row of the plan. Used for rows that this daemon has written or got
 * in a message, before the watch returns them. A version that is not newer than
 * the known one is ignored.
 */
void vew_take(struct vew *v, const char *key, const char *value, size_t len,
	      uint64_t version);

/* Writes the row key of a service's map to out, of size VEW_KEY_MAX. */
void vew_map_key(const char *service, char *out);

#endif
