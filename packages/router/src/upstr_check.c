#include <string.h>

#include "upstr_int.h"

/* Clocks of one instance may differ by less than this. */
#define START_AHEAD_MAX_MS 3600000
/* Most announcements of an upstream that can be missed in a row. */
#define SEQ_STEP_MAX 1000000

/*
 * True for an announcement that the upstream beside this daemon cannot have
 * made: it would hide the true ones, which look older.
 */
bool upstr_is_implausible(const struct upstr *a,
			  const struct plat_announcement *n)
{
	const struct rsettings *s = a->parts.settings;
	uint64_t now_ms = clk_wall_ms(evloop_clock(a->parts.loop));

	if (n->leaves)
		return false;
	return (s->service[0] != '\0' && strcmp(n->service, s->service) != 0) ||
	       (uint64_t)n->start_unix_ms > now_ms + START_AHEAD_MAX_MS ||
	       (a->announced && strcmp(a->incarnation.id, n->id) == 0 &&
		a->incarnation.start_unix_ms == n->start_unix_ms &&
		n->seq > a->seq && n->seq - a->seq > SEQ_STEP_MAX);
}

/*
 * True for an announcement of an earlier or ended incarnation, and for one that
 * arrived after a newer announcement of the same incarnation.
 */
bool upstr_is_stale(const struct upstr *a, const struct plat_announcement *n)
{
	/* A shutdown may be announced without the start time. */
	if (n->leaves && n->start_unix_ms == 0)
		return strcmp(n->id, a->incarnation.id) != 0;
	if (strcmp(n->id, a->ended_id) == 0 &&
	    n->start_unix_ms == a->ended_born_ms)
		return true;
	if (n->start_unix_ms < a->ended_born_ms)
		return true;
	if (a->incarnation.id[0] == '\0')
		return n->leaves;
	if (strcmp(n->id, a->incarnation.id) != 0 ||
	    n->start_unix_ms != a->incarnation.start_unix_ms)
		return n->leaves ||
		       n->start_unix_ms < a->incarnation.start_unix_ms;
	/* Far behind, the last one was none of the upstream's. */
	return !n->leaves && a->announced && n->seq <= a->seq &&
	       a->seq - n->seq <= SEQ_STEP_MAX;
}

/*
 * Does nothing yet: cold upstreams are not told from warm ones, and the slow
 * start is known from announcements only.
 */
void upstr_forget_warm(struct upstr *a)
{
	(void)a;
}
