#include "route_stats.h"

#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "log.h"
#include "routing_config.h"
#include "txt.h"

/* Interval of the log lines; one for each route that had requests. */
#define LOG_INTERVAL_US (5 * US_PER_S)
/* Routes with their own entry; large configurations have more, mostly idle. */
#define ROUTES_MAX 16
#define OTHER_ROUTES "(others)"
#define MEDIAN 0.5
#define TAIL 0.9

static const char *const outcome_texts[RSTATS_OUTCOME_COUNT] = {
	[RSTATS_ON_TIME] = "answered on time",
	[RSTATS_LATE] = "answered late",
	[RSTATS_UPSTREAM_FAILURE] = "the upstream failed",
	[RSTATS_BUSY] = "the upstream is busy",
	[RSTATS_NO_OWNER] = "no upstream owns the key",
	[RSTATS_NO_UPSTREAM] = "no upstream accepts requests",
	[RSTATS_SHED] = "refused by the upstream",
	[RSTATS_CRASHES] = "it crashes its upstreams",
	[RSTATS_NOT_SENT] = "not sent in time",
	[RSTATS_LOST] = "the response was lost",
	[RSTATS_TRUNCATED] = "the response was cut off",
	[RSTATS_NO_RESPONSE] = "no response in time",
	[RSTATS_CALLER_CLOSED] = "the caller closed the connection",
};

struct route {
	char name[NAME_SIZE];
	uint32_t counts[RSTATS_OUTCOME_COUNT];
	struct histogram times[RSTATS_PHASE_COUNT];
};

struct rstats {
	struct evloop *loop;
	struct route *routes[ROUTES_MAX];
	uint32_t count;
	uint32_t timer;
};

/* Returns a quantile in milliseconds. */
static unsigned int quantile_ms(const struct histogram *h, double q)
{
	return (unsigned int)(histogram_quantile(h, q) / US_PER_MS);
}

/* Logs the counts of a route, with the median and tail of its times. */
static void log_route(const struct route *r)
{
	const uint32_t *n = r->counts;
	const struct histogram *t = r->times;

	log_emit(
		LOG_ROUTE_LOAD,
		"route=%s on_time=%u late=%u upstream_failure=%u busy=%u "
		"no_owner=%u no_upstream=%u shed=%u crashes=%u not_sent=%u "
		"lost=%u cut=%u no_response=%u gone=%u queue_ms=%u/%u run_ms=%u/%u "
		"transit_ms=%u/%u body_ms=%u/%u",
		r->name, n[RSTATS_ON_TIME], n[RSTATS_LATE],
		n[RSTATS_UPSTREAM_FAILURE], n[RSTATS_BUSY], n[RSTATS_NO_OWNER],
		n[RSTATS_NO_UPSTREAM], n[RSTATS_SHED], n[RSTATS_CRASHES],
		n[RSTATS_NOT_SENT], n[RSTATS_LOST], n[RSTATS_TRUNCATED],
		n[RSTATS_NO_RESPONSE], n[RSTATS_CALLER_CLOSED],
		quantile_ms(&t[RSTATS_QUEUE], MEDIAN),
		quantile_ms(&t[RSTATS_QUEUE], TAIL),
		quantile_ms(&t[RSTATS_RUN], MEDIAN),
		quantile_ms(&t[RSTATS_RUN], TAIL),
		quantile_ms(&t[RSTATS_TRANSIT], MEDIAN),
		quantile_ms(&t[RSTATS_TRANSIT], TAIL),
		quantile_ms(&t[RSTATS_BODY], MEDIAN),
		quantile_ms(&t[RSTATS_BODY], TAIL));
}

/* Logs and resets the counts of all routes. */
static void on_period(void *arg, uint64_t now_us)
{
	struct rstats *s = arg;

	(void)now_us;
	for (uint32_t i = 0; i < s->count; i++) {
		struct route *r = s->routes[i];
		uint32_t sum = 0;

		for (size_t n = 0; n < RSTATS_OUTCOME_COUNT; n++)
			sum += r->counts[n];
		if (sum == 0)
			continue;
		log_route(r);
		memset(r->counts, 0, sizeof(r->counts));
		memset(r->times, 0, sizeof(r->times));
	}
}

/* Creates empty statistics. Returns NULL when memory is exhausted. */
struct rstats *rstats_create(struct evloop *l)
{
	struct rstats *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->loop = l;
	s->timer =
		tmr_every(evloop_timers(l), evloop_now_us(l) + LOG_INTERVAL_US,
			  LOG_INTERVAL_US, on_period, s);
	return s;
}

/* Logs the remaining counts and frees the statistics. */
void rstats_destroy(struct rstats *s)
{
	if (!s)
		return;
	on_period(s, 0);
	tmr_cancel(evloop_timers(s->loop), s->timer);
	for (uint32_t i = 0; i < s->count; i++)
		free(s->routes[i]);
	free(s);
}

/*
 * Returns the handle of a route, which is added if it is new. Routes over the
 * limit of ROUTES_MAX share the last handle. Without memory the handle is
 * invalid and the route is not counted.
 */
uint32_t rstats_find_route(struct rstats *s, const char *name)
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
void rstats_count_outcome(struct rstats *s, uint32_t route,
			  enum rstats_outcome outcome)
{
	if (route < s->count)
		s->routes[route]->counts[outcome]++;
}

/* Adds the duration of one phase of a request, in microseconds. */
void rstats_add_duration(struct rstats *s, uint32_t route,
			 enum rstats_phase time, uint64_t us)
{
	if (route < s->count)
		histogram_add(&s->routes[route]->times[time], us);
}

/* Returns the text of an outcome, for logs. */
const char *rstats_outcome_text(enum rstats_outcome outcome)
{
	return outcome_texts[outcome];
}

/* Returns the count of an outcome since the last log line. */
uint32_t rstats_count(const struct rstats *s, uint32_t route,
		      enum rstats_outcome outcome)
{
	return route < s->count ? s->routes[route]->counts[outcome] : 0;
}
