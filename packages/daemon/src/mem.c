#include "mem.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "syn.h"
#include "wrt.h"

#define CHECK_INTERVAL_US (250 * US_PER_MS)

struct mem {
	struct nod *n;
	struct member row; /* as it should be in the table */
	bool writing;
};

/* True if the table holds what this daemon wants it to hold. */
static bool is_current(const struct mem *m)
{
	const struct member *held =
		replica_member(m->n->replica, m->row.proc.instance);

	return held && proc_equal(&held->proc, &m->row.proc) &&
	       held->service == m->row.service && held->slots == m->row.slots &&
	       held->state == m->row.state;
}

static void written(void *arg, enum platapi_result result)
{
	struct mem *m = arg;

	(void)result;
	m->writing = false;
}

/* Warns when two daemons were given one instance id. */
static void check_identity(const struct mem *m)
{
	const struct member *held =
		replica_member(m->n->replica, m->row.proc.instance);

	if (!held || held->state == MEMBER_GONE ||
	    strcmp(held->name, m->row.name) == 0)
		return;
	log_emit(LOG_INSTANCE_CONFLICT, "instance=%u name=%s other=%s",
		 m->row.proc.instance, m->row.name, held->name);
}

/* Writes the row again as long as the table holds another. */
static void check_due(void *arg, uint64_t now_us)
{
	struct mem *m = arg;
	char key[ROW_KEY_MAX];
	char *value;

	(void)now_us;
	if (m->writing || !syn_is_ready(m->n->syn) || is_current(m) ||
	    !syn_platform_up(m->n->syn))
		return;
	check_identity(m);
	member_key(m->row.proc.instance, key);
	value = member_encode(&m->row);
	if (!value)
		return;
	m->writing = true;
	wrt_value(m->n->writer, key, value, written, m);
	free(value);
}

/* Fills the row from the settings. */
static void fill(struct mem *m)
{
	const struct settings *set = &m->n->set;
	struct member *r = &m->row;

	r->proc = m->n->self;
	snprintf(r->name, sizeof(r->name), "%s", set->name);
	snprintf(r->data_centre, sizeof(r->data_centre), "%s",
		 set->data_centre);
	snprintf(r->region, sizeof(r->region), "%s", set->region);
	snprintf(r->address, sizeof(r->address), "%s", set->address);
	r->http_port = set->http_port;
	r->peer_port = set->peer_port;
	r->admin_port = set->admin_port;
	r->state = MEMBER_UP;
}

/* Announces the daemon; the service follows when the upstream is there. */
struct mem *mem_create(struct nod *n)
{
	struct mem *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->n = n;
	fill(m);
	tmr_every(n->timers, nod_now_us(n), CHECK_INTERVAL_US, check_due, m);
	return m;
}

/* Frees the module. */
void mem_destroy(struct mem *m)
{
	free(m);
}

/* Notes what the row should say; it is written by the next check. */
void mem_set_upstream(struct mem *m, uint16_t service, uint16_t slots,
		      enum member_state state)
{
	m->row.service = service;
	m->row.slots = slots;
	m->row.state = state;
}

/* Returns the service of the upstream. */
uint16_t mem_service(const struct mem *m)
{
	return m->row.service;
}

/* Returns the state as told last. */
enum member_state mem_state(const struct mem *m)
{
	return m->row.state;
}

/* Writes the row of another daemon with the state gone. */
void mem_mark_gone(struct mem *m, const struct proc *p)
{
	const struct member *held = replica_member(m->n->replica, p->instance);
	struct member gone;
	char key[ROW_KEY_MAX];
	char *value;

	if (!held || !proc_equal(&held->proc, p) ||
	    held->state == MEMBER_GONE || !syn_platform_up(m->n->syn))
		return;
	gone = *held;
	gone.state = MEMBER_GONE;
	member_key(p->instance, key);
	value = member_encode(&gone);
	if (!value)
		return;
	log_emit(LOG_MEMBER_GONE, "instance=%u incarnation=%016" PRIx64,
		 p->instance, p->incarnation);
	wrt_value(m->n->writer, key, value, NULL, NULL);
	free(value);
}
