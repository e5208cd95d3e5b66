#ifndef KRM_INT_H
#define KRM_INT_H

/* The fields of a key range map, for its JSON form. */

#include "krm.h"

struct krm {
	uint64_t next_fence;
	size_t count;
	uint16_t life_count;
	struct krm_range ranges[KRM_RANGES_MAX];
	struct life lives[KRM_LIVES_MAX];
};

#endif
