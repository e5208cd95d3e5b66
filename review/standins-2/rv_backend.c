#include "rv.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <utlist.h>

#include "tcpsock.h"

/* A backend as PROTOCOL.md describes it. */

#define ACK_US (1 * US_PER_S)
#define ACK_BYTES_MAX 4096
/* "within 100 ms until that is done" */
#define RELEASE_BEAT_MS 60
#define STATUS_FULL 503
#define STATUS_OTHER 421

struct rv_run {
	struct rv_run *prev, *next;
	struct rv_backend *backend;
	struct httpconn *connection;
	uint32_t number;
	uint32_t key;
	uint32_t timer;
	bool late;
};

void (*rv_on_deadly)(struct rv *v, uint32_t n);

static void send_next_beat(void *arg, uint64_t now_us);

bool rv_holds(const struct rv_backend *b, uint32_t key, uint64_t now_us)
{
	if (!b->up || now_us >= b->held_until_us)
		return false;
	for (size_t i = 0; i < b->held_count; i++) {
		if (b->held[i].first <= key && b->held[i].last >= key)
			return true;
	}
	return false;
}

/* True if it may begin a request on the key. */
static bool may_begin(const struct rv_backend *b, uint32_t key, uint64_t now_us)
{
	if (now_us >= b->held_until_us)
		return false;
	for (size_t i = 0; i < b->held_count; i++) {
		if (b->held[i].first <= key && b->held[i].last >= key)
			return !b->held[i].working_only;
	}
	return false;
}

static bool works_on(const struct rv_backend *b, const struct rv_range *r)
{
	const struct rv_run *x;

	DL_FOREACH(b->runs, x)
	{
		if (x->key >= r->first && x->key <= r->last)
			return true;
	}
	return false;
}

/* Frees what was taken away and has no more work. */
static void release_idle(struct rv_backend *b)
{
	size_t kept = 0;

	for (size_t i = 0; i < b->held_count; i++) {
		struct rv_range r = b->held[i];

		if (!r.working_only || works_on(b, &r)) {
			b->held[kept++] = r;
			continue;
		}
		if (b->freed_count < RV_RANGES_MAX)
			b->freed[b->freed_count++] = r;
		rv_note(b->rv, "%s: has released keys %u to %u", b->id,
			r.first, r.last);
	}
	b->held_count = kept;
}

static bool is_listed(const struct rv_range *list, size_t count,
		      const struct rv_range *r)
{
	for (size_t i = 0; i < count; i++) {
		if (list[i].first == r->first && list[i].last == r->last &&
		    list[i].fence == r->fence)
			return true;
	}
	return false;
}

/* Adds the parts of a range that no granted range covers. */
static void keep_rest(struct rv_backend *b, const struct rv_range *old,
		      const struct rv_range *granted, size_t count)
{
	uint32_t key = old->first;

	while (key <= old->last) {
		struct rv_range rest = *old;
		bool covered = false;
		uint32_t next = old->last + 1;

		for (size_t i = 0; i < count; i++) {
			if (granted[i].first <= key && granted[i].last >= key) {
				covered = true;
				next = granted[i].last + 1;
				break;
			}
			if (granted[i].first > key && granted[i].first < next)
				next = granted[i].first;
		}
		rest.first = key;
		rest.last = next - 1 < old->last ? next - 1 : old->last;
		rest.working_only = true;
		if (!covered && b->held_count < RV_RANGES_MAX)
			b->held[b->held_count++] = rest;
		key = next;
	}
}

/* Replaces what it holds by the answer to a heartbeat. */
static void apply_answer(struct rv_backend *b)
{
	json_t *root = json_loadb(buf_len(&b->beat_answer) ?
					  buf_data(&b->beat_answer) :
					  "",
				  buf_len(&b->beat_answer), 0, NULL);
	json_t *list = json_object_get(root, "holds");
	struct rv_range before[RV_RANGES_MAX], granted[RV_RANGES_MAX];
	size_t before_count = b->held_count, count = 0;
	uint64_t now = rv_now(b->rv);
	json_t *item;
	size_t i;

	b->freed_count = 0;
	if (!json_is_array(list)) {
		json_decref(root);
		return;
	}
	if (now >= b->held_until_us)
		before_count = 0;
	memcpy(before, b->held, sizeof(before));
	json_array_foreach(list, i, item) {
		struct rv_range r = { 0 };

		r.first = (uint32_t)json_integer_value(json_array_get(item, 0));
		r.last = (uint32_t)json_integer_value(json_array_get(item, 1));
		r.fence = (uint64_t)json_integer_value(json_array_get(item, 2));
		if (count < RV_RANGES_MAX)
			granted[count++] = r;
		if (!is_listed(before, before_count, &r))
			rv_note(b->rv, "%s: is given keys %u to %u, fence %llu",
				b->id, r.first, r.last,
				(unsigned long long)r.fence);
	}
	memcpy(b->held, granted, sizeof(b->held));
	b->held_count = count;
	for (i = 0; i < before_count; i++)
		keep_rest(b, &before[i], granted, count);
	b->held_until_us =
		b->beat_sent_us + (uint64_t)json_integer_value(json_object_get(
					  root, "hold_ms")) *
					  US_PER_MS;
	release_idle(b);
	json_decref(root);
}

static void schedule_beat(struct rv_backend *b, uint32_t ms)
{
	tmr_cancel(evloop_timers(b->rv->loop), b->beat_timer);
	b->beat_timer = tmr_at(evloop_timers(b->rv->loop),
			       rv_now(b->rv) + (uint64_t)ms * US_PER_MS,
			       send_next_beat, b);
}

static void on_head(void *arg, const struct httpmsg *m)
{
	struct rv_backend *b = arg;

	b->beat_status = m->status;
}

static void on_body(void *arg, const char *bytes, size_t len)
{
	struct rv_backend *b = arg;

	buf_add(&b->beat_answer, bytes, len);
}

/* True if something was released, or is to be once its work is done. */
static bool is_releasing(const struct rv_backend *b)
{
	bool working = false;

	for (size_t i = 0; i < b->held_count; i++)
		working = working || b->held[i].working_only;
	return working || b->freed_count > 0;
}

static void on_done(void *arg)
{
	struct rv_backend *b = arg;

	b->beat = NULL;
	if (b->beat_status == 200 && rv_now(b->rv) - b->beat_sent_us < ACK_US &&
	    buf_len(&b->beat_answer) <= ACK_BYTES_MAX)
		apply_answer(b);
	if (b->beats)
		schedule_beat(b, is_releasing(b) ? RELEASE_BEAT_MS :
						   b->rv->beat_ms);
}

static void on_failed(void *arg, enum httpcall_failure failure)
{
	struct rv_backend *b = arg;

	(void)failure;
	b->beat = NULL;
	if (b->beats)
		schedule_beat(b, b->rv->beat_ms);
}

static const struct httpcall_ops beat_ops = { NULL, on_head, on_body, on_done,
					      on_failed };

static json_t *list_ranges(const struct rv_range *list, size_t count,
			   bool freed)
{
	json_t *out = json_array();

	for (size_t i = 0; i < count; i++) {
		char token[32];

		snprintf(token, sizeof(token), "t%llu-%u",
			 (unsigned long long)list[i].fence, list[i].first);
		json_array_append_new(
			out, freed ? json_pack("[i,i,s]", (int)list[i].first,
					       (int)list[i].last, token) :
				     json_pack("[i,i,I]", (int)list[i].first,
					       (int)list[i].last,
					       (json_int_t)list[i].fence));
	}
	return out;
}

char *rv_beat_body(struct rv_backend *b, uint64_t seq)
{
	bool held = rv_now(b->rv) < b->held_until_us;
	char address[32], zone[8];
	json_t *root;
	char *text;

	rv_address(b->rv, b->node, TESTBED_UPSTREAM, address);
	snprintf(zone, sizeof(zone), "z%zu", b->node % 3);
	release_idle(b);
	root = json_pack(
		"{s:s,s:I,s:{s:s,s:s,s:s,s:i},s:{s:s,s:I,s:i}}", "address",
		address, "born", (json_int_t)b->born_ms, "info", "service",
		b->service, "version", "v1", "zone", zone, "slots", RV_SLOTS,
		"status", "state", "ready", "seq", (json_int_t)seq,
		"cold_left_ms", 0);
	if (b->keyed) {
		json_object_set_new(root, "holds",
				    list_ranges(b->held,
						held ? b->held_count : 0,
						false));
		json_object_set_new(root, "freed",
				    list_ranges(b->freed, b->freed_count,
						true));
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Writes the head of a call of the backend. */
static void write_head(const struct rv_backend *b, const char *call, size_t len,
		       struct buf *out)
{
	buf_printf(out,
		   "POST /rpc?call=instances.%s&of=%s HTTP/1.1\r\n"
		   "Host: admin\r\nContent-Type: application/json\r\n"
		   "Content-Length: %zu\r\n\r\n",
		   call, b->id, len);
}

static void send_next_beat(void *arg, uint64_t now_us)
{
	struct rv_backend *b = arg;
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head, .reuse_us = 2 * US_PER_S };
	char *body;

	b->beat_timer = 0;
	if (!b->beats)
		return;
	if (b->beat)
		httpcall_cancel(b->beat);
	body = rv_beat_body(b, ++b->seq);
	b->beat_sent_us = now_us;
	b->beat_status = 0;
	b->beat_answer.start = b->beat_answer.end = 0;
	write_head(b, "heartbeat", strlen(body), &head);
	r.body = body;
	r.body_len = strlen(body);
	b->beat = httpcall_start(b->admin, &r, &beat_ops, b);
	schedule_beat(b, ACK_US / US_PER_MS);
	buf_free(&head);
	free(body);
}

static void ignore_head(void *arg, const struct httpmsg *m)
{
	(void)arg;
	(void)m;
}

static void ignore_body(void *arg, const char *bytes, size_t len)
{
	(void)arg;
	(void)bytes;
	(void)len;
}

static void ignore_end(void *arg)
{
	(void)arg;
}

static void ignore_failure(void *arg, enum httpcall_failure failure)
{
	(void)arg;
	(void)failure;
}

static const struct httpcall_ops ignore_ops = { NULL, ignore_head, ignore_body,
						ignore_end, ignore_failure };

void rv_send_beat(struct rv *v, size_t node, const char *body)
{
	struct rv_backend *b = &v->backends[node];
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head,
				      .body = body,
				      .body_len = strlen(body),
				      .reuse_us = 0 };

	write_head(b, "heartbeat", strlen(body), &head);
	rv_note(v, "%s: heartbeat arrives: %s", b->id, body);
	httpcall_start(b->admin, &r, &ignore_ops, NULL);
	buf_free(&head);
}

static void send_answer(struct rv_run *x, uint16_t status)
{
	struct httpconn *c = x->connection;
	char fields[160], body[64];

	snprintf(fields, sizeof(fields),
		 "Request-Id: q%u\r\nResponse-Signature: s.q%u\r\n"
		 "Backend-Load: %u,0,%u\r\n",
		 x->number, x->number, x->backend->running, RV_SLOTS);
	snprintf(body, sizeof(body), "done q%u", x->number);
	httpconn_reply(c, status, fields, body, strlen(body));
}

static void finish_run(void *arg, uint64_t now_us)
{
	struct rv_run *x = arg;
	struct rv_backend *b = x->backend;
	bool lost = x->key != UINT32_MAX && b->keyed &&
		    !rv_holds(b, x->key, now_us);

	DL_DELETE(b->runs, x);
	b->running--;
	send_answer(x, lost ? 500 : 200);
	free(x);
	release_idle(b);
}

/* Rejects a request that has not run. */
static void *reject(struct rv_backend *b, struct httpconn *c, struct span id,
		    uint16_t status)
{
	char fields[160];

	snprintf(fields, sizeof(fields),
		 "Request-Id: %.*s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n",
		 (int)id.len, id.text ? id.text : "", b->id);
	httpconn_reply(c, status, fields, "", 0);
	return NULL;
}

/* Records a request that arrives later than drain_ms after the leave. */
static bool record_arrival(struct rv_backend *b, uint32_t number)
{
	uint64_t now = rv_now(b->rv);
	uint64_t bound = b->left_acked_us + RV_DRAIN_MS * US_PER_MS;

	b->arrived++;
	if (b->left_acked_us == 0 || now <= bound)
		return false;
	b->arrived_late++;
	b->last_late_us = now;
	if (b->first_late_us == 0)
		b->first_late_us = now;
	rv_note(b->rv,
		"%s: q%u arrives %llu ms after its leave was acknowledged",
		b->id, number,
		(unsigned long long)((now - b->left_acked_us) / US_PER_MS));
	return true;
}

static void on_back(void *arg, uint64_t now_us)
{
	struct rv_backend *b = arg;
	struct rv_backend before = *b;

	(void)now_us;
	rv_start_backend(before.rv, before.node, before.service, before.keyed,
			 before.work_ms);
	b->crash_ms = before.crash_ms;
	b->down_ms = before.down_ms;
}

/* Ends at once, and starts again after some time. */
static void on_crash(void *arg, uint64_t now_us)
{
	struct rv_backend *b = arg;

	b->crash_timer = 0;
	rv_note(b->rv, "%s: a request has crashed it", b->id);
	rv_stop_backend(b->rv, b->node);
	b->crash_timer = tmr_at(evloop_timers(b->rv->loop),
				now_us + (uint64_t)b->down_ms * US_PER_MS,
				on_back, b);
}

/* True if the request is one that crashes the backend, which then begins. */
static bool begin_crash(struct rv_backend *b, const struct httpmsg *m)
{
	static const char name[] = "/deadly-";
	struct span target = httpmsg_target(m);
	const char *at = memmem(target.text, target.len, name, strlen(name));

	if (!at || b->crash_ms == 0)
		return false;
	if (rv_on_deadly)
		rv_on_deadly(b->rv,
			     (uint32_t)strtoul(at + strlen(name), NULL, 10));
	if (!b->crash_timer)
		b->crash_timer =
			tmr_at(evloop_timers(b->rv->loop),
			       rv_now(b->rv) +
				       (uint64_t)b->crash_ms * US_PER_MS,
			       on_crash, b);
	return true;
}

static void *on_request(void *arg, struct httpconn *c, const struct httpmsg *m,
			const struct buf *body)
{
	struct rv_backend *b = arg;
	struct rv *v = b->rv;
	struct span id = httpmsg_find(m, "request-id");
	struct span digits = id;
	uint64_t number = 0, key = UINT32_MAX, left_ms = v->deadline_ms;
	uint64_t now = rv_now(v);
	uint32_t ms = b->work_ms;
	struct rv_run *x;
	bool late;

	(void)body;
	if (!span_is(httpmsg_find(m, "expected-instance"), b->id))
		return reject(b, c, id, STATUS_OTHER);
	if (digits.len > 0) {
		digits.text++;
		digits.len--;
	}
	if (!span_number(digits, RV_CALLS_MAX, &number) ||
	    number >= v->call_count) {
		rv_note(v, "%s: a request that nobody sent", b->id);
		return reject(b, c, id, 400);
	}
	span_number(httpmsg_find(m, "shard-key"), 65535, &key);
	if (b->keyed && !may_begin(b, (uint32_t)key, now))
		return reject(b, c, id, STATUS_OTHER);
	late = record_arrival(b, (uint32_t)number);
	if (b->running >= RV_SLOTS)
		return reject(b, c, id, STATUS_FULL);
	v->calls[number].begun++;
	v->calls[number].begun_late += late;
	rv_note(v, "%s: begins q%llu, key %d", b->id,
		(unsigned long long)number,
		key == UINT32_MAX ? -1 : (int)key);
	x = calloc(1, sizeof(*x));
	x->backend = b;
	x->connection = c;
	x->number = (uint32_t)number;
	x->key = (uint32_t)key;
	x->late = late;
	b->running++;
	DL_APPEND(b->runs, x);
	span_number(httpmsg_find(m, "deadline-ms"), UINT32_MAX, &left_ms);
	if (begin_crash(b, m))
		ms = 2 * v->deadline_ms;
	if (ms > left_ms)
		ms = (uint32_t)left_ms;
	x->timer = tmr_at(evloop_timers(v->loop),
			  now + (uint64_t)ms * US_PER_MS, finish_run, x);
	return x;
}

/* The connection of a running request was closed. */
static void on_closed(void *request)
{
	struct rv_run *x = request;
	struct rv_backend *b = x->backend;

	tmr_cancel(evloop_timers(b->rv->loop), x->timer);
	DL_DELETE(b->runs, x);
	b->running--;
	if (!b->up && x->late)
		b->late_cut++;
	rv_note(b->rv, "%s: %s q%u", b->id,
		b->up ? "the caller has left" : "its exit cuts off", x->number);
	free(x);
}

static const struct httpsrv_ops backend_ops = { on_request, on_closed, NULL };

void rv_start_backend(struct rv *v, size_t node, const char *service,
		      bool keyed, uint32_t work_ms)
{
	struct rv_backend *b = &v->backends[node];
	struct err err = { 0 };
	struct sockaddr_in a;
	char address[32];

	memset(b, 0, sizeof(*b));
	b->rv = v;
	b->node = node;
	b->keyed = keyed;
	b->work_ms = work_ms;
	b->born_ms = (int64_t)clk_wall_ms(clk_system());
	snprintf(b->service, sizeof(b->service), "%s", service);
	snprintf(b->id, sizeof(b->id), "i-%zu-%05x", node,
		 rv_random(v, 0xfffff));
	rv_address(v, node, TESTBED_UPSTREAM, address);
	b->server = httpsrv_create(v->loop, address, &backend_ops, b, &err);
	if (!b->server) {
		fprintf(stderr, "%s\n", err.text);
		exit(RV_NOT_RUN);
	}
	rv_address(v, node, TESTBED_ADMIN, address);
	tcpsock_parse_address(address, &a);
	b->admin = httppool_create(v->loop, &a, 5 * US_PER_S);
	b->up = true;
	b->beats = true;
	rv_note(v, "%s: backend of %s started at machine-%zu", b->id, service,
		node);
	schedule_beat(b, 10 + rv_random(v, v->beat_ms / 2));
}

void rv_stop_backend(struct rv *v, size_t node)
{
	struct rv_backend *b = &v->backends[node];
	struct tmr *timers = evloop_timers(v->loop);

	if (!b->up)
		return;
	b->up = false;
	b->beats = false;
	tmr_cancel(timers, b->beat_timer);
	tmr_cancel(timers, b->exit_timer);
	httppool_destroy(b->admin);
	b->admin = NULL;
	httpsrv_destroy(b->server);
	buf_free(&b->beat_answer);
	rv_note(v, "%s: backend has ended", b->id);
}

static void on_exit_time(void *arg, uint64_t now_us)
{
	struct rv_backend *b = arg;

	(void)now_us;
	b->exit_timer = 0;
	rv_stop_backend(b->rv, b->node);
}

/* A deregistration whose answer is awaited. */
struct leave {
	struct rv_backend *backend;
	uint32_t serve_ms;
	uint16_t status;
};

static void on_leave_head(void *arg, const struct httpmsg *m)
{
	struct leave *l = arg;

	l->status = m->status;
}

static void on_leave_done(void *arg)
{
	struct leave *l = arg;
	struct rv_backend *b = l->backend;

	rv_note(b->rv, "%s: deregistration answered with %u", b->id,
		l->status);
	if (l->status == 200)
		b->left_acked_us = rv_now(b->rv);
	b->exit_timer = tmr_at(evloop_timers(b->rv->loop),
			       rv_now(b->rv) +
				       (uint64_t)l->serve_ms * US_PER_MS,
			       on_exit_time, b);
	free(l);
}

static void on_leave_failed(void *arg, enum httpcall_failure failure)
{
	struct leave *l = arg;

	(void)failure;
	l->status = 0;
	on_leave_done(l);
}

static const struct httpcall_ops leave_ops = { NULL, on_leave_head, ignore_body,
					       on_leave_done, on_leave_failed };

void rv_leave(struct rv *v, size_t node, uint32_t serve_ms)
{
	struct rv_backend *b = &v->backends[node];
	struct leave *l = calloc(1, sizeof(*l));
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head, .reuse_us = 0 };
	char body[64];

	b->beats = false;
	tmr_cancel(evloop_timers(v->loop), b->beat_timer);
	b->beat_timer = 0;
	l->backend = b;
	l->serve_ms = serve_ms;
	snprintf(body, sizeof(body), "{\"born\":%lld}", (long long)b->born_ms);
	write_head(b, "deregister", strlen(body), &head);
	r.body = body;
	r.body_len = strlen(body);
	rv_note(v, "%s: deregisters; will serve %u ms more", b->id, serve_ms);
	if (!httpcall_start(b->admin, &r, &leave_ops, l))
		exit(RV_NOT_RUN);
	buf_free(&head);
}
