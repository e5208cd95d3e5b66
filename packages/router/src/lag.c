#include "lag.h"

#include "clk.h"

/*
 * A daemon has this long to read a version itself; a message then still arrives
 * within the two seconds in which a version has to be in force.
 */
#define LATE_US (600 * US_PER_MS)

/* Keeps the last versions; an older one is late in any case. */
void lag_add(struct lag *l, uint64_t version, uint64_t now_us)
{
	l->versions[l->next] = version;
	l->since_us[l->next] = now_us;
	l->next = (l->next + 1) % LAG_VERSIONS;
}

/* Looks for a newer version that is old enough. */
bool lag_is_late(const struct lag *l, uint64_t version, uint64_t now_us)
{
	for (size_t i = 0; i < LAG_VERSIONS; i++) {
		if (l->versions[i] > version &&
		    now_us >= l->since_us[i] + LATE_US)
			return true;
	}
	return false;
}
