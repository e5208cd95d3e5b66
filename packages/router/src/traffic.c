#include "traffic.h"

#include <string.h>

/* Requests have a counter for each part, messages one for each direction. */
#define COUNTERS(dc)                                                           \
	{                                                                      \
		[TRAFFIC_REQUEST] = { CTR_##dc##_REQUEST_HEADS,                \
				      CTR_##dc##_REQUEST_BODIES,               \
				      CTR_##dc##_RESPONSE_HEADS,               \
				      CTR_##dc##_RESPONSE_BODIES,              \
				      CTR_##dc##_REFUSALS },                   \
		[TRAFFIC_PLAN] = { CTR_##dc##_PLAN_SENT, CTR_##dc##_PLAN_SENT, \
				   CTR_##dc##_PLAN_RECEIVED,                   \
				   CTR_##dc##_PLAN_RECEIVED,                   \
				   CTR_##dc##_PLAN_RECEIVED },                 \
		[TRAFFIC_REPORT] = { CTR_##dc##_REPORTS_SENT,                  \
				     CTR_##dc##_REPORTS_SENT,                  \
				     CTR_##dc##_REPORTS_RECEIVED,              \
				     CTR_##dc##_REPORTS_RECEIVED,              \
				     CTR_##dc##_REPORTS_RECEIVED },            \
		[TRAFFIC_MESSAGE] = {                                          \
			CTR_##dc##_MESSAGES_SENT,                              \
			CTR_##dc##_MESSAGES_SENT,                              \
			CTR_##dc##_MESSAGES_RECEIVED,                          \
			CTR_##dc##_MESSAGES_RECEIVED,                          \
			CTR_##dc##_MESSAGES_RECEIVED                           \
		}                                                              \
	}

/* Returns the counters for messages of one kind to a daemon. */
const struct httpcall_counters *
traffic_counters(enum traffic_kind kind, const char *own, const char *other)
{
	static const struct httpcall_counters own_dc[TRAFFIC_KINDS] =
		COUNTERS(OWN_DC);
	static const struct httpcall_counters other_dc[TRAFFIC_KINDS] =
		COUNTERS(OTHER_DC);

	return strcmp(own, other) == 0 ? &own_dc[kind] : &other_dc[kind];
}

/*
 * Appends the bytes counted since the last call: for each data centre the heads
 * and bodies of requests, those of their responses, and the refusals; then what
 * was sent and received as plan, reports and other messages.
 */
bool traffic_write(uint64_t last[TRAFFIC_COUNTERS], struct buf *line)
{
	static const char *const names[] = {
		"own_request=",
		"/",
		" own_response=",
		"/",
		" own_refused=",
		" own_plan=",
		"/",
		" own_reports=",
		"/",
		" own_messages=",
		"/",
		" other_request=",
		"/",
		" other_response=",
		"/",
		" other_refused=",
		" other_plan=",
		"/",
		" other_reports=",
		"/",
		" other_messages=",
		"/",
		" store=",
		"/",
	};
	uint64_t all = 0;

	_Static_assert(sizeof(names) / sizeof(names[0]) == TRAFFIC_COUNTERS,
		       "one name for each counter");
	for (size_t i = 0; i < TRAFFIC_COUNTERS; i++) {
		uint64_t total = ctr_get((enum ctr)(TRAFFIC_FIRST + i));

		buf_printf(line, "%s%llu", names[i],
			   (unsigned long long)(total - last[i]));
		all += total - last[i];
		last[i] = total;
	}
	return all > 0;
}
