#include "service_retries.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "clk.h"
#include "log.h"
#include "name.h"
#include "txt.h"

/* Interval of the log lines; one for each service that had requests. */
#define LOG_INTERVAL_US (5 * US_PER_S)
/* Handle of a service without an entry. */
#define NO_SERVICE UINT32_MAX
struct service {
	char name[NAME_SIZE]; /* identifier of its name */
	struct retry_budget *budget;
	/* Since the last log line. */
	uint32_t arrived; /* requests that reached an upstream */
	uint32_t repeated; /* arrivals after the first one of their request */
	uint32_t denied; /* retries that were not allowed */
};

struct svcretry {
	struct tmr *timers;
	uint32_t initial;
	uint32_t burst;
	struct service *services;
	size_t capacity;
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
struct svcretry *svcretry_create(struct tmr *timers, uint32_t initial,
				 uint32_t burst, uint64_t now_us)
{
	struct svcretry *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->timers = timers;
	s->initial = initial;
	s->burst = burst;
	s->timer = tmr_every(timers, now_us + LOG_INTERVAL_US, LOG_INTERVAL_US,
			     on_period, s);
	return s;
}

/* Logs the remaining counts and frees the table. */
void svcretry_destroy(struct svcretry *s)
{
	if (!s)
		return;
	on_period(s, 0);
	tmr_cancel(s->timers, s->timer);
	for (uint32_t i = 0; i < s->count; i++)
		retry_budget_destroy(s->services[i].budget);
	free(s->services);
	free(s);
}

/*
 * Returns the handle of a service, which is added if it is new. Without memory
 * for its budget, a service has no retries; without memory for its entry, the
 * handle is invalid, and it has none either.
 */
uint32_t svcretry_find_service(struct svcretry *s, const char *name)
{
	struct service *x;

	for (uint32_t i = 0; i < s->count; i++) {
		if (strcmp(s->services[i].name, name) == 0)
			return i;
	}
	x = array_extend(s->services, s->count, &s->capacity, sizeof(*x));
	if (!x)
		return NO_SERVICE;
	s->services = x;
	x += s->count;
	x->budget = retry_budget_create(s->initial, s->burst);
	txt_copy(x->name, sizeof(x->name), name);
	return s->count++;
}

/* Returns the entry of a handle, NULL if it is invalid. */
static struct service *get_service(struct svcretry *s, uint32_t handle)
{
	return handle < s->count ? &s->services[handle] : NULL;
}

/*
 * Only a request that has reached an upstream adds to the budget. The calls that
 * a repeated run makes are repetitions at the service that is called: with a
 * tenth of all runs repeated, they are at most a tenth of the calls there.
 */
void svcretry_count_arrival(struct svcretry *s, uint32_t service,
			    uint32_t attempts)
{
	struct service *x = get_service(s, service);

	if (!x)
		return;
	x->arrived++;
	if (attempts > 1)
		x->repeated++;
	else if (x->budget)
		retry_count_request(x->budget);
}

/* Counts a retry that is not allowed. */
bool svcretry_allow(struct svcretry *s, uint32_t service,
		    const struct retry_request *request,
		    enum retry_outcome outcome, uint64_t now_us)
{
	struct service *x = get_service(s, service);

	if (!x)
		return false;
	if (x->budget && retry_allowed(x->budget, request, outcome, now_us))
		return true;
	x->denied++;
	return false;
}
