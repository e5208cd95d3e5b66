#ifndef DUP_PART_H
#define DUP_PART_H

/* Internal types and functions of the module. */

#include "dup.h"
#include "tab.h"

#include <uthash.h>

#define DUP_BAD_WINDOW 1 /* code of the layer lease: invalid window */

enum dup_state {
	DUP_STATE_RUNNING,
	DUP_STATE_DONE,
	DUP_STATE_UNKNOWN
};

struct dup_key {
	uint64_t part;
	char id[DUP_ID_MAX]; /* padded with zeros, as it is hashed */
};

struct dup_entry {
	struct dup_key key;
	uint64_t sent_ms; /* time of the first send, parsed from the id */
	enum dup_state state;
	uint32_t handle; /* key in the table running; 0 if none */
	struct dup_response response; /* the entry owns its body */
	struct dup_entry *next_unlinked; /* list for free_list() */
	UT_hash_handle hh;
};

struct dup_window {
	uint64_t part;
	uint64_t start_ms; /* the window is complete since then */
	UT_hash_handle hh;
};

struct dup {
	size_t max_entries;
	struct dup_entry *entries;
	struct dup_window *windows;
	struct tab *running;
	/*
	 * Entries first sent before this time may have been removed. It never
	 * decreases, so that a wall clock that is set back does not make a
	 * removed request new again.
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
