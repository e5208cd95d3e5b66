/*
 * A version of the configuration drops a route and adds one with a long host
 * name. Requests on the dropped route follow.
 */

#include <stdio.h>
#include <string.h>

#include "bed.h"

#define NODES 5
#define APPLY_MS 2000
#define REQUESTS 60
#define STEP_MS 100

static struct bed bed;

/* A name of 140 characters; one in DNS may have 253, and 63 in a label. */
static const char long_host[] =
	"bookings-and-customer-records-of-the-valeting-association.members."
	"kingston-metropolitan-area-and-saint-andrew."
	"caribbean-valeting-trades.example";

int main(void)
{
	static const char *const services[NODES] = { "keyed", "keyed", "keyed",
						     "free", "free" };
	struct bed_config change = { .drops_free = true,
				     .added_host = "added.example" };
	uint32_t first, runs = 0, found = 0;

	bed_create(&bed, services, NODES);
	bed_store_publish(&bed, 3, NULL);
	for (size_t n = 0; n < NODES; n++)
		bed_start_daemon(&bed, n);
	bed_run(&bed, 500);
	for (size_t n = 0; n < NODES; n++)
		bed_start_upstream(&bed, n);
	bed_await_keys(&bed, 20000);
	bed_run(&bed, 2000);
	bed_send(&bed, 0, 0, false, false, "");
	bed_run(&bed, 1000);
	if (bed.answered_ok != 1)
		bed_not_run(&bed, "the route is not served");
	if (bed_has_trouble())
		change.added_host = long_host;
	bed_store_publish(&bed, 7, &change);
	bed_run(&bed, APPLY_MS + 1000);
	first = bed.request_count;
	for (int i = 0; i < REQUESTS; i++) {
		bed_send(&bed, bed_random(&bed, NODES), 0, false, false, "");
		bed_run(&bed, STEP_MS);
	}
	bed_run(&bed, 2000);
	for (uint32_t i = first; i < bed.request_count; i++) {
		runs += bed.requests[i].runs;
		found += bed.requests[i].status == 404;
	}
	bed_record(&bed,
		   "of %d requests on the dropped route, sent over 3 s after "
		   "the acknowledgement, %u have run and %u got 404",
		   REQUESTS, runs, found);
	if (runs > 0)
		bed_break(&bed,
			  "CONFIG: %u requests ran on a route that was dropped",
			  runs);
	return bed_finish(&bed);
}
