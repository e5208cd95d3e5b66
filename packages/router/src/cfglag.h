#ifndef CFGLAG_H
#define CFGLAG_H

/*
 * Detects daemons that lag behind in their configuration. Each daemon reads it
 * from the table service. Over a slow or busy link this may take seconds for a
 * large configuration; the leader then sends it compressed.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CFGLAG_VERSIONS 16

struct cfglag {
	uint64_t versions[CFGLAG_VERSIONS];
	uint64_t since_us[CFGLAG_VERSIONS]; /* when it took effect here */
	size_t next; /* entry to overwrite */
};

/* Records a version that took effect here at now_us. */
void cfglag_add(struct cfglag *l, uint64_t version, uint64_t now_us);

/* True if a daemon with this version has missed the time for a newer one. */
bool cfglag_is_late(const struct cfglag *l, uint64_t version, uint64_t now_us);

#endif
