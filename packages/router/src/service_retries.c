#include "service_retries.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "routing_config.h"
#include "txt.h"

/* Interval of the log lines; one for each service that had requests. */
#define LOG_INTERVAL_US (5 * US_PER_S)
/* Services with their own entry; the others share the last one. */
#define SERVICES_MAX 64
#define OTHER_SERVICES "(others)"
/*
 * Retries of a daemon beyond its share of the requests. The bursts of all
 * daemons add up, so a restart or an idle time must not bring a larger one.
 */
#define BURST 1

struct service {
	char name[RCONFIG_NAME_MAX];
	/* Since the last log line. */
	uint32_t arrived; /* requests that reached an upstream */
	uint32_t repeated; /* arrivals after the first one of their request */
	uint32_t denied; /* retries that were not allowed */
};

struct svcretry {
	struct evloop *loop;
	struct retry_budget *budget;
	struct service services[SERVICES_MAX];
	uint32_t count;
	uint32_t timer;
};

/* Logs and resets the counts of all services. */
static void on_period(void *arg, uint64_t now_us)
{
	struct svcretry *s = arg;

	(void)now_us;
	for (uint32_t i = 0; i < s->count; i++) {
		struct service *x = &s->services[i];

		if (x->arrived == 0 && x->repeated == 0 && x->denied == 0)
			continue;
		log_emit(LOG_RETRY_LOAD,
			 "service=%s arrived=%u repeated=%u denied=%u", x->name,
			 x->arrived, x->repeated, x->denied);
		x->arrived = x->repeated = x->denied = 0;
	}
}

/* Creates a table without services. Returns NULL when memory is exhausted. */
struct svcretry *svcretry_create(struct evloop *l)
{
	struct svcretry *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->loop = l;
	s->budget = retry_budget_create(BURST);
	if (!s->budget) {
		free(s);
		return NULL;
	}
	s->timer =
		tmr_every(evloop_timers(l), evloop_now_us(l) + LOG_INTERVAL_US,
			  LOG_INTERVAL_US, on_period, s);
	return s;
}

/* Logs the remaining counts and frees the table. */
void svcretry_destroy(struct svcretry *s)
{
	if (!s)
		return;
	on_period(s, 0);
	tmr_cancel(evloop_timers(s->loop), s->timer);
	retry_budget_destroy(s->budget);
	free(s);
}

/*
 * Returns the handle of a service, which is added if it is new. Services over
 * the limit of SERVICES_MAX share the last handle.
 */
uint32_t svcretry_find_service(struct svcretry *s, const char *name)
{
	for (uint32_t i = 0; i < s->count; i++) {
		if (strcmp(s->services[i].name, name) == 0)
			return i;
	}
	if (s->count == SERVICES_MAX)
		return SERVICES_MAX - 1;
	txt_copy(s->services[s->count].name, sizeof(s->services[0].name),
		 s->count == SERVICES_MAX - 1 ? OTHER_SERVICES : name);
	return s->count++;
}

/*
 * Only a request that has reached an upstream adds to the budget. The calls that
 * a repeated run makes are repetitions at the service that is called: with a
 * tenth of all runs repeated, they are at most a tenth of the calls there.
 */
void svcretry_count_arrival(struct svcretry *s, uint32_t service,
			    uint32_t attempts)
{
	s->services[service].arrived++;
	if (attempts > 1)
		s->services[service].repeated++;
	else
		retry_count_request(s->budget, evloop_now_us(s->loop));
}

/* Counts a retry that is not allowed. */
bool svcretry_allow(struct svcretry *s, uint32_t service,
		    const struct retry_request *request,
		    enum retry_outcome outcome)
{
	if (retry_allowed(s->budget, request, outcome, evloop_now_us(s->loop)))
		return true;
	s->services[service].denied++;
	return false;
}
