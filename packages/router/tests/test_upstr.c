/*
 * The local upstream and its queue, with announcements over loopback and the
 * table service in memory. Guards against requests to an upstream that has shut
 * down or does not respond, and against table calls in a tight loop.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "upstr.h"
#include "request_runner_int.h"
#include "fake_table.h"
#include "httpsrv.h"
#include "peer_message.h"

#define ADMIN "127.0.0.1:20121"
#define UPSTREAM "127.0.0.1:20122"
#define DRAIN_MS 700
#define ANNOUNCE_MS 300
#define WORK_MS 250
#define KIND 1
#define CONNECTIONS_MAX 8
#define STATUS_REFUSED 503

struct fixture {
	struct evloop *loop;
	struct fake db;
	struct rsettings settings;
	struct plat platform;
	struct planview *view;
	struct nodelease *lease;
	struct relqueue *releases;
	struct upstr *upstream;
	struct reqrun *runner;
	struct httpsrv *admin; /* receives announcements */
	struct httppool *announcer;
	struct httpsrv *server; /* the upstream */
	struct plat_announcement next;
	struct plat_hold hold; /* in the next announcements, if has_hold */
	bool has_hold;
	bool renewed; /* by the answer to the last announcement */
	int status; /* of the answer to the last announcement, -1 for none */
	uint32_t arrived; /* requests at the upstream */
	uint64_t last_arrival_us;
	uint32_t refused, answered;
	uint32_t reply_timer;
	bool working; /* the upstream runs a request */
	uint32_t overlaps; /* requests that arrived meanwhile */
	bool refuses; /* the upstream refuses requests */
	char request_id[16]; /* of the next request */
	char expected_id[512]; /* of the upstream, in the last request to it */
	const struct httpconn *connections[CONNECTIONS_MAX]; /* by arrival */
};

static struct fixture *fx;

static void run(uint32_t ms)
{
	uint64_t end = evloop_now_us(fx->loop) + (uint64_t)ms * US_PER_MS;

	while (evloop_now_us(fx->loop) < end)
		evloop_run_once(fx->loop, 5 * US_PER_MS);
}

static void on_event(void *arg)
{
	struct fixture *f = arg;

	if (f->runner)
		reqrun_keys_changed(f->runner);
}

static void on_crashed(void *arg, const struct incarnation *ended)
{
	(void)arg;
	(void)ended;
}

static const struct upstr_ops upstream_ops = { on_event, on_crashed, on_event };

static void on_found(void *arg, const struct noderow *row)
{
	struct fixture *f = arg;

	if (row)
		upstr_restore(f->upstream, row);
}

static void on_renewed(void *arg)
{
	(void)arg;
}

static void on_lapsed(void *arg, const char *reason)
{
	(void)arg;
	(void)reason;
}

static void on_table_back(void *arg)
{
	struct fixture *f = arg;

	planview_restart_watch(f->view);
}

static const struct nodelease_ops lease_ops = { on_found, on_renewed, on_lapsed,
						on_table_back, NULL };

static void on_rows(void *arg, const struct tbl_change *rows, size_t count,
		    uint64_t version)
{
	(void)arg;
	(void)rows;
	(void)count;
	(void)version;
}

static void write_grant(struct buf *out, const struct plat_grant *g)
{
	fx->renewed = g->renews;
	buf_add_text(out, "{}");
}

static void *on_announcement(void *arg, struct httpconn *c,
			     const struct httpmsg *m, const struct buf *body)
{
	struct fixture *f = arg;

	(void)m;
	(void)body;
	return upstr_handle_announcement(f->upstream, c, &f->next);
}

static void on_gone(void *request)
{
	upstr_answer_aborted(request);
}

static const struct httpsrv_ops admin_ops = { on_announcement, on_gone, NULL };

/* Answers a request after its work. */
static void reply(void *arg, uint64_t now_us)
{
	(void)now_us;
	fx->working = false;
	httpconn_reply(arg, fx->refuses ? STATUS_REFUSED : 200, "", "ok", 2);
}

static void *on_request(void *arg, struct httpconn *c, const struct httpmsg *m,
			const struct buf *body)
{
	struct fixture *f = arg;

	(void)m;
	(void)body;
	if (f->arrived < CONNECTIONS_MAX)
		f->connections[f->arrived] = c;
	f->arrived++;
	f->overlaps += f->working;
	f->last_arrival_us = evloop_now_us(f->loop);
	f->reply_timer =
		tmr_at(evloop_timers(f->loop),
		       f->last_arrival_us + WORK_MS * US_PER_MS, reply, c);
	f->working = true;
	return c;
}

static void on_request_gone(void *request)
{
	(void)request;
	tmr_cancel(evloop_timers(fx->loop), fx->reply_timer);
	fx->working = false;
}

static const struct httpsrv_ops server_ops = { on_request, on_request_gone,
					       NULL };

static void on_answer(void *arg, const struct httpmsg *m)
{
	struct fixture *f = arg;

	f->status = m ? m->status : 0;
}

/* Announces the upstream and runs the loop; the answer may be delayed. */
static void announce(const char *id, enum plat_state state, bool leaves,
		     int64_t start_unix_ms)
{
	static struct peermsg_sender sender;
	static uint64_t seq;

	sender = (struct peermsg_sender){ on_answer, fx };
	memset(&fx->next, 0, sizeof(fx->next));
	name_identify_text(fx->next.id, id);
	fx->next.id_text = (struct span){ id, strlen(id) };
	snprintf(fx->next.service, sizeof(fx->next.service), "s");
	fx->next.state = state;
	fx->next.leaves = leaves;
	fx->next.start_unix_ms = start_unix_ms;
	fx->next.slots = 1;
	fx->next.seq = ++seq;
	fx->next.holds[0] = fx->hold;
	fx->next.hold_count = fx->has_hold;
	fx->status = -1;
	assert_true(
		peermsg_send(fx->announcer, "/announce", "{}", NULL, &sender));
	run(30);
}

static bool is_forward_field(struct span name)
{
	(void)name;
	return false;
}

static void write_forward(struct buf *out, const struct plat_forward *f)
{
	(void)out;
	snprintf(fx->expected_id, sizeof(fx->expected_id), "%s",
		 f->upstream_id);
}

static void read_response(const struct httpmsg *m, const char *request_id,
			  struct plat_response *r)
{
	(void)request_id;
	memset(r, 0, sizeof(*r));
	r->has_id = r->id_matches = r->is_signed = true;
	r->not_run = m->status == STATUS_REFUSED;
}

static const struct plat_ops platform_ops = { .write_grant = write_grant,
					      .is_forward_field =
						      is_forward_field,
					      .write_forward = write_forward,
					      .read_response = read_response };

static void on_job_head(void *arg, const struct httpmsg *m)
{
	(void)arg;
	(void)m;
}

static void on_job_body(void *arg, const char *bytes, size_t len)
{
	(void)arg;
	(void)bytes;
	(void)len;
}

static void on_job_done(void *arg)
{
	((struct fixture *)arg)->answered++;
}

static void on_job_refused(void *arg, enum reqrun_rejection why,
			   uint64_t wait_us)
{
	(void)why;
	(void)wait_us;
	((struct fixture *)arg)->refused++;
}

static void on_job_failed(void *arg, enum reqrun_failure why)
{
	(void)arg;
	(void)why;
}

static const struct reqrun_ops job_ops = { NULL,	   on_job_head,
					   on_job_body,	   on_job_done,
					   on_job_refused, on_job_failed };

/* Starts a request without a key and with a deadline of 5 s. */
static struct reqrun_job *start_request(void)
{
	static struct httpmsg message;
	static struct buf body;
	static struct reqrun_job *job;
	uint64_t now = evloop_now_us(fx->loop);
	struct reqrun_request r = { .message = &message,
				    .body = &body,
				    .request = { .key = PLAT_NO_KEY },
				    .idempotent = true,
				    .upstream_id =
					    upstr_incarnation(fx->upstream)->id,
				    .caller_service = { "c", 1 },
				    .kind = KIND,
				    .deadline_us = now + 5 * US_PER_S,
				    .objective_us = now + 4 * US_PER_S };

	if (message.target_len == 0) {
		buf_add_text(&message.text, "/x");
		message.target_len = 2;
		message.method = "GET";
	}
	snprintf(r.request.id, sizeof(r.request.id), "%s", fx->request_id);
	reqrun_start(fx->runner, &r, &job_ops, fx, &job);
	return job;
}

/* Stores the row of an earlier process. */
static void put_row(const char *id, int64_t start_unix_ms, bool takes_work)
{
	struct noderow n = { .process = 1,
			     .slots = 1,
			     .takes_work = takes_work };
	char *text;

	snprintf(n.node, sizeof(n.node), "a");
	snprintf(n.incarnation.node, sizeof(n.incarnation.node), "a");
	name_identify_text(n.incarnation.id, id);
	n.incarnation.start_unix_ms = start_unix_ms;
	n.incarnation.attached = 5;
	snprintf(n.service, sizeof(n.service), "s");
	text = noderow_format(&n);
	fx->db.version++;
	faketbl_put(&fx->db, NODEROW_TABLE, "a", text);
	free(text);
}

static void on_plan(void *arg)
{
	(void)arg;
}

/* Creates the modules that the local upstream depends on. */
static void start_parts(struct fixture *f)
{
	struct err err = { 0 };
	struct noderow row = { .process = 2 };
	struct sockaddr_in a;

	snprintf(row.node, sizeof(row.node), "a");
	snprintf(row.incarnation.node, sizeof(row.incarnation.node), "a");
	f->view = planview_create(f->loop, f->db.tbl, on_plan, f);
	f->lease = nodelease_create(f->loop, f->db.tbl, &row, &lease_ops, f);
	f->releases = relqueue_create(f->loop, f->db.tbl, f->view, on_rows, f);
	struct upstr_parts parts = { f->loop,  &f->platform, &f->settings,
				     f->lease, f->view,	     f->releases };
	f->upstream = upstr_create(&parts, &upstream_ops, f);
	f->runner = reqrun_create(f->loop, &f->platform, f->upstream, NULL,
				  UPSTREAM);
	f->admin = httpsrv_create(f->loop, ADMIN, &admin_ops, f, &err);
	f->server = httpsrv_create(f->loop, UPSTREAM, &server_ops, f, &err);
	assert_non_null(f->admin);
	assert_non_null(f->server);
	assert_true(tcpsock_parse_address(ADMIN, &a));
	f->announcer = httppool_create(f->loop, &a, 5 * US_PER_S);
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct err err = { 0 };

	(void)state;
	fx = f;
	f->loop = evloop_create(clk_system(), &err);
	faketbl_open(&f->db, f->loop);
	snprintf(f->settings.instance, NAME_SIZE, "a");
	snprintf(f->settings.upstream_address, RSETTINGS_ADDRESS_MAX, UPSTREAM);
	f->settings.announce_ms = ANNOUNCE_MS;
	f->settings.drain_ms = DRAIN_MS;
	f->settings.hold_max_ms = 4000;
	f->platform = (struct plat){ &platform_ops, f };
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = fx;

	(void)state;
	run(600); /* completes requests and delayed answers */
	httppool_destroy(f->announcer);
	httpsrv_destroy(f->admin);
	httpsrv_destroy(f->server);
	reqrun_destroy(f->runner);
	f->runner = NULL;
	upstr_destroy(f->upstream);
	relqueue_destroy(f->releases);
	nodelease_destroy(f->lease);
	planview_destroy(f->view);
	faketbl_close(&f->db);
	run(100);
	evloop_destroy(f->loop);
	free(f);
	return 0;
}

static bool is_open(void)
{
	return upstr_is_open(fx->upstream, evloop_now_us(fx->loop));
}

/*
 * Guards against a shutdown that is acknowledged but lost, because it was
 * announced while the table service could not be reached: once the row was
 * read, the upstream got requests after its drain time.
 */
static void leave_before_the_row_is_read_counts(void **state)
{
	(void)state;
	put_row("u-1", 1000, true);
	fx->db.down = true;
	start_parts(fx);
	run(20);
	announce("u-1", PLAT_READY, true, 0);
	assert_int_equal(fx->status, 200);
	run(DRAIN_MS);
	fx->db.down = false;
	run(1000);
	assert_string_equal(upstr_incarnation(fx->upstream)->id, "u-1");
	assert_false(is_open());
	assert_false(upstr_accepts_work(fx->upstream));
}

#define LONG_ID                                                        \
	"an-upstream-whose-id-has-more-bytes-than-a-row-keeps-for-it-" \
	"0123456789012345678901234567890123456789"

/*
 * Guards against requests that name an upstream by less than its whole id. The
 * row of an earlier process has only the identifier of a long id.
 */
static void upstream_with_a_long_id_gets_requests_that_name_it(void **state)
{
	(void)state;
	put_row(LONG_ID, 1000, true);
	start_parts(fx);
	run(50);
	assert_true(upstr_accepts_work(fx->upstream));
	assert_false(is_open());
	announce(LONG_ID, PLAT_READY, false, 1000);
	assert_true(is_open());
	start_request();
	run(30);
	assert_int_equal(fx->arrived, 1);
	assert_string_equal(fx->expected_id, LONG_ID);
	run(WORK_MS);
	announce(LONG_ID, PLAT_READY, true, 0);
	assert_false(upstr_accepts_work(fx->upstream));
	announce("u-2", PLAT_READY, false, 2000);
	start_request();
	run(30);
	assert_string_equal(fx->expected_id, "u-2");
}

/*
 * Guards against requests to an upstream whose drain time began under an
 * earlier process.
 */
static void drain_of_an_earlier_process_is_over(void **state)
{
	(void)state;
	put_row("u-1", 1000, true);
	start_parts(fx);
	run(50);
	assert_true(is_open());
	announce("u-1", PLAT_DRAINING, false, 1000);
	assert_false(is_open());
}

/*
 * Guards against requests to an upstream whose shutdown an earlier process has
 * acknowledged, but could not write to the row.
 */
static void upstream_of_an_earlier_process_has_to_announce_itself(void **state)
{
	(void)state;
	put_row("u-1", 1000, true);
	start_parts(fx);
	run(50);
	assert_string_equal(upstr_incarnation(fx->upstream)->id, "u-1");
	start_request();
	run(30);
	assert_int_equal(fx->arrived, 0);
	assert_int_equal(fx->refused, 1);
	announce("u-1", PLAT_READY, false, 1000);
	start_request();
	run(30);
	assert_int_equal(fx->arrived, 1);
}

/*
 * Guards against a shutdown that is ignored as stale: it has no start time, and
 * was taken for that of an earlier incarnation.
 */
static void leave_without_a_start_time_counts(void **state)
{
	(void)state;
	start_parts(fx);
	run(50);
	announce("u-1", PLAT_READY, false, 1000);
	assert_true(upstr_accepts_work(fx->upstream));
	announce("u-2", PLAT_READY, true, 0);
	assert_true(upstr_accepts_work(fx->upstream));
	announce("u-1", PLAT_READY, true, 0);
	assert_int_equal(fx->status, 200);
	assert_false(upstr_accepts_work(fx->upstream));
	assert_true(is_open());
	run(DRAIN_MS);
	assert_false(is_open());
}

/* Guards against queued requests that are sent after the drain time. */
static void queue_ends_with_the_drain(void **state)
{
	uint64_t announced_us;

	(void)state;
	start_parts(fx);
	run(50);
	announce("u-1", PLAT_READY, false, 1000);
	for (int i = 0; i < 8; i++)
		start_request();
	run(20);
	assert_int_equal(fx->arrived, 1);
	announced_us = evloop_now_us(fx->loop);
	announce("u-1", PLAT_DRAINING, false, 1000);
	run(4 * WORK_MS + DRAIN_MS);
	assert_true(fx->last_arrival_us < announced_us + DRAIN_MS * US_PER_MS);
	assert_int_equal(fx->answered, fx->arrived);
	assert_int_equal(fx->answered + fx->refused, 8);
}

/* Guards against a request that a stopping process accepts and then aborts. */
static void stopping_runner_refuses_late_requests(void **state)
{
	(void)state;
	start_parts(fx);
	run(50);
	announce("u-1", PLAT_READY, false, 1000);
	start_request();
	run(4 * WORK_MS);
	assert_int_equal(fx->answered, 1);
	reqrun_set_end(fx->runner, evloop_now_us(fx->loop) + 1 * US_PER_MS);
	start_request();
	assert_int_equal(fx->refused, 1);
}

/* Returns whether a request with this deadline may send its body. */
static bool may_send_body(uint32_t deadline_ms)
{
	uint64_t end = evloop_now_us(fx->loop) + deadline_ms * US_PER_MS;
	struct reqrun_request r = { .request = { .key = PLAT_NO_KEY },
				    .upstream_id =
					    upstr_incarnation(fx->upstream)->id,
				    .kind = KIND,
				    .deadline_us = end,
				    .objective_us = end };
	enum reqrun_rejection why;
	uint64_t wait_us;
	bool ok = reqrun_would_admit(fx->runner, &r, &why, &wait_us);

	assert_true(ok || why == REQRUN_BUSY);
	return ok;
}

/*
 * Guards against one free slot that is promised to all requests whose heads
 * arrive before the first body, and against one that is promised for ever.
 */
static void bodies_that_were_asked_for_count_for_a_short_time(void **state)
{
	uint32_t admitted = 0;

	(void)state;
	start_parts(fx);
	run(50);
	announce("u-1", PLAT_READY, false, 1000);
	while (admitted < 20 && may_send_body(200))
		admitted++;
	assert_true(admitted > 0 && admitted < 20);
	run(250);
	assert_true(may_send_body(200));
	/* A complete request is not refused for those that are to come. */
	start_request();
	run(4 * WORK_MS);
	assert_int_equal(fx->answered, 1);
}

/*
 * Guards against a request that is sent while the upstream still runs a
 * cancelled one.
 */
static void cancelled_request_keeps_its_slot(void **state)
{
	struct reqrun_job *first;
	struct reqrun_load load;

	(void)state;
	start_parts(fx);
	run(50);
	announce("u-1", PLAT_READY, false, 1000);
	first = start_request();
	start_request();
	while (fx->arrived < 1)
		run(1);
	reqrun_cancel(first);
	reqrun_load(fx->runner, &load);
	assert_int_equal(load.running, 0);
	assert_int_equal(load.waiting, 1);
	run(4 * WORK_MS);
	assert_int_equal(fx->arrived, 2);
	assert_int_equal(fx->answered, 1);
	assert_int_equal(fx->overlaps, 0);
}

/*
 * Guards against requests to an upstream that has stopped announcing itself: it
 * got them until its last grant had expired.
 */
static void silent_upstream_gets_no_work(void **state)
{
	(void)state;
	start_parts(fx);
	run(50);
	announce("u-1", PLAT_READY, false, 1000);
	assert_true(upstr_accepts_work(fx->upstream));
	run(5 * ANNOUNCE_MS);
	assert_false(upstr_accepts_work(fx->upstream));
	assert_false(is_open());
	announce("u-1", PLAT_READY, false, 1000);
	assert_true(upstr_accepts_work(fx->upstream));
}

static void on_row(void *arg, const struct tbl_row *r)
{
	(void)arg;
	(void)r;
}

static void on_synced(void *arg, bool whole)
{
	(void)arg;
	(void)whole;
}

static void on_lost(void *arg, const char *reason)
{
	(void)arg;
	(void)reason;
}

static const struct tblwatch_ops watch_ops = { on_row, on_synced, on_lost };

/*
 * Guards against table calls in a tight loop, by a watch that is answered at
 * once, by repeated refreshes of the plan, and by reads that fail.
 */
static void table_calls_are_rate_limited(void **state)
{
	struct tblwatch *watch;

	(void)state;
	start_parts(fx);
	run(50);
	fx->db.hasty = true;
	fx->db.watches = 0;
	watch = tblwatch_create(fx->loop, fx->db.tbl, "t", 20 * US_PER_MS,
				&watch_ops, fx);
	run(400);
	assert_true(fx->db.watches <= 20);
	fx->db.reads = 0;
	for (int i = 0; i < 200; i++)
		planview_refresh(fx->view);
	run(400);
	assert_true(fx->db.reads <= 1);
	fx->db.down = true;
	fx->db.reads = 0;
	tblwatch_request_read(watch);
	run(1000);
	assert_true(fx->db.reads <= 5);
	fx->db.down = false;
	tblwatch_destroy(watch);
	fx->db.hasty = false;
}

/*
 * Guards against a plan that stays old after an outage, as the poll that was
 * waiting when it began is never answered.
 */
static void poll_of_the_plan_is_replaced_after_an_outage(void **state)
{
	uint32_t polls;

	(void)state;
	start_parts(fx);
	run(50);
	polls = fx->db.watches;
	assert_true(fx->db.watch_wait_ms > 0);
	fx->db.down = true;
	run(2300);
	assert_false(nodelease_table_reachable(fx->lease));
	assert_int_equal(fx->db.watches, polls);
	fx->db.down = false;
	run(800);
	assert_true(nodelease_table_reachable(fx->lease));
	/* One that is answered at once, and the next one. */
	assert_int_equal(fx->db.watches, polls + 2);
}

/*
 * Guards against a repeated probe that runs after its module has been freed, at
 * the end of the process.
 */
static void probe_ends_with_its_module(void **state)
{
	(void)state;
	start_parts(fx);
	run(20);
	announce("u-1", PLAT_READY, false, 1000);
	run(100);
	assert_string_equal(upstr_incarnation(fx->upstream)->id, "u-1");
	httpsrv_destroy(fx->server);
	fx->server = NULL;
	upstr_check_health(fx->upstream);
	run(20);
	reqrun_destroy(fx->runner);
	fx->runner = NULL;
	upstr_destroy(fx->upstream);
	fx->upstream = NULL;
	run(100);
}

/*
 * Guards against a copy of an earlier refusal, written once more by a faulty
 * upstream, that is taken for the response to the request's next attempt: it
 * would be told as not run while it runs.
 */
static void refused_request_is_not_sent_on_the_same_connection(void **state)
{
	(void)state;
	start_parts(fx);
	run(50);
	announce("u-1", PLAT_READY, false, 1000);
	run(50);
	snprintf(fx->request_id, sizeof(fx->request_id), "x1");
	fx->refuses = true;
	start_request();
	run(2 * WORK_MS + 50);
	assert_int_equal(fx->refused, 1);
	fx->refuses = false;
	start_request();
	run(2 * WORK_MS + 50);
	assert_int_equal(fx->arrived, 2);
	assert_ptr_not_equal(fx->connections[0], fx->connections[1]);
	/* Others keep to the connections that there are. */
	announce("u-1", PLAT_READY, false, 1000);
	snprintf(fx->request_id, sizeof(fx->request_id), "x2");
	start_request();
	run(2 * WORK_MS + 50);
	assert_int_equal(fx->arrived, 3);
	assert_true(fx->connections[2] == fx->connections[0] ||
		    fx->connections[2] == fx->connections[1]);
}

/*
 * Guards against a refusal that names no request and is taken for the response
 * to the one that runs: it may be a copy of an earlier refusal.
 */
static void refusal_without_an_id_counts_on_a_new_connection_only(void **state)
{
	struct plat_response r = { .not_run = true };

	(void)state;
	assert_int_equal(reqrun_match(&r, false), HTTPCALL_MATCH);
	assert_int_equal(reqrun_match(&r, true), HTTPCALL_INVALID);
	r.other_upstream = true;
	r.not_run = false;
	assert_int_equal(reqrun_match(&r, true), HTTPCALL_INVALID);
	r.has_id = true;
	assert_int_equal(reqrun_match(&r, true), HTTPCALL_MISMATCH);
	r.id_matches = true;
	assert_int_equal(reqrun_match(&r, true), HTTPCALL_MATCH);
	r = (struct plat_response){ .is_signed = true };
	assert_int_equal(reqrun_match(&r, false), HTTPCALL_INVALID);
	r.has_id = r.id_matches = true;
	assert_int_equal(reqrun_match(&r, true), HTTPCALL_MATCH);
}

/*
 * Guards against an answer that makes an upstream release keys of a lost map
 * before the leader knows that it holds them.
 */
static void held_keys_that_nobody_owns_are_reported_and_kept(void **state)
{
	struct noderpt report = { 0 };

	(void)state;
	put_row("u-1", 1000, true);
	fx->db.version++;
	faketbl_put(&fx->db, PLANVIEW_TABLE, PLANVIEW_KEYS_PREFIX "s",
		    "{\"next\":9,\"lives\":[[\"u-1\",\"a\",1000,5]],\"ranges\":"
		    "[[0,9,8,0,-1,\"\"],[10,65535,0,-1,-1,\"\"]]}");
	start_parts(fx);
	run(100);
	upstr_state_holds(fx->upstream, &report);
	assert_false(report.states_holds);
	fx->has_hold = true;
	fx->hold = (struct plat_hold){ .first = 5, .last = 19, .fence = 3 };
	announce("u-1", PLAT_READY, false, 1000);
	assert_int_equal(fx->status, 200);
	assert_false(fx->renewed);
	upstr_state_holds(fx->upstream, &report);
	assert_true(report.states_holds);
	assert_int_equal(report.hold_count, 1);
	assert_int_equal(report.holds[0].last, 19);
	fx->hold.last = 9;
	announce("u-1", PLAT_READY, false, 1000);
	assert_true(fx->renewed);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(leave_before_the_row_is_read_counts),
		TEST(held_keys_that_nobody_owns_are_reported_and_kept),
		TEST(drain_of_an_earlier_process_is_over),
		TEST(upstream_of_an_earlier_process_has_to_announce_itself),
		TEST(leave_without_a_start_time_counts),
		TEST(upstream_with_a_long_id_gets_requests_that_name_it),
		TEST(queue_ends_with_the_drain),
		TEST(stopping_runner_refuses_late_requests),
		TEST(bodies_that_were_asked_for_count_for_a_short_time),
		TEST(cancelled_request_keeps_its_slot),
		TEST(silent_upstream_gets_no_work),
		TEST(table_calls_are_rate_limited),
		TEST(poll_of_the_plan_is_replaced_after_an_outage),
		TEST(probe_ends_with_its_module),
		TEST(refused_request_is_not_sent_on_the_same_connection),
		TEST(refusal_without_an_id_counts_on_a_new_connection_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
