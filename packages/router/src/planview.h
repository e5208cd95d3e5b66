#ifndef PLANVIEW_H
#define PLANVIEW_H

/*
 * Local copy of the plan: the leader, the members and the key range map of each
 * service, from the rows of the plan table. Changes of a map are written on
 * condition that its row has not changed since it was read.
 */

#include <stdbool.h>
#include <stdint.h>

#include "tblwatch.h"
#include "crashes.h"
#include "keymap.h"
#include "membs.h"

#define PLANVIEW_TABLE "geraniumspoke-plan"
#define PLANVIEW_LEADER "leader"
#define PLANVIEW_MEMBERS "members"
#define PLANVIEW_CRASHES "crashes"
#define PLANVIEW_KEYS_PREFIX "keys/"
/* Size of a row key: the prefix and the identifier of a service. */
#define PLANVIEW_KEY_MAX (NAME_SIZE + 8)

struct planview;

struct planview_leader {
	char node[NAME_SIZE];
	char peer_address[RSETTINGS_ADDRESS_MAX];
	uint64_t process; /* number of its process, 0 if its row names none */
	uint64_t version; /* of its row; 0 if there was no leader yet */
};

typedef void (*planview_changed_fn)(void *arg);

/* Called with rows that this daemon has written, and their new version. */
typedef void (*planview_rows_fn)(void *arg, const struct tbl_change *rows,
				 size_t count, uint64_t version);

/* fn is called after each change that was read from the table. */
struct planview *planview_create(struct evloop *l, struct tbl tbl,
				 planview_changed_fn fn, void *arg);
void planview_destroy(struct planview *v);

/* True once the whole plan has been read. */
bool planview_is_ready(const struct planview *v);

/* Call tblwatch_request_read() and tblwatch_ticket() for the plan table. */
uint64_t planview_request_read(struct planview *v);
uint64_t planview_ticket(const struct planview *v);

/* Calls tblwatch_restart() for the plan table. */
void planview_restart_watch(struct planview *v);

/*
 * Applies the current rows of the plan from the result of a write that failed
 * with TBL_CONFLICT. After other failures use planview_request_read().
 */
void planview_apply_conflict(struct planview *v, const struct tbl_result *r);

/*
 * Reads the plan again, at most once per second. For a sign that it is
 * outdated, such as a missing member or an owner that does not know of its
 * keys.
 */
void planview_refresh(struct planview *v);

const struct planview_leader *planview_leader(const struct planview *v);
struct membs *planview_members(struct planview *v);
uint64_t planview_members_version(const struct planview *v);

/* Returns the members' row as it was read, NULL if there is none. */
const char *planview_members_text(const struct planview *v);

/*
 * Returns the map of a service and sets its version; NULL and 0 if none. The
 * version is of an earlier era while the leader has not written the map again
 * after the table service lost rows; writes on it fail until then.
 */
const struct keymap *planview_map(const struct planview *v, const char *service,
				  uint64_t *version);

/* Returns the version of the row of a map as it stands in the table now. */
uint64_t planview_map_row_version(const struct planview *v,
				  const char *service);

/*
 * True if the map of a service is only known from an older copy: keys may have
 * been moved since, so that nothing may be granted by it.
 */
bool planview_map_is_unconfirmed(const struct planview *v, const char *service);

/*
 * True if the map has only been read from an older copy of the table, so that
 * daemons which have not been heard may grant keys by a later one.
 */
bool planview_map_is_copied(const struct planview *v, const char *service);

/*
 * Returns the maps of an earlier era than the given one as rows, for a leader
 * that may not know them as they were; NULL if there is none. The caller frees
 * the result with planview_free_rows().
 */
struct planview_row {
	char key[PLANVIEW_KEY_MAX];
	char *value;
	uint64_t version;
};
struct planview_row *planview_list_earlier(const struct planview *v,
					   uint64_t era, size_t *count);
void planview_free_rows(struct planview_row *rows, size_t count);

/*
 * Returns the requests that crash upstreams, the text of their row, "" if there
 * is none, and its version.
 */
const struct crashes *planview_crashes(const struct planview *v);
const char *planview_crashes_text(const struct planview *v);
uint64_t planview_crashes_version(const struct planview *v);

/* Returns a counter that increases with each change of the plan. */
uint64_t planview_epoch(const struct planview *v);

/*
 * Applies a row of the plan. Used for rows that this daemon has written or got
 * in a message, before the watch returns them. A version that is not newer than
 * the known one is ignored.
 */
void planview_apply_row(struct planview *v, const char *key, const char *value,
			size_t len, uint64_t version);

/* Writes the row key of a service's map to out, of size PLANVIEW_KEY_MAX. */
void planview_map_key(const char *service, char *out);

/*
 * Digest of the versions of all rows. Two daemons with the same digest know the
 * same plan.
 */
uint64_t planview_digest(const struct planview *v);

/*
 * The leader has told this digest. While it is that of this daemon, the table
 * is polled less often.
 */
void planview_confirm(struct planview *v, uint64_t digest);

/* Polls the table if confirmations are missing; to be called twice a second. */
void planview_check_age(struct planview *v);

#endif
