#include "log.h"
#include "planner_int.h"

/*
 * Time from the first read of a new era until the plan of an earlier one is
 * written again. Within it all daemons have noticed the era and sent the maps
 * by which they grant, and grants that are not known any more have ended.
 */
#define RESTORE_US (4500 * US_PER_MS)

/* Records the era of a read; the first one of an era counts. */
void planner_era_update(struct planner_era *e, uint64_t number, uint64_t now_us,
			uint64_t now_ms)
{
	if (e->first_us > 0 && number <= e->number)
		return;
	e->number = number;
	e->first_us = now_us;
	e->first_ms = now_ms;
}

/*
 * True if the map of a service with this version has to wait: the table service
 * has lost rows, and the daemons may not have sent the newest map yet.
 */
bool planner_era_must_wait(struct planner_era *e, const char *service,
			   uint64_t version, uint64_t now_us)
{
	if (tbl_era(version) >= e->number || e->restored >= e->number)
		return false;
	if (clk_elapsed(now_us, e->first_us) < RESTORE_US)
		return true;
	e->restored = e->number;
	log_emit(LOG_PLAN_RESTORED, "service=%s version=%llu era=%llu", service,
		 (unsigned long long)tbl_number(version),
		 (unsigned long long)e->number);
	return false;
}
