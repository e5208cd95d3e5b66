#ifndef KRM_INT_H
#define KRM_INT_H

/* Fields of the key range map, shared with its JSON encoder and decoder. */

#include "krm.h"

struct krm {
	uint64_t next_fence;
	size_t count;
	uint16_t session_count;
	struct krm_range ranges[KRM_RANGES_MAX];
	struct life sessions[KRM_LIVES_MAX];
};

#endif
