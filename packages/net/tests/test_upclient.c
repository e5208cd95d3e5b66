/*
 * Client and server in one event loop. Guards against a request that is
 * reported as not run although it may have run, a truncated body that is
 * reported as complete, and a fast request that is queued behind a slow one.
 */

#include "net_test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "upclient.h"

struct result {
	struct upclient *pool;
	uint32_t call;
	int status;
	size_t heads;
	size_t bytes;
	bool ended;
	bool failed;
	enum upclient_failure why;
	char text[64];
	char etag[16];
	size_t *order; /* counts the calls that have ended */
	size_t place;
};

static void on_head(void *arg, const struct upclient_response *response)
{
	struct result *r = arg;

	r->heads++;
	r->status = response->status;
	for (size_t i = 0; i < response->header_count; i++) {
		if (strcmp(response->headers[i].name, "etag") == 0)
			snprintf(r->etag, sizeof(r->etag), "%s",
				 response->headers[i].value);
	}
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct result *r = arg;

	if (r->bytes + len < sizeof(r->text))
		memcpy(r->text + r->bytes, data, len);
	r->bytes += len;
}

static void on_end(void *arg)
{
	struct result *r = arg;

	assert_false(r->ended || r->failed);
	r->ended = true;
	if (r->order)
		r->place = (*r->order)++;
}

static void on_failed(void *arg, enum upclient_failure why)
{
	struct result *r = arg;

	assert_false(r->ended || r->failed);
	r->failed = true;
	r->why = why;
}

static const struct upclient_events events = { on_head, on_body, on_end,
					       on_failed, NULL };

static bool has_ended(void *arg)
{
	struct result *r = arg;

	return r->ended || r->failed;
}

static void start_call(struct result *r, struct upclient *pool,
		       const char *method, const char *target, const char *body)
{
	struct upclient_request req = {
		.method = method,
		.target = target,
		.content_length = body ? (long long)strlen(body) : 0,
		.first = body,
		.first_len = body ? strlen(body) : 0,
		.end = true,
		.timeout_us = TEST_TIMEOUT_US
	};

	memset(r, 0, sizeof(*r));
	r->pool = pool;
	r->call = upclient_start(pool, &req, &events, r);
	assert_true(r->call != 0);
	assert_false(has_ended(r));
}

static void calls_return_complete_responses(void **state)
{
	struct app a;
	struct result r;
	struct upclient *u;

	(void)state;
	app_open(&a, NULL);
	u = upclient_pool_create(a.loop, "127.0.0.1", websrv_port(a.server), 4,
				 NULL);
	for (int i = 0; i < 50; i++) {
		start_call(&r, u, "GET", "/hello", NULL);
		app_run(&a, has_ended, &r);
		assert_true(r.ended);
		assert_int_equal(r.status, 200);
		assert_string_equal(r.text, "hello");
		assert_string_equal(r.etag, "\"1\"");
		start_call(&r, u, "POST", "/echo", "some text");
		app_run(&a, has_ended, &r);
		assert_true(r.ended);
		assert_string_equal(r.text, "some text");
		start_call(&r, u, "PUT", "/sink", "abc");
		app_run(&a, has_ended, &r);
		assert_true(r.ended);
		assert_string_equal(r.text, "got 3");
	}
	start_call(&r, u, "GET", "/status?204", NULL);
	app_run(&a, has_ended, &r);
	assert_true(r.ended && r.status == 204);
	start_call(&r, u, "HEAD", "/hello", NULL);
	app_run(&a, has_ended, &r);
	assert_true(r.ended && r.bytes == 0);
	start_call(&r, u, "GET", "/big?3000000", NULL);
	app_run(&a, has_ended, &r);
	assert_true(r.ended);
	assert_int_equal(r.bytes, 3000000);
	upclient_destroy(u);
	app_close(&a);
}

static void truncated_responses_are_broken(void **state)
{
	struct app a;
	struct result r;
	struct upclient *u;

	(void)state;
	app_open(&a, NULL);
	u = upclient_pool_create(a.loop, "127.0.0.1", websrv_port(a.server), 4,
				 NULL);
	start_call(&r, u, "GET", "/cut?100", NULL);
	app_run(&a, has_ended, &r);
	assert_true(r.failed);
	assert_int_equal(r.why, UPCLIENT_BROKEN);
	start_call(&r, u, "GET", "/cut?0", NULL);
	app_run(&a, has_ended, &r);
	assert_true(r.failed);
	assert_int_equal(r.why, UPCLIENT_BROKEN);
	start_call(&r, u, "GET", "/hello", NULL);
	app_run(&a, has_ended, &r);
	assert_true(r.ended);
	upclient_destroy(u);
	app_close(&a);
}

static void refused_differs_from_lost(void **state)
{
	struct app a;
	struct result r;
	struct upclient *u;

	(void)state;
	app_open(&a, NULL);
	u = upclient_pool_create(a.loop, "127.0.0.1", websrv_port(a.server), 4,
				 NULL);
	start_call(&r, u, "GET", "/hold", NULL);
	while (!a.held)
		lwsloop_run_once(a.loop);
	websrv_abort(a.held);
	app_run(&a, has_ended, &r);
	assert_true(r.failed);
	assert_int_equal(r.why, UPCLIENT_LOST);
	websrv_stop_listening(a.server);
	start_call(&r, u, "GET", "/hello", NULL);
	app_run(&a, has_ended, &r);
	assert_true(r.failed);
	assert_int_equal(r.why, UPCLIENT_REFUSED);
	upclient_destroy(u);
	app_close(&a);
}

#define QUICK_CALLS 50

/*
 * A body that is written after its head must not wait for the acknowledgement
 * of the head, which the receiver delays by 40 ms.
 */
static void body_after_head_is_not_delayed(void **state)
{
	uint64_t start_us;
	struct app a;
	struct result r;
	struct upclient *u;

	(void)state;
	app_open(&a, NULL);
	u = upclient_pool_create(a.loop, "127.0.0.1", websrv_port(a.server), 4,
				 NULL);
	start_us = lwsloop_now_us(a.loop);
	for (int i = 0; i < QUICK_CALLS; i++) {
		start_call(&r, u, "POST", "/echo", "some text");
		app_run(&a, has_ended, &r);
		assert_true(r.ended);
	}
	assert_true(lwsloop_now_us(a.loop) - start_us <
		    QUICK_CALLS * 20 * US_PER_MS);
	upclient_destroy(u);
	app_close(&a);
}

#define CALLS 100

static void fast_calls_do_not_wait_for_slow_ones(void **state)
{
	struct result r[CALLS];
	struct app a;
	struct upclient *u;
	size_t order = 0;

	(void)state;
	app_open(&a, NULL);
	u = upclient_pool_create(a.loop, "127.0.0.1", websrv_port(a.server),
				 CALLS, NULL);
	for (int i = 0; i < CALLS; i++) {
		start_call(&r[i], u, "GET", i % 2 ? "/hello" : "/hold", NULL);
		r[i].order = &order;
	}
	for (int i = 1; i < CALLS; i += 2)
		app_run(&a, has_ended, &r[i]);
	for (int i = 0; i < CALLS; i += 2) {
		assert_false(has_ended(&r[i]));
		upclient_cancel(u, r[i].call);
	}
	upclient_destroy(u);
	app_close(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(calls_return_complete_responses),
		cmocka_unit_test(truncated_responses_are_broken),
		cmocka_unit_test(refused_differs_from_lost),
		cmocka_unit_test(body_after_head_is_not_delayed),
		cmocka_unit_test(fast_calls_do_not_wait_for_slow_ones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
