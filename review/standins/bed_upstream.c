/* Upstreams: heartbeats, keys that they hold, and the requests that they run. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <utlist.h>

#include "bed.h"
#include "tcpsock.h"

#define RELEASE_DELAY_US (60 * US_PER_MS)

struct bed_run {
	struct bed_run *prev, *next;
	struct bed_upstream *upstream;
	struct httpconn *connection;
	char id[64];
	uint32_t timer;
};

static void beat(void *arg, uint64_t now_us);

/* True if the upstream holds the key now. */
static bool holds_key(const struct bed_upstream *u, uint32_t key)
{
	if (evloop_now_us(u->bed->loop) >= u->hold_until_us)
		return false;
	for (size_t i = 0; i < u->hold_count; i++) {
		if (u->holds[i].first <= key && u->holds[i].last >= key)
			return true;
	}
	return false;
}

/* Describes the ranges that are held. */
static void describe(const struct bed_upstream *u, char *out, size_t size)
{
	size_t n = 0;

	out[0] = '\0';
	for (size_t i = 0; i < u->hold_count && n + 48 < size; i++)
		n += (size_t)snprintf(out + n, size - n, " %u-%u:%llu",
				      u->holds[i].first, u->holds[i].last,
				      (unsigned long long)u->holds[i].fence);
}

/* Remembers the ranges that the last answer has left out. */
static void note_freed(struct bed_upstream *u, const struct bed_range *before,
		       size_t count)
{
	for (size_t i = 0; i < count; i++) {
		bool kept = false;

		for (size_t k = 0; k < u->hold_count; k++)
			kept = kept || (u->holds[k].first <= before[i].last &&
					u->holds[k].last >= before[i].first);
		if (!kept && u->freed_count < BED_RANGES_MAX)
			u->freed[u->freed_count++] = before[i];
	}
}

/* Holds what the answer grants, counted from when the heartbeat was sent. */
static void apply_answer(struct bed_upstream *u)
{
	json_t *root = json_loadb(buf_len(&u->answer) ? buf_data(&u->answer) :
							"",
				  buf_len(&u->answer), 0, NULL);
	json_t *list = json_object_get(root, "holds");
	struct bed_range before[BED_RANGES_MAX];
	size_t count = u->hold_count;
	char was[2048], is[2048];
	json_t *item;
	size_t i;

	u->beats_answered++;
	u->freed_count = 0;
	if (!json_is_array(list)) {
		json_decref(root);
		return;
	}
	u->beats_renewed++;
	describe(u, was, sizeof(was));
	memcpy(before, u->holds, sizeof(before));
	if (evloop_now_us(u->bed->loop) >= u->hold_until_us) {
		count = 0;
		was[0] = '\0';
	}
	u->hold_count = 0;
	json_array_foreach(list, i, item) {
		struct bed_range *h = &u->holds[u->hold_count++];

		h->first =
			(uint32_t)json_integer_value(json_array_get(item, 0));
		h->last = (uint32_t)json_integer_value(json_array_get(item, 1));
		h->fence =
			(uint64_t)json_integer_value(json_array_get(item, 2));
	}
	u->hold_until_us =
		u->beat_us +
		(uint64_t)json_integer_value(json_object_get(root, "hold_ms")) *
			US_PER_MS;
	note_freed(u, before, count);
	describe(u, is, sizeof(is));
	if (strcmp(was, is) != 0)
		bed_record(u->bed, "upstream %s: holds%s, for %lld ms", u->id,
			   is[0] ? is : " nothing",
			   (long long)(u->hold_until_us -
				       evloop_now_us(u->bed->loop)) /
				   1000);
	json_decref(root);
}

static void schedule_beat(struct bed_upstream *u, uint64_t wait_us)
{
	tmr_cancel(evloop_timers(u->bed->loop), u->timer);
	u->timer = tmr_at(evloop_timers(u->bed->loop),
			  evloop_now_us(u->bed->loop) + wait_us, beat, u);
}

/* Schedules the next heartbeat; one that follows a release is sent soon. */
static void schedule_next(struct bed_upstream *u)
{
	uint64_t due = u->beat_us + BED_BEAT_MS * US_PER_MS;
	uint64_t now = evloop_now_us(u->bed->loop);
	uint64_t wait = due > now ? due - now : 0;

	schedule_beat(u, u->freed_count > 0 ? RELEASE_DELAY_US : wait);
}

static void on_head(void *arg, const struct httpmsg *m)
{
	struct bed_upstream *u = arg;

	u->answer_status = m->status;
}

static void on_body(void *arg, const char *bytes, size_t len)
{
	struct bed_upstream *u = arg;

	buf_add(&u->answer, bytes, len);
}

static void on_done(void *arg)
{
	struct bed_upstream *u = arg;

	u->beating = NULL;
	if (u->answer_status >= 200 && u->answer_status < 300 &&
	    evloop_now_us(u->bed->loop) - u->beat_us <
		    BED_BEAT_TIMEOUT_MS * US_PER_MS)
		apply_answer(u);
	schedule_next(u);
}

static void on_failed(void *arg, enum httpcall_failure failure)
{
	struct bed_upstream *u = arg;

	(void)failure;
	u->beating = NULL;
	schedule_next(u);
}

static const struct httpcall_ops beat_ops = { NULL, on_head, on_body, on_done,
					      on_failed };

/* Encodes ranges with their fences, or freed ones with a handover. */
static json_t *encode_ranges(const struct bed_range *list, size_t count,
			     bool freed)
{
	json_t *out = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			out, freed ? json_pack("[i,i,s]", (int)list[i].first,
					       (int)list[i].last,
					       "5c0e7a21d94b36f8") :
				     json_pack("[i,i,I]", (int)list[i].first,
					       (int)list[i].last,
					       (json_int_t)list[i].fence));
	return out;
}

static char *encode_beat(struct bed_upstream *u)
{
	bool held = evloop_now_us(u->bed->loop) < u->hold_until_us;
	const char *service = u->bed->nodes[u->index].service;
	char address[32];
	json_t *root;
	char *text;

	bed_address(u->bed, u->index, BED_UPSTREAM, address, sizeof(address));
	root = json_pack(
		"{s:s,s:I,s:{s:s,s:s,s:s,s:i},s:{s:s,s:I,s:i},s:o,s:o}",
		"address", address, "born", (json_int_t)u->born_ms, "info",
		"service", service, "version", "v1", "zone", "kgn-a", "slots",
		BED_SLOTS, "status", "state", "ready", "seq",
		(json_int_t)++u->seq, "cold_left_ms", 0, "holds",
		encode_ranges(u->holds, held ? u->hold_count : 0, false),
		"freed", encode_ranges(u->freed, u->freed_count, true));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Sends a heartbeat; one that has waited for a second is given up. */
static void beat(void *arg, uint64_t now_us)
{
	struct bed_upstream *u = arg;
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head, .reuse_us = US_PER_S };
	char *text;

	u->timer = 0;
	if (u->beating)
		httpcall_cancel(u->beating);
	text = encode_beat(u);
	u->beat_us = now_us;
	u->answer.start = u->answer.end = 0;
	u->answer_status = 0;
	buf_printf(&head,
		   "POST /rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\n"
		   "Host: admin\r\nContent-Type: application/json\r\n"
		   "Content-Length: %zu\r\n\r\n",
		   u->id, strlen(text));
	r.body = text;
	r.body_len = strlen(text);
	u->beating = httpcall_start(u->daemon, &r, &beat_ops, u);
	schedule_beat(u, BED_BEAT_TIMEOUT_MS * US_PER_MS);
	buf_free(&head);
	free(text);
}

static void finish_run(void *arg, uint64_t now_us)
{
	struct bed_run *r = arg;
	struct httpconn *c = r->connection;
	char fields[192], body[96];

	(void)now_us;
	DL_DELETE(r->upstream->runs, r);
	snprintf(fields, sizeof(fields),
		 "Request-Id: %s\r\nResponse-Signature: 3e1b.%s\r\n", r->id,
		 r->id);
	snprintf(body, sizeof(body), "answer to %s", r->id);
	free(r);
	httpconn_reply(c, 200, fields, body, strlen(body));
}

static void *refuse(struct httpconn *c, uint16_t status, const char *id)
{
	char fields[128];

	snprintf(fields, sizeof(fields), "Request-Id: %s\r\nNot-Executed: 1\r\n",
		 id);
	httpconn_reply(c, status, fields, "", 0);
	return NULL;
}

/* Counts the runs that begin while two upstreams hold the same keys. */
static void count_overlap_run(struct bed_upstream *u, uint32_t key)
{
	struct bed *b = u->bed;

	for (size_t n = 0; n < b->node_count; n++) {
		struct bed_upstream *other = &b->nodes[n].upstream;
		size_t low = n < u->index ? n : u->index;
		size_t high = n < u->index ? u->index : n;

		if (n == u->index || !other->up || !other->keyed ||
		    !holds_key(other, key))
			continue;
		bed_record(b, "upstream %s: begins key %u, which %s holds, too",
			   u->id, key, other->id);
		b->overlap_runs[low][high][u->index == high]++;
	}
}

/* The upstream ends; its connections are closed. */
static void on_crash(void *arg, uint64_t now_us)
{
	struct bed_upstream *u = arg;

	u->crash_timer = 0;
	bed_record(u->bed, "upstream %s: crashes", u->id);
	if (u->bed->crashes < BED_CRASHES_MAX)
		u->bed->crashes_us[u->bed->crashes++] = now_us;
	u->up = false;
	tmr_cancel(evloop_timers(u->bed->loop), u->timer);
	u->timer = 0;
	httppool_destroy(u->daemon);
	httpsrv_destroy(u->server);
	buf_free(&u->answer);
	u->start_again_us = now_us + BED_BACK_AFTER_MS * US_PER_MS;
}

/* Begins the crash, which a closed connection does not prevent. */
static void check_crash(struct bed_upstream *u, struct span target)
{
	struct bed *b = u->bed;

	if (!memmem(target.text, target.len, BED_CRASH_PATH,
		    strlen(BED_CRASH_PATH)))
		return;
	if (b->crash_arrivals < BED_CRASHES_MAX)
		b->crash_arrivals_us[b->crash_arrivals++] =
			evloop_now_us(b->loop);
	if (u->crash_timer)
		return;
	u->crash_timer = tmr_at(evloop_timers(b->loop),
				evloop_now_us(b->loop) +
					BED_CRASH_AFTER_MS * US_PER_MS,
				on_crash, u);
}

/* Starts the upstreams again that have been down for long enough. */
void bed_restart_crashed(struct bed *b)
{
	for (size_t n = 0; n < b->node_count; n++) {
		struct bed_upstream *u = &b->nodes[n].upstream;

		if (!u->up && u->start_again_us > 0 &&
		    evloop_now_us(b->loop) >= u->start_again_us)
			bed_start_upstream(b, n);
	}
}

static void *on_request(void *arg, struct httpconn *c, const struct httpmsg *m,
			const struct buf *body)
{
	struct bed_upstream *u = arg;
	struct bed *b = u->bed;
	struct bed_run *r;
	struct span target = httpmsg_target(m);
	char id[64], caller[64], expected[64];
	uint64_t number, key = 0;

	(void)body;
	span_copy(httpmsg_find(m, "request-id"), id, sizeof(id));
	span_copy(httpmsg_find(m, "caller-service"), caller, sizeof(caller));
	if (span_copy(httpmsg_find(m, "expected-instance"), expected,
		      sizeof(expected)) &&
	    strcmp(expected, u->id) != 0)
		return refuse(c, 421, id);
	span_number(httpmsg_find(m, "shard-key"), 65535, &key);
	if (u->keyed && !holds_key(u, (uint32_t)key))
		return refuse(c, 421, id);
	bed_record(b, "upstream %s: runs %s %.*s id=%s caller=%s key=%llu",
		   u->id, m->method, (int)target.len, target.text, id, caller,
		   (unsigned long long)key);
	if (id[0] == 'q' &&
	    span_number((struct span){ id + 1, strlen(id + 1) },
			BED_REQUESTS_MAX - 1, &number) &&
	    number < b->request_count) {
		struct bed_request *q = &b->requests[number];

		q->runs++;
		if (!q->idempotent && q->runs > 1)
			bed_break(b, "TWICE: %s runs for the %u. time", id,
				  q->runs);
	} else {
		bed_break(b, "UNASKED: a run of id \"%s\", which no caller sent",
			  id);
	}
	if (u->keyed)
		count_overlap_run(u, (uint32_t)key);
	r = calloc(1, sizeof(*r));
	r->upstream = u;
	r->connection = c;
	snprintf(r->id, sizeof(r->id), "%s", id);
	DL_APPEND(u->runs, r);
	check_crash(u, target);
	r->timer = tmr_at(evloop_timers(b->loop),
			  evloop_now_us(b->loop) +
				  (u->crash_timer ? 2 * BED_CRASH_AFTER_MS : 0) *
					  US_PER_MS +
				  (1 + bed_random(b, b->run_max_ms)) * US_PER_MS,
			  finish_run, r);
	return r;
}

static void on_closed(void *request)
{
	struct bed_run *r = request;

	tmr_cancel(evloop_timers(r->upstream->bed->loop), r->timer);
	DL_DELETE(r->upstream->runs, r);
	free(r);
}

static const struct httpsrv_ops upstream_ops = { on_request, on_closed, NULL };

/* Starts a new incarnation of the upstream of a node. */
void bed_start_upstream(struct bed *b, size_t node)
{
	struct bed_upstream *u = &b->nodes[node].upstream;
	struct err err = { 0 };
	struct sockaddr_in a;
	char address[32];

	memset(u, 0, sizeof(*u));
	u->bed = b;
	u->index = node;
	u->keyed = strcmp(b->nodes[node].service, "keyed") == 0;
	u->born_ms = (int64_t)clk_wall_ms(clk_system());
	snprintf(u->id, sizeof(u->id), "i-%zu%08x", node,
		 bed_random(b, UINT32_MAX));
	bed_address(b, node, BED_UPSTREAM, address, sizeof(address));
	u->server = httpsrv_create(b->loop, address, &upstream_ops, u, &err);
	if (!u->server)
		bed_not_run(b, err.text);
	bed_address(b, node, BED_ADMIN, address, sizeof(address));
	tcpsock_parse_address(address, &a);
	u->daemon = httppool_create(b->loop, &a, 5 * US_PER_S);
	u->up = true;
	bed_record(b, "upstream %s starts beside %s, service %s", u->id,
		   b->nodes[node].name, b->nodes[node].service);
	schedule_beat(u, bed_random(b, BED_BEAT_MS) * US_PER_MS);
}
