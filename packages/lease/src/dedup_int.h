#ifndef DEDUP_INT_H
#define DEDUP_INT_H

/* Internal types and functions of the module. */

#include "dedup.h"
#include "slotmap.h"

#include <uthash.h>

#define DEDUP_BAD_WINDOW 1 /* code of the layer lease: invalid window */

enum dedup_state {
	DEDUP_STATE_RUNNING,
	DEDUP_STATE_DONE,
	DEDUP_STATE_UNKNOWN
};

struct dedup_key {
	uint64_t part;
	char id[DEDUP_ID_MAX]; /* padded with zeros, as it is hashed */
};

struct dedup_entry {
	struct dedup_key key;
	uint64_t sent_ms; /* time of the first send, parsed from the id */
	enum dedup_state state;
	uint32_t handle; /* key in the table running; 0 if none */
	struct dedup_response response; /* the entry owns its body */
	struct dedup_entry *next_unlinked; /* list for free_list() */
	UT_hash_handle hh;
};

struct dedup_window {
	uint64_t part;
	uint64_t start_ms; /* the window is complete since then */
	UT_hash_handle hh;
};

struct dedup {
	size_t max_entries;
	struct dedup_entry *entries;
	struct dedup_window *windows;
	struct slotmap *running;
	/*
	 * Entries first sent before this time may have been removed. It never
	 * decreases, so that a wall clock that is set back does not make a
	 * removed request new again.
	 */
	uint64_t horizon_ms;
};

struct dedup_window *dedup_window(const struct dedup *d, uint64_t part);
struct dedup_entry *dedup_find(const struct dedup *d, uint64_t part,
			       const char *id);
struct dedup_entry *dedup_add(struct dedup *d, uint64_t part, const char *id,
			      uint64_t sent_ms);
bool dedup_store(struct dedup_entry *e, const struct dedup_response *response);
bool dedup_parse_id(const char *id, uint64_t *sent_ms);
void dedup_set_start(struct dedup *d, uint64_t part, uint64_t start_ms);

#endif
