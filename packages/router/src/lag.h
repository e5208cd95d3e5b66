#ifndef LAG_H
#define LAG_H

/*
 * Detects daemons that lag behind in their configuration. Each daemon reads it
 * from the table service. Over a slow or busy link this may take seconds for a
 * large configuration; the leader then sends it compressed.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LAG_VERSIONS 16

struct lag {
	uint64_t versions[LAG_VERSIONS];
	uint64_t since_us[LAG_VERSIONS]; /* when it took effect here */
	size_t next; /* entry to overwrite */
};

/* Records a version that took effect here at now_us. */
void lag_add(struct lag *l, uint64_t version, uint64_t now_us);

/* True if a daemon with this version has missed the time for a newer one. */
bool lag_is_late(const struct lag *l, uint64_t version, uint64_t now_us);

#endif
