#include "rts.h"

#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "log.h"
#include "rcf.h"
#include "txt.h"

/* Interval of the log lines; one for each route that had requests. */
#define LOG_INTERVAL_US (5 * US_PER_S)
/* Routes with their own entry; large configurations have more, mostly idle. */
#define ROUTES_MAX 16
#define OTHER_ROUTES "(others)"
#define MEDIAN 0.5
#define TAIL 0.9

static const char *const outcome_texts[RTS_OUTCOMES] = {
	[RTS_ON_TIME] = "answered on time",
	[RTS_LATE] = "answered late",
	[RTS_UPSTREAM_FAILURE] = "the upstream failed",
	[RTS_BUSY] = "the upstream is busy",
	[RTS_NO_OWNER] = "no upstream owns the key",
	[RTS_NO_UPSTREAM] = "no upstream accepts requests",
	[RTS_SHED] = "refused by the upstream",
	[RTS_NOT_SENT] = "not sent in time",
	[RTS_LOST] = "the response was lost",
	[RTS_CUT] = "the response was cut off",
	[RTS_NO_RESPONSE] = "no response in time",
	[RTS_CALLER_GONE] = "the caller closed the connection",
};

struct route {
	char name[RCF_NAME_MAX];
	uint32_t counts[RTS_OUTCOMES];
	struct hst times[RTS_TIMES];
};

struct rts {
	struct evl *loop;
	struct route *routes[ROUTES_MAX];
	uint32_t count;
	uint32_t timer;
};

/* Returns a quantile in milliseconds. */
static unsigned int quantile_ms(const struct hst *h, double q)
{
	return (unsigned int)(hst_quantile(h, q) / US_PER_MS);
}

/* Logs the counts of a route, with the median and tail of its times. */
static void log_route(const struct route *r)
{
	const uint32_t *n = r->counts;
	const struct hst *t = r->times;

	log_emit(LOG_ROUTE_LOAD,
		 "route=%s on_time=%u late=%u upstream_failure=%u busy=%u "
		 "no_owner=%u no_upstream=%u shed=%u not_sent=%u lost=%u "
		 "cut=%u no_response=%u gone=%u queue_ms=%u/%u run_ms=%u/%u "
		 "transit_ms=%u/%u body_ms=%u/%u",
		 r->name, n[RTS_ON_TIME], n[RTS_LATE], n[RTS_UPSTREAM_FAILURE],
		 n[RTS_BUSY], n[RTS_NO_OWNER], n[RTS_NO_UPSTREAM], n[RTS_SHED],
		 n[RTS_NOT_SENT], n[RTS_LOST], n[RTS_CUT], n[RTS_NO_RESPONSE],
		 n[RTS_CALLER_GONE], quantile_ms(&t[RTS_QUEUE], MEDIAN),
		 quantile_ms(&t[RTS_QUEUE], TAIL),
		 quantile_ms(&t[RTS_RUN], MEDIAN),
		 quantile_ms(&t[RTS_RUN], TAIL),
		 quantile_ms(&t[RTS_TRANSIT], MEDIAN),
		 quantile_ms(&t[RTS_TRANSIT], TAIL),
		 quantile_ms(&t[RTS_BODY], MEDIAN),
		 quantile_ms(&t[RTS_BODY], TAIL));
}

/* Logs and resets the counts of all routes. */
static void on_period(void *arg, uint64_t now_us)
{
	struct rts *s = arg;

	(void)now_us;
	for (uint32_t i = 0; i < s->count; i++) {
		struct route *r = s->routes[i];
		uint32_t sum = 0;

		for (size_t n = 0; n < RTS_OUTCOMES; n++)
			sum += r->counts[n];
		if (sum == 0)
			continue;
		log_route(r);
		memset(r->counts, 0, sizeof(r->counts));
		memset(r->times, 0, sizeof(r->times));
	}
}

/* Creates empty statistics. Returns NULL when memory is exhausted. */
struct rts *rts_create(struct evl *l)
{
	struct rts *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->loop = l;
	s->timer = tmr_every(evl_timers(l), evl_now_us(l) + LOG_INTERVAL_US,
			     LOG_INTERVAL_US, on_period, s);
	return s;
}

/* Logs the remaining counts and frees the statistics. */
void rts_destroy(struct rts *s)
{
	if (!s)
		return;
	on_period(s, 0);
	tmr_cancel(evl_timers(s->loop), s->timer);
	for (uint32_t i = 0; i < s->count; i++)
		free(s->routes[i]);
	free(s);
}

/*
 * Returns the handle of a route, which is added if it is new. Routes over the
 * limit of ROUTES_MAX share the last handle. Without memory the handle is
 * invalid and the route is not counted.
 */
uint32_t rts_route(struct rts *s, const char *name)
{
	struct route *r;

	for (uint32_t i = 0; i < s->count; i++) {
		if (strcmp(s->routes[i]->name, name) == 0)
			return i;
	}
	if (s->count == ROUTES_MAX)
		return ROUTES_MAX - 1;
	r = calloc(1, sizeof(*r));
	if (!r)
		return ROUTES_MAX;
	txt_copy(r->name, sizeof(r->name),
		 s->count == ROUTES_MAX - 1 ? OTHER_ROUTES : name);
	s->routes[s->count] = r;
	return s->count++;
}

/* Counts the outcome of a request. */
void rts_end(struct rts *s, uint32_t route, enum rts_outcome outcome)
{
	if (route < s->count)
		s->routes[route]->counts[outcome]++;
}

/* Adds the duration of one phase of a request, in microseconds. */
void rts_add_time(struct rts *s, uint32_t route, enum rts_time time,
		  uint64_t us)
{
	if (route < s->count)
		hst_add(&s->routes[route]->times[time], us);
}

/* Returns the text of an outcome, for logs. */
const char *rts_text(enum rts_outcome outcome)
{
	return outcome_texts[outcome];
}

/* Returns the count of an outcome since the last log line. */
uint32_t rts_count(const struct rts *s, uint32_t route,
		   enum rts_outcome outcome)
{
	return route < s->count ? s->routes[route]->counts[outcome] : 0;
}
