#include "slp_run.h"

#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "quarantine.h"
#include "retry.h"
#include "route.h"

#define KINDS 4
#define SLOTS 9
#define SERVICE_US 2000
#define DEADLINE_US 1000000
#define BODY_MAX 32768
#define BUDGET_BURST 10

struct routes {
	struct route_cache *route_cache;
	uint32_t rows;
	uint32_t next;
	uint64_t sum; /* of what was found, so that nothing is left out */
};

/* The first candidate of a partition, as for almost every request. */
static void find_first(void *arg)
{
	struct routes *r = arg;
	struct route_search t = { .part = part_id(1, r->next) };
	struct proc to;

	r->next = (r->next + 7919) % r->rows;
	if (route_next(r->route_cache, &t, &to))
		r->sum += to.instance;
}

static bool measure_routes(struct slp *s, uint32_t rows)
{
	struct table_replica *table_replica = slp_fill(s, rows, 100);
	struct routes r = { .route_cache =
				    table_replica ?
					    route_cache_create(table_replica) :
					    NULL,
			    .rows = rows };
	struct proc actor = { 3, 99 };
	size_t before;

	if (!r.route_cache) {
		replica_destroy(table_replica);
		return false;
	}
	slp_add(s, "rte next, rows", rows, slp_time(s, find_first, &r),
		SLP_NONE);
	before = slp_heap_bytes();
	for (uint32_t i = 0; i < rows; i++)
		route_set_serving(r.route_cache, part_id(1, i),
				  ROW_PREV_MAX + 1, &actor);
	slp_add(s, "rte next, takeovers seen", rows,
		slp_time(s, find_first, &r),
		(double)slp_heap_bytes() - (double)before);
	route_cache_destroy(r.route_cache);
	replica_destroy(table_replica);
	return r.sum > 0;
}

struct admission {
	struct admitter *admitter;
	uint64_t now_us;
	uint32_t next;
	uint32_t queued;
};

static void on_run(void *arg, void *request)
{
	(void)request;
	((struct admission *)arg)->queued--;
}

static void on_drop(void *arg, void *request)
{
	(void)request;
	((struct admission *)arg)->queued--;
}

/* A request comes and a running one ends, with the queue as long as it was. */
static void admit(void *arg)
{
	struct admission *a = arg;
	enum admit_verdict v;

	a->now_us += 10;
	a->next++;
	v = admit_enter(a->admitter, a->next % KINDS, a->now_us + DEADLINE_US,
			(void *)(uintptr_t)a->next, a->now_us);
	if (v == ADMIT_QUEUED)
		a->queued++;
	if (v != ADMIT_SHED)
		admit_done(a->admitter, a->next % KINDS, ADMIT_OK, 1,
			   a->now_us);
}

static void adm_tick_now(void *arg)
{
	struct admission *a = arg;

	admit_tick(a->admitter, a->now_us);
}

/* Fills the slots and then the queue with requests that have time. */
static bool measure_admission(struct slp *s, uint32_t waiting)
{
	static const struct admit_ops ops = { on_run, on_drop };
	struct admit_kind kinds[KINDS];
	struct admission a = { .now_us = 1000000 };

	for (int i = 0; i < KINDS; i++)
		kinds[i] = (struct admit_kind){ 25, 256 };
	a.admitter = admit_create(kinds, KINDS, &ops, &a);
	if (!a.admitter)
		return false;
	admit_attach(a.admitter, SLOTS, a.now_us);
	for (uint32_t i = 0; i < 1000; i++)
		admit(&a);
	for (uint32_t i = 0; i < 1000 && a.queued < waiting; i++) {
		if (admit_enter(a.admitter, i % KINDS,
				a.now_us + DEADLINE_US * 60,
				(void *)(uintptr_t)(i + 1000000),
				a.now_us) == ADMIT_QUEUED)
			a.queued++;
	}
	slp_add(s, "adm tick, waiting", a.queued, slp_time(s, adm_tick_now, &a),
		SLP_NONE);
	slp_add(s, "adm enter+done, waiting", a.queued, slp_time(s, admit, &a),
		SLP_NONE);
	admit_destroy(a.admitter);
	return true;
}

static void budget(void *arg)
{
	struct retry_request req = { .idempotent = true,
				     .attempts = 1,
				     .body_replayable = true,
				     .deadline_us = 10 };

	retry_count_request(arg);
	retry_allowed(arg, &req, RETRY_NOT_RUN, 1);
}

struct strikes {
	struct quarantine_table *quarantine_table;
	uint32_t size;
	uint32_t next;
	char body[BODY_MAX];
	size_t body_len;
	uint64_t sum;
};

static void check(void *arg)
{
	struct strikes *k = arg;

	k->sum += quarantine_check(k->quarantine_table, ++k->next, 1000) ==
		  QUARANTINE_NONE;
}

static void take_fingerprint(void *arg)
{
	struct strikes *k = arg;

	k->sum += quarantine_fingerprint(1, k->next++,
					 "/bookings/clients/123/history",
					 k->body, k->body_len);
}

static bool measure_quarantine(struct slp *s, uint32_t size)
{
	struct strikes *k = calloc(1, sizeof(*k));
	size_t before = slp_heap_bytes();

	if (!k)
		return false;
	k->quarantine_table = quarantine_create();
	if (!k->quarantine_table) {
		free(k);
		return false;
	}
	for (uint32_t i = 0; i < size; i++)
		quarantine_merge(k->quarantine_table, slp_random(s), 1,
				 "fit confirm 123", 1000);
	slp_add(s, "qtn check, fingerprints", size, slp_time(s, check, k),
		(double)slp_heap_bytes() - (double)before);
	quarantine_destroy(k->quarantine_table);
	free(k);
	return true;
}

static bool measure_fingerprint(struct slp *s)
{
	static const uint32_t bodies[] = { 0, 1024, BODY_MAX };
	struct strikes *k = calloc(1, sizeof(*k));

	if (!k)
		return false;
	for (int i = 0; i < 3; i++) {
		k->body_len = bodies[i];
		slp_add(s, "qtn fingerprint, bytes of body", bodies[i],
			slp_time(s, take_fingerprint, k), SLP_NONE);
	}
	free(k);
	return true;
}

static bool measure_budget(struct slp *s)
{
	struct retry_budget *r =
		retry_budget_create(BUDGET_BURST, BUDGET_BURST);

	if (!r)
		return false;
	slp_add(s, "ret seen+allows", 1, slp_time(s, budget, r), SLP_NONE);
	retry_budget_destroy(r);
	return true;
}

/* Decisions on the path of a request. */
bool slp_route(struct slp *s)
{
	static const uint32_t rows[] = { 100, 1024, 8192, 65536 };
	static const uint32_t waiting[] = { 0, 32, 256, 768 };
	static const uint32_t strikes[] = { 10, 100, 1000, 10000 };
	bool ok = measure_budget(s) && measure_fingerprint(s);

	for (int i = 0; ok && i < 4; i++) {
		if (slp_wants(s, rows[i]))
			ok = measure_routes(s, rows[i]);
		if (slp_wants(s, waiting[i]))
			ok = ok && measure_admission(s, waiting[i]);
		if (slp_wants(s, strikes[i]))
			ok = ok && measure_quarantine(s, strikes[i]);
	}
	return ok;
}
