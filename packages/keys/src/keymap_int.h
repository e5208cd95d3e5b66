#ifndef KEYMAP_INT_H
#define KEYMAP_INT_H

/* Fields of the key range map, shared with its JSON encoder and decoder. */

#include "keymap.h"

struct keymap {
	uint64_t next_fence;
	uint64_t era; /* KEYMAP_NO_ERA if not known */
	size_t count;
	uint16_t incarnation_count;
	struct keymap_range ranges[KEYMAP_RANGES_MAX];
	struct incarnation incarnations[KEYMAP_INCARNATIONS_MAX];
};

#endif
