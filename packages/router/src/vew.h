#ifndef VEW_H
#define VEW_H

/*
 * The plan as this daemon knows it: leader, members, and the key range map of
 * each service, from the rows of the plan table. Edits of a map are written
 * under the condition that it has not changed since it was read.
 */

#include <stdbool.h>
#include <stdint.h>

#include "fed.h"
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
	uint64_t version; /* of its row, 0 for no leader yet */
};

typedef void (*vew_changed_fn)(void *arg);

/* Rows of the plan that this daemon has written, with their new version. */
typedef void (*vew_rows_fn)(void *arg, const struct tbl_change *rows,
			    size_t count, uint64_t version);

/* fn is called after each change of the plan. */
struct vew *vew_create(struct evl *l, struct tbl tbl, vew_changed_fn fn,
		       void *arg);
void vew_destroy(struct vew *v);

/* True once the plan has been read whole. */
bool vew_is_ready(const struct vew *v);

/* As fed_read_again() and fed_ticket(). */
uint64_t vew_read_again(struct vew *v);
uint64_t vew_ticket(const struct vew *v);

/*
 * A write on rows of the plan had TBL_CONFLICT: takes the present ones. The
 * plan is read again if the write ended in another way, or had none.
 */
void vew_take_conflict(struct vew *v, const struct tbl_result *r);

/* An owner does not know of its keys, or a member is missing: reads again. */
void vew_doubt(struct vew *v);

const struct vew_leader *vew_leader(const struct vew *v);
struct mbs *vew_members(struct vew *v);
uint64_t vew_members_version(const struct vew *v);

/* The members' row as it was read, NULL if there is none. */
const char *vew_members_text(const struct vew *v);

/* The map of a service and the version of its row; NULL if there is none. */
const struct krm *vew_map(const struct vew *v, const char *service,
			  uint64_t *version);

/* Rises with each change of the plan. */
uint64_t vew_epoch(const struct vew *v);

/*
 * Takes rows that this daemon has written itself, before the feed brings them.
 * An older version than the known one is ignored.
 */
void vew_take(struct vew *v, const char *key, const char *value, size_t len,
	      uint64_t version);

/* Writes the key of a service's map, of at most VEW_KEY_MAX bytes. */
void vew_map_key(const char *service, char *out);

#endif
