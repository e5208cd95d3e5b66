#ifndef DUP_PART_H
#define DUP_PART_H

/* State of the duplicate window; for the files of the module dup only. */

#include "dup.h"
#include "tab.h"

#include <uthash.h>

#define DUP_BAD_WINDOW 1 /* code of the layer lease: not a window's JSON */

enum dup_state {
	DUP_STATE_RUNNING,
	DUP_STATE_DONE,
	DUP_STATE_UNKNOWN
};

struct dup_key {
	uint64_t part;
	char id[DUP_ID_MAX]; /* zero to the end */
};

struct dup_entry {
	struct dup_key key;
	uint64_t sent_ms; /* first send, from the id */
	enum dup_state state;
	uint32_t handle; /* while it runs */
	struct dup_response response; /* its body belongs to the entry */
	struct dup_entry *next_unlinked; /* on its way to be freed */
	UT_hash_handle hh;
};

struct dup_window {
	uint64_t part;
	uint64_t start_ms; /* complete from here on */
	UT_hash_handle hh;
};

struct dup {
	size_t max_entries;
	struct dup_entry *entries;
	struct dup_window *windows;
	struct tab *running;
	/*
	 * Entries first sent before this may have been dropped. It never goes
	 * down, so a wall clock that is set back makes no request new again.
	 */
	uint64_t horizon_ms;
};

struct dup_window *dup_window(const struct dup *d, uint64_t part);
struct dup_entry *dup_find(const struct dup *d, uint64_t part, const char *id);
struct dup_entry *dup_add(struct dup *d, uint64_t part, const char *id,
			  uint64_t sent_ms);
bool dup_store(struct dup_entry *e, const struct dup_response *response);
bool dup_parse_id(const char *id, uint64_t *sent_ms);
void dup_set_start(struct dup *d, uint64_t part, uint64_t start_ms);

#endif
