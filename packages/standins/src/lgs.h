#ifndef LGS_H
#define LGS_H

/* What the load generator has seen, and its report. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ctr.h"

/* Ranges of keys whose longest time without a good answer is kept. */
#define LGS_RANGES 16

/* Outcomes that are counted: the values of geranium-outcome, and failures. */
#define LGS_OUTCOMES 32
#define LGS_NAME_MAX 32

struct lgs_outcome {
	char name[LGS_NAME_MAX];
	uint64_t count;
};

struct lgs {
	uint64_t start_us;
	uint64_t keys;
	struct histogram latency; /* of good answers */
	uint64_t requests;
	uint64_t good;
	struct lgs_outcome outcomes[LGS_OUTCOMES];
	uint64_t last_good_us[LGS_RANGES];
	uint64_t gap_us[LGS_RANGES];
};

void lgs_start(struct lgs *s, uint64_t keys, uint64_t now_us);

/* Counts one answer; good is a whole response with an outcome of done. */
void lgs_add(struct lgs *s, uint64_t key, const char *outcome, bool good,
	     uint64_t latency_us, uint64_t now_us);

/* Prints the report on standard output. */
void lgs_print(struct lgs *s, uint64_t now_us, uint64_t seed, bool as_json);

#endif
