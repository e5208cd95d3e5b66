#include "cfglag.h"

#include "clk.h"

/*
 * Time for a daemon to read a version itself. A message that is sent after it
 * still arrives within 2 s, by when a version has to be in effect everywhere.
 */
#define LATE_US (600 * US_PER_MS)

/* Overwrites the oldest entry; daemons with a version before it are late. */
void cfglag_add(struct cfglag *l, uint64_t version, uint64_t now_us)
{
	l->versions[l->next] = version;
	l->since_us[l->next] = now_us;
	l->next = (l->next + 1) % CFGLAG_VERSIONS;
}

/* Searches for a newer version that took effect LATE_US ago or earlier. */
bool cfglag_is_late(const struct cfglag *l, uint64_t version, uint64_t now_us)
{
	for (size_t i = 0; i < CFGLAG_VERSIONS; i++) {
		if (l->versions[i] > version &&
		    now_us >= l->since_us[i] + LATE_US)
			return true;
	}
	return false;
}
