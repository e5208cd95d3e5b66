#ifndef LAG_H
#define LAG_H

/*
 * Tells which daemons are late with a configuration. Each daemon reads it from
 * the table service; one behind a thin or busy link may take seconds for a
 * large one, and gets it compressed from the leader instead.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LAG_VERSIONS 16

struct lag {
	uint64_t versions[LAG_VERSIONS];
	uint64_t since_us[LAG_VERSIONS]; /* in force here */
	size_t next;
};

/* A version has come in force here. */
void lag_add(struct lag *l, uint64_t version, uint64_t now_us);

/* True if a daemon with this version should have a newer one by now. */
bool lag_is_late(const struct lag *l, uint64_t version, uint64_t now_us);

#endif
