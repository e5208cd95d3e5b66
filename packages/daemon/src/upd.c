#include "upd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "exe.h"
#include "log.h"
#include "mem.h"
#include "own.h"
#include "pub.h"

#define TICK_US (10 * US_PER_MS)
#define MISSING_US (3 * US_PER_S)
#define PROBE_TIMEOUT_US (500 * US_PER_MS)
#define PROBE_PAUSE_US (50 * US_PER_MS)
#define LOST_MAX 64 /* requests remembered as lost, for strikes */
#define LOST_AGE_US (2 * US_PER_S)

enum phase {
	PHASE_ABSENT,
	PHASE_SERVING,
	PHASE_DRAINING,
	PHASE_HELD,
	PHASE_HELD_ABSENT
};

static const char *const phase_names[] = { "absent", "serving",	    "draining",
					   "held",   "held_absent", NULL };

enum event {
	EVENT_ANNOUNCED,
	EVENT_LEAVING,
	EVENT_GONE,
	EVENT_DRAIN,
	EVENT_UNDRAIN
};

static const char *const event_names[] = { "announced", "leaving", "gone",
					   "drain",	"undrain", NULL };

/* A request that lost its connection a moment ago. */
struct lost {
	uint64_t fingerprint;
	uint64_t at_us;
	char label[96];
};

/* Pools and admissions that are replaced but still in use. */
struct retired {
	struct upclient *pool;
	struct admitter *admitter;
	struct retired *next;
};

struct upd {
	struct nod *n;
	struct statechart *chart;
	int phase;
	struct upd_announcement last;
	uint64_t announced_us;
	struct upclient *pool;
	struct admitter *admitter;
	struct retired *retired;
	uint16_t service;
	struct lost lost[LOST_MAX];
	size_t lost_count;
	uint32_t probe;
	uint64_t probe_after_us;
	bool probe_wanted;
};

/* Puts the present pool or admission aside until nothing runs any more. */
static void retire(struct upd *u, struct upclient *pool,
		   struct admitter *admitter)
{
	struct retired *r;

	if (!pool && !admitter)
		return;
	r = calloc(1, sizeof(*r));
	if (!r)
		return;
	r->pool = pool;
	r->admitter = admitter;
	r->next = u->retired;
	u->retired = r;
}

static void free_retired(struct upd *u)
{
	while (u->retired) {
		struct retired *r = u->retired;

		u->retired = r->next;
		if (r->pool)
			upclient_destroy(r->pool);
		admit_destroy(r->admitter);
		free(r);
	}
}

static const struct admit_ops admission_ops = {
	.run = exe_admitted,
	.drop = exe_dropped,
};

/* Makes the admission for the kinds of a service. */
static struct admitter *make_admission(struct upd *u,
				       const struct manifest_service *s)
{
	struct admit_kind kinds[ADMIT_KINDS_MAX] = { 0 };
	uint32_t count = s->kind_count;

	if (count > ADMIT_KINDS_MAX)
		count = ADMIT_KINDS_MAX;
	for (uint32_t i = 0; i < count; i++) {
		kinds[i].share_pct = s->kinds[i].share_pct;
		kinds[i].queue_max = s->kinds[i].queue;
	}
	return admit_create(kinds, count, &admission_ops, u->n->exec);
}

static const struct manifest_service *service_of(const struct upd *u)
{
	const struct manifest *man = pub_manifest(u->n->pub);

	return man ? manifest_service_by_name(man, u->last.service) : NULL;
}

/* The upstream is there: connections, admission, the member row. */
static void on_attach(void *arg)
{
	struct upd *u = arg;
	const struct manifest_service *s = service_of(u);
	uint64_t now = nod_now_us(u->n);

	retire(u, u->pool, NULL);
	u->pool = upclient_pool_create(u->n->loop, u->last.address,
				       u->last.port, u->last.connections, NULL);
	if (!u->admitter && s)
		u->admitter = make_admission(u, s);
	if (u->admitter)
		admit_attach(u->admitter, u->last.slots, now);
	u->service = s ? s->id : 0;
	mem_set_upstream(u->n->member, u->service, u->last.slots, MEMBER_UP);
	own_set_able(u->n->own, true);
	log_emit(LOG_UPSTREAM_UP, "service=%s address=%s port=%u slots=%u",
		 u->last.service, u->last.address, u->last.port, u->last.slots);
}

/* The upstream is gone: nothing is held or admitted any more. */
static void on_detach(void *arg)
{
	struct upd *u = arg;

	if (u->admitter)
		admit_detach(u->admitter, nod_now_us(u->n));
	retire(u, u->pool, NULL);
	u->pool = NULL;
	own_set_able(u->n->own, false);
	/* The daemon itself stays: it is a witness for other instances. */
	mem_set_upstream(u->n->member, 0, 0, MEMBER_UP);
	log_emit(LOG_UPSTREAM_GONE, "service=%s", u->last.service);
}

static void on_drain(void *arg)
{
	struct upd *u = arg;

	mem_set_upstream(u->n->member, u->service, u->last.slots,
			 MEMBER_DRAINING);
	log_emit(LOG_UPSTREAM_DRAINING, "service=%s", u->last.service);
}

static void on_undrain(void *arg)
{
	struct upd *u = arg;

	mem_set_upstream(u->n->member, u->service, u->last.slots, MEMBER_UP);
}

static const struct statechart_action actions[] = {
	{ "attach", on_attach },
	{ "detach", on_detach },
	{ "drain", on_drain },
	{ "undrain", on_undrain },
};

static void fire(struct upd *u, enum event event)
{
	u->phase = statechart_fire(u->chart, u->phase, event, u);
}

/* The upstream has died: each request that ran on it gets a strike. */
static void strike_lost(struct upd *u)
{
	uint64_t now = nod_now_us(u->n);

	for (size_t i = 0; i < u->lost_count; i++) {
		if (now - u->lost[i].at_us < LOST_AGE_US)
			exe_strike(u->n->exec, u->lost[i].fingerprint,
				   u->lost[i].label);
	}
	u->lost_count = 0;
}

static void probe_head(void *arg, const struct upclient_response *response)
{
	(void)arg;
	(void)response;
}

static void probe_body(void *arg, const void *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

/* Any answer shows that the upstream lives. */
static void probe_end(void *arg)
{
	struct upd *u = arg;

	u->probe = 0;
	u->lost_count = 0;
}

/* Only a refused connection shows that it is dead. */
static void probe_failed(void *arg, enum upclient_failure why)
{
	struct upd *u = arg;

	u->probe = 0;
	if (why == UPCLIENT_REFUSED) {
		strike_lost(u);
		fire(u, EVENT_GONE);
		return;
	}
	if (why != UPCLIENT_TIMEOUT) {
		u->probe_wanted = true;
		u->probe_after_us = nod_now_us(u->n) + PROBE_PAUSE_US;
	}
}

static const struct upclient_events probe_events = {
	.head = probe_head,
	.body = probe_body,
	.end = probe_end,
	.failed = probe_failed,
};

/* Asks the upstream whether it is alive. */
static void start_probe(struct upd *u)
{
	struct upclient_request req = { .method = "GET",
					.target = "/-/health",
					.end = true,
					.timeout_us = PROBE_TIMEOUT_US };

	u->probe_wanted = false;
	if (!u->pool || u->probe)
		return;
	u->probe = upclient_start(u->pool, &req, &probe_events, u);
	if (!u->probe) {
		u->probe_wanted = true;
		u->probe_after_us = nod_now_us(u->n) + PROBE_PAUSE_US;
	}
}

static bool is_present(const struct upd *u)
{
	return u->phase != PHASE_ABSENT && u->phase != PHASE_HELD_ABSENT;
}

static void tick_due(void *arg, uint64_t now_us)
{
	struct upd *u = arg;

	if (u->admitter)
		admit_tick(u->admitter, now_us);
	if (u->probe_wanted && now_us >= u->probe_after_us)
		start_probe(u);
	if (is_present(u) && now_us - u->announced_us > MISSING_US)
		fire(u, EVENT_GONE);
	if (!is_present(u) && own_acting_count(u->n->own))
		own_release_all(u->n->own);
	if (u->retired && exe_count(u->n->exec) == 0 && !u->probe)
		free_retired(u);
}

static bool same_kinds(const struct manifest_service *x,
		       const struct manifest_service *y)
{
	if (!x || !y || x->kind_count != y->kind_count)
		return false;
	for (uint32_t i = 0; i < x->kind_count; i++) {
		if (strcmp(x->kinds[i].name, y->kinds[i].name) != 0 ||
		    x->kinds[i].share_pct != y->kinds[i].share_pct ||
		    x->kinds[i].queue != y->kinds[i].queue)
			return false;
	}
	return true;
}

/* Another manifest: the shares of the kinds may be others. */
static void manifest_changed(void *arg, const struct manifest *man)
{
	struct upd *u = arg;
	const struct manifest_service *old = service_of(u);
	const struct manifest_service *new =
		manifest_service_by_name(man, u->last.service);

	if (!u->admitter || !new || same_kinds(old, new))
		return;
	admit_detach(u->admitter, nod_now_us(u->n));
	retire(u, NULL, u->admitter);
	u->admitter = make_admission(u, new);
	if (u->admitter && is_present(u))
		admit_attach(u->admitter, u->last.slots, nod_now_us(u->n));
}

/* Makes the module; its chart is charts/upstream.yaml. */
struct upd *upd_create(struct nod *n, struct err *err)
{
	struct upd *u = calloc(1, sizeof(*u));

	if (!u) {
		err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
		return NULL;
	}
	u->n = n;
	u->chart =
		nod_load_chart(n, "upstream", phase_names, event_names, actions,
			       sizeof(actions) / sizeof(actions[0]), err);
	if (!u->chart) {
		upd_destroy(u);
		return NULL;
	}
	u->phase = statechart_initial_state(u->chart);
	pub_subscribe(n->pub, manifest_changed, u);
	tmr_every(n->timers, nod_now_us(n) + TICK_US, TICK_US, tick_due, u);
	return u;
}

/* Frees the module with its connections. */
void upd_destroy(struct upd *u)
{
	if (!u)
		return;
	free_retired(u);
	if (u->pool)
		upclient_destroy(u->pool);
	admit_destroy(u->admitter);
	statechart_destroy(u->chart);
	free(u);
}

/* True if the announcement is of another process than the last one. */
static bool is_replaced(const struct upd *u, const struct upd_announcement *a)
{
	return is_present(u) && (u->last.port != a->port ||
				 strcmp(u->last.address, a->address) != 0 ||
				 strcmp(u->last.service, a->service) != 0);
}

/* Takes an announcement; the service has to be in the manifest. */
bool upd_announce(struct upd *u, const struct upd_announcement *a,
		  struct err *err)
{
	const struct manifest *man = pub_manifest(u->n->pub);

	if (!man || !manifest_service_by_name(man, a->service))
		return err_set(err, ERR_DAEMON, 1,
			       "the manifest in force has no service %s",
			       a->service);
	if (is_replaced(u, a))
		fire(u, EVENT_GONE);
	if (u->admitter && strcmp(u->last.service, a->service) != 0) {
		retire(u, NULL, u->admitter);
		u->admitter = NULL;
	}
	if (u->admitter && u->last.slots != a->slots)
		admit_resize(u->admitter, a->slots);
	u->last = *a;
	u->announced_us = nod_now_us(u->n);
	if (u->admitter)
		admit_set_report(u->admitter, a->load, a->healthy);
	fire(u, a->draining ? EVENT_LEAVING : EVENT_ANNOUNCED);
	return true;
}

/* An operator's order; it outlives a restart of the upstream. */
void upd_drain(struct upd *u, bool drain)
{
	fire(u, drain ? EVENT_DRAIN : EVENT_UNDRAIN);
}

/* Returns the connections to the upstream. */
struct upclient *upd_pool(const struct upd *u)
{
	return u->pool;
}

/* Returns the admission. */
struct admitter *upd_admission(const struct upd *u)
{
	return u ? u->admitter : NULL;
}

/* Tells whether the upstream takes new work. */
bool upd_is_serving(const struct upd *u)
{
	return u->phase == PHASE_SERVING;
}

/* Entry of a fingerprint, a new one if it has none; NULL without room. */
static struct lost *take_lost(struct upd *u, uint64_t fingerprint)
{
	for (size_t i = 0; i < u->lost_count; i++) {
		if (u->lost[i].fingerprint == fingerprint)
			return &u->lost[i];
	}
	return u->lost_count < LOST_MAX ? &u->lost[u->lost_count++] : NULL;
}

/*
 * Remembers the request and asks whether the upstream still lives. Equal
 * requests that ran at the same time share an entry: one crash is one strike,
 * or the requests for a hot key would be quarantined by the crash of another.
 */
void upd_lost(struct upd *u, uint64_t fingerprint, const char *label)
{
	struct lost *l = take_lost(u, fingerprint);

	if (!l)
		return;
	l->fingerprint = fingerprint;
	l->at_us = nod_now_us(u->n);
	snprintf(l->label, sizeof(l->label), "%s", label);
	u->probe_wanted = true;
	u->probe_after_us = l->at_us;
}

/* Asks the upstream at the next tick. */
void upd_check(struct upd *u)
{
	u->probe_wanted = true;
	u->probe_after_us = nod_now_us(u->n);
}

/* Returns the name of the state. */
const char *upd_state_name(const struct upd *u)
{
	return statechart_state_name(u->chart, u->phase);
}
