#ifndef BAL_INT_H
#define BAL_INT_H

/* What the files of the module bal share. */

#include <uthash.h>

#include "bal.h"
#include "placement.h"

/* A rewrite that waits for its turn. */
struct pending {
	uint64_t part;
	uint64_t version; /* of the row that is to be replaced */
	uint64_t due_us;
	uint64_t wanted_us; /* when it was last asked for */
	enum lease_row_reason want;
	struct pending *next;
};

/* Load of a partition of this owner. */
struct work {
	uint64_t part;
	uint64_t busy_us; /* since the last second */
	double load;
	UT_hash_handle hh;
};

struct bal {
	struct nod *n;
	struct pending *pending;
	struct work *work;
	struct placement_counts *counts; /* of all rows of the replica */
	uint32_t
		scanned; /* partition at which the search for orphans goes on */
	size_t member_count;
	uint64_t members_since_us;
	uint64_t processes; /* digest of the processes of all members */
	uint64_t processes_since_us;
	double move_tokens;
};

/* bal_rewrite.c: new versions of rows */
bool bal_get_policy(const struct bal *b, uint16_t service,
		    struct placement_policy *policy);
bool bal_make_view(const struct bal *b, uint16_t service,
		   struct placement_view *view);
bool bal_write_armed(struct bal *b, const struct placement_view *view,
		     uint64_t part, const struct proc *owner, bool forced,
		     const char *why);
bool bal_write_chosen(struct bal *b, const struct placement_view *view,
		      uint64_t part, const char *why, struct row_set *set);
void bal_rewrite_due(void *arg, uint64_t now_us);
void bal_free_pending(struct bal *b);

#endif
